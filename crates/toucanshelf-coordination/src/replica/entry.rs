//! Log entries, snapshots and the persistent state of a replica.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Id of a replica, composed of its instance's number and a disk number.
///
/// The disk number distinguishes the replicas that an instance has had on successive disks. The
/// control program assigns it: 0 to each initial voter of a log, and a random number to a replica
/// that joins an existing log with an empty disk.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReplicaId(pub u64);

impl ReplicaId {
    /// Creates the id of the replica on one disk of an instance.
    ///
    /// `instance` becomes the upper 32 bits of the id and `disk` the lower 32 bits. A replica on a
    /// new or emptied disk is thus recognised as the successor of the lost one.
    pub fn new(instance: u32, disk: u32) -> Self {
        Self(u64::from(instance) << 32 | u64::from(disk))
    }

    /// Returns whether both replicas belong to the same instance.
    pub fn same_instance(self, other: Self) -> bool {
        self.0 >> 32 == other.0 >> 32
    }
}

/// Raft term: the number of an election period, which has at most one leader.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Term(pub u64);

/// Position in the log; the first entry has index 1.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Index(pub u64);

/// Voters and learners of the replicated log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Replicas that vote in elections and count towards the quorum.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log but do not vote.
    pub learners: BTreeSet<ReplicaId>,
}

impl Membership {
    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EntryBody {
    /// No-op entry that a leader appends at the start of its term.
    Blank,
    /// Serialised command for the state machine.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// New voters and learners, effective once the entry is in the log.
    Membership(Membership),
}

/// Entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Content of the entry.
    pub body: EntryBody,
}

impl Entry {
    /// Returns the command in this entry, if it contains one.
    pub fn command(&self) -> Option<&[u8]> {
        match &self.body {
            EntryBody::Command(command) => Some(command),
            _ => None,
        }
    }

    pub(super) fn is_membership(&self) -> bool {
        matches!(self.body, EntryBody::Membership(_))
    }

    /// Returns the approximate size of the entry in bytes, for batching and retention limits.
    pub(super) fn size(&self) -> usize {
        let content = match &self.body {
            EntryBody::Command(command) => command.len(),
            _ => 64,
        };
        content + 32
    }
}

/// Snapshot of the state machine after a prefix of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogSnapshot {
    /// Index of the last entry included in the snapshot.
    pub index: Index,
    /// Term of the last entry included in the snapshot.
    pub term: Term,
    /// Voters and learners in effect at the snapshot's index.
    pub membership: Membership,
    /// Serialised state of the state machine.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}

/// Persistent state of a replica.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Persisted {
    /// Current term of the replica.
    pub term: Term,
    /// Candidate that this replica voted for in the current term, if any.
    pub vote: Option<ReplicaId>,
    /// Latest snapshot of the state machine.
    pub snapshot: LogSnapshot,
    /// Contiguous log entries; the first ones may already be included in the snapshot.
    pub entries: Vec<Entry>,
}

impl Persisted {
    /// Creates the state of a replica in a new log with the given voters.
    pub fn with_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        let mut out = Self::default();
        out.snapshot.membership.voters = voters.into_iter().collect();
        out
    }

    /// Returns the index of the last stored entry, or that of the snapshot.
    pub fn last_index(&self) -> Index {
        self.entries
            .last()
            .map_or(self.snapshot.index, |entry| entry.index)
    }
}
