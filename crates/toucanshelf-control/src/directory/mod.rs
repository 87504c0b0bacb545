//! Part of a control instance that serves a platform.
//!
//! [`calls`] takes the platform's calls, [`ingresses`] feeds the ingress instances, and
//! [`reconciler`] keeps the layers of models placed. The deployment lives in the replicated log;
//! registrations of targets are soft state that heartbeats rebuild.

pub mod calls;
pub mod ingresses;
pub mod orders;
pub mod reconciler;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::sync::watch;
use toucanshelf_core::deployment::Deployment;
use toucanshelf_core::registration::Registration;
use toucanshelf_core::registry::{Registry, RegistryChange};
use toucanshelf_core::state::DeploymentDocument;
use toucanshelf_link::dialect::Dialect;
use toucanshelf_link::frame::Frame;
use toucanshelf_runtime::serve::{ConnectionLimits, serve};

use crate::Parts;
use crate::settings::DeploymentSettings;
use ingresses::Ingresses;

/// Time for which a suspicion counts, in milliseconds.
const SUSPICION_MS: u64 = 5_000;

/// State of the part that serves a platform.
#[derive(Debug)]
pub struct Directory {
    /// Manner of speaking of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Links to ingress instances.
    pub ingresses: Ingresses,
    registry: Mutex<Registry>,
    /// Time of the latest suspicion against each address, in milliseconds.
    suspicions: Mutex<BTreeMap<SocketAddr, u64>>,
    decoded: Mutex<Option<Arc<Deployment>>>,
    heartbeat_ms: u64,
    started: Instant,
}

impl Directory {
    /// Creates the state before the first call.
    pub fn new(settings: &DeploymentSettings, dialect: Arc<dyn Dialect>) -> Self {
        Self {
            dialect,
            ingresses: Ingresses::new(),
            registry: Mutex::default(),
            suspicions: Mutex::default(),
            decoded: Mutex::default(),
            heartbeat_ms: settings.heartbeat_ms,
            started: Instant::now(),
        }
    }

    /// Milliseconds since this instance started.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Latest word of every target.
    pub fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().expect("no holder panics")
    }

    /// Takes words that another control instance passes on.
    pub(crate) fn hear(&self, records: Vec<Registration>) {
        for record in records {
            self.take(&record);
        }
    }

    /// Takes one word; returns what it changed.
    pub(crate) fn take(&self, record: &Registration) -> RegistryChange {
        let change = self.registry().apply(record.clone(), self.now());
        if change == RegistryChange::Changed {
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
                "registration changed"
            );
        }
        change
    }

    /// Notes that an ingress sees requests fail or stall at `address`.
    pub(crate) fn suspect(&self, address: SocketAddr) {
        let mut suspicions = self.suspicions.lock().expect("no holder panics");
        suspicions.insert(address, self.now());
    }

    /// Time of the latest suspicion against `address`, in milliseconds.
    pub(crate) fn suspected_at(&self, address: SocketAddr) -> Option<u64> {
        let suspicions = self.suspicions.lock().expect("no holder panics");
        suspicions.get(&address).copied()
    }

    /// Forgets what happened long ago.
    pub(crate) fn prune(&self) {
        let now = self.now();
        self.registry().prune(now);
        let mut suspicions = self.suspicions.lock().expect("no holder panics");
        suspicions.retain(|_, time| now < *time + SUSPICION_MS);
    }

    /// The deployment in `document`, decoded once a version.
    pub(crate) fn decode(&self, document: &DeploymentDocument) -> Option<Arc<Deployment>> {
        let mut decoded = self.decoded.lock().expect("no holder panics");
        if let Some(deployment) = decoded.as_ref()
            && deployment.version == document.version
        {
            return Some(Arc::clone(deployment));
        }
        match self.dialect.deployment(&document.bytes) {
            Ok(deployment) => {
                *decoded = Some(Arc::new(deployment));
                decoded.clone()
            }
            Err(e) => {
                tracing::error!(event = "TS2502", cause = %e, "stored deployment is unreadable");
                None
            }
        }
    }
}

/// Starts serving the platform, where the settings ask for it.
///
/// Returns the address of the platform's calls.
pub(crate) async fn start(parts: &Arc<Parts>) -> Result<Option<SocketAddr>, Box<str>> {
    let (Some(settings), Some(_)) = (&parts.settings.deployment, &parts.directory) else {
        return Ok(None);
    };
    let listen = settings.listen;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|e| format!("listening on {listen}: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let context = Arc::clone(parts);
    let handler = move |req| calls::handle(Arc::clone(&context), req);
    tokio::spawn(async move {
        // Both senders live as long as the listener, which ends with the process.
        let (_limits, limits_rx) = watch::channel(ConnectionLimits::default());
        let (_stop, stop_rx) = watch::channel(false);
        serve(listener, limits_rx, stop_rx, handler).await;
    });
    tokio::spawn(reconciler::run(Arc::clone(parts)));
    tokio::spawn(ingresses::announce(Arc::clone(parts)));
    tracing::info!(event = "TS2503", %address, "platform calls are served");
    Ok(Some(address))
}

/// Passes words on to the other control instances.
pub(crate) fn gossip(parts: &Parts, records: Vec<Registration>) {
    parts
        .peers
        .broadcast(&Frame::Registrations { push: 0, records });
}
