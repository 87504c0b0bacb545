//! Messages that toucanshelf processes exchange over links.
//!
//! The control instances hold the configuration in a replicated log, and its revision is the number
//! of changes applied to it. A target is a back end. A deployment is a versioned document with the
//! routes and services of a platform. A push is one transfer of target registrations.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use toucanshelf_coordination::membership::{Record, RecordDigest};
use toucanshelf_coordination::replica;
use toucanshelf_core::configuration::{Delta, Snapshot};
use toucanshelf_core::crash::Finding;
use toucanshelf_core::deployment_patch::DeploymentPatch;
use toucanshelf_core::ids::Revision;
use toucanshelf_core::registration::Registration;
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_core::target::Announcement;

/// Version of the link protocol; links to peers with another version are refused.
pub const PROTOCOL_VERSION: u32 = 2;

/// Random identifier of a replicated log, chosen by the log's first leader.
pub type LogId = u64;

/// State of a target as known to a gate, exchanged by gossip.
pub type TargetRecord = Record<Announcement>;

/// A message between two linked processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Frame {
    /// Any process to any process: prevents the idle timeout of the link.
    Ping,

    /// Gate to control: subscribes to all configuration changes after `revision`.
    Watch {
        /// Replicated log that the gate's configuration came from; `None` if it has none.
        log: Option<LogId>,
        /// Revision of the configuration that the gate uses; 0 if it has none.
        revision: Revision,
    },
    /// Gate to control: reports that the gate now uses a newer configuration.
    InForce {
        /// Revision of the configuration that the gate now uses.
        revision: Revision,
    },
    /// Control to gate, or gate to gate: transfers the complete configuration.
    Configuration {
        /// Replicated log that the configuration comes from.
        log: LogId,
        /// Copy of the complete configuration and its revision.
        snapshot: Snapshot,
    },
    /// Control to gate: transfers the changes that follow the gate's configuration.
    Deltas {
        /// Replicated log that the changes come from.
        log: LogId,
        /// Changes of the configuration, ordered by revision.
        deltas: Vec<Delta>,
    },
    /// Control or gate to gate: announces the latest configuration that the sender knows.
    Head {
        /// Replicated log that the configuration comes from.
        log: LogId,
        /// Highest revision of the configuration that the sender knows.
        revision: Revision,
    },
    /// Gate to gate: requests a [`Frame::Configuration`].
    FetchConfiguration,

    /// Gate to control, or control to leader: submits a command to the replicated log.
    Submit {
        /// Number of the submission, which the reply repeats.
        id: u64,
        /// Command to commit to the replicated log.
        body: CommandBody,
        /// Whether a receiver that does not lead may forward the command to the leader.
        forward: bool,
    },
    /// Control to gate or control: replies to [`Frame::Submit`].
    Submitted {
        /// Number of the submission, from the [`Frame::Submit`] message.
        id: u64,
        /// Reply of the replicated state machine, or the reason why there is none.
        result: Result<Reply, SubmitError>,
    },

    /// Gate to gate: announces a hash over all target records of the sender.
    ///
    /// A receiver whose hash differs compares its records with those of the sender.
    RecordsHash {
        /// Hash over all target records of the sender.
        hash: u64,
    },
    /// Gate to gate: lists the digests of all target records of the sender.
    RecordDigests {
        /// Name, incarnation, version and hash of each target record of the sender.
        digests: Vec<RecordDigest>,
        /// Whether the receiver must reply with its own digests.
        answer: bool,
    },
    /// Gate to gate: transfers target records that the receiver may lack.
    Records {
        /// Target records that the receiver merges into its own.
        records: Vec<TargetRecord>,
    },
    /// Gate to gate: reports a request during which targets were lost.
    ///
    /// The request is suspected of crashing them. The counts are those of one gate.
    Suspect {
        /// Hash of the request's model and prompt, which identifies it at every gate.
        fingerprint: u64,
        /// Name of the gate that counted the lost targets.
        gate: Box<str>,
        /// Version of `starting` and `streaming`, which increases whenever the gate changes either.
        version: u32,
        /// Number of targets lost in the request's attempts that had not yet delivered a token.
        starting: u32,
        /// Number of targets lost in the request's attempts that had already delivered a token.
        streaming: u32,
    },

    /// Control to control: carries a message of the log replication protocol.
    Replica(replica::Message),
    /// Control to control: reports which replicated log the sender has.
    Standing {
        /// Id of the sender's log; `None` if the sender does not know one yet.
        log: Option<LogId>,
        /// Whether the sender can read [`CommandBody::DeployPatch`], which older programs can't.
        #[serde(default)]
        reads_patches: bool,
        /// Whether the sender accepts [`Frame::IngressAddresses`], which older programs don't know.
        #[serde(default)]
        calls_ingresses: bool,
        /// Whether the sender accepts [`Frame::CrashFindings`] of other control instances.
        ///
        /// Older programs ignore them.
        #[serde(default)]
        accepts_findings: bool,
        /// Whether the sender accepts [`Frame::Leaving`], which older programs don't know.
        #[serde(default)]
        accepts_departures: bool,
        /// Whether the sender can read [`CommandBody::RecordLeaving`], which older programs can't.
        #[serde(default)]
        reads_leaving: bool,
    },
    /// Control to control: announces that the sender's process is about to stop.
    ///
    /// The leader may let another replica vote in place of the sender's.
    Leaving,
    /// Control to control: announces the address at which the sender accepts links.
    Introduce {
        /// Address at which the sender accepts links.
        link: SocketAddr,
    },
    /// Control to control or ingress: announces control instances and ingress zones.
    Members {
        /// Addresses at which the known control instances accept links.
        links: Vec<SocketAddr>,
        /// Availability zones of the ingress instances that have a link to the sender.
        ingress_zones: Vec<Box<str>>,
        /// Whether the sender accepts [`Frame::CrashFindings`], which older programs don't know.
        #[serde(default)]
        accepts_findings: bool,
        /// Whether the sender accepts [`Frame::AskPermit`], which older programs don't know.
        #[serde(default)]
        issues_permits: bool,
        /// Whether the sender accepts [`Frame::FetchPatches`] and [`Frame::DeploymentInForce`].
        ///
        /// Older programs don't know them.
        #[serde(default)]
        sends_patches: bool,
        /// Whether the sender accepts [`Frame::RelayStatus`] and [`Frame::AskRelays`].
        ///
        /// Older programs don't know them.
        #[serde(default)]
        lists_relays: bool,
        /// Whether the sender accepts [`Frame::WatchCounts`] and [`Frame::WantFindings`].
        ///
        /// Older programs don't know them.
        #[serde(default)]
        accepts_subscriptions: bool,
        /// Whether the sender accepts [`Frame::IngressAddress`], which older programs don't know.
        #[serde(default)]
        calls_ingresses: bool,
        /// Whether the sender hears a leader, so that it learns of new deployments.
        ///
        /// Older programs don't tell, and count as hearing one.
        #[serde(default = "hears_leader")]
        hears_leader: bool,
        /// Whether the sender asks for all findings that the receiver knows.
        ///
        /// Otherwise the receiver sends those that it has made itself.
        #[serde(default)]
        wants_all_findings: bool,
        /// Whether the sender accepts [`Frame::LoadReport`], which older programs don't know.
        #[serde(default)]
        collects_loads: bool,
    },
    /// Ingress to control: announces the address at which the sender accepts links.
    IngressAddress {
        /// Address at which the sender accepts links.
        link: SocketAddr,
    },
    /// Control to control or ingress: lists ingresses that are or were linked to the sender.
    IngressAddresses {
        /// Time since the last link of each ingress in milliseconds, by the address at which it accepts
        /// links.
        last_linked_ms: BTreeMap<SocketAddr, u64>,
    },
    /// Control or ingress to an ingress, on a link to it: names control instances that run now.
    ControlInstances {
        /// Addresses at which the control instances accept links.
        links: Vec<SocketAddr>,
    },
    /// Ingress to control: asks for [`Frame::MemberCounts`] in place of [`Frame::Members`].
    WatchCounts,
    /// Control to ingress: announces control instances and the number of ingresses in each zone.
    MemberCounts {
        /// Addresses at which the known control instances accept links.
        links: Vec<SocketAddr>,
        /// Availability zones with the number of ingress instances there that are linked to the sender.
        ingresses: BTreeMap<Box<str>, u32>,
        /// Whether the sender hears a leader; see [`Frame::Members`].
        #[serde(default = "hears_leader")]
        hears_leader: bool,
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
        /// Version of the deployment, as stated in the document.
        version: u64,
        /// Deployment document, exactly as the operator sent it.
        document: ByteBuf,
    },
    /// Ingress to control: requests the changes of the deployment since a version.
    FetchPatches {
        /// Version that the ingress has; `None` requests the whole document.
        known: Option<u64>,
        /// Version that the answer must reach; the receiver waits until it has applied it.
        wanted: u64,
    },
    /// Control to ingress: transfers changes of the deployment, ordered by version.
    ///
    /// The first applies to the version that the ingress has, or is a whole document.
    DeploymentPatches {
        /// Changes, of which each applies to the result of the previous one.
        patches: Vec<Arc<DeploymentPatch>>,
    },
    /// Ingress to control: reports the version of the deployment that it now uses.
    DeploymentInForce {
        /// Version of the deployment.
        version: u64,
    },
    /// Control to ingress or control: transfers registrations of targets.
    ///
    /// A registration is the state that a target reports with each heartbeat.
    Registrations {
        /// Number of the push, which the acknowledgement repeats.
        ///
        /// 0 means that the sender waits for no acknowledgement.
        push: u64,
        /// Target registrations that the receiver applies.
        records: Vec<Registration>,
    },
    /// Ingress to control: acknowledges that it uses the registrations of a push.
    RegistrationsSeen {
        /// Number of the push, from the [`Frame::Registrations`] message.
        push: u64,
    },
    /// Ingress or control to control, or control to ingress: shares findings about content of requests.
    ///
    /// An ingress sends its own findings when it opens a link, or all that it knows if control asks
    /// for them. Control replies with all findings that it knows, and then forwards those of the
    /// other ingresses. A control instance sends all findings on a link that it opens to another,
    /// and then forwards those of its ingresses.
    CrashFindings {
        /// Findings that the receiver adds to its own.
        findings: Vec<Finding>,
    },
    /// Ingress to control: tells whether the sender wants the findings of other ingresses.
    ///
    /// An ingress wants them from one control instance. That one replies with all findings.
    WantFindings {
        /// Whether findings are wanted.
        wanted: bool,
    },
    /// Ingress to control: asks whether a request may be sent to a target that has named a limit.
    AskPermit {
        /// Number of the question, which the answer repeats.
        id: u64,
        /// Identity of the target.
        target: Box<str>,
        /// Limit of the target, in requests a second.
        rate: f64,
    },
    /// Control to ingress: answers [`Frame::AskPermit`].
    Permit {
        /// Number of the question.
        id: u64,
        /// Time after which the ingress may ask again, in milliseconds; `None` for a permit.
        wait_ms: Option<u64>,
    },
    /// Ingress to control: reports the requests of the sender at the engines of a zone.
    LoadReport {
        /// Availability zone of the engines.
        zone: Box<str>,
        /// Number of the report among those of the sender for the zone, counted from 1.
        sequence: u32,
        /// Encoded page of loads.
        entries: ByteBuf,
    },
    /// Control to ingress: answers [`Frame::LoadReport`] with the sums over all ingresses.
    ZoneLoads {
        /// Availability zone of the engines.
        zone: Box<str>,
        /// Number of the receiver's latest report that the sums include; 0 if they include none.
        sequence_seen: u32,
        /// Encoded page of loads.
        entries: ByteBuf,
    },
    /// Ingress to control: tells whether other ingresses may send it their requests.
    RelayStatus {
        /// Address at which the sender accepts requests of other ingresses.
        address: SocketAddr,
        /// Whether it reaches targets and isn't stopping.
        available: bool,
    },
    /// Ingress to control: requests addresses of ingresses that reach targets.
    AskRelays,
    /// Control to ingress: answers [`Frame::AskRelays`].
    Relays {
        /// Addresses at which available ingresses accept requests of other ingresses.
        addresses: Vec<SocketAddr>,
    },
    /// Ingress to control: reports a target at which requests fail or stall.
    Suspected {
        /// Address of the target at which requests fail or stall.
        address: SocketAddr,
    },
}

fn hears_leader() -> bool {
    true
}

/// Reason why a submitted command has no reply from the state machine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub enum SubmitError {
    /// The command was not accepted into the replicated log and will never be committed.
    #[error("no leader with a quorum can be reached: {0}")]
    NotTaken(Box<str>),
    /// It is unknown whether the command was or will be committed.
    #[error("the command may have been committed: {0}")]
    Unknown(Box<str>),
}
