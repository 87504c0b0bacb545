//! Links to ingress instances.
//!
//! A control instance sends deployments and registrations, and receives suspicions.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use toucanshelf_core::registration::Registration;
use toucanshelf_link::frame::Frame;
use toucanshelf_link::link::Link;

use crate::Shared;
use crate::directory::Directory;

/// Timeout for all linked instances to acknowledge a push.
// A target waits at most one second for the acknowledgement of its departure or drain.
const PUSH_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between announcements of the deployment version and the members.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// An open link to an ingress instance.
#[derive(Debug)]
struct Session {
    zone: Box<str>,
    tx: mpsc::Sender<Frame>,
    /// Highest push that the instance has acknowledged.
    acknowledged_push: u64,
}

/// Open links by id, and the number of the latest push.
#[derive(Debug, Default)]
struct Sessions {
    open: BTreeMap<u32, Session>,
    next_id: u32,
    last_push: u64,
}

/// Ingress instances with a link to this control instance.
#[derive(Debug, Default)]
pub struct Ingresses {
    sessions: Mutex<Sessions>,
    changed: Notify,
}

impl Ingresses {
    /// Creates a table without links.
    pub fn new() -> Self {
        Self::default()
    }

    fn sessions(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock().expect("no lock holder panics")
    }

    /// Returns the availability zone of each linked instance.
    pub fn zones(&self) -> Vec<Box<str>> {
        let sessions = self.sessions();
        let open = sessions.open.values();
        open.map(|session| session.zone.clone()).collect()
    }

    fn open(&self, zone: Box<str>, tx: mpsc::Sender<Frame>) -> u32 {
        let mut sessions = self.sessions();
        sessions.next_id += 1;
        let id = sessions.next_id;
        sessions.open.insert(
            id,
            Session {
                zone,
                tx,
                acknowledged_push: 0,
            },
        );
        id
    }

    fn close(&self, id: u32) {
        self.sessions().open.remove(&id);
        self.changed.notify_waiters();
    }

    fn acknowledge(&self, id: u32, push: u64) {
        if let Some(session) = self.sessions().open.get_mut(&id) {
            session.acknowledged_push = session.acknowledged_push.max(push);
        }
        self.changed.notify_waiters();
    }

    /// Sends registrations to all linked instances and returns the number of the push.
    pub(crate) fn push_registrations(&self, records: &[Registration]) -> u64 {
        let mut sessions = self.sessions();
        sessions.last_push += 1;
        let push = sessions.last_push;
        for session in sessions.open.values() {
            let records = records.to_vec();
            // A link whose queue is full soon closes; the next link receives all registrations.
            let _ = session.tx.try_send(Frame::Registrations { push, records });
        }
        push
    }

    /// Waits until all linked instances have applied `push`.
    ///
    /// Returns the number of instances that have not applied it before the timeout.
    pub(crate) async fn wait_until_applied(&self, push: u64) -> usize {
        let deadline = Instant::now() + PUSH_TIMEOUT;
        loop {
            let changed = self.changed.notified();
            let missing = {
                let sessions = self.sessions();
                let open = sessions.open.values();
                open.filter(|session| session.acknowledged_push < push)
                    .count()
            };
            if missing == 0 || tokio::time::timeout_at(deadline, changed).await.is_err() {
                return missing;
            }
        }
    }

    fn broadcast(&self, frame: &Frame) {
        for session in self.sessions().open.values() {
            // A frame dropped for a full queue is replaced by the next announcement.
            let _ = session.tx.try_send(frame.clone());
        }
    }
}

/// Announces new deployments at once, and the version and members periodically.
pub(crate) async fn announce(shared: Arc<Shared>) {
    let Some(directory) = &shared.directory else {
        return;
    };
    let mut deployment_versions = shared.driver.deployment_versions();
    let mut ticks = tokio::time::interval(ANNOUNCE_INTERVAL);
    loop {
        tokio::select! {
            changed = deployment_versions.changed() => {
                if changed.is_err() {
                    return;
                }
                let version = *deployment_versions.borrow_and_update();
                tracing::info!(event = "TS2504", version, "deployment applied");
            }
            _ = ticks.tick() => {
                let frame = members_frame(&shared, directory);
                directory.ingresses.broadcast(&frame);
                directory.prune();
            }
        }
        if let Some(version) = *deployment_versions.borrow() {
            directory
                .ingresses
                .broadcast(&Frame::DeploymentHead { version });
        }
    }
}

/// Creates the frame that announces control instances and ingress zones.
fn members_frame(shared: &Shared, directory: &Directory) -> Frame {
    Frame::Members {
        links: shared.peers.members(),
        ingress_zones: directory.ingresses.zones(),
    }
}

/// Serves the link of an ingress instance until it closes.
pub(crate) async fn serve(shared: Arc<Shared>, mut link: Link) {
    let Some(directory) = &shared.directory else {
        return;
    };
    let id = directory
        .ingresses
        .open(link.peer.zone.clone(), link.tx.clone());
    tracing::info!(event = "TS2505", ingress = %link.peer.name, "ingress linked");
    if send_initial_state(&shared, &link.tx) {
        while let Some(frame) = link.rx.recv().await {
            match frame {
                Frame::FetchDeployment if !send_deployment(&shared, &link.tx) => break,
                Frame::RegistrationsSeen { push } => directory.ingresses.acknowledge(id, push),
                Frame::Suspected { address } => {
                    tracing::info!(event = "TS2506", ingress = %link.peer.name, %address, "target suspected");
                    directory.record_suspicion(address);
                }
                _ => {}
            }
        }
    }
    directory.ingresses.close(id);
    tracing::warn!(event = "TS2507", ingress = %link.peer.name, "link to ingress closed");
}

/// Sends the initial state to a new link.
///
/// Returns whether all frames fitted into the queue.
fn send_initial_state(shared: &Shared, tx: &mpsc::Sender<Frame>) -> bool {
    let Some(directory) = &shared.directory else {
        return false;
    };
    let records = {
        let registry = directory.registry();
        registry
            .entries()
            .map(|entry| entry.record.clone())
            .collect()
    };
    let push = 0;
    let registrations = tx.try_send(Frame::Registrations { push, records });
    let members = tx.try_send(members_frame(shared, directory));
    let version = shared.driver.state().deployment_version();
    let head = match version {
        Some(version) => tx.try_send(Frame::DeploymentHead { version }),
        None => Ok(()),
    };
    registrations.is_ok() && members.is_ok() && head.is_ok()
}

/// Sends the current deployment, if there is one.
///
/// Returns whether the frame fitted into the queue.
fn send_deployment(shared: &Shared, tx: &mpsc::Sender<Frame>) -> bool {
    let document = shared.driver.state().deployment().cloned();
    let Some(document) = document else {
        return true;
    };
    let frame = Frame::Deployment {
        version: document.version,
        document: document.bytes.clone(),
    };
    tx.try_send(frame).is_ok()
}
