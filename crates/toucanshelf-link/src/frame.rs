//! Messages between toucanshelf processes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use toucanshelf_coordination::membership::{Record, RecordDigest};
use toucanshelf_coordination::replica;
use toucanshelf_core::configuration::{Delta, Snapshot};
use toucanshelf_core::ids::Revision;
use toucanshelf_core::registration::Registration;
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_core::target::Announcement;

/// Version of the protocol; a peer with another one is refused.
pub const PROTOCOL_VERSION: u32 = 2;

/// Identity of a replicated log, drawn when its first replica starts.
pub type LogId = u64;

/// Record of a target as gates gossip it.
pub type TargetRecord = Record<Announcement>;

/// A message between two processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Frame {
    /// Keeps an idle link alive.
    Ping,

    /// Gate to control: sends the configuration from this revision on.
    Watch {
        /// Log that the gate's configuration came from; none where it has none.
        log: Option<LogId>,
        /// Revision in force at the gate.
        revision: Revision,
    },
    /// Gate to control: this revision is in force.
    InForce {
        /// The revision.
        revision: Revision,
    },
    /// Control to gate, or gate to gate: the whole configuration.
    Configuration {
        /// Log that it comes from.
        log: LogId,
        /// The configuration.
        snapshot: Snapshot,
    },
    /// Control to gate: the next changes.
    Deltas {
        /// Log that they come from.
        log: LogId,
        /// The changes, in order.
        deltas: Vec<Delta>,
    },
    /// Anyone to anyone: the highest revision that the sender knows of.
    Head {
        /// Log that the revision belongs to.
        log: LogId,
        /// The revision.
        revision: Revision,
    },
    /// Gate to gate: asks for the configuration.
    FetchConfiguration,

    /// Gate to control, or control to leader: asks to commit a command.
    Submit {
        /// Number that the answer repeats.
        id: u64,
        /// The command.
        body: CommandBody,
        /// Whether the receiver may pass the command on to the leader.
        forward: bool,
    },
    /// Answers [`Frame::Submit`].
    Submitted {
        /// Number of the command.
        id: u64,
        /// Answer of the state machine, or why there is none.
        result: Result<Reply, SubmitError>,
    },

    /// Gate to gate: hash over the sender's records.
    RecordsHash {
        /// The hash.
        hash: u64,
    },
    /// Gate to gate: digests of all records of the sender.
    RecordDigests {
        /// The digests.
        digests: Vec<RecordDigest>,
        /// Whether the receiver shall answer with its own digests.
        answer: bool,
    },
    /// Gate to gate: records that the receiver may lack.
    Records {
        /// The records.
        records: Vec<TargetRecord>,
    },
    /// Gate to gate: a request with this fingerprint was under way when targets were lost.
    Suspect {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Gate that counted.
        gate: Box<str>,
        /// Grows with each change of the gate's count.
        version: u32,
        /// Targets that this gate has lost before the attempt had delivered a token.
        starting: u32,
        /// Targets that this gate has lost after that.
        streaming: u32,
    },

    /// Control to control: a message of the replicated log.
    Replica(replica::Message),
    /// Control to control: what the sender has on its disk.
    Standing {
        /// Log that the sender belongs to; none where its disk is empty.
        log: Option<LogId>,
    },
    /// Control to control: address under which the sender takes links.
    Introduce {
        /// The address.
        link: SocketAddr,
    },
    /// Control to control or ingress: link addresses of the control instances.
    Members {
        /// The addresses.
        links: Vec<SocketAddr>,
        /// Availability zones of the ingress instances that are linked to the sender.
        ingress_zones: Vec<Box<str>>,
    },

    /// Control to ingress: version of the deployment in force.
    DeploymentHead {
        /// The version.
        version: u64,
    },
    /// Ingress to control: asks for the deployment in force.
    FetchDeployment,
    /// Control to ingress: the deployment in force.
    Deployment {
        /// Version that the document carries.
        version: u64,
        /// The document as the operator sent it.
        document: ByteBuf,
    },
    /// Control to ingress or control: the latest word of targets.
    Registrations {
        /// Number that the answer repeats; 0 asks for none.
        push: u64,
        /// The registrations.
        records: Vec<Registration>,
    },
    /// Ingress to control: the registrations of this push are in force.
    RegistrationsSeen {
        /// Number of the push.
        push: u64,
    },
    /// Ingress to control: requests fail or stall at this address.
    Suspected {
        /// Address of the target.
        address: SocketAddr,
    },
}

/// Why a command has no answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub enum SubmitError {
    /// The command was not taken; it will never be committed.
    #[error("no leader with a quorum can be reached: {0}")]
    NotTaken(Box<str>),
    /// The command was taken, but its fate is not known.
    #[error("the command may have been committed: {0}")]
    Unknown(Box<str>),
}
