//! What a leader knows of one follower.

use super::entry::Index;

/// Time after which unanswered entries are sent again, in milliseconds.
pub const RESEND_MS: u64 = 300;
/// Time after which an unanswered snapshot is sent again, in milliseconds.
pub const SNAPSHOT_RESEND_MS: u64 = 2_000;

/// What a leader knows of one follower.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Last index known to match.
    pub matched: Index,
    /// Next index to send.
    pub next: Index,
    /// Leader's clock in the latest message that the follower has answered.
    pub heard: u64,
    /// Time before which entries are not sent again.
    pub resend_due: u64,
    /// Time before which the snapshot is not sent again.
    pub snapshot_due: u64,
}

impl Progress {
    /// A follower of which nothing is known but that it may match up to `next - 1`.
    pub fn new(next: Index, heard: u64) -> Self {
        Self {
            matched: Index(0),
            next,
            heard,
            resend_due: 0,
            snapshot_due: 0,
        }
    }
}
