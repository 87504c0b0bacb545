//! Links to the control instances: deployment and registrations in, suspicions out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use toucanshelf_link::frame::Frame;
use toucanshelf_link::handshake::{Hello, SharedKey};
use toucanshelf_link::link::{self, Link};

use crate::shared::Shared;

/// Time between tries to reach a control instance.
const RECONNECT: Duration = Duration::from_millis(200);
/// Time that one instance is given to send a deployment before another one is asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Links {
    open: BTreeMap<SocketAddr, mpsc::Sender<Frame>>,
    known: Vec<SocketAddr>,
    /// Version that was asked for, and when.
    fetch: Option<(u64, Instant)>,
}

/// Links to all control instances that are known.
#[derive(Debug, Default)]
pub struct ControlLinks {
    links: Mutex<Links>,
}

impl ControlLinks {
    /// Creates the table without links.
    pub fn new() -> Self {
        Self::default()
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().expect("no holder panics")
    }

    /// Number of open links.
    pub fn open(&self) -> usize {
        self.links().open.len()
    }

    /// Tells control that requests fail or stall at `address`.
    pub fn report_suspicion(&self, address: SocketAddr) {
        for tx in self.links().open.values() {
            // Only a hint; control finds out by itself, too.
            let _ = tx.try_send(Frame::Suspected { address });
        }
    }

    /// Whether `version` should be asked for now.
    fn may_fetch(&self, version: u64) -> bool {
        let mut links = self.links();
        let now = Instant::now();
        let asked = links
            .fetch
            .is_some_and(|(asked, at)| asked >= version && now < at + FETCH_TIMEOUT);
        if !asked {
            links.fetch = Some((version, now));
        }
        !asked
    }
}

/// Keeps links open to the control instances named in the settings and all that they tell of.
pub(crate) fn start(shared: &Arc<Shared>, key: &SharedKey) {
    let settings = &shared.settings;
    let seeds = settings.seeds.iter();
    let links: Vec<_> = seeds
        .map(|seed| SocketAddr::new(seed.ip(), settings.link_port))
        .collect();
    learn(shared, key, links);
}

fn learn(shared: &Arc<Shared>, key: &SharedKey, addresses: Vec<SocketAddr>) {
    for address in addresses {
        let mut links = shared.control.links();
        if links.known.contains(&address) {
            continue;
        }
        links.known.push(address);
        drop(links);
        tokio::spawn(keep_link(Arc::clone(shared), key.clone(), address));
    }
}

async fn keep_link(shared: Arc<Shared>, key: SharedKey, address: SocketAddr) {
    let settings = &shared.settings;
    let hello = Hello::for_ingress(settings.name.clone(), settings.zone.clone());
    loop {
        match link::connect(address, &hello, &key).await {
            Ok(link) => run_link(&shared, &key, address, link).await,
            Err(e) => tracing::debug!(event = "TS4101", %address, cause = %e, "no control link"),
        }
        tokio::time::sleep(RECONNECT).await;
    }
}

async fn run_link(shared: &Arc<Shared>, key: &SharedKey, address: SocketAddr, mut link: Link) {
    tracing::info!(event = "TS4102", %address, "control linked");
    let tx = link.tx.clone();
    shared.control.links().open.insert(address, tx);
    shared.metrics.control_links.inc();
    while let Some(frame) = link.rx.recv().await {
        if !take_frame(shared, key, &link.tx, frame) {
            break;
        }
    }
    shared.control.links().open.remove(&address);
    shared.metrics.control_links.dec();
    tracing::warn!(event = "TS4103", %address, "control link lost");
}

/// Takes a frame; returns whether the link can go on.
fn take_frame(
    shared: &Arc<Shared>,
    key: &SharedKey,
    tx: &mpsc::Sender<Frame>,
    frame: Frame,
) -> bool {
    match frame {
        Frame::Members {
            links,
            ingress_zones,
        } => {
            shared.note_ingresses(&ingress_zones);
            learn(shared, key, links);
            true
        }
        Frame::DeploymentHead { version } => {
            let newer = shared.version().is_none_or(|own| version > own);
            let fetch = newer && shared.control.may_fetch(version);
            !fetch || tx.try_send(Frame::FetchDeployment).is_ok()
        }
        Frame::Deployment { version, document } => {
            take_deployment(shared, version, &document);
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
            shared.announce_failure();
            push == 0 || tx.try_send(Frame::RegistrationsSeen { push }).is_ok()
        }
        _ => true,
    }
}

fn take_deployment(shared: &Shared, version: u64, document: &[u8]) {
    if shared.version().is_some_and(|own| own >= version) {
        return;
    }
    let deployment = shared.dialect.deployment(document);
    let checked = deployment.and_then(|deployment| deployment.check().map(|()| deployment));
    match checked {
        Ok(deployment) => {
            let routes = deployment.routes.len();
            if shared.take_deployment(deployment) {
                shared.metrics.deployment_version.set(version as i64);
                tracing::info!(event = "TS4104", version, routes, "deployment in force");
            }
        }
        // Control checks what it takes, so the last good one stays in force.
        Err(e) => tracing::error!(event = "TS4105", version, cause = %e, "deployment refused"),
    }
}
