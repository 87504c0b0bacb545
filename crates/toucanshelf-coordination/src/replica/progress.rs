//! Replication progress of a leader's followers.

use super::entry::Index;

/// Time after which a leader resends unacknowledged entries, in milliseconds.
pub const RESEND_MS: u64 = 300;
/// Time after which a leader resends an unacknowledged snapshot, in milliseconds.
pub const SNAPSHOT_RESEND_MS: u64 = 2_000;

/// Replication progress of one follower, as known to the leader.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Last index at which the follower's log is known to match the leader's.
    pub matched: Index,
    /// Index of the next entry to send to the follower.
    pub next: Index,
    /// Send time of the latest message that the follower acknowledged, in milliseconds.
    pub acked_sent: u64,
    /// Time from which the leader may resend unacknowledged entries, in milliseconds.
    pub resend_due: u64,
    /// Time from which the leader may send a snapshot again, in milliseconds.
    pub snapshot_resend_due: u64,
}

impl Progress {
    /// Creates the progress of a follower that has not acknowledged anything yet.
    ///
    /// The leader assumes optimistically that the follower's log matches up to `next - 1`.
    /// Until the first acknowledgement, `acked_sent`, in milliseconds, counts as the send time of
    /// the latest acknowledged message.
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
