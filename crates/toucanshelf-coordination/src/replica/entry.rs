//! Entries, snapshots and stored state of the log.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Identity of a replica, drawn at random when its disk is first used.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReplicaId(pub u64);

impl ReplicaId {
    /// Identity of the replica on one disk of an instance.
    ///
    /// The upper half names the instance, the lower half its disk, so that an emptied disk is
    /// recognised as the successor of the one that was lost.
    pub fn new(instance: u32, disk: u32) -> Self {
        Self(u64::from(instance) << 32 | u64::from(disk))
    }

    /// Whether both replicas belong to the same instance.
    pub fn same_instance(self, other: Self) -> bool {
        self.0 >> 32 == other.0 >> 32
    }
}

/// Election term.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Term(pub u64);

/// Position in the log, counted from 1.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Index(pub u64);

/// Replicas that vote and replicas that only follow.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Replicas that vote.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that get the log without a vote.
    pub learners: BTreeSet<ReplicaId>,
}

impl Membership {
    /// Number of voters that decide.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// Content of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EntryBody {
    /// Opens a leader's term.
    Blank,
    /// A command of the state machine.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// New voters and learners; in force from the moment it is in the log.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Position.
    pub index: Index,
    /// Term of the leader that added it.
    pub term: Term,
    /// Content.
    pub body: EntryBody,
}

impl Entry {
    /// Command in this entry.
    pub fn command(&self) -> Option<&[u8]> {
        match &self.body {
            EntryBody::Command(command) => Some(command),
            _ => None,
        }
    }

    pub(super) fn is_membership(&self) -> bool {
        matches!(self.body, EntryBody::Membership(_))
    }

    pub(super) fn size(&self) -> usize {
        let content = match &self.body {
            EntryBody::Command(command) => command.len(),
            _ => 64,
        };
        content + 32
    }
}

/// State after a prefix of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogSnapshot {
    /// Last index that the state includes.
    pub index: Index,
    /// Term of that index.
    pub term: Term,
    /// Voters and learners at that index.
    pub membership: Membership,
    /// State of the state machine.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}

/// Everything that a replica stores.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Persisted {
    /// Current term.
    pub term: Term,
    /// Candidate that got this replica's vote in the term.
    pub vote: Option<ReplicaId>,
    /// Latest snapshot.
    pub snapshot: LogSnapshot,
    /// Entries, without gaps; the first may lie before the end of the snapshot.
    pub entries: Vec<Entry>,
}

impl Persisted {
    /// State of a replica of a new log with the given voters.
    pub fn with_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        let mut out = Self::default();
        out.snapshot.membership.voters = voters.into_iter().collect();
        out
    }

    /// Last index that is stored.
    pub fn last_index(&self) -> Index {
        self.entries
            .last()
            .map_or(self.snapshot.index, |entry| entry.index)
    }
}
