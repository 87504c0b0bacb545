//! Fetches new versions of the deployment from the control instances.
//!
//! Control instances announce versions over their links. The ingress requests the changes since its
//! own version from one instance at a time, and turns to the next one if no answer comes. Each
//! ingress prefers another instance, so that the transfers are spread over all of them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};
use toucanshelf_core::deployment_patch::{DeploymentPatch, PatchError};
use toucanshelf_core::state::DeploymentDocument;
use toucanshelf_link::frame::Frame;

use crate::shared::Shared;

/// Time without an answer after which another instance is asked.
///
/// It doubles with each request, up to [`MAX_FETCH_TIMEOUT`].
const FETCH_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time without an answer after which another instance is asked.
const MAX_FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// A control instance from which the deployment can be fetched.
#[derive(Clone, Debug)]
pub struct DeploymentSource {
    /// Address of the control instance.
    pub address: SocketAddr,
    /// Sending end of the link to it.
    pub tx: mpsc::Sender<Frame>,
    /// Whether it sends changes, rather than only whole documents.
    pub sends_patches: bool,
}

/// Documents and versions of the deployment that this ingress knows.
#[derive(Debug)]
pub struct Deployments {
    /// Document of the active deployment, to which the next changes apply.
    document: Mutex<Option<Arc<DeploymentDocument>>>,
    /// Highest version that a control instance has announced.
    announced: watch::Sender<Option<u64>>,
    /// Version of the active deployment.
    installed: watch::Sender<Option<u64>>,
    /// Highest version by which a relay has handled a request; 0 if there is none.
    relayed: AtomicU64,
    requested_at: Mutex<Option<Instant>>,
}

impl Deployments {
    /// Creates the state of an ingress that has no deployment yet.
    pub fn new() -> Self {
        Self {
            document: Mutex::default(),
            announced: watch::Sender::new(None),
            installed: watch::Sender::new(None),
            relayed: AtomicU64::new(0),
            requested_at: Mutex::default(),
        }
    }

    fn document(&self) -> MutexGuard<'_, Option<Arc<DeploymentDocument>>> {
        self.document.lock().expect("no holder panics")
    }

    /// Records that a control instance has `version`.
    pub fn announce(&self, version: u64) {
        self.announced.send_if_modified(|announced| {
            let newer = announced.is_none_or(|announced| version > announced);
            if newer {
                *announced = Some(version);
            }
            newer
        });
    }

    /// Records that a relay has handled a request by `version`, which is fetched if it is newer.
    pub fn record_relayed(&self, version: u64) {
        self.relayed.fetch_max(version, Ordering::Relaxed);
        self.announce(version);
    }

    /// Returns the highest version by which a relay has handled a request; 0 if there is none.
    pub fn relayed(&self) -> u64 {
        self.relayed.load(Ordering::Relaxed)
    }

    /// Returns whether a relay has handled a request by a newer version than the active one.
    pub fn is_behind_relays(&self) -> bool {
        let relayed = self.relayed();
        relayed > 0 && *self.installed.borrow() < Some(relayed)
    }

    /// Returns a receiver that follows the version of the active deployment.
    pub fn installed(&self) -> watch::Receiver<Option<u64>> {
        self.installed.subscribe()
    }

    /// Returns the time since the deployment was last requested, in milliseconds.
    fn request_age_ms(&self) -> Option<u64> {
        let requested_at = *self.requested_at.lock().expect("no holder panics");
        requested_at.map(|at| at.elapsed().as_millis() as u64)
    }
}

impl Default for Deployments {
    fn default() -> Self {
        Self::new()
    }
}

/// Fetches each announced version that is newer than the active one, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let deployments = &shared.deployments;
    let mut announced = deployments.announced.subscribe();
    let mut installed = deployments.installed.subscribe();
    let mut asked: Vec<SocketAddr> = Vec::new();
    let mut fetch_timeout = FETCH_TIMEOUT;
    loop {
        let wanted = *announced.borrow_and_update();
        let known = *installed.borrow_and_update();
        let Some(wanted) = wanted.filter(|wanted| known.is_none_or(|known| *wanted > known)) else {
            asked.clear();
            fetch_timeout = FETCH_TIMEOUT;
            if announced.changed().await.is_err() {
                return;
            }
            continue;
        };
        let requested = request(&shared, &mut asked, wanted);
        let answered = installed.wait_for(|installed| installed.is_some_and(|own| own >= wanted));
        if timeout(fetch_timeout, answered).await.is_err() && requested {
            fetch_timeout = (fetch_timeout * 2).min(MAX_FETCH_TIMEOUT);
        }
    }
}

/// Requests the version `wanted` from the next control instance in this ingress's order.
///
/// `asked` lists the instances that were asked without success; it starts anew after all of them.
/// Returns `false` if no instance is linked.
fn request(shared: &Shared, asked: &mut Vec<SocketAddr>, wanted: u64) -> bool {
    let sources = shared.control.sources(&shared.settings.name);
    let mut next = sources
        .iter()
        .find(|source| !asked.contains(&source.address));
    if next.is_none() {
        asked.clear();
        next = sources.first();
    }
    let Some(source) = next else {
        return false;
    };
    asked.push(source.address);
    let known = shared
        .deployments
        .document()
        .as_ref()
        .map(|document| document.version);
    let frame = if source.sends_patches {
        Frame::FetchPatches { known, wanted }
    } else {
        Frame::FetchDeployment
    };
    *shared
        .deployments
        .requested_at
        .lock()
        .expect("no holder panics") = Some(Instant::now());
    tracing::info!(event = "TS4106", address = %source.address, known, wanted, "deployment requested");
    // A full queue drops the request, and another instance is asked after the timeout.
    let _ = source.tx.try_send(frame);
    true
}

/// Applies changes of the deployment to the document of the active one, and activates the result.
pub(crate) fn handle_patches(
    shared: &Shared,
    sender: SocketAddr,
    patches: &[Arc<DeploymentPatch>],
) {
    let known = shared.deployments.document().clone();
    match apply_patches(known.as_ref(), patches) {
        Ok(Some(document)) => handle_document(shared, sender, document),
        Ok(None) => {}
        Err(e) => {
            tracing::warn!(event = "TS4107", address = %sender, cause = %e, "deployment changes don't apply");
            // The next request then asks for the whole document.
            *shared.deployments.document() = None;
        }
    }
}

/// Applies those `patches` that are newer than `known`.
///
/// Returns `None` if all are older.
fn apply_patches(
    known: Option<&Arc<DeploymentDocument>>,
    patches: &[Arc<DeploymentPatch>],
) -> Result<Option<Arc<DeploymentDocument>>, PatchError> {
    let known_version = known.map(|document| document.version);
    let newer = patches
        .iter()
        .filter(|patch| known_version.is_none_or(|known| patch.version > known));
    let mut document = known.cloned();
    for patch in newer {
        document = Some(Arc::new(patch.apply(document.as_deref())?));
    }
    Ok(document.filter(|document| Some(document.version) != known_version))
}

/// Decodes, validates and activates a deployment.
///
/// A deployment that isn't newer than the active one is ignored.
pub(crate) fn handle_document(
    shared: &Shared,
    sender: SocketAddr,
    document: Arc<DeploymentDocument>,
) {
    let version = document.version;
    if shared.version().is_some_and(|own| own >= version) {
        return;
    }
    let fetch_ms = shared.deployments.request_age_ms();
    let received = Instant::now();
    let deployment = shared.dialect.deployment(&document.bytes);
    let checked = deployment.and_then(|deployment| deployment.check().map(|()| deployment));
    let deployment = match checked {
        Ok(deployment) => deployment,
        Err(e) => {
            // Control distributes only deployments that it has validated, so this is unexpected.
            // The previous deployment stays active.
            tracing::error!(event = "TS4105", version, cause = %e, "invalid deployment");
            return;
        }
    };
    let routes = deployment.routes.len();
    if !shared.install_deployment(deployment) {
        return;
    }
    let bytes = document.bytes.len();
    *shared.deployments.document() = Some(document);
    shared.deployments.installed.send_replace(Some(version));
    shared.control.report_in_force(version);
    shared.metrics.deployment_version.set(version as i64);
    tracing::info!(
        event = "TS4104",
        version,
        routes,
        address = %sender,
        bytes,
        fetch_ms,
        install_ms = received.elapsed().as_millis() as u64,
        "deployment installed"
    );
}
