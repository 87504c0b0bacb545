//! Messages between replicas.

use serde::{Deserialize, Serialize};

use super::entry::{Entry, Index, LogSnapshot, ReplicaId, Term};

/// A message between replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// Sender's term; in a trial vote the term that it would raise to.
    pub term: Term,
    /// Content.
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender.
    PreVote {
        /// Sender's last index.
        last_index: Index,
        /// Term of that index.
        last_term: Term,
    },
    /// Answers [`MessageBody::PreVote`].
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Sender's last index.
        last_index: Index,
        /// Term of that index.
        last_term: Term,
    },
    /// Answers [`MessageBody::Vote`].
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Adds entries; without any it is a heartbeat.
    Append {
        /// Index before the entries.
        previous: Index,
        /// Term of that index.
        previous_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// Leader's committed index.
        commit: Index,
        /// Leader's clock when it sent this, in milliseconds.
        sent: u64,
    },
    /// Answers [`MessageBody::Append`] and [`MessageBody::Snapshot`].
    AppendReply {
        /// Last index that is known to match, or a hint where the append was rejected.
        matched: Index,
        /// Whether the entries did not fit.
        rejected: bool,
        /// Leader's clock from the message that is answered.
        sent: u64,
    },
    /// Replaces the log of a replica that lags far behind.
    Snapshot {
        /// The snapshot.
        snapshot: LogSnapshot,
        /// Leader's clock when it sent this, in milliseconds.
        sent: u64,
    },
}

impl MessageBody {
    pub(super) fn is_from_leader(&self) -> bool {
        matches!(self, Self::Append { .. } | Self::Snapshot { .. })
    }
}
