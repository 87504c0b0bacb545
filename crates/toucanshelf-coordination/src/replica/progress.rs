//! Replication progress of a leader's followers.

use super::entry::Index;

/// Time after which unacknowledged entries are sent again, in milliseconds.
pub const RESEND_MS: u64 = 300;
/// Time after which an unacknowledged snapshot is sent again, in milliseconds.
pub const SNAPSHOT_RESEND_MS: u64 = 2_000;

/// Replication progress of one follower, as known to the leader.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Last index known to match the leader's log.
    pub matched: Index,
    /// Index of the next entry to send.
    pub next: Index,
    /// Send time of the latest message that the follower acknowledged, in milliseconds.
    pub acked_sent: u64,
    /// Time from which unacknowledged entries may be sent again, in milliseconds.
    pub resend_due: u64,
    /// Time from which a snapshot may be sent again, in milliseconds.
    pub snapshot_resend_due: u64,
}

impl Progress {
    /// Creates the progress of a follower whose match index is unknown.
    ///
    /// The leader assumes optimistically that the follower's log matches up to `next - 1`.
    pub fn new(next: Index, acked_sent: u64) -> Self {
        Self {
            matched: Index(0),
            next,
            acked_sent,
            resend_due: 0,
            snapshot_resend_due: 0,
        }
    }
}
