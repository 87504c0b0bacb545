//! Settings of a replica and what it hands to its caller.

use super::entry::{Entry, Index, LogSnapshot, ReplicaId, Term};
use super::message::Message;

/// Settings of one replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaConfig {
    /// Identity, stored on the replica's disk.
    pub id: ReplicaId,
    /// Whether a replica asks for votes in a trial round before it raises its term.
    pub pre_vote: bool,
    /// Whether a leader steps down when it has not heard from a quorum.
    pub check_quorum: bool,
}

impl ReplicaConfig {
    /// Settings with every protection on.
    pub fn new(id: ReplicaId) -> Self {
        Self {
            id,
            pre_vote: true,
            check_quorum: true,
        }
    }
}

/// What a replica does in its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes without raising its term.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Orders the log.
    Leader,
}

/// Why a command was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ProposeError {
    /// Another replica leads, or none.
    #[error("this replica does not lead (leader: {0:?})")]
    NotLeader(Option<ReplicaId>),
    /// A voter change is still under way.
    #[error("another voter change is still under way")]
    ChangeUnderWay,
    /// The change is not one voter more or less.
    #[error("voters are changed one at a time, and a learner must have caught up first")]
    BadChange,
}

/// State to store and messages to send afterwards.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Term and vote, when they changed.
    pub vote: Option<(Term, Option<ReplicaId>)>,
    /// Snapshot that replaces the log up to its index.
    pub snapshot: Option<LogSnapshot>,
    /// Whether the snapshot came from the leader, so that no stored entry may stay.
    pub log_reset: bool,
    /// Entries to write; stored entries from the first index on are replaced.
    pub entries: Vec<Entry>,
    /// First entry still needed; with a snapshot, stored entries before it may go.
    pub kept_from: Option<Index>,
    /// Messages to send once the rest is durable.
    pub messages: Vec<Message>,
}

impl Ready {
    /// Whether anything must be stored.
    pub fn must_store(&self) -> bool {
        self.vote.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
