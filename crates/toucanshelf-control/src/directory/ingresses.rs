//! Links to ingress instances: deployments and registrations out, suspicions in.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use toucanshelf_core::registration::Registration;
use toucanshelf_link::frame::Frame;
use toucanshelf_link::link::Link;

use crate::Parts;
use crate::directory::Directory;

/// Time that a push waits for the answers of all linked instances.
// A target takes an acknowledgement only within a second.
const PUSH_TIMEOUT: Duration = Duration::from_millis(700);
/// Time between words of the version and the members to each instance.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Session {
    zone: Box<str>,
    tx: mpsc::Sender<Frame>,
    /// Latest push that the instance has in force.
    seen: u64,
}

#[derive(Debug, Default)]
struct Sessions {
    open: BTreeMap<u32, Session>,
    next_id: u32,
    last_push: u64,
}

/// Ingress instances that are linked to this control instance.
#[derive(Debug, Default)]
pub struct Ingresses {
    sessions: Mutex<Sessions>,
    changed: Notify,
}

impl Ingresses {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    fn sessions(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock().expect("no holder panics")
    }

    /// Availability zones of the linked instances.
    pub fn zones(&self) -> Vec<Box<str>> {
        let sessions = self.sessions();
        let open = sessions.open.values();
        open.map(|session| session.zone.clone()).collect()
    }

    fn open(&self, zone: Box<str>, tx: mpsc::Sender<Frame>) -> u32 {
        let mut sessions = self.sessions();
        sessions.next_id += 1;
        let id = sessions.next_id;
        sessions.open.insert(id, Session { zone, tx, seen: 0 });
        id
    }

    fn close(&self, id: u32) {
        self.sessions().open.remove(&id);
        self.changed.notify_waiters();
    }

    fn note_seen(&self, id: u32, push: u64) {
        if let Some(session) = self.sessions().open.get_mut(&id) {
            session.seen = session.seen.max(push);
        }
        self.changed.notify_waiters();
    }

    /// Sends registrations to all linked instances; returns the number of the push.
    pub(crate) fn send(&self, records: &[Registration]) -> u64 {
        let mut sessions = self.sessions();
        sessions.last_push += 1;
        let push = sessions.last_push;
        for session in sessions.open.values() {
            let records = records.to_vec();
            // A full queue closes the link soon; the instance gets everything on its next one.
            let _ = session.tx.try_send(Frame::Registrations { push, records });
        }
        push
    }

    /// Waits until all linked instances have `push` in force; returns how many have not.
    pub(crate) async fn seen_by_all(&self, push: u64) -> usize {
        let due = Instant::now() + PUSH_TIMEOUT;
        loop {
            let changed = self.changed.notified();
            let missing = {
                let sessions = self.sessions();
                let open = sessions.open.values();
                open.filter(|session| session.seen < push).count()
            };
            if missing == 0 || tokio::time::timeout_at(due, changed).await.is_err() {
                return missing;
            }
        }
    }

    fn broadcast(&self, frame: &Frame) {
        for session in self.sessions().open.values() {
            // The next announcement makes up for one that is lost here.
            let _ = session.tx.try_send(frame.clone());
        }
    }
}

/// Tells all ingress instances of each new deployment, and of the members now and then.
pub(crate) async fn announce(parts: Arc<Parts>) {
    let Some(directory) = &parts.directory else {
        return;
    };
    let mut deployments = parts.driver.deployments();
    let mut ticks = tokio::time::interval(ANNOUNCE_INTERVAL);
    loop {
        tokio::select! {
            changed = deployments.changed() => {
                if changed.is_err() {
                    return;
                }
                let version = *deployments.borrow_and_update();
                tracing::info!(event = "TS2504", version, "deployment in force");
            }
            _ = ticks.tick() => {
                let frame = members(&parts, directory);
                directory.ingresses.broadcast(&frame);
                directory.prune();
            }
        }
        if let Some(version) = *deployments.borrow() {
            directory
                .ingresses
                .broadcast(&Frame::DeploymentHead { version });
        }
    }
}

fn members(parts: &Parts, directory: &Directory) -> Frame {
    Frame::Members {
        links: parts.peers.members(),
        ingress_zones: directory.ingresses.zones(),
    }
}

/// Serves one ingress until its link closes.
pub(crate) async fn serve(parts: Arc<Parts>, mut link: Link) {
    let Some(directory) = &parts.directory else {
        return;
    };
    let id = directory
        .ingresses
        .open(link.peer.zone.clone(), link.tx.clone());
    tracing::info!(event = "TS2505", ingress = %link.peer.name, "ingress linked");
    if welcome(&parts, &link.tx) {
        while let Some(frame) = link.rx.recv().await {
            match frame {
                Frame::FetchDeployment if !send_deployment(&parts, &link.tx) => break,
                Frame::RegistrationsSeen { push } => directory.ingresses.note_seen(id, push),
                Frame::Suspected { address } => {
                    tracing::info!(event = "TS2506", ingress = %link.peer.name, %address, "target suspected");
                    directory.suspect(address);
                }
                _ => {}
            }
        }
    }
    directory.ingresses.close(id);
    tracing::warn!(event = "TS2507", ingress = %link.peer.name, "link to an ingress lost");
}

/// Sends what a new link needs; returns whether it fitted into the queue.
fn welcome(parts: &Parts, tx: &mpsc::Sender<Frame>) -> bool {
    let Some(directory) = &parts.directory else {
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
    let members = tx.try_send(members(parts, directory));
    let version = parts.driver.state().deployment_version();
    let head = match version {
        Some(version) => tx.try_send(Frame::DeploymentHead { version }),
        None => Ok(()),
    };
    registrations.is_ok() && members.is_ok() && head.is_ok()
}

fn send_deployment(parts: &Parts, tx: &mpsc::Sender<Frame>) -> bool {
    let document = parts.driver.state().deployment().cloned();
    let Some(document) = document else {
        return true;
    };
    let frame = Frame::Deployment {
        version: document.version,
        document: document.bytes.clone(),
    };
    tx.try_send(frame).is_ok()
}
