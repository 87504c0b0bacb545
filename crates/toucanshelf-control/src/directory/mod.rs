//! Directory of a platform's deployment and targets.
//!
//! [`calls`] serves the platform's API, [`ingresses`] sends updates to the ingress instances, and
//! [`reconciler`] places the layers of models on engines.
//!
//! The deployment is a versioned document with routes and services; it is stored in the replicated
//! log. A registration is the state that a target reports with each heartbeat. Registrations are
//! kept in memory only, because heartbeats soon restore them after a restart; those of targets that
//! leave, which may send no further heartbeat, are in the log as well. A suspicion is an ingress's
//! report that requests to a target fail or stall.

pub mod calls;
mod deployments;
pub(crate) mod findings;
pub mod ingress_addresses;
mod ingress_calls;
pub mod ingresses;
mod leaving;
mod loads;
pub mod orders;
pub mod reconciler;
pub mod refreshes;
mod services;
pub mod warm_up;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::{Semaphore, SemaphorePermit, watch};
use toucanshelf_core::crash::Finding;
use toucanshelf_core::deployment::Deployment;
use toucanshelf_core::deployment_patch::DeploymentPatch;
use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_core::registry::{Registry, RegistryChange};
use toucanshelf_core::state::DeploymentDocument;
use toucanshelf_link::dialect::Dialect;
use toucanshelf_link::frame::Frame;
use toucanshelf_routing::crash_ledger::CrashLedgers;
use toucanshelf_routing::permits::{Permit, PermitBucket, permit_rate};
use toucanshelf_runtime::connections::{Connections, descriptor_limit};
use toucanshelf_runtime::listen::{ListenLimits, listen};
use toucanshelf_runtime::serve::{ConnectionLimits, serve_bounded};

use crate::Shared;
use crate::settings::DeploymentSettings;
use ingress_addresses::IngressAddresses;
use ingresses::Ingresses;
use loads::ZoneCollectors;
use refreshes::Refreshes;

/// Maximum number of connections from targets and operators.
// See "Bounds of a control instance" in docs/CAPACITY.md.
const MAX_CONNECTIONS: usize = 2_304;
/// Maximum size of the headers of a call, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Size up to which bodies are decoded at the same time as others, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Time for which an ingress's suspicion of a target is kept, in milliseconds.
const SUSPICION_RETENTION_MS: u64 = 5_000;
/// Time after the last request for a permit for which a target's permits are counted.
///
/// In milliseconds.
const PERMIT_RETENTION_MS: u64 = 60_000;

/// Time without a request after which a connection from a target or operator closes.
///
/// Measured in heartbeat intervals.
// A target that sends every heartbeat here keeps its connection. One that has moved on to another
// instance frees the descriptor soon.
const IDLE_TIMEOUT_HEARTBEATS: u32 = 3;

/// State that a control instance keeps for the platform that it serves.
#[derive(Debug)]
pub struct Directory {
    /// Encoder and decoder for the platform's HTTP protocol.
    pub dialect: Arc<dyn Dialect>,
    /// Links to ingress instances.
    pub ingresses: Ingresses,
    /// Unchanged registrations that the other control instances have yet to receive.
    refreshes: Refreshes,
    registry: Mutex<Registry>,
    /// Departures and drains that this instance has sent to its ingresses, by the target's id.
    published: Mutex<BTreeMap<Box<str>, (Incarnation, Readiness)>>,
    /// Time of the latest suspicion of a target, by its address.
    ///
    /// In milliseconds since this instance started.
    suspicions: Mutex<BTreeMap<SocketAddr, u64>>,
    /// Ingresses that are or were linked to this or another instance.
    ingress_addresses: Mutex<IngressAddresses>,
    /// Findings of the ingresses about content that crashes targets.
    crash_ledgers: Mutex<CrashLedgers>,
    /// Permits for targets that have named a limit, by the target's id.
    permits: Mutex<BTreeMap<Box<str>, PermitBucket>>,
    /// Loads of engines that the ingresses report.
    loads: ZoneCollectors,
    /// Deployment that was decoded last, kept to avoid decoding the same version again.
    decoded_deployment: Mutex<Option<Arc<Deployment>>>,
    /// Whole document that was compressed last, for ingresses that have no earlier version.
    whole_document: Mutex<Option<Arc<DeploymentPatch>>>,
    /// Permit for a large body to be decoded, of which there is one.
    decoding: Semaphore,
    /// Expected interval between a target's heartbeats, in milliseconds.
    heartbeat_ms: u64,
    /// Weight of a shortage of slots on the first engines of routes.
    entry_weight: f64,
    started: Instant,
}

impl Directory {
    /// Creates a directory without registered targets.
    pub fn new(settings: &DeploymentSettings, dialect: Arc<dyn Dialect>) -> Self {
        Self {
            dialect,
            ingresses: Ingresses::new(),
            refreshes: Refreshes::new(),
            registry: Mutex::new(Registry::without_deployment()),
            published: Mutex::default(),
            suspicions: Mutex::default(),
            ingress_addresses: Mutex::default(),
            crash_ledgers: Mutex::default(),
            permits: Mutex::default(),
            loads: ZoneCollectors::default(),
            decoded_deployment: Mutex::default(),
            whole_document: Mutex::default(),
            decoding: Semaphore::new(1),
            heartbeat_ms: settings.heartbeat_ms,
            entry_weight: settings.entry_weight,
            started: Instant::now(),
        }
    }

    /// Waits until a body may be decoded; one large body is decoded at a time.
    ///
    /// Decoded, a body may take several times its size.
    pub(crate) async fn begin_decoding(&self, body: &[u8]) -> Option<SemaphorePermit<'_>> {
        if body.len() <= SMALL_BODY_BYTES {
            return None;
        }
        let permit = self.decoding.acquire().await;
        Some(permit.expect("the semaphore is never closed"))
    }

    /// Returns the time since this directory was created, in milliseconds.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Locks and returns the registry, which holds the latest registration of every target.
    pub fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().expect("no lock holder panics")
    }

    /// Applies target registrations that another control instance has forwarded.
    pub(crate) fn apply_forwarded(&self, records: Vec<Registration>) {
        for record in records {
            self.apply_registration(&record);
        }
    }

    /// Enters a target's registration into the registry and returns what it changed there.
    pub(crate) fn apply_registration(&self, record: &Registration) -> RegistryChange {
        let mut registry = self.registry();
        let change = registry.apply(record.clone(), self.now());
        if change == RegistryChange::Changed {
            let deployed = registry.is_deployed(record);
            drop(registry);
            tracing::info!(
                event = "TS2501",
                target_id = %record.id,
                incarnation = record.incarnation.0,
                sequence = record.sequence,
                service = %record.service,
                address = %record.address,
                accelerator = record.accelerator.as_deref(),
                readiness = ?record.readiness,
                layers = ?record.layers,
                deployed,
                "registration changed"
            );
        }
        change
    }

    /// Records that the linked ingresses had time to apply the state of a target that leaves.
    pub(crate) fn record_published(&self, record: &Registration) {
        let mut published = self.published.lock().expect("no lock holder panics");
        published.insert(record.id.clone(), (record.incarnation, record.readiness));
    }

    /// Returns whether [`Directory::record_published`] was called for this state of the target.
    pub(crate) fn is_published(&self, record: &Registration) -> bool {
        let published = self.published.lock().expect("no lock holder panics");
        published.get(&record.id) == Some(&(record.incarnation, record.readiness))
    }

    /// Records an ingress's report that requests to the target at `address` fail or stall.
    pub(crate) fn record_suspicion(&self, address: SocketAddr) {
        let mut suspicions = self.suspicions.lock().expect("no lock holder panics");
        suspicions.insert(address, self.now());
    }

    /// Returns when an ingress last suspected the target at `address`.
    ///
    /// In milliseconds since this instance started; `None` if no suspicion is stored.
    pub(crate) fn last_suspicion_ms(&self, address: SocketAddr) -> Option<u64> {
        let suspicions = self.suspicions.lock().expect("no lock holder panics");
        suspicions.get(&address).copied()
    }

    /// Locks and returns the addresses of the known ingresses.
    pub(crate) fn ingress_addresses(&self) -> MutexGuard<'_, IngressAddresses> {
        let addresses = self.ingress_addresses.lock();
        addresses.expect("no lock holder panics")
    }

    /// Records the addresses at which ingresses accept links, with the time since their last link.
    ///
    /// The time is in milliseconds.
    pub(crate) fn record_ingress_addresses(
        &self,
        links: impl IntoIterator<Item = (SocketAddr, u64)>,
    ) {
        let now = self.now();
        let mut addresses = self.ingress_addresses();
        for (address, last_linked_ms) in links {
            addresses.record(address, last_linked_ms, now);
        }
    }

    fn crash_ledgers(&self) -> MutexGuard<'_, CrashLedgers> {
        self.crash_ledgers.lock().expect("no lock holder panics")
    }

    /// Returns all findings about content that crashes targets.
    pub fn crash_findings(&self) -> Vec<Finding> {
        self.crash_ledgers().findings()
    }

    /// Adds findings of an ingress and returns those that were new.
    pub(crate) fn apply_findings(&self, mut findings: Vec<Finding>) -> Vec<Finding> {
        let now = self.now();
        let mut ledgers = self.crash_ledgers();
        findings.retain(|finding| ledgers.apply(now, finding));
        findings
    }

    /// Issues or denies a permit to send a request to a target with a limit of `rate` a second.
    pub(crate) fn issue_permit(&self, target: Box<str>, rate: f64) -> Permit {
        let now = self.now();
        let mut permits = self.permits.lock().expect("no lock holder panics");
        let bucket = permits
            .entry(target)
            .or_insert_with(|| PermitBucket::new(now, 1.0));
        bucket.ask(now, permit_rate(rate))
    }

    /// Removes expired suspicions and findings, and targets whose retention after leaving has ended.
    pub(crate) fn prune(&self) {
        let now = self.now();
        let mut registry = self.registry();
        registry.prune(now);
        let mut published = self.published.lock().expect("no lock holder panics");
        published.retain(|id, _| registry.get(id).is_some());
        drop((registry, published));
        self.crash_ledgers().prune(now);
        let mut permits = self.permits.lock().expect("no lock holder panics");
        permits.retain(|_, bucket| !bucket.is_unused(now, PERMIT_RETENTION_MS));
        drop(permits);
        let mut suspicions = self.suspicions.lock().expect("no lock holder panics");
        suspicions.retain(|_, time| now < *time + SUSPICION_RETENTION_MS);
    }

    /// Compresses a deployment document, or returns the cached result for the same version.
    pub(crate) fn whole_document(&self, document: &DeploymentDocument) -> Arc<DeploymentPatch> {
        let mut cached = self.whole_document.lock().expect("no lock holder panics");
        match cached.as_ref() {
            Some(patch) if patch.version == document.version => Arc::clone(patch),
            _ => {
                let patch = Arc::new(DeploymentPatch::new(None, document));
                *cached = Some(Arc::clone(&patch));
                patch
            }
        }
    }

    /// Decodes a deployment document, or returns the cached deployment of the same version.
    ///
    /// Returns `None` if the document cannot be decoded.
    pub(crate) fn decode(&self, document: &DeploymentDocument) -> Option<Arc<Deployment>> {
        let mut cached = self
            .decoded_deployment
            .lock()
            .expect("no lock holder panics");
        if let Some(deployment) = cached.as_ref()
            && deployment.version == document.version
        {
            return Some(Arc::clone(deployment));
        }
        match self.dialect.deployment(&document.bytes) {
            Ok(deployment) => {
                *cached = Some(Arc::new(deployment));
                cached.clone()
            }
            Err(e) => {
                tracing::error!(event = "TS2502", cause = %e, "failed to decode the stored deployment");
                None
            }
        }
    }
}

/// Returns the number of connections above which those that give way close.
///
/// While all others are in use, there may be a sixteenth more.
fn usual_connections(settings: &DeploymentSettings) -> usize {
    let descriptors = descriptor_limit().map_or(usize::MAX, |limit| limit / 4 * 3);
    let max = settings.max_connections().min(descriptors);
    let max = max.min(MAX_CONNECTIONS);
    (max - max / 17).max(1)
}

/// Starts the platform's API and background tasks, if the settings enable a platform.
///
/// Returns the listen address of the API.
pub(crate) fn start(shared: &Arc<Shared>) -> Result<Option<SocketAddr>, Box<str>> {
    let (Some(settings), Some(_)) = (&shared.settings.deployment, &shared.directory) else {
        return Ok(None);
    };
    let listener = listen(settings.listen, ListenLimits::CALLERS)?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let context = Arc::clone(shared);
    let limits = ConnectionLimits {
        max_head_bytes: MAX_HEAD_BYTES,
        idle_timeout: Duration::from_millis(settings.heartbeat_ms) * IDLE_TIMEOUT_HEARTBEATS,
    };
    let connections = Connections::with_excess(usual_connections(settings));
    let handler = move |req| calls::handle(Arc::clone(&context), req);
    tokio::spawn(async move {
        // The server stops when `_stop` is dropped, so this task keeps it until the process ends.
        // `_limits` is never used; without it, `limits_rx` would still hold the default limits.
        let (_limits, limits_rx) = watch::channel(limits);
        let (_stop, stop_rx) = watch::channel(false);
        serve_bounded(listener, limits_rx, connections, stop_rx, handler).await;
    });
    tokio::spawn(reconciler::run(Arc::clone(shared)));
    tokio::spawn(ingresses::announce(Arc::clone(shared)));
    tokio::spawn(ingress_calls::run(Arc::clone(shared)));
    tokio::spawn(findings::forward(Arc::clone(shared)));
    tokio::spawn(refreshes::forward(Arc::clone(shared)));
    tokio::spawn(services::follow_deployment(Arc::clone(shared)));
    tokio::spawn(leaving::follow_log(Arc::clone(shared)));
    tokio::spawn(leaving::begin_records(Arc::clone(shared)));
    tracing::info!(event = "TS2503", %address, "platform API started");
    Ok(Some(address))
}

/// Forwards target registrations to the other control instances, without acknowledgement.
pub(crate) fn forward_registrations(shared: &Shared, records: Vec<Registration>) {
    shared
        .peers
        .broadcast(&Frame::Registrations { push: 0, records });
}
