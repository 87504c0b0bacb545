//! Links to the other control instances.
//!
//! Each instance opens a link to every other one. Over the links it opens, an instance sends log
//! replication messages, registrations of targets, and commands for the leader.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use toucanshelf_coordination::replica::{Message, ReplicaId};
use toucanshelf_core::crash::Finding;
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_link::frame::{Frame, LogId, SubmitError};
use toucanshelf_link::handshake::{Hello, SharedKey};
use toucanshelf_link::link::{self, Link};

use crate::Shared;
use crate::directory::findings;
use crate::settings::ControlSettings;

/// Delay before a link that closed or failed to open is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Time limit for the leader's reply to a forwarded command.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

type ReplySender = oneshot::Sender<Result<Reply, SubmitError>>;

/// Commands of the log that a replica can read although older programs can't.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadableCommands {
    /// Whether it reads [`CommandBody::DeployPatch`].
    pub patches: bool,
    /// Whether it reads [`CommandBody::RecordLeaving`].
    pub leaving: bool,
}

/// An open link to another control instance, and what that instance has reported.
#[derive(Debug)]
struct Peer {
    replica: Option<ReplicaId>,
    tx: mpsc::Sender<Frame>,
    /// Whether the peer has reported that it has no replicated log.
    ///
    /// `None` until the peer has reported whether it has one.
    has_empty_disk: Option<bool>,
    /// Whether the peer accepts findings about content that crashes targets.
    accepts_findings: bool,
    /// Whether the peer accepts [`Frame::Leaving`].
    accepts_departures: bool,
}

/// Addresses of the other known control instances, and the open links to them.
#[derive(Debug)]
pub struct Peers {
    hello: Hello,
    key: SharedKey,
    own_address: SocketAddr,
    addresses: Mutex<BTreeSet<SocketAddr>>,
    bootstrap: bool,
    links: Mutex<BTreeMap<SocketAddr, Peer>>,
    /// Newer commands that the replicas have reported to read.
    readable: Mutex<BTreeMap<ReplicaId, ReadableCommands>>,
    /// Senders of the replies to forwarded commands, by the id of the command.
    pending_replies: Mutex<BTreeMap<u64, ReplySender>>,
    next_id: AtomicU64,
}

impl Peers {
    /// Creates the table of links without opening any.
    pub fn new(settings: &ControlSettings, hello: Hello, key: SharedKey) -> Self {
        Self {
            hello,
            key,
            own_address: settings.link_listen,
            addresses: Mutex::default(),
            bootstrap: settings.bootstrap,
            links: Mutex::default(),
            readable: Mutex::default(),
            pending_replies: Mutex::default(),
            next_id: AtomicU64::new(1),
        }
    }

    /// Returns the identity that this instance sends on new links.
    pub(crate) fn hello(&self) -> &Hello {
        &self.hello
    }

    /// Returns the key that authenticates links.
    pub(crate) fn key(&self) -> &SharedKey {
        &self.key
    }

    /// Starts tasks that keep links open to the control instances in the settings.
    pub(crate) fn start(&self, shared: &Arc<Shared>) {
        for address in shared.settings.known_links() {
            self.add_address(shared, address);
        }
    }

    /// Starts a task that keeps a link to a new `address` open.
    ///
    /// Has no effect if the address is known or is this instance's own.
    pub(crate) fn add_address(&self, shared: &Arc<Shared>, address: SocketAddr) {
        if address != self.own_address && self.addresses().insert(address) {
            tracing::info!(event = "TS2202", %address, "control instance discovered");
            tokio::spawn(keep_link(Arc::clone(shared), address));
        }
    }

    fn addresses(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.addresses.lock().expect("no lock holder panics")
    }

    /// Returns the link addresses of all known control instances, including this one.
    pub fn members(&self) -> Vec<SocketAddr> {
        let addresses = self.addresses();
        addresses
            .iter()
            .copied()
            .chain([self.own_address])
            .collect()
    }

    /// Returns the link addresses of the control instances that run now, including this one.
    pub(crate) fn linked(&self) -> Vec<SocketAddr> {
        let links = self.links.lock().expect("no lock holder panics");
        links.keys().copied().chain([self.own_address]).collect()
    }

    /// Sends a frame to each linked control instance.
    ///
    /// The frame is dropped for an instance whose outgoing queue is full.
    pub fn broadcast(&self, frame: &Frame) {
        let links = self.links.lock().expect("no lock holder panics");
        for peer in links.values() {
            // If a full queue drops a registration, the target's next heartbeat replaces it.
            let _ = peer.tx.try_send(frame.clone());
        }
    }

    /// Marks the linked instance at `address` as one that accepts findings from now on.
    ///
    /// Returns the sender of frames to it, or `None` if the link has closed.
    pub(crate) fn add_finding_peer(&self, address: SocketAddr) -> Option<mpsc::Sender<Frame>> {
        let mut links = self.links.lock().expect("no lock holder panics");
        let peer = links.get_mut(&address)?;
        peer.accepts_findings = true;
        Some(peer.tx.clone())
    }

    fn record_accepts_departures(&self, address: SocketAddr, accepts_departures: bool) {
        let mut links = self.links.lock().expect("no lock holder panics");
        if let Some(peer) = links.get_mut(&address) {
            peer.accepts_departures = accepts_departures;
        }
    }

    /// Announces to the linked control instances that this one is about to stop.
    pub(crate) fn announce_departure(&self) {
        let links = self.links.lock().expect("no lock holder panics");
        for peer in links.values().filter(|peer| peer.accepts_departures) {
            // A full queue drops the announcement, which is repeated while this instance waits.
            let _ = peer.tx.try_send(Frame::Leaving);
        }
    }

    /// Returns whether an instance with one of the `replicas` is linked, so that it runs now.
    pub(crate) fn is_any_linked(&self, replicas: &BTreeSet<ReplicaId>) -> bool {
        let links = self.links.lock().expect("no lock holder panics");
        let mut linked = links.values().filter_map(|peer| peer.replica);
        linked.any(|replica| replicas.contains(&replica))
    }

    /// Sends findings to each linked control instance that accepts them.
    pub(crate) fn share_findings(&self, findings: &[Finding]) {
        let links = self.links.lock().expect("no lock holder panics");
        for peer in links.values().filter(|peer| peer.accepts_findings) {
            let findings = findings.to_vec();
            // A full queue drops the findings; the peer receives all of them on its next link, and
            // these also from the ingresses that are linked to it.
            let _ = peer.tx.try_send(Frame::CrashFindings { findings });
        }
    }

    /// Sends a log replication message to the replica that it is addressed to.
    ///
    /// Without an open link to that replica, the message is dropped.
    pub fn send(&self, message: Message) {
        let links = self.links.lock().expect("no lock holder panics");
        if let Some(peer) = links.values().find(|peer| peer.replica == Some(message.to)) {
            // The queue of a slow peer may be full. The message is then dropped, and the leader
            // sends it again.
            let _ = peer.tx.try_send(Frame::Replica(message));
        }
    }

    /// Forwards a command to the leading replica and returns the state machine's reply.
    ///
    /// # Errors
    ///
    /// Fails with [`SubmitError::NotTaken`] only when the command will never be committed.
    pub async fn forward(
        &self,
        leader: ReplicaId,
        body: CommandBody,
    ) -> Result<Reply, SubmitError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (reply_tx, reply) = oneshot::channel();
        let sent = {
            let links = self.links.lock().expect("no lock holder panics");
            let peer = links.values().find(|peer| peer.replica == Some(leader));
            let frame = Frame::Submit {
                id,
                body,
                forward: false,
            };
            self.pending_replies
                .lock()
                .expect("no lock holder panics")
                .insert(id, reply_tx);
            peer.is_some_and(|peer| peer.tx.try_send(frame).is_ok())
        };
        if !sent {
            self.remove_pending_reply(id);
            return Err(SubmitError::NotTaken("the leader can't be reached".into()));
        }
        let result = tokio::time::timeout(FORWARD_TIMEOUT, reply).await;
        self.remove_pending_reply(id);
        match result {
            Ok(Ok(result)) => result,
            _ => Err(SubmitError::Unknown("the leader has not answered".into())),
        }
    }

    fn remove_pending_reply(&self, id: u64) -> Option<ReplySender> {
        self.pending_replies
            .lock()
            .expect("no lock holder panics")
            .remove(&id)
    }

    /// Returns whether all `replicas` can read the command that `reads` names.
    ///
    /// One that can't runs an older program, which fails on a log with that command. Returns `None` if
    /// none has reported that, but some have reported nothing.
    pub(crate) fn all_read(
        &self,
        replicas: &[ReplicaId],
        reads: impl Fn(&ReadableCommands) -> bool,
    ) -> Option<bool> {
        let readable = self.readable.lock().expect("no lock holder panics");
        let reports: Vec<_> = replicas
            .iter()
            .map(|id| readable.get(id).map(&reads))
            .collect();
        if reports.contains(&Some(false)) {
            return Some(false);
        }
        reports.iter().all(Option::is_some).then_some(true)
    }

    /// Returns whether every other known instance has reported that it has no log.
    fn all_disks_empty(&self) -> bool {
        let links = self.links.lock().expect("no lock holder panics");
        let empty_disks = links
            .values()
            .filter(|peer| peer.has_empty_disk == Some(true))
            .count();
        empty_disks == self.addresses().len()
    }
}

/// Opens a link to the control instance at `address`, and again whenever it closes.
async fn keep_link(shared: Arc<Shared>, address: SocketAddr) {
    loop {
        let peers = &shared.peers;
        match link::connect(address, &peers.hello, &peers.key).await {
            Ok(link) => run_link(&shared, address, link).await,
            Err(e) => tracing::debug!(event = "TS2201", %address, cause = %e, "link failed"),
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Adds a new link to [`Peers`] and handles its frames until it closes.
async fn run_link(shared: &Arc<Shared>, address: SocketAddr, mut link: Link) {
    let peers = &shared.peers;
    let replica = link.peer.replica;
    if let Some(replica) = replica {
        shared.driver.record_replica(replica);
    }
    tracing::info!(event = "TS2203", %address, replica = ?replica, "control instance linked");
    let introduction = Frame::Introduce {
        link: peers.own_address,
    };
    if link.tx.try_send(introduction).is_err() {
        return;
    }
    let peer = Peer {
        replica,
        tx: link.tx.clone(),
        has_empty_disk: None,
        accepts_findings: false,
        accepts_departures: false,
    };
    peers
        .links
        .lock()
        .expect("no lock holder panics")
        .insert(address, peer);
    while let Some(frame) = link.rx.recv().await {
        match frame {
            Frame::Submitted { id, result } => {
                if let Some(reply) = peers.remove_pending_reply(id) {
                    let _ = reply.send(result);
                }
            }
            Frame::Standing {
                log,
                reads_patches,
                calls_ingresses,
                accepts_findings,
                accepts_departures,
                reads_leaving,
            } => {
                if calls_ingresses && let Some(directory) = &shared.directory {
                    let last_linked_ms = directory.ingress_addresses().ages(directory.now());
                    // A full queue drops the list; other instances send theirs as well.
                    let _ = link.tx.try_send(Frame::IngressAddresses { last_linked_ms });
                }
                if let Some(replica) = replica {
                    let commands = ReadableCommands {
                        patches: reads_patches,
                        leaving: reads_leaving,
                    };
                    let mut readable = peers.readable.lock().expect("no lock holder panics");
                    readable.insert(replica, commands);
                }
                peers.record_accepts_departures(address, accepts_departures);
                handle_standing(shared, address, log);
                if accepts_findings && !findings::send_all(shared, address) {
                    break;
                }
            }
            Frame::Members { links, .. } => {
                for link in links {
                    peers.add_address(shared, link);
                }
            }
            _ => {}
        }
    }
    peers
        .links
        .lock()
        .expect("no lock holder panics")
        .remove(&address);
    tracing::warn!(event = "TS2204", %address, "link to control instance closed");
}

/// Records whether the control instance at `address` has a replicated log.
///
/// If this instance may bootstrap and no known instance has a log, it creates one.
fn handle_standing(shared: &Arc<Shared>, address: SocketAddr, log: Option<LogId>) {
    let peers = &shared.peers;
    if let Some(peer) = peers
        .links
        .lock()
        .expect("no lock holder panics")
        .get_mut(&address)
    {
        peer.has_empty_disk = Some(log.is_none());
    }
    if peers.bootstrap && shared.driver.log().is_none() && peers.all_disks_empty() {
        shared.driver.bootstrap();
    }
}

/// Handles the frames on a link that another control instance has opened.
pub(crate) async fn serve(shared: Arc<Shared>, mut link: Link) {
    let log = shared.driver.log();
    let standing = Frame::Standing {
        log,
        reads_patches: true,
        calls_ingresses: true,
        accepts_findings: true,
        accepts_departures: true,
        reads_leaving: true,
    };
    if link.tx.send(standing).await.is_err() {
        return;
    }
    while let Some(frame) = link.rx.recv().await {
        match frame {
            Frame::Replica(message) => shared.driver.receive(message),
            Frame::Leaving => {
                if let Some(replica) = link.peer.replica {
                    shared.driver.announce_departure(replica);
                }
            }
            Frame::Introduce { link: address } => {
                shared.peers.add_address(&shared, address);
                let members = shared.peers.members();
                let frame = Frame::Members {
                    links: members,
                    ingress_zones: Vec::new(),
                    accepts_findings: false,
                    issues_permits: false,
                    sends_patches: false,
                    lists_relays: false,
                    accepts_subscriptions: false,
                    calls_ingresses: false,
                    hears_leader: shared.driver.status().current,
                    wants_all_findings: false,
                    collects_loads: false,
                };
                if link.tx.try_send(frame).is_err() {
                    return;
                }
            }
            Frame::Registrations { records, .. } => {
                if let Some(directory) = &shared.directory {
                    directory.apply_forwarded(records);
                }
            }
            Frame::IngressAddresses { last_linked_ms } => {
                if let Some(directory) = &shared.directory {
                    directory.record_ingress_addresses(last_linked_ms);
                }
            }
            Frame::CrashFindings { findings } => findings::receive_from_peer(&shared, findings),
            Frame::Submit { id, body, .. } => {
                let (shared, tx) = (Arc::clone(&shared), link.tx.clone());
                tokio::spawn(async move {
                    let result = shared.driver.submit(body).await;
                    let _ = tx.send(Frame::Submitted { id, result }).await;
                });
            }
            _ => {}
        }
    }
}
