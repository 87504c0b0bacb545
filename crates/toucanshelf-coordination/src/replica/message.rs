//! Raft messages between replicas.

use serde::{Deserialize, Serialize};

use super::entry::{Entry, Index, LogSnapshot, ReplicaId, Term};

/// Raft message between two replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Id of the replica that sends the message.
    pub from: ReplicaId,
    /// Id of the replica that receives the message.
    pub to: ReplicaId,
    /// Term of the message.
    ///
    /// It is the sender's term, except in pre-vote requests and granted pre-votes, which carry the
    /// term of the proposed election.
    pub term: Term,
    /// Content of the message.
    pub body: MessageBody,
}

/// Content of a message between two replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender in the next term.
    PreVote {
        /// Index of the last entry in the sender's log.
        last_index: Index,
        /// Term of the entry at `last_index`.
        last_term: Term,
    },
    /// Answers [`MessageBody::PreVote`].
    PreVoteReply {
        /// Whether the receiver of the request would grant the vote.
        granted: bool,
    },
    /// Requests the receiver's vote in the term of the message.
    Vote {
        /// Index of the last entry in the sender's log.
        last_index: Index,
        /// Term of the entry at `last_index`.
        last_term: Term,
    },
    /// Answers [`MessageBody::Vote`].
    VoteReply {
        /// Whether the receiver of the request grants the vote.
        granted: bool,
    },
    /// Replicates log entries; an append without entries is a heartbeat.
    Append {
        /// Log index that directly precedes the first entry in the message.
        previous: Index,
        /// Term of the entry at `previous`.
        previous_term: Term,
        /// Entries to append, which may be empty.
        entries: Vec<Entry>,
        /// Index of the last entry that the leader has committed.
        commit: Index,
        /// Leader's clock at the time of sending, in milliseconds.
        sent: u64,
    },
    /// Answers [`MessageBody::Append`] and [`MessageBody::Snapshot`].
    AppendReply {
        /// Last index at which the follower's log matches the leader's.
        ///
        /// In a rejection it is the index after which the leader should retry.
        matched: Index,
        /// Whether the follower rejected the message.
        ///
        /// It does so if the sender's term is outdated, or if its own log does not match the
        /// leader's at `previous`.
        rejected: bool,
        /// Leader's clock when it sent the acknowledged message, in milliseconds.
        sent: u64,
    },
    /// Replaces the log of a follower by a snapshot.
    ///
    /// The leader sends it if its own log no longer contains the next entry for the follower.
    Snapshot {
        /// Snapshot that the follower must install.
        snapshot: LogSnapshot,
        /// Leader's clock at the time of sending, in milliseconds.
        sent: u64,
    },
}

impl MessageBody {
    /// Returns whether only the leader of the message's term sends such messages.
    pub fn is_from_leader(&self) -> bool {
        matches!(self, Self::Append { .. } | Self::Snapshot { .. })
    }
}
