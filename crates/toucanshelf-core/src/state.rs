//! The replicated state: configuration, verdicts and claims.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::claim::{ClaimCommand, ClaimKey, ClaimReply, Claims};
use crate::configuration::{Configuration, Delta, Snapshot};
use crate::ids::{LogTimeMs, Revision, TicketNumber};
use crate::ticket::{Ticket, TicketRecord, Verdict};

/// Deltas kept for gates that come back; older gates get a snapshot.
pub const DELTAS_KEPT: usize = 4_096;

/// An entry of the replicated log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Command {
    /// Time at the leader when it took the command; never goes back within the log.
    pub at: LogTimeMs,
    /// What to do.
    pub body: CommandBody,
}

/// What a [`Command`] does.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CommandBody {
    /// Puts a ticket in force.
    Ticket(Box<Ticket>),
    /// Names the log; the first name stays.
    Found {
        /// Identity of the log.
        log: u64,
    },
    /// Asks for the verdict on a ticket number, in the order of the log.
    Lookup {
        /// Number of the ticket.
        number: TicketNumber,
    },
    /// Changes a claim.
    Claim {
        /// Which claim.
        key: ClaimKey,
        /// What to change.
        command: ClaimCommand,
    },
    /// Replaces the deployment if the version is higher than the one in force.
    Deploy {
        /// Version that the document carries.
        version: u64,
        /// The document as the operator sent it.
        document: ByteBuf,
    },
    /// Asks for the version of the deployment, in the order of the log.
    DeploymentVersion,
}

/// Answer to a [`Command`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// Verdict on a ticket.
    Verdict(Verdict),
    /// Answer to a claim command.
    Claim(ClaimReply),
    /// First content under a ticket number, where there is one.
    Ticket(Option<TicketRecord>),
    /// Identity of the log.
    Found(u64),
    /// Version of the deployment in force; none before the first.
    Deployment(Option<u64>),
}

/// Document of the deployment in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DeploymentDocument {
    /// Version that the document carries.
    pub version: u64,
    /// The document as the operator sent it.
    pub bytes: ByteBuf,
}

/// Configuration, verdicts and claims after a prefix of the log.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    log: Option<u64>,
    configuration: Configuration,
    verdicts: BTreeMap<TicketNumber, TicketRecord>,
    claims: Claims,
    deployment: Option<Arc<DeploymentDocument>>,
    now: LogTimeMs,
    deltas: VecDeque<Delta>,
}

#[derive(Deserialize, Serialize)]
struct StateImage {
    log: Option<u64>,
    configuration: Snapshot,
    verdicts: Vec<TicketRecord>,
    claims: Vec<u8>,
    #[serde(default)]
    deployment: Option<DeploymentDocument>,
    now: LogTimeMs,
}

/// A snapshot that can't be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("reading the snapshot of the control state: {0}")]
pub struct BadSnapshot(Box<str>);

impl ControlState {
    /// Creates the state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one command.
    pub fn apply(&mut self, command: Command) -> Reply {
        self.now = self.now.max(command.at);
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
            CommandBody::DeploymentVersion => Reply::Deployment(self.deployment_version()),
        }
    }

    fn apply_deployment(&mut self, version: u64, bytes: ByteBuf) {
        if self.deployment_version().is_none_or(|own| version > own) {
            self.deployment = Some(Arc::new(DeploymentDocument { version, bytes }));
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
        let by = self.configuration.newer_touches(ticket);
        let verdict = if by.is_empty() {
            let problems = self.configuration.problems(ticket);
            if !problems.is_empty() {
                return Verdict::Invalid { problems };
            }
            let delta = self.configuration.commit(ticket);
            let revision = delta.revision;
            self.keep_delta(delta);
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

    fn keep_delta(&mut self, delta: Delta) {
        self.deltas.push_back(delta);
        if self.deltas.len() > DELTAS_KEPT {
            self.deltas.pop_front();
        }
    }

    /// Identity of the log, once its first leader has named it.
    pub fn log(&self) -> Option<u64> {
        self.log
    }

    /// Configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Document of the deployment in force.
    pub fn deployment(&self) -> Option<&Arc<DeploymentDocument>> {
        self.deployment.as_ref()
    }

    /// Version of the deployment in force.
    pub fn deployment_version(&self) -> Option<u64> {
        self.deployment.as_ref().map(|document| document.version)
    }

    /// Claims kept.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// First content under a ticket number, with its verdict.
    pub fn ticket(&self, number: TicketNumber) -> Option<&TicketRecord> {
        self.verdicts.get(&number)
    }

    /// All tickets with a verdict, in order of their numbers.
    pub fn tickets(&self) -> impl Iterator<Item = &TicketRecord> {
        self.verdicts.values()
    }

    /// Deltas after `revision`, or none when some of them are no longer kept.
    pub fn deltas_after(&self, revision: Revision) -> Option<Vec<Delta>> {
        let missing = self.configuration.revision().0.checked_sub(revision.0)?;
        let kept = self.deltas.len() as u64;
        let skip = kept.checked_sub(missing)?;
        Some(self.deltas.iter().skip(skip as usize).cloned().collect())
    }

    /// Writes the state for a log snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        let image = StateImage {
            log: self.log,
            configuration: self.configuration.snapshot(),
            verdicts: self.verdicts.values().cloned().collect(),
            claims: encode(&self.claims),
            deployment: self.deployment.as_deref().cloned(),
            now: self.now,
        };
        encode(&image)
    }

    /// Reads the state from a log snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a snapshot written by [`Self::to_bytes`].
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, BadSnapshot> {
        let image: StateImage = decode(bytes)?;
        let verdicts = image
            .verdicts
            .into_iter()
            .map(|record| (record.number, record));
        Ok(Self {
            log: image.log,
            configuration: Configuration::with_snapshot(image.configuration),
            verdicts: verdicts.collect(),
            claims: decode(&image.claims)?,
            deployment: image.deployment.map(Arc::new),
            now: image.now,
            deltas: VecDeque::new(),
        })
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("the state is always serialisable");
    buf
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, BadSnapshot> {
    ciborium::from_reader(bytes).map_err(|e| BadSnapshot(e.to_string().into()))
}
