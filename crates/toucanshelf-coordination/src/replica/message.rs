//! Raft messages between replicas.

use serde::{Deserialize, Serialize};

use super::entry::{Entry, Index, LogSnapshot, ReplicaId, Term};

/// Raft message between two replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Sending replica.
    pub from: ReplicaId,
    /// Receiving replica.
    pub to: ReplicaId,
    /// Term of the message.
    ///
    /// It is the sender's term, except in pre-vote requests and granted pre-votes, which carry the
    /// term of the proposed election.
    pub term: Term,
    /// Content of the message.
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender in the next term.
    PreVote {
        /// Last index of the sender's log.
        last_index: Index,
        /// Term of that index.
        last_term: Term,
    },
    /// Answers [`MessageBody::PreVote`].
    PreVoteReply {
        /// Whether the receiver would grant the vote.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Last index of the sender's log.
        last_index: Index,
        /// Term of that index.
        last_term: Term,
    },
    /// Answers [`MessageBody::Vote`].
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; an append without entries is a heartbeat.
    Append {
        /// Index that directly precedes the entries.
        previous: Index,
        /// Term of that index.
        previous_term: Term,
        /// Entries to append, which may be empty.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: Index,
        /// Leader's clock at the time of sending, in milliseconds.
        sent: u64,
    },
    /// Answers [`MessageBody::Append`] and [`MessageBody::Snapshot`].
    AppendReply {
        /// Last index that matches the leader's log.
        ///
        /// In a rejection it is the index after which the leader should retry.
        matched: Index,
        /// Whether the append was rejected.
        ///
        /// An append is rejected if the logs differ before the entries or the term is outdated.
        rejected: bool,
        /// Value of `sent` in the acknowledged message, in milliseconds.
        sent: u64,
    },
    /// Replaces the log of a follower whose next entry the leader no longer has.
    Snapshot {
        /// Snapshot to install.
        snapshot: LogSnapshot,
        /// Leader's clock at the time of sending, in milliseconds.
        sent: u64,
    },
}

impl MessageBody {
    pub(super) fn is_from_leader(&self) -> bool {
        matches!(self, Self::Append { .. } | Self::Snapshot { .. })
    }
}
