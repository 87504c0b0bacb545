//! Gossip between gates: membership records, configuration revisions and suspected requests.
//!
//! A membership record states whether a target is available. A revision is the number of a version
//! of the configuration. A suspected request is one that may have crashed targets. Changes are sent
//! at once; differences that remain are found by regular comparison of the records.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::seq::IndexedRandom as _;
use tokio::sync::mpsc;
use toucanshelf_link::frame::{Frame, TargetRecord};
use toucanshelf_link::handshake::{Hello, PeerRole, SharedKey};
use toucanshelf_link::link::{self, Link};

use toucanshelf_routing::quarantine::{LossCount, Losses};

use crate::shared::Shared;
use crate::targets;

/// Delay before another attempt to connect to a gate.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// Interval at which membership records are compared with those of a random gate.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the leases that targets have at this gate are checked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of gates to which this gate sends its own change.
///
/// The receivers relay the change further.
const BROADCAST_FANOUT: usize = 8;
/// Maximum number of gates to which a change from another gate is relayed.
const RELAY_FANOUT: usize = 3;
/// Maximum number of membership records in one frame.
const MAX_RECORDS_PER_FRAME: usize = 256;

/// Gate at the other end of a link.
#[derive(Debug)]
struct Peer {
    name: Box<str>,
    tx: mpsc::Sender<Frame>,
}

/// Open links to the other gates.
#[derive(Debug, Default)]
pub struct Gossip {
    /// Open links by identifier; two gates can have several links to each other.
    links: Mutex<BTreeMap<u64, Peer>>,
    next_id: AtomicU64,
}

impl Gossip {
    /// Creates the state of a gate without open links.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the rank of `own` among the sorted gate names, and their number.
    ///
    /// The names are those of the linked gates and `own` itself. The first rank is 0.
    pub fn rank(&self, own: &str) -> (usize, usize) {
        let peers = self.peers();
        let before = peers.keys().filter(|name| &***name < own).count();
        (before, peers.len() + 1)
    }

    /// Returns the number of gates that are linked to this one.
    pub fn linked_gates(&self) -> usize {
        self.peers().len()
    }

    /// Sends a frame to up to `BROADCAST_FANOUT` randomly chosen gates.
    pub fn broadcast(&self, frame: &Frame) {
        self.send_to(BROADCAST_FANOUT, None, frame);
    }

    /// Sends other gates the number of targets lost here while running a request.
    ///
    /// A lost target has crashed or disconnected. The request is identified by `fingerprint`, a
    /// hash of its model and prompt. `gate` is the name of this gate.
    pub fn broadcast_suspect(&self, gate: &str, fingerprint: u64, count: LossCount) {
        let Losses {
            starting,
            streaming,
        } = count.losses;
        let (gate, version) = (gate.into(), count.version);
        self.broadcast(&Frame::Suspect {
            fingerprint,
            gate,
            version,
            starting,
            streaming,
        });
    }

    /// Relays a frame that came from the gate `from`.
    fn relay(&self, from: &str, frame: &Frame) {
        self.send_to(RELAY_FANOUT, Some(from), frame);
    }

    fn send_to(&self, fanout: usize, except: Option<&str>, frame: &Frame) {
        let peers = self.peers();
        let others: Vec<_> = peers
            .iter()
            .filter(|(name, _)| except != Some(name))
            .collect();
        for (_, tx) in others.sample(&mut rand::rng(), fanout) {
            // The frame is dropped if the queue to a slow gate is full. The gate gets missed
            // records when the records are next compared.
            let _ = tx.try_send(frame.clone());
        }
    }

    /// Returns one sender for each linked gate, by the name of the gate.
    fn peers(&self) -> BTreeMap<Box<str>, mpsc::Sender<Frame>> {
        let links = self.links.lock().expect("lock is not poisoned");
        links
            .values()
            .map(|peer| (peer.name.clone(), peer.tx.clone()))
            .collect()
    }

    fn add(&self, link: &Link) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let peer = Peer {
            name: link.peer.name.clone(),
            tx: link.tx.clone(),
        };
        self.links
            .lock()
            .expect("lock is not poisoned")
            .insert(id, peer);
        id
    }

    /// Removes a link and returns whether it was the last one to its gate.
    fn remove(&self, id: u64) -> bool {
        let mut links = self.links.lock().expect("lock is not poisoned");
        let Some(removed) = links.remove(&id) else {
            return false;
        };
        links.values().all(|peer| peer.name != removed.name)
    }
}

/// Starts the tasks that exchange state with the other gates.
pub(crate) fn start(
    shared: &Arc<Shared>,
    hello: &Hello,
    key: &SharedKey,
    links: mpsc::Receiver<Link>,
) {
    spawn_until_stopped(shared, accept_links(Arc::clone(shared), links));
    spawn_until_stopped(shared, run_anti_entropy(Arc::clone(shared)));
    spawn_until_stopped(shared, expire_leases(Arc::clone(shared)));
    for address in shared.settings.peers.clone() {
        let (hello, key) = (hello.clone(), key.clone());
        spawn_until_stopped(
            shared,
            maintain_link(Arc::clone(shared), address, hello, key),
        );
    }
}

/// Spawns a task that is cancelled when the gate has stopped.
fn spawn_until_stopped(shared: &Arc<Shared>, task: impl Future<Output = ()> + Send + 'static) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::select! {
            () = task => {}
            () = shared.stopped() => {}
        }
    });
}

/// Keeps a link to the gate at `address` open.
async fn maintain_link(shared: Arc<Shared>, address: SocketAddr, hello: Hello, key: SharedKey) {
    loop {
        match link::connect(address, &hello, &key).await {
            Ok(link) => run_link(&shared, link).await,
            Err(e) => tracing::debug!(event = "TS3301", %address, cause = %e, "connection failed"),
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Serves the links that other gates open to this one.
async fn accept_links(shared: Arc<Shared>, mut links: mpsc::Receiver<Link>) {
    while let Some(link) = links.recv().await {
        if link.peer.role == PeerRole::Gate && link.peer.name != shared.settings.name {
            let task = Arc::clone(&shared);
            spawn_until_stopped(&shared, async move { run_link(&task, link).await });
        }
    }
}

/// Serves one link until it closes.
async fn run_link(shared: &Arc<Shared>, mut link: Link) {
    let name = link.peer.name.clone();
    let id = shared.gossip.add(&link);
    tracing::info!(event = "TS3302", gate = %name, "link to gate opened");
    shared.view().release_adopted(&name);
    request_sync(shared, &link.tx).await;
    while let Some(frame) = link.rx.recv().await {
        handle_frame(shared, &name, &link.tx, frame);
    }
    if shared.gossip.remove(id) {
        let adopted = shared.view().adopt(shared.now(), &name);
        tracing::warn!(event = "TS3303", gate = %name, adopted, "last link to gate closed");
    }
}

/// Requests missing records and a missing configuration from a newly linked gate.
async fn request_sync(shared: &Shared, tx: &mpsc::Sender<Frame>) {
    let digests = shared.view().digests();
    let _ = tx
        .send(Frame::RecordDigests {
            digests,
            answer: true,
        })
        .await;
    if shared.revision().is_none() {
        let _ = tx.send(Frame::FetchConfiguration).await;
    }
}

/// Regularly sends the records' hash and the newest known revision to other gates.
///
/// Each of the two goes to one random gate.
async fn run_anti_entropy(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(ANTI_ENTROPY_INTERVAL);
    loop {
        interval.tick().await;
        let hash = shared.view().hash();
        shared.gossip.send_to(1, None, &Frame::RecordsHash { hash });
        let known = shared.control.newest_known_revision();
        if let Some((log, revision)) = known {
            shared
                .gossip
                .send_to(1, None, &Frame::Head { log, revision });
        }
        shared
            .metrics
            .gate_links
            .set(shared.gossip.linked_gates() as i64);
    }
}

/// Regularly marks targets with expired leases as lost.
async fn expire_leases(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(LEASE_CHECK_INTERVAL);
    loop {
        interval.tick().await;
        let lost = shared.view().expire(shared.now());
        for record in &lost {
            tracing::warn!(event = "TS3304", target = %record.name, "target lease expired");
        }
        targets::publish_changes(&shared, lost);
    }
}

/// Processes a frame that came from the gate `from`.
///
/// Responses are sent to `tx`; changes that are new to this gate are relayed to other gates.
fn handle_frame(shared: &Arc<Shared>, from: &str, tx: &mpsc::Sender<Frame>, frame: Frame) {
    match frame {
        Frame::RecordsHash { hash }
            if hash != shared.view().hash() => {
                let digests = shared.view().digests();
                let _ = tx.try_send(Frame::RecordDigests {
                    digests,
                    answer: true,
                });
            }
        Frame::RecordDigests { digests, answer } => {
            let (records, own) = {
                let view = shared.view();
                (view.missing_from(&digests), view.digests())
            };
            send_records(tx, &records);
            if answer {
                let _ = tx.try_send(Frame::RecordDigests {
                    digests: own,
                    answer: false,
                });
            }
        }
        Frame::Records { records } => {
            let changed = shared.view().merge(shared.now(), records);
            targets::update_fleets(shared, &changed);
            if !changed.is_empty() {
                shared.gossip.relay(from, &Frame::Records { records: changed });
            }
        }
        Frame::Head { log, revision } => shared.control.observe_revision(log, revision),
        Frame::FetchConfiguration => {
            let active = shared.active_configuration();
            if let Some(log) = active.log() {
                let snapshot = active.configuration().snapshot();
                let _ = tx.try_send(Frame::Configuration { log, snapshot });
            }
        }
        Frame::Configuration { log, snapshot }
            // The gate takes the configuration from another gate if it has none yet or if no linked
            // control instance is current. This lets it start while no control instance is
            // reachable. Otherwise, the linked control instance keeps the configuration up to date.
            if (shared.revision().is_none() || !shared.control.is_current()) => {
                shared.apply_snapshot(log, snapshot);
            }
        Frame::Suspect { fingerprint, gate, version, starting, streaming } => {
            let count = LossCount { version, losses: Losses { starting, streaming } };
            let now = shared.now();
            if shared.policy().quarantine.merge(now, fingerprint, &gate, count) {
                let frame = Frame::Suspect { fingerprint, gate, version, starting, streaming };
                shared.gossip.relay(from, &frame);
            }
        }
        _ => {}
    }
}

fn send_records(tx: &mpsc::Sender<Frame>, records: &[TargetRecord]) {
    for chunk in records.chunks(MAX_RECORDS_PER_FRAME) {
        let _ = tx.try_send(Frame::Records {
            records: chunk.to_vec(),
        });
    }
}
