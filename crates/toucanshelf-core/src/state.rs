//! Replicated state machine of the control instances.
//!
//! The state consists of the configuration, the verdicts on tickets, the claims, the deployment and the
//! targets that leave.
//! A ticket is a numbered change of the configuration, and its verdict says whether it took effect.
//! A claim reserves an idempotency key, so that a call runs at most once. A deployment is a
//! document with routes, services and organisations.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::claim::{ClaimCommand, ClaimKey, ClaimReply, Claims};
use crate::configuration::{Configuration, Delta, Snapshot};
use crate::deployment_patch::DeploymentPatch;
use crate::ids::{LogTimeMs, Revision, TicketNumber};
use crate::leaving::LeavingTargets;
use crate::registration::Registration;
use crate::ticket::{Ticket, TicketRecord, Verdict};

/// Maximum number of configuration deltas kept for gates that lag behind.
///
/// A gate that lags further behind receives a snapshot of the configuration.
pub const MAX_RETAINED_DELTAS: usize = 4_096;
/// Maximum number of deployment patches kept for ingresses that lag behind.
///
/// An ingress that lags further behind receives the whole document.
pub const MAX_RETAINED_PATCHES: usize = 256;
/// Maximum total size of the deployment patches kept, in bytes.
pub const MAX_RETAINED_PATCH_BYTES: usize = 1024 * 1024;

/// A command in the replicated log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Command {
    /// Leader's time when it accepted the command.
    ///
    /// It can be earlier than that of the previous command if a new leader's clock lags.
    /// [`ControlState`] then keeps the later time.
    pub at: LogTimeMs,
    /// Operation to perform.
    pub body: CommandBody,
}

/// Operation of a [`Command`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CommandBody {
    /// Submits a ticket for a verdict.
    Ticket(Box<Ticket>),
    /// Sets the identity of the replicated log if it has none yet.
    Found {
        /// Proposed identity of the log.
        log: u64,
    },
    /// Reads the record of a ticket at this command's position in the log.
    ///
    /// The result reflects all earlier commands, whereas the local state of a lagging instance may
    /// lack the verdict.
    Lookup {
        /// Number of the ticket.
        number: TicketNumber,
    },
    /// Acquires, records, releases or abandons a claim.
    Claim {
        /// Key of the claim.
        key: ClaimKey,
        /// Change to make to the claim.
        command: ClaimCommand,
    },
    /// Replaces the deployment if the new version is higher than the current one.
    Deploy {
        /// Version stated in the deployment document.
        version: u64,
        /// Deployment document, exactly as the operator sent it.
        document: ByteBuf,
    },
    /// Replaces the deployment, like [`CommandBody::Deploy`], by a patch of the current document.
    ///
    /// A patch of a document that is no longer the current one changes nothing; the reply then has
    /// a lower version than the patch. Older programs cannot read this command.
    DeployPatch(DeploymentPatch),
    /// Reads the version of the deployment at this command's position in the log.
    ///
    /// The result reflects all earlier commands, whereas the local state of a lagging instance may
    /// hold an older version.
    DeploymentVersion,
    /// Records departures and drains of targets, so that they can be acknowledged.
    ///
    /// Older programs cannot read this command. Without any target, it tells that all replicas can.
    RecordLeaving {
        /// Registrations of the targets that leave.
        records: Vec<Registration>,
    },
}

/// Result of applying a [`Command`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// Verdict on a submitted ticket.
    Verdict(Verdict),
    /// Result of a claim command.
    Claim(ClaimReply),
    /// Record of a ticket; `None` if no content was committed under the number.
    Ticket(Option<TicketRecord>),
    /// Identity of the log, set by this command or an earlier one.
    Found(u64),
    /// Version of the current deployment; `None` before the first one.
    Deployment(Option<u64>),
    /// Departures or drains of targets are recorded.
    LeavingRecorded,
}

/// Current deployment document and its version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DeploymentDocument {
    /// Version stated in the deployment document.
    pub version: u64,
    /// Deployment document, exactly as the operator sent it.
    pub bytes: ByteBuf,
}

/// State of a control instance after applying a prefix of the replicated log.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    log: Option<u64>,
    configuration: Configuration,
    verdicts: BTreeMap<TicketNumber, TicketRecord>,
    claims: Claims,
    deployment: Option<Arc<DeploymentDocument>>,
    /// Latest changes of the deployment, of which each applies to the result of the previous one.
    ///
    /// The first may be one without a base. A snapshot does not include them.
    patches: VecDeque<Arc<DeploymentPatch>>,
    /// Targets that leave; `None` until the first command that records them.
    leaving: Option<LeavingTargets>,
    now: LogTimeMs,
    deltas: VecDeque<Delta>,
}

/// Stored form of a [`ControlState`] in snapshots of the log.
#[derive(Deserialize, Serialize)]
struct EncodedState {
    log: Option<u64>,
    configuration: Snapshot,
    verdicts: Vec<TicketRecord>,
    claims: Vec<u8>,
    #[serde(default)]
    deployment: Option<DeploymentDocument>,
    #[serde(default)]
    leaving: Option<LeavingTargets>,
    now: LogTimeMs,
}

/// Error from decoding a snapshot of the control state.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("cannot decode the snapshot of the control state: {0}")]
pub struct SnapshotError(Box<str>);

impl ControlState {
    /// Creates the empty state that precedes the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one command and returns its result.
    pub fn apply(&mut self, command: Command) -> Reply {
        self.now = self.now.max(command.at);
        if let Some(leaving) = &mut self.leaving {
            leaving.prune(self.now);
        }
        match command.body {
            CommandBody::Ticket(ticket) => Reply::Verdict(self.apply_ticket(&ticket)),
            CommandBody::Found { log } => Reply::Found(*self.log.get_or_insert(log)),
            CommandBody::Lookup { number } => Reply::Ticket(self.ticket(number).cloned()),
            CommandBody::Claim { key, command } => {
                Reply::Claim(self.claims.apply(self.now, &key, command))
            }
            CommandBody::Deploy { version, document } => {
                self.apply_deployment(version, document);
                Reply::Deployment(self.deployment_version())
            }
            CommandBody::DeployPatch(patch) => {
                self.apply_patch(patch);
                Reply::Deployment(self.deployment_version())
            }
            CommandBody::DeploymentVersion => Reply::Deployment(self.deployment_version()),
            CommandBody::RecordLeaving { records } => {
                let leaving = self.leaving.get_or_insert_default();
                for record in records {
                    leaving.record(record, self.now);
                }
                Reply::LeavingRecorded
            }
        }
    }

    fn apply_deployment(&mut self, version: u64, bytes: ByteBuf) {
        if self
            .deployment_version()
            .is_none_or(|current| version > current)
        {
            self.deployment = Some(Arc::new(DeploymentDocument { version, bytes }));
            self.patches.clear();
        }
    }

    fn apply_patch(&mut self, patch: DeploymentPatch) {
        let current = self.deployment_version();
        if current.is_some_and(|current| current >= patch.version) {
            return;
        }
        // All replicas fail alike, and the reply tells the submitter.
        let Ok(document) = patch.apply(self.deployment.as_deref()) else {
            return;
        };
        self.deployment = Some(Arc::new(document));
        if patch.base.is_none() {
            self.patches.clear();
        }
        self.patches.push_back(Arc::new(patch));
        let mut bytes: usize = self.patches.iter().map(|patch| patch.bytes.len()).sum();
        while self.patches.len() > MAX_RETAINED_PATCHES || bytes > MAX_RETAINED_PATCH_BYTES {
            let dropped = self.patches.pop_front();
            bytes -= dropped.map_or(0, |patch| patch.bytes.len());
        }
    }

    fn apply_ticket(&mut self, ticket: &Ticket) -> Verdict {
        let digest = ticket.digest();
        if let Some(first) = self.verdicts.get(&ticket.number) {
            if first.digest == digest {
                return first.verdict.clone();
            }
            return Verdict::Conflict {
                winner: Box::new(first.clone()),
            };
        }
        let by = self.configuration.newer_changes(ticket);
        let verdict = if by.is_empty() {
            let problems = self.configuration.validation_errors(ticket);
            if !problems.is_empty() {
                return Verdict::Invalid { problems };
            }
            let delta = self.configuration.commit(ticket);
            let revision = delta.revision;
            self.retain_delta(delta);
            Verdict::Applied { revision }
        } else {
            Verdict::Superseded { by }
        };
        let operator = ticket.operator.clone();
        let number = ticket.number;
        let record = TicketRecord {
            number,
            operator,
            digest,
            verdict: verdict.clone(),
        };
        self.verdicts.insert(number, record);
        verdict
    }

    fn retain_delta(&mut self, delta: Delta) {
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_RETAINED_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// Returns the identity of the log, or `None` before a leader has set it.
    pub fn log(&self) -> Option<u64> {
        self.log
    }

    /// Returns the current configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the current deployment document.
    pub fn deployment(&self) -> Option<&Arc<DeploymentDocument>> {
        self.deployment.as_ref()
    }

    /// Returns the version of the current deployment.
    pub fn deployment_version(&self) -> Option<u64> {
        self.deployment.as_ref().map(|document| document.version)
    }

    /// Returns the patches that lead from `version` to the current deployment.
    ///
    /// Returns `None` if some of them are not kept, or if the deployment is not newer.
    pub fn patches_after(&self, version: u64) -> Option<Vec<Arc<DeploymentPatch>>> {
        let mut patches = self.patches.iter();
        let first = patches.position(|patch| patch.base == Some(version))?;
        Some(self.patches.iter().skip(first).cloned().collect())
    }

    /// Returns the targets that leave, or `None` before the first command that records them.
    pub fn leaving(&self) -> Option<&LeavingTargets> {
        self.leaving.as_ref()
    }

    /// Returns the stored claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the record of the first content committed under a ticket number.
    pub fn ticket(&self, number: TicketNumber) -> Option<&TicketRecord> {
        self.verdicts.get(&number)
    }

    /// Returns the records of all tickets with a stored verdict, ordered by number.
    pub fn tickets(&self) -> impl Iterator<Item = &TicketRecord> {
        self.verdicts.values()
    }

    /// Returns the configuration deltas after `revision`, or `None` if some are not kept.
    ///
    /// The result is also `None` if `revision` is newer than the current revision.
    pub fn deltas_after(&self, revision: Revision) -> Option<Vec<Delta>> {
        let needed = self.configuration.revision().0.checked_sub(revision.0)?;
        let retained = self.deltas.len() as u64;
        let skip = retained.checked_sub(needed)?;
        Some(self.deltas.iter().skip(skip as usize).cloned().collect())
    }

    /// Encodes the state for a snapshot of the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        let encoded = EncodedState {
            log: self.log,
            configuration: self.configuration.snapshot(),
            verdicts: self.verdicts.values().cloned().collect(),
            claims: encode(&self.claims),
            deployment: self.deployment.as_deref().cloned(),
            leaving: self.leaving.clone(),
            now: self.now,
        };
        encode(&encoded)
    }

    /// Decodes the state from a snapshot of the log.
    ///
    /// # Errors
    ///
    /// Fails if the bytes were not written by [`Self::to_bytes`].
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let encoded: EncodedState = decode(bytes)?;
        let verdicts = encoded
            .verdicts
            .into_iter()
            .map(|record| (record.number, record));
        Ok(Self {
            log: encoded.log,
            configuration: Configuration::with_snapshot(encoded.configuration),
            verdicts: verdicts.collect(),
            claims: decode(&encoded.claims)?,
            deployment: encoded.deployment.map(Arc::new),
            patches: VecDeque::new(),
            leaving: encoded.leaving,
            now: encoded.now,
            deltas: VecDeque::new(),
        })
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("the state is always serialisable");
    buf
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, SnapshotError> {
    ciborium::from_reader(bytes).map_err(|e| SnapshotError(e.to_string().into()))
}
