//! Replica configuration and the values that a replica returns to its caller.

use super::entry::{Entry, Index, LogSnapshot, ReplicaId, Term};
use super::message::Message;

/// Configuration of one replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaConfig {
    /// Id of the replica, stored in its data directory.
    pub id: ReplicaId,
    /// Whether a candidate runs a pre-vote before it increments its term.
    ///
    /// In a pre-vote, it asks the other voters whether they would vote for it. A replica that
    /// cannot win then does not disturb the leader with a higher term.
    pub pre_vote: bool,
    /// Whether a leader steps down when it has lost contact with a quorum.
    pub check_quorum: bool,
}

impl ReplicaConfig {
    /// Creates a configuration with pre-vote and quorum checks enabled.
    pub fn new(id: ReplicaId) -> Self {
        Self {
            id,
            pre_vote: true,
            check_quorum: true,
        }
    }
}

/// Role of a replica in its current term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The replica stores the leader's entries, or waits until a leader is elected.
    Follower,
    /// The replica asks the voters whether they would elect it, without a new term.
    PreCandidate,
    /// The replica has begun a new term and requests votes in it.
    Candidate,
    /// The replica appends entries to the log and replicates them to the followers.
    Leader,
}

/// Reason why a replica rejected a proposed command or membership change.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ProposeError {
    /// This replica is not the leader; the field names the leader, if known.
    #[error("this replica does not lead (leader: {0:?})")]
    NotLeader(Option<ReplicaId>),
    /// An earlier membership change, or this leader's first entry, is not committed yet.
    #[error("an earlier membership change or the first entry of this term is not committed yet")]
    ChangePending,
    /// The membership change affects several voters, leaves none, or adds a lagging one.
    #[error("invalid change: at most one voter may change, and an added voter must have caught up")]
    InvalidChange,
    /// Too few of the changed voters answer for a quorum, so the change might never be committed.
    #[error("too few of the changed voters answer now")]
    NoQuorum,
}

/// State that the caller must store and messages to send afterwards.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Current term and the vote in it, if either changed.
    pub vote: Option<(Term, Option<ReplicaId>)>,
    /// New snapshot to store, which replaces the log up to its index.
    pub snapshot: Option<LogSnapshot>,
    /// Whether the snapshot came from the leader and all stored entries must be deleted.
    pub log_reset: bool,
    /// Entries to store; they replace all stored entries from their first index on.
    pub entries: Vec<Entry>,
    /// Index of the first log entry that the replica keeps in memory, if any.
    ///
    /// If `snapshot` is set, stored entries before this index may be deleted.
    pub first_retained: Option<Index>,
    /// Messages to send once the other fields are durable.
    pub messages: Vec<Message>,
}

impl Ready {
    /// Returns whether there is state to store.
    pub fn must_store(&self) -> bool {
        self.vote.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
