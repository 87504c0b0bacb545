//! Connections to the control instances, which manage the configuration and the targets.
//!
//! Such a connection is called a link and carries messages called frames. Over it, the ingress
//! receives deployments, which are versions of the configuration, and registrations, which are the
//! states of the targets (back ends). It also tells the control instances which targets are
//! suspected, that is, seem to have failed.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::mpsc;
use toucanshelf_core::crash::Finding;
use toucanshelf_core::digest::Digest;
use toucanshelf_core::registration::Registration;
use toucanshelf_core::state::DeploymentDocument;
use toucanshelf_link::frame::Frame;
use toucanshelf_link::handshake::{Hello, SharedKey};
use toucanshelf_link::link::{self, Link};

use toucanshelf_routing::permits::Permit;

use crate::deployments::{self, DeploymentSource};
use crate::loads;
use crate::shared::Shared;

/// Delay between attempts to connect to a control instance.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of this ingress's own findings that are kept for new links.
const MAX_OWN_FINDINGS: usize = 1_024;

/// An open link to a control instance.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each tells one ability of the control instance"
)]
#[derive(Debug)]
struct OpenLink {
    tx: mpsc::Sender<Frame>,
    /// Whether findings about content that crashes targets are sent on the link.
    shares_findings: bool,
    /// Whether the control instance issues permits.
    issues_permits: bool,
    /// Whether the control instance sends changes of the deployment.
    ///
    /// `None` until the instance has told it.
    sends_patches: Option<bool>,
    /// Whether the control instance lists relays.
    lists_relays: bool,
    /// Whether the control instance is in the availability zone of this ingress.
    is_near: bool,
    /// Whether the control instance accepts [`Frame::WantFindings`].
    accepts_subscriptions: bool,
    /// Whether the control instance accepts [`Frame::IngressAddress`].
    calls_ingresses: bool,
    /// Whether the control instance hears a leader.
    hears_leader: bool,
    /// Whether the control instance accepts [`Frame::LoadReport`].
    collects_loads: bool,
    /// Availability zone of the control instance.
    zone: Box<str>,
}

#[derive(Debug, Default)]
struct LinkTable {
    /// Links to the control instances that are connected now, by address.
    open: BTreeMap<SocketAddr, OpenLink>,
    /// Addresses of control instances for which a task keeps a link open.
    known: Vec<SocketAddr>,
    /// Control instance that sends the findings of other ingresses, if one was chosen.
    findings_from: Option<SocketAddr>,
    /// Address at which this ingress accepts links, if it does.
    own_address: Option<SocketAddr>,
    /// Other ingresses that accept links.
    other_ingresses: Vec<SocketAddr>,
    /// Latest findings of this ingress itself.
    own_findings: VecDeque<Finding>,
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

    /// Whether a control instance is linked that hears of new deployments.
    pub fn is_current(&self) -> bool {
        self.links().open.values().any(|link| link.hears_leader)
    }

    fn record_leader(&self, address: SocketAddr, hears_leader: bool) {
        if let Some(link) = self.links().open.get_mut(&address) {
            link.hears_leader = hears_leader;
        }
    }

    /// Marks a link as one to an instance that calls ingresses, and tells it where this one is.
    fn add_caller(&self, address: SocketAddr) {
        let mut links = self.links();
        let own_address = links.own_address;
        if let Some(open) = links.open.get_mut(&address) {
            open.calls_ingresses = true;
            if let Some(link) = own_address {
                // A full queue drops the address, which is announced again.
                let _ = open.tx.try_send(Frame::IngressAddress { link });
            }
        }
    }

    /// Tells the control instances where this ingress accepts links.
    ///
    /// Each answers with some other ingresses.
    pub(crate) fn announce_own_address(&self) {
        let links = self.links();
        let Some(link) = links.own_address else {
            return;
        };
        let callers = links.open.values().filter(|link| link.calls_ingresses);
        for caller in callers {
            // A full queue drops the address, which is announced again.
            let _ = caller.tx.try_send(Frame::IngressAddress { link });
        }
    }

    /// Keeps the addresses of other ingresses; an empty list replaces none.
    fn record_ingresses(&self, last_linked_ms: BTreeMap<SocketAddr, u64>) {
        if !last_linked_ms.is_empty() {
            self.links().other_ingresses = last_linked_ms.into_keys().collect();
        }
    }

    /// Returns the addresses of control instances to which links are kept open or tried.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.links().known.clone()
    }

    /// Returns the addresses of the linked control instances that hear of new deployments.
    pub fn current(&self) -> Vec<SocketAddr> {
        let links = self.links();
        let current = links.open.iter().filter(|(_, link)| link.hears_leader);
        current.map(|(address, _)| *address).collect()
    }

    /// Returns the address at which this ingress accepts links, if it does.
    pub(crate) fn own_address(&self) -> Option<SocketAddr> {
        self.links().own_address
    }

    /// Sets the address at which this ingress accepts links.
    pub(crate) fn set_own_address(&self, address: SocketAddr) {
        self.links().own_address = Some(address);
    }

    /// Returns other ingresses that accept links, as a control instance has last listed them.
    pub(crate) fn other_ingresses(&self) -> Vec<SocketAddr> {
        self.links().other_ingresses.clone()
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
        let mut links = self.links();
        if links.own_findings.len() >= MAX_OWN_FINDINGS {
            links.own_findings.pop_front();
        }
        links.own_findings.push_back(finding.clone());
        for link in links.open.values() {
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
        let responsible = issuers.max_by_key(|(address, _)| rendezvous(**address, target));
        let Some((_, link)) = responsible else {
            return false;
        };
        // A full channel drops the frame, and the missing answer counts as a denial.
        let _ = link.tx.try_send(frame);
        true
    }

    /// Sends a report of loads to the control instance that collects those of `zone`.
    ///
    /// It is one of that zone if possible. All ingresses with the same links choose the same instance.
    /// Returns `false` if no linked instance collects loads, or the queue of its link is full.
    pub(crate) fn send_to_collector(&self, zone: &str, frame: Frame) -> bool {
        let links = self.links();
        let collectors = links.open.iter().filter(|(_, link)| link.collects_loads);
        let collector = collectors
            .max_by_key(|(address, link)| (*link.zone == *zone, rendezvous(**address, zone)));
        collector.is_some_and(|(_, link)| link.tx.try_send(frame).is_ok())
    }

    /// Returns the linked control instances in the order in which the ingress `name` asks them.
    ///
    /// Each ingress has another order, which is the same as long as the links are.
    pub fn sources(&self, name: &str) -> Vec<DeploymentSource> {
        let links = self.links();
        let sources = links.open.iter().filter_map(|(address, link)| {
            Some(DeploymentSource {
                address: *address,
                tx: link.tx.clone(),
                sends_patches: link.sends_patches?,
            })
        });
        let mut sources: Vec<_> = sources.collect();
        let rank =
            |source: &DeploymentSource| Digest::of(format!("{}/{name}", source.address).as_bytes());
        sources.sort_by_cached_key(rank);
        sources
    }

    /// Reports the version of the active deployment to the control instances that count it.
    pub fn report_in_force(&self, version: u64) {
        for link in self.links().open.values() {
            if link.sends_patches == Some(true) {
                // A full queue drops the report, and the next version replaces it.
                let _ = link.tx.try_send(Frame::DeploymentInForce { version });
            }
        }
    }

    /// Marks a link as one to an instance that lists relays; returns whether it is new.
    fn add_relay_link(&self, address: SocketAddr) -> bool {
        let mut links = self.links();
        let link = links.open.get_mut(&address);
        link.is_some_and(|link| !std::mem::replace(&mut link.lists_relays, true))
    }

    /// Tells the control instances whether other ingresses may send requests to `address`.
    pub fn report_relay_status(&self, address: SocketAddr, available: bool) {
        self.send_to_relay_links(&Frame::RelayStatus { address, available });
    }

    /// Asks the control instances for ingresses that reach targets.
    pub fn ask_relays(&self) {
        self.send_to_relay_links(&Frame::AskRelays);
    }

    fn send_to_relay_links(&self, frame: &Frame) {
        for link in self.links().open.values().filter(|link| link.lists_relays) {
            // A full queue drops the frame. The other instances receive it, and questions are
            // repeated while no target can be reached.
            let _ = link.tx.try_send(frame.clone());
        }
    }

    /// Records whether a control instance sends changes; returns whether that was unknown.
    fn record_source(&self, address: SocketAddr, sends_patches: bool) -> bool {
        let mut links = self.links();
        let link = links.open.get_mut(&address);
        link.is_some_and(|link| link.sends_patches.replace(sends_patches).is_none())
    }

    fn record_issuer(&self, address: SocketAddr, issues_permits: bool) {
        if let Some(link) = self.links().open.get_mut(&address) {
            link.issues_permits = issues_permits;
        }
    }

    fn record_collector(&self, address: SocketAddr, collects_loads: bool) {
        if let Some(link) = self.links().open.get_mut(&address) {
            link.collects_loads = collects_loads;
        }
    }

    /// Marks a link as one to an instance that accepts subscriptions, and tells it what is wanted.
    fn subscribe(&self, address: SocketAddr) {
        let mut links = self.links();
        let Some(link) = links.open.get_mut(&address) else {
            return;
        };
        if std::mem::replace(&mut link.accepts_subscriptions, true) {
            return;
        }
        // A full queue drops a frame: the instance then sends the list of members, or findings too.
        let _ = link.tx.try_send(Frame::WatchCounts);
        let _ = link.tx.try_send(Frame::WantFindings { wanted: false });
        links.choose_findings_source();
    }

    /// Removes a link that has closed.
    fn close(&self, address: SocketAddr) {
        let mut links = self.links();
        links.open.remove(&address);
        if links.findings_from == Some(address) {
            links.findings_from = None;
            links.choose_findings_source();
        }
    }

    /// Returns this ingress's own findings, which suffice for a link that accepts subscriptions.
    ///
    /// Returns `None` for another link.
    fn own_findings_for(&self, address: SocketAddr) -> Option<Vec<Finding>> {
        let links = self.links();
        let suffice = links.open.get(&address)?.accepts_subscriptions;
        suffice.then(|| links.own_findings.iter().cloned().collect())
    }

    /// Marks a link as one on which findings are shared; returns whether it is new.
    fn add_finding_link(&self, address: SocketAddr) -> bool {
        let mut links = self.links();
        let link = links.open.get_mut(&address);
        link.is_some_and(|link| !std::mem::replace(&mut link.shares_findings, true))
    }
}

/// Returns the rank of a control instance among those that could be responsible for `key`.
///
/// The instance with the highest rank is.
fn rendezvous(address: SocketAddr, key: &str) -> Digest {
    Digest::of(format!("{address}/{key}").as_bytes())
}

impl LinkTable {
    /// Chooses the control instance that sends findings, unless there is one; one nearby is preferred.
    fn choose_findings_source(&mut self) {
        let current = self
            .findings_from
            .and_then(|address| self.open.get(&address));
        if current.is_some_and(|link| link.is_near) {
            return;
        }
        let sources = self.open.iter();
        let best = sources
            .filter(|(_, link)| link.accepts_subscriptions)
            .max_by_key(|(address, link)| (link.is_near, Some(**address) == self.findings_from));
        let Some((address, link)) = best else { return };
        if self.findings_from == Some(*address) {
            return;
        }
        // A full queue drops the request; no findings of others come then until this link closes.
        let _ = link.tx.try_send(Frame::WantFindings { wanted: true });
        if let Some(link) = current {
            let _ = link.tx.try_send(Frame::WantFindings { wanted: false });
        }
        self.findings_from = Some(*address);
    }
}

/// Starts links to the control instances that the settings name as seeds.
///
/// The instances then announce the addresses of the others, to which links are started as well.
pub(crate) fn start(shared: &Arc<Shared>, key: &SharedKey) {
    connect_new(shared, key, shared.settings.seed_links());
    tokio::spawn(deployments::run(Arc::clone(shared)));
}

/// For each new address, starts a task that keeps a link to it open.
pub(crate) fn connect_new(shared: &Arc<Shared>, key: &SharedKey, addresses: Vec<SocketAddr>) {
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
        sends_patches: None,
        lists_relays: false,
        is_near: link.peer.zone == shared.settings.zone,
        accepts_subscriptions: false,
        calls_ingresses: false,
        hears_leader: true,
        collects_loads: false,
        zone: link.peer.zone.clone(),
    };
    shared.control.links().open.insert(address, open);
    shared.metrics.control_links.inc();
    while let Some(frame) = link.rx.recv().await {
        if !handle_frame(shared, key, address, &link.tx, frame) {
            break;
        }
    }
    shared.control.close(address);
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
            sends_patches,
            lists_relays,
            accepts_subscriptions,
            calls_ingresses,
            hears_leader,
            wants_all_findings,
            collects_loads,
        } => {
            let own = ingress_zones.iter();
            let own = own.filter(|zone| **zone == shared.settings.zone).count();
            shared.record_ingresses(ingress_zones.len() as u32, own as u32);
            if accepts_subscriptions {
                shared.control.subscribe(address);
            }
            shared.control.record_leader(address, hears_leader);
            if calls_ingresses {
                shared.control.add_caller(address);
            }
            shared.control.record_issuer(address, issues_permits);
            shared.control.record_collector(address, collects_loads);
            let is_new = shared.control.record_source(address, sends_patches);
            if let Some(version) = shared.version().filter(|_| is_new && sends_patches) {
                // A full queue drops the report, and the next version replaces it.
                let _ = tx.try_send(Frame::DeploymentInForce { version });
            }
            if lists_relays
                && shared.control.add_relay_link(address)
                && let Some((address, available)) = shared.relay_status()
            {
                // A full queue drops the status, and this ingress is then not listed there.
                let _ = tx.try_send(Frame::RelayStatus { address, available });
            }
            shared.content.prune(shared.now());
            connect_new(shared, key, links);
            !accepts_findings
                || !shared.control.add_finding_link(address)
                || send_findings(shared, address, wants_all_findings, tx)
        }
        Frame::MemberCounts {
            links,
            ingresses,
            hears_leader,
        } => {
            shared.control.record_leader(address, hears_leader);
            let own = ingresses.get(&shared.settings.zone).copied();
            shared.record_ingresses(ingresses.values().sum(), own.unwrap_or(0));
            shared.content.prune(shared.now());
            connect_new(shared, key, links);
            true
        }
        Frame::IngressAddresses { last_linked_ms } => {
            shared.control.record_ingresses(last_linked_ms);
            true
        }
        Frame::Relays { addresses } => {
            shared.relays.update(addresses);
            true
        }
        Frame::Permit { id, wait_ms } => {
            let denied = wait_ms.map(|wait_ms| Permit::Denied { wait_ms });
            shared.permits.answer(id, denied.unwrap_or(Permit::Granted));
            true
        }
        Frame::ZoneLoads {
            zone,
            sequence_seen,
            entries,
        } => {
            loads::handle_sums(shared, &zone, sequence_seen, &entries);
            true
        }
        Frame::CrashFindings { findings } => {
            shared.content.apply(shared.now(), &findings);
            true
        }
        Frame::DeploymentHead { version } => {
            shared.deployments.announce(version);
            true
        }
        Frame::Deployment { version, document } => {
            let bytes = document;
            let document = Arc::new(DeploymentDocument { version, bytes });
            deployments::handle_document(shared, address, document);
            true
        }
        Frame::DeploymentPatches { patches } => {
            deployments::handle_patches(shared, address, &patches);
            true
        }
        Frame::Registrations { push, records } => {
            apply_registrations(shared, records);
            push == 0 || tx.try_send(Frame::RegistrationsSeen { push }).is_ok()
        }
        _ => true,
    }
}

fn apply_registrations(shared: &Shared, records: Vec<Registration>) {
    let now = shared.now();
    {
        let mut targets = shared.targets();
        for record in records {
            targets.apply(record, now);
        }
    }
    shared.notify_failure();
}

/// Sends findings on a new link; returns `false` if its queue is full.
///
/// `all_wanted` tells whether the control instance has asked for those of other ingresses as well.
fn send_findings(
    shared: &Shared,
    address: SocketAddr,
    all_wanted: bool,
    tx: &mpsc::Sender<Frame>,
) -> bool {
    let own = shared.control.own_findings_for(address);
    let own = own.filter(|_| !all_wanted);
    let findings = own.unwrap_or_else(|| shared.content.findings());
    tx.try_send(Frame::CrashFindings { findings }).is_ok()
}
