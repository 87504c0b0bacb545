//! Links between this control instance and the ingress instances.
//!
//! An ingress receives deployments and the registrations of targets. It reports suspicions, which
//! are targets at which requests fail or stall. A push is one transfer of registrations, numbered
//! so that each ingress can acknowledge it. A session is an open link with its acknowledgements.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::seq::IteratorRandom as _;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use toucanshelf_core::crash::Finding;
use toucanshelf_core::registration::Registration;
use toucanshelf_link::frame::Frame;
use toucanshelf_link::link::Link;
use toucanshelf_routing::permits::Permit;

use crate::Shared;
use crate::directory::{Directory, deployments};

/// Time limit for all linked ingress instances to acknowledge a push.
// A target waits at most one second for the acknowledgement of its departure or drain.
const PUSH_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between announcements of the deployment version, control instances and zones.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of announcements after which unchanged numbers of ingresses are announced again.
// A full queue may have dropped the last change.
const COUNTS_INTERVAL_TICKS: u32 = 5;
/// Maximum number of ingresses that are named to one that reaches no target.
const MAX_LISTED_RELAYS: usize = 16;
/// Maximum number of ingresses that are named to another one, which asks them if it loses control.
const MAX_LISTED_INGRESSES: usize = 16;

/// An open link to an ingress instance, and what the instance has acknowledged.
#[derive(Debug)]
struct Session {
    zone: Box<str>,
    tx: mpsc::Sender<Frame>,
    /// Highest push number that the ingress instance has acknowledged.
    acknowledged_push: u64,
    /// Whether the instance shares findings about content that crashes targets.
    shares_findings: bool,
    /// Whether the instance wants findings from here; `None` for older programs, which don't tell.
    wants_findings: Option<bool>,
    /// Whether the instance watches the numbers of ingresses instead of the list of members.
    watches_counts: bool,
    /// Version of the deployment that the instance has reported to use.
    ///
    /// `None` for one that has none yet, or whose program doesn't report it.
    deployment_in_force: Option<u64>,
    /// Address for requests of other ingresses, while the instance reaches targets.
    relay: Option<SocketAddr>,
    /// Address at which the instance accepts links, if it has told one.
    link: Option<SocketAddr>,
    name: Box<str>,
    /// Notified when the link is to close, because registrations could not be queued on it.
    overflow: Arc<Notify>,
}

/// Open links to ingress instances, and the number of the latest push.
///
/// The links are stored by an id that this control instance gives to each new link.
#[derive(Debug, Default)]
struct Sessions {
    open: BTreeMap<u32, Session>,
    next_id: u32,
    /// Link whose ingress was asked for all findings that it knows.
    findings_asked: Option<u32>,
    last_push: u64,
}

/// Ingress instances with a link to this control instance.
#[derive(Debug, Default)]
pub struct Ingresses {
    sessions: Mutex<Sessions>,
    changed: Notify,
    /// Findings that have not been forwarded yet, with the id of the link that they came from.
    ///
    /// It is `None` for those of other control instances.
    queued_findings: Mutex<Vec<(Option<u32>, Finding)>>,
}

impl Ingresses {
    /// Creates an empty table of linked ingress instances.
    pub fn new() -> Self {
        Self::default()
    }

    fn sessions(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock().expect("no lock holder panics")
    }

    /// Returns the availability zone of each linked ingress instance.
    pub fn zones(&self) -> Vec<Box<str>> {
        let sessions = self.sessions();
        let open = sessions.open.values();
        open.map(|session| session.zone.clone()).collect()
    }

    /// Returns the number of linked ingress instances in each availability zone.
    fn counts(&self) -> BTreeMap<Box<str>, u32> {
        let mut counts = BTreeMap::new();
        for session in self.sessions().open.values() {
            *counts.entry(session.zone.clone()).or_default() += 1;
        }
        counts
    }

    /// Sends the numbers of ingresses from now on, instead of the list of members.
    fn watch_counts(&self, id: u32) {
        if let Some(session) = self.sessions().open.get_mut(&id) {
            session.watches_counts = true;
        }
    }

    /// Adds a link, and returns its id and the notification that it is to close.
    fn open(&self, link: &Link) -> (u32, Arc<Notify>) {
        let overflow = Arc::new(Notify::new());
        let mut sessions = self.sessions();
        sessions.next_id += 1;
        let id = sessions.next_id;
        sessions.open.insert(
            id,
            Session {
                zone: link.peer.zone.clone(),
                tx: link.tx.clone(),
                acknowledged_push: 0,
                shares_findings: false,
                wants_findings: None,
                watches_counts: false,
                deployment_in_force: None,
                relay: None,
                link: None,
                name: link.peer.name.clone(),
                overflow: Arc::clone(&overflow),
            },
        );
        (id, overflow)
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

    /// Sends target registrations to all linked ingresses and returns a sequence number.
    ///
    /// Each ingress repeats the number when it acknowledges the registrations, and
    /// [`Ingresses::wait_until_applied`] waits for these acknowledgements.
    pub(crate) fn push_registrations(&self, records: &[Registration]) -> u64 {
        let mut sessions = self.sessions();
        sessions.last_push += 1;
        let push = sessions.last_push;
        for session in sessions.open.values() {
            let records = records.to_vec();
            let frame = Frame::Registrations { push, records };
            if session.tx.try_send(frame).is_err() {
                // The ingress receives all registrations on its next link.
                session.overflow.notify_one();
            }
        }
        push
    }

    /// Waits until all linked ingress instances have acknowledged `push`.
    ///
    /// Returns the number of instances that have not acknowledged it after `PUSH_TIMEOUT`.
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

    fn record_relay(&self, id: u32, relay: Option<SocketAddr>) {
        if let Some(session) = self.sessions().open.get_mut(&id) {
            session.relay = relay;
        }
    }

    fn record_link(&self, id: u32, link: SocketAddr) {
        if let Some(session) = self.sessions().open.get_mut(&id) {
            session.link = Some(link);
        }
    }

    /// Returns the addresses at which the linked ingresses accept links.
    pub(crate) fn link_addresses(&self) -> BTreeSet<SocketAddr> {
        let sessions = self.sessions();
        let open = sessions.open.values();
        open.filter_map(|session| session.link).collect()
    }

    /// Returns some ingresses that accept links, other than the one with session `id`.
    fn link_sample_for(&self, id: u32) -> Vec<SocketAddr> {
        let sessions = self.sessions();
        let others = sessions.open.iter().filter(|(other, _)| **other != id);
        let links = others.filter_map(|(_, session)| session.link);
        links.sample(&mut rand::rng(), MAX_LISTED_INGRESSES)
    }

    /// Returns some ingresses to which the ingress with session `id` may send its requests.
    fn relays_for(&self, id: u32) -> Vec<SocketAddr> {
        let sessions = self.sessions();
        let others = sessions.open.iter().filter(|(other, _)| **other != id);
        let relays = others.filter_map(|(_, session)| session.relay);
        relays.sample(&mut rand::rng(), MAX_LISTED_RELAYS)
    }

    fn record_in_force(&self, id: u32, version: u64) {
        if let Some(session) = self.sessions().open.get_mut(&id) {
            session.deployment_in_force = session.deployment_in_force.max(Some(version));
        }
        self.changed.notify_waiters();
    }

    /// Waits until all linked ingresses that report their deployment use `version`, or until `due`.
    ///
    /// Returns the names of those that don't use it yet.
    pub(crate) async fn wait_until_in_force(&self, version: u64, due: Instant) -> Vec<Box<str>> {
        loop {
            let changed = self.changed.notified();
            let missing: Vec<_> = {
                let sessions = self.sessions();
                let behind = sessions.open.values().filter(|session| {
                    let in_force = session.deployment_in_force;
                    in_force.is_some_and(|in_force| in_force < version)
                });
                behind.map(|session| session.name.clone()).collect()
            };
            if missing.is_empty() || tokio::time::timeout_at(due, changed).await.is_err() {
                return missing;
            }
        }
    }

    /// Marks an ingress instance as one that shares findings.
    ///
    /// Returns whether it is new and gets all findings because it hasn't told whether it wants them.
    fn add_finder(&self, id: u32) -> bool {
        let mut sessions = self.sessions();
        let Some(session) = sessions.open.get_mut(&id) else {
            return false;
        };
        let is_new = !std::mem::replace(&mut session.shares_findings, true);
        is_new && session.wants_findings.is_none()
    }

    fn record_findings_wish(&self, id: u32, wanted: bool) {
        if let Some(session) = self.sessions().open.get_mut(&id) {
            session.wants_findings = Some(wanted);
        }
    }

    /// Returns whether the ingress of a new link is to send all findings that it knows.
    ///
    /// One linked ingress is asked at a time, since all of them know the same.
    fn ask_for_all_findings(&self, id: u32) -> bool {
        let mut sessions = self.sessions();
        let asked = sessions.findings_asked;
        if asked.is_some_and(|asked| sessions.open.contains_key(&asked)) {
            return false;
        }
        sessions.findings_asked = Some(id);
        true
    }

    /// Keeps new findings until they are forwarded together.
    ///
    /// `sender` is the link of the ingress that sent them, or `None` for another control instance.
    pub(crate) fn queue_findings(&self, sender: Option<u32>, findings: Vec<Finding>) {
        let mut queued = self.queued_findings.lock().expect("no lock holder panics");
        queued.extend(findings.into_iter().map(|finding| (sender, finding)));
    }

    /// Forwards the queued findings to the ingress instances that receive them from here.
    ///
    /// None goes back to its sender, which knows what has become of its trials since. Returns those
    /// that have come from ingresses.
    pub(crate) fn forward_findings(&self) -> Vec<Finding> {
        let queued = {
            let mut queued = self.queued_findings.lock().expect("no lock holder panics");
            std::mem::take(&mut *queued)
        };
        for (id, session) in &self.sessions().open {
            if !session.wants_findings.unwrap_or(session.shares_findings) {
                continue;
            }
            let others = queued.iter().filter(|(sender, _)| *sender != Some(*id));
            let findings: Vec<_> = others.map(|(_, finding)| finding.clone()).collect();
            if !findings.is_empty() {
                // A full queue drops the findings; the ingress receives all of them on its next link.
                let _ = session.tx.try_send(Frame::CrashFindings { findings });
            }
        }
        let from_ingresses = queued.into_iter().filter(|(sender, _)| sender.is_some());
        from_ingresses.map(|(_, finding)| finding).collect()
    }

    fn broadcast(&self, frame: &Frame) {
        self.broadcast_to(frame, |_| true);
    }

    fn broadcast_to(&self, frame: &Frame, receives: impl Fn(&Session) -> bool) {
        for session in self.sessions().open.values().filter(|s| receives(s)) {
            // A full queue drops the frame; a later announcement replaces it.
            let _ = session.tx.try_send(frame.clone());
        }
    }
}

/// Announces each new deployment version to the ingresses, and repeats it every second.
///
/// The control instances and the ingresses are announced as well; see [`announce_members`].
pub(crate) async fn announce(shared: Arc<Shared>) {
    let Some(directory) = &shared.directory else {
        return;
    };
    let mut deployment_versions = shared.driver.deployment_versions();
    let mut statuses = shared.driver.statuses();
    let mut ticks = tokio::time::interval(ANNOUNCE_INTERVAL);
    let mut counts = CountsAnnouncement::default();
    loop {
        let hears_leader = counts.hears_leader;
        tokio::select! {
            // The guard of the status must be dropped before the status is read again: the driver may
            // wait to write it, and readers wait behind the driver.
            Ok(()) = async {
                let changed = statuses.wait_for(|status| status.current != hears_leader);
                changed.await.map(drop)
            } => {
                announce_members(&shared, directory, &mut counts);
            }
            changed = deployment_versions.changed() => {
                if changed.is_err() {
                    return;
                }
                let version = *deployment_versions.borrow_and_update();
                tracing::info!(event = "TS2504", version, "deployment applied");
            }
            _ = ticks.tick() => {
                announce_members(&shared, directory, &mut counts);
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

/// Latest announcement of the numbers of ingresses.
#[derive(Debug, Default)]
struct CountsAnnouncement {
    links: Vec<SocketAddr>,
    ingresses: BTreeMap<Box<str>, u32>,
    hears_leader: bool,
    /// Number of ticks since the announcement was sent.
    age_ticks: u32,
}

/// Announces the control instances and ingresses.
///
/// The list of all ingresses' zones grows with their number and goes to each of them, so that only
/// ingresses of older programs get it. The others get the number of ingresses in each zone, when it
/// changes and every five seconds.
fn announce_members(shared: &Shared, directory: &Directory, last: &mut CountsAnnouncement) {
    let ingresses = &directory.ingresses;
    let lists = |session: &Session| !session.watches_counts;
    if ingresses.sessions().open.values().any(lists) {
        ingresses.broadcast_to(&members_frame(shared, directory, false), lists);
    }
    last.age_ticks += 1;
    let (links, counts) = (shared.peers.members(), ingresses.counts());
    let hears_leader = shared.driver.status().current;
    let changed =
        (&last.links, &last.ingresses) != (&links, &counts) || last.hears_leader != hears_leader;
    if changed || last.age_ticks >= COUNTS_INTERVAL_TICKS {
        let frame = Frame::MemberCounts {
            links: links.clone(),
            ingresses: counts.clone(),
            hears_leader,
        };
        ingresses.broadcast_to(&frame, |session| session.watches_counts);
        *last = CountsAnnouncement {
            links,
            ingresses: counts,
            hears_leader,
            age_ticks: 0,
        };
    }
}

/// Creates the frame that lists the control instances and the zones of linked ingresses.
fn members_frame(shared: &Shared, directory: &Directory, wants_all_findings: bool) -> Frame {
    Frame::Members {
        links: shared.peers.members(),
        ingress_zones: directory.ingresses.zones(),
        accepts_findings: true,
        issues_permits: true,
        sends_patches: true,
        lists_relays: true,
        accepts_subscriptions: true,
        calls_ingresses: true,
        hears_leader: shared.driver.status().current,
        wants_all_findings,
        collects_loads: true,
    }
}

/// Handles the frames from a linked ingress instance until the link closes.
pub(crate) async fn serve(shared: Arc<Shared>, mut link: Link) {
    let Some(directory) = &shared.directory else {
        return;
    };
    let (id, overflow) = directory.ingresses.open(&link);
    tracing::info!(event = "TS2505", ingress = %link.peer.name, "ingress linked");
    if send_initial_state(&shared, id, &link.tx) {
        loop {
            let frame = tokio::select! {
                frame = link.rx.recv() => frame,
                () = overflow.notified() => {
                    tracing::warn!(event = "TS2517", ingress = %link.peer.name, "ingress reads too slowly; its link is closed");
                    None
                }
            };
            let Some(frame) = frame else { break };
            match frame {
                Frame::FetchDeployment if !send_deployment(&shared, &link) => break,
                Frame::FetchPatches { known, wanted } => {
                    deployments::answer_fetch(&shared, &link, known, wanted);
                }
                Frame::RelayStatus { address, available } => {
                    directory
                        .ingresses
                        .record_relay(id, available.then_some(address));
                }
                Frame::WantFindings { wanted } => {
                    directory.ingresses.record_findings_wish(id, wanted);
                    if wanted && !send_findings(directory, &link.tx) {
                        break;
                    }
                }
                Frame::WatchCounts => directory.ingresses.watch_counts(id),
                Frame::AskRelays => {
                    let addresses = directory.ingresses.relays_for(id);
                    // A full queue drops the answer; the ingress asks again, and others as well.
                    let _ = link.tx.try_send(Frame::Relays { addresses });
                }
                Frame::IngressAddress { link: address } => {
                    directory.ingresses.record_link(id, address);
                    directory.record_ingress_addresses([(address, 0)]);
                    send_ingress_addresses(directory, id, &link.tx);
                }
                Frame::DeploymentInForce { version } => {
                    directory.ingresses.record_in_force(id, version);
                }
                Frame::RegistrationsSeen { push } => directory.ingresses.acknowledge(id, push),
                Frame::Suspected { address } => {
                    tracing::info!(event = "TS2506", ingress = %link.peer.name, %address, "target suspected");
                    directory.record_suspicion(address);
                }
                Frame::AskPermit { id, target, rate } => {
                    let wait_ms = match directory.issue_permit(target, rate) {
                        Permit::Granted => None,
                        Permit::Denied { wait_ms } => Some(wait_ms),
                    };
                    // A full queue drops the answer, and the ingress takes it for a denial.
                    let _ = link.tx.try_send(Frame::Permit { id, wait_ms });
                }
                Frame::LoadReport {
                    zone,
                    sequence,
                    entries,
                } => {
                    let now = directory.now();
                    directory
                        .loads
                        .handle_report(&link, id, now, zone, sequence, &entries);
                }
                Frame::CrashFindings { findings } => {
                    let new = directory.apply_findings(findings);
                    directory.ingresses.queue_findings(Some(id), new);
                    if directory.ingresses.add_finder(id) && !send_findings(directory, &link.tx) {
                        break;
                    }
                }
                _ => {}
            }
        }
    }
    directory.ingresses.close(id);
    directory.loads.forget(&link.peer.name, id);
    tracing::warn!(event = "TS2507", ingress = %link.peer.name, "link to ingress closed");
}

/// Sends the current state of the platform to a newly linked ingress.
///
/// It consists of the registrations of all targets, the link addresses of the control instances,
/// the zones of the linked ingresses and the version of the deployment. Returns `false` if the
/// link's outgoing queue is full, or if the settings of this instance enable no platform.
fn send_initial_state(shared: &Shared, id: u32, tx: &mpsc::Sender<Frame>) -> bool {
    let Some(directory) = &shared.directory else {
        return false;
    };
    let records = {
        let registry = directory.registry();
        let entries = registry.entries().chain(registry.undeployed());
        entries.map(|entry| entry.record.clone()).collect()
    };
    let push = 0;
    let registrations = tx.try_send(Frame::Registrations { push, records });
    let wants_all_findings = directory.ingresses.ask_for_all_findings(id);
    let members = tx.try_send(members_frame(shared, directory, wants_all_findings));
    let version = shared.driver.state().deployment_version();
    let head = match version {
        Some(version) => tx.try_send(Frame::DeploymentHead { version }),
        None => Ok(()),
    };
    registrations.is_ok() && members.is_ok() && head.is_ok()
}

/// Names some other ingresses to one that has announced its address.
fn send_ingress_addresses(directory: &Directory, id: u32, tx: &mpsc::Sender<Frame>) {
    let others = directory.ingresses.link_sample_for(id);
    let last_linked_ms = others.into_iter().map(|address| (address, 0)).collect();
    // A full queue drops the list, and the ingress announces its address again.
    let _ = tx.try_send(Frame::IngressAddresses { last_linked_ms });
}

/// Sends all findings about content that crashes targets to an ingress.
///
/// Returns `false` if the link's outgoing queue is full.
fn send_findings(directory: &Directory, tx: &mpsc::Sender<Frame>) -> bool {
    let findings = directory.crash_findings();
    tx.try_send(Frame::CrashFindings { findings }).is_ok()
}

/// Sends the whole deployment to an ingress of an older program, if there is one.
///
/// Returns `false` if the link's outgoing queue is full.
fn send_deployment(shared: &Shared, link: &Link) -> bool {
    let document = shared.driver.state().deployment().cloned();
    let Some(document) = document else {
        return true;
    };
    tracing::info!(
        event = "TS2508",
        ingress = %link.peer.name,
        version = document.version,
        bytes = document.bytes.len(),
        "deployment sent"
    );
    let frame = Frame::Deployment {
        version: document.version,
        document: document.bytes.clone(),
    };
    link.tx.try_send(frame).is_ok()
}
