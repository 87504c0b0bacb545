//! Messages that toucanshelf processes exchange over links.

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

/// Version of the link protocol; peers with a different version are refused.
pub const PROTOCOL_VERSION: u32 = 2;

/// Random identifier of a replicated log, chosen when its first replica starts.
pub type LogId = u64;

/// Membership record of a target, which gates gossip among each other.
pub type TargetRecord = Record<Announcement>;

/// A message between two linked processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Frame {
    /// Keep-alive that prevents the idle timeout of the link.
    Ping,

    /// Gate to control: requests all configuration changes after `revision`.
    Watch {
        /// Log that the gate's configuration came from; `None` if it has no configuration.
        log: Option<LogId>,
        /// Revision that the gate currently uses.
        revision: Revision,
    },
    /// Gate to control: reports the revision that the gate now uses.
    InForce {
        /// Revision that the gate uses.
        revision: Revision,
    },
    /// Control to gate, or gate to gate: transfers the complete configuration.
    Configuration {
        /// Log that the configuration comes from.
        log: LogId,
        /// Complete configuration at one revision.
        snapshot: Snapshot,
    },
    /// Control to gate: transfers the next configuration changes.
    Deltas {
        /// Log that the changes come from.
        log: LogId,
        /// Changes, ordered by revision.
        deltas: Vec<Delta>,
    },
    /// Any process to any process: announces the highest revision that the sender knows.
    Head {
        /// Log that the revision belongs to.
        log: LogId,
        /// Highest revision that the sender knows.
        revision: Revision,
    },
    /// Gate to gate: requests the complete configuration.
    FetchConfiguration,

    /// Gate to control, or control to leader: requests the commit of a command.
    Submit {
        /// Identifier that the reply repeats.
        id: u64,
        /// Command to commit.
        body: CommandBody,
        /// Whether the receiver may forward the command to the leader.
        forward: bool,
    },
    /// Reply to [`Frame::Submit`].
    Submitted {
        /// Identifier from the [`Frame::Submit`] message.
        id: u64,
        /// Reply of the state machine, or the reason why there is none.
        result: Result<Reply, SubmitError>,
    },

    /// Gate to gate: announces the hash over all records of the sender.
    RecordsHash {
        /// Hash over all records.
        hash: u64,
    },
    /// Gate to gate: lists the digests of all records of the sender.
    RecordDigests {
        /// One digest for each record.
        digests: Vec<RecordDigest>,
        /// Whether the receiver must reply with its own digests.
        answer: bool,
    },
    /// Gate to gate: transfers records that the receiver may not have.
    Records {
        /// Records to merge into those of the receiver.
        records: Vec<TargetRecord>,
    },
    /// Gate to gate: reports a request that was in flight when targets were lost.
    Suspect {
        /// Fingerprint that identifies the request.
        fingerprint: u64,
        /// Name of the gate whose counts these are.
        gate: Box<str>,
        /// Version of the counts; it increases with each change.
        version: u32,
        /// Number of targets that this gate lost during attempts that had delivered no token.
        starting: u32,
        /// Number of targets that this gate lost during attempts that had delivered a token.
        streaming: u32,
    },

    /// Control to control: carries a message of the log replication protocol.
    Replica(replica::Message),
    /// Control to control: reports the log that the sender has stored.
    Standing {
        /// Identifier of the stored log; `None` if the sender has no stored log.
        log: Option<LogId>,
    },
    /// Control to control: announces the address at which the sender accepts links.
    Introduce {
        /// Link address of the sender.
        link: SocketAddr,
    },
    /// Control to control or ingress: announces control instances and ingress zones.
    Members {
        /// Link addresses of the control instances.
        links: Vec<SocketAddr>,
        /// Availability zones of the ingress instances that have a link to the sender.
        ingress_zones: Vec<Box<str>>,
    },

    /// Control to ingress: announces the version of the current deployment.
    DeploymentHead {
        /// Version of the current deployment.
        version: u64,
    },
    /// Ingress to control: requests the current deployment.
    FetchDeployment,
    /// Control to ingress: transfers the current deployment.
    Deployment {
        /// Version that is stated in the document.
        version: u64,
        /// Deployment document, unchanged from what the operator sent.
        document: ByteBuf,
    },
    /// Control to ingress or control: transfers the latest registrations of targets.
    Registrations {
        /// Identifier that the acknowledgement repeats; 0 requests no acknowledgement.
        push: u64,
        /// Registrations that the receiver applies.
        records: Vec<Registration>,
    },
    /// Ingress to control: acknowledges that the registrations of a push are in use.
    RegistrationsSeen {
        /// Identifier from the [`Frame::Registrations`] message.
        push: u64,
    },
    /// Ingress to control: reports a target at which requests fail or stall.
    Suspected {
        /// Address of the suspected target.
        address: SocketAddr,
    },
}

/// Reason why a command has no reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub enum SubmitError {
    /// The command was not accepted and will never be committed.
    #[error("no leader with a quorum can be reached: {0}")]
    NotTaken(Box<str>),
    /// The command was accepted, but it is unknown whether it was committed.
    #[error("the command may have been committed: {0}")]
    Unknown(Box<str>),
}
