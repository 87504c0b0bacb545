//! Connections to the control instances, which manage the configuration and the targets.
//!
//! Such a connection is called a link and carries messages called frames. Over it, the ingress
//! receives deployments, which are versions of the configuration, and registrations, which are the
//! states of the targets (back ends). It also tells the control instances which targets are
//! suspected, that is, seem to have failed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use toucanshelf_core::crash::Finding;
use toucanshelf_core::digest::Digest;
use toucanshelf_link::frame::Frame;
use toucanshelf_link::handshake::{Hello, SharedKey};
use toucanshelf_link::link::{self, Link};

use toucanshelf_routing::permits::Permit;

use crate::shared::Shared;

/// Delay between attempts to connect to a control instance.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Time after which the ingress may request a deployment again, from any instance.
const FETCH_TIMEOUT: Duration = Duration::from_millis(250);

/// An open link to a control instance.
#[derive(Debug)]
struct OpenLink {
    tx: mpsc::Sender<Frame>,
    /// Whether findings about content that crashes targets are sent on the link.
    shares_findings: bool,
    /// Whether the control instance issues permits.
    issues_permits: bool,
}

#[derive(Debug, Default)]
struct LinkTable {
    /// Links to the control instances that are connected now, by address.
    open: BTreeMap<SocketAddr, OpenLink>,
    /// Addresses of control instances for which a task keeps a link open.
    known: Vec<SocketAddr>,
    /// Version of the deployment that was last requested, and the time of the request.
    last_fetch: Option<(u64, Instant)>,
}

/// Links of this ingress to all control instances that it knows.
#[derive(Debug, Default)]
pub struct ControlLinks {
    links: Mutex<LinkTable>,
}

impl ControlLinks {
    /// Creates a table without links.
    pub fn new() -> Self {
        Self::default()
    }

    fn links(&self) -> MutexGuard<'_, LinkTable> {
        self.links.lock().expect("no holder panics")
    }

    /// Returns the number of links that are open now.
    pub fn open(&self) -> usize {
        self.links().open.len()
    }

    /// Reports the target at `address` to all connected control instances as suspected.
    pub fn report_suspected(&self, address: SocketAddr) {
        for link in self.links().open.values() {
            // An error, from a full or closed channel, is ignored: the report is only a hint, and
            // control also detects failures by itself.
            let _ = link.tx.try_send(Frame::Suspected { address });
        }
    }

    /// Sends a finding about content that crashes targets to the connected control instances.
    pub fn share_finding(&self, finding: &Finding) {
        for link in self.links().open.values() {
            if link.shares_findings {
                let findings = vec![finding.clone()];
                // A full channel drops the finding: it also takes the other links, and all findings
                // are sent again when a link is established.
                let _ = link.tx.try_send(Frame::CrashFindings { findings });
            }
        }
    }

    /// Sends a frame to the control instance that issues the permits of `target`.
    ///
    /// All ingresses with the same links choose the same instance. Returns `false` if no linked
    /// instance issues permits.
    pub fn send_to_responsible(&self, target: &str, frame: Frame) -> bool {
        let links = self.links();
        let issuers = links.open.iter().filter(|(_, link)| link.issues_permits);
        let responsible =
            issuers.max_by_key(|(address, _)| Digest::of(format!("{address}/{target}").as_bytes()));
        let Some((_, link)) = responsible else {
            return false;
        };
        // A full channel drops the frame, and the missing answer counts as a denial.
        let _ = link.tx.try_send(frame);
        true
    }

    fn record_issuer(&self, address: SocketAddr, issues_permits: bool) {
        if let Some(link) = self.links().open.get_mut(&address) {
            link.issues_permits = issues_permits;
        }
    }

    /// Marks a link as one on which findings are shared; returns whether it is new.
    fn add_finding_link(&self, address: SocketAddr) -> bool {
        let mut links = self.links();
        let link = links.open.get_mut(&address);
        link.is_some_and(|link| !std::mem::replace(&mut link.shares_findings, true))
    }

    /// Returns the time since a deployment was last requested, in milliseconds.
    fn fetch_age_ms(&self) -> Option<u64> {
        let (_, requested_at) = self.links().last_fetch?;
        Some(requested_at.elapsed().as_millis() as u64)
    }

    /// Returns whether to request the deployment `version` now, and records the request.
    ///
    /// The answer is `false` if that version or a newer one was already requested within the last
    /// [`FETCH_TIMEOUT`].
    fn may_fetch(&self, version: u64) -> bool {
        let mut links = self.links();
        let now = Instant::now();
        let requested = links
            .last_fetch
            .is_some_and(|(requested, at)| requested >= version && now < at + FETCH_TIMEOUT);
        if !requested {
            links.last_fetch = Some((version, now));
        }
        !requested
    }
}

/// Starts links to the control instances in the settings.
///
/// The instances then announce the addresses of the others, to which links are started as well.
pub(crate) fn start(shared: &Arc<Shared>, key: &SharedKey) {
    let settings = &shared.settings;
    let seeds = settings.seeds.iter();
    let links: Vec<_> = seeds
        .map(|seed| SocketAddr::new(seed.ip(), settings.link_port))
        .collect();
    connect_new(shared, key, links);
}

/// For each new address, starts a task that keeps a link to it open.
fn connect_new(shared: &Arc<Shared>, key: &SharedKey, addresses: Vec<SocketAddr>) {
    for address in addresses {
        let mut links = shared.control.links();
        if links.known.contains(&address) {
            continue;
        }
        links.known.push(address);
        drop(links);
        tokio::spawn(maintain_link(Arc::clone(shared), key.clone(), address));
    }
}

async fn maintain_link(shared: Arc<Shared>, key: SharedKey, address: SocketAddr) {
    let settings = &shared.settings;
    let hello = Hello::for_ingress(settings.name.clone(), settings.zone.clone());
    loop {
        match link::connect(address, &hello, &key).await {
            Ok(link) => run_link(&shared, &key, address, link).await,
            Err(e) => tracing::debug!(event = "TS4101", %address, cause = %e, "no control link"),
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn run_link(shared: &Arc<Shared>, key: &SharedKey, address: SocketAddr, mut link: Link) {
    tracing::info!(event = "TS4102", %address, "control link established");
    let tx = link.tx.clone();
    let open = OpenLink {
        tx,
        shares_findings: false,
        issues_permits: false,
    };
    shared.control.links().open.insert(address, open);
    shared.metrics.control_links.inc();
    while let Some(frame) = link.rx.recv().await {
        if !handle_frame(shared, key, address, &link.tx, frame) {
            break;
        }
    }
    shared.control.links().open.remove(&address);
    shared.metrics.control_links.dec();
    tracing::warn!(event = "TS4103", %address, "control link lost");
}

/// Handles a frame from the control instance at `address`.
///
/// Returns `false` if the link must be closed, because a reply could not be queued.
fn handle_frame(
    shared: &Arc<Shared>,
    key: &SharedKey,
    address: SocketAddr,
    tx: &mpsc::Sender<Frame>,
    frame: Frame,
) -> bool {
    match frame {
        Frame::Members {
            links,
            ingress_zones,
            accepts_findings,
            issues_permits,
        } => {
            shared.record_ingresses(&ingress_zones);
            shared.control.record_issuer(address, issues_permits);
            shared.content.prune(shared.now());
            connect_new(shared, key, links);
            !accepts_findings
                || !shared.control.add_finding_link(address)
                || send_findings(shared, tx)
        }
        Frame::Permit { id, wait_ms } => {
            let denied = wait_ms.map(|wait_ms| Permit::Denied { wait_ms });
            shared.permits.answer(id, denied.unwrap_or(Permit::Granted));
            true
        }
        Frame::CrashFindings { findings } => {
            shared.content.apply(shared.now(), &findings);
            true
        }
        Frame::DeploymentHead { version } => {
            let newer = shared.version().is_none_or(|own| version > own);
            let fetch = newer && shared.control.may_fetch(version);
            if fetch {
                tracing::info!(event = "TS4106", version, %address, "deployment requested");
            }
            !fetch || tx.try_send(Frame::FetchDeployment).is_ok()
        }
        Frame::Deployment { version, document } => {
            handle_deployment(shared, address, version, &document);
            true
        }
        Frame::Registrations { push, records } => {
            let now = shared.now();
            {
                let mut targets = shared.targets();
                for record in records {
                    targets.apply(record, now);
                }
            }
            shared.notify_failure();
            push == 0 || tx.try_send(Frame::RegistrationsSeen { push }).is_ok()
        }
        _ => true,
    }
}

/// Sends all findings of this ingress on a new link; returns `false` if its queue is full.
fn send_findings(shared: &Shared, tx: &mpsc::Sender<Frame>) -> bool {
    let findings = shared.content.findings();
    tx.try_send(Frame::CrashFindings { findings }).is_ok()
}

/// Decodes, validates and activates a deployment.
///
/// A deployment that isn't newer than the active one is ignored.
fn handle_deployment(shared: &Shared, address: SocketAddr, version: u64, document: &[u8]) {
    if shared.version().is_some_and(|own| own >= version) {
        return;
    }
    let fetch_ms = shared.control.fetch_age_ms();
    let received = Instant::now();
    let deployment = shared.dialect.deployment(document);
    let checked = deployment.and_then(|deployment| deployment.check().map(|()| deployment));
    match checked {
        Ok(deployment) => {
            let routes = deployment.routes.len();
            if shared.install_deployment(deployment) {
                shared.metrics.deployment_version.set(version as i64);
                tracing::info!(
                    event = "TS4104",
                    version,
                    routes,
                    %address,
                    bytes = document.len(),
                    fetch_ms,
                    install_ms = received.elapsed().as_millis() as u64,
                    "deployment installed"
                );
            }
        }
        // Control distributes only deployments that it has validated, so this is unexpected. The
        // previous deployment stays active.
        Err(e) => tracing::error!(event = "TS4105", version, cause = %e, "invalid deployment"),
    }
}
