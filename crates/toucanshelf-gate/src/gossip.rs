//! Links to the other gates: target records, revisions and suspects.

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

/// Time between tries to reach another gate.
const RECONNECT: Duration = Duration::from_millis(300);
/// Time between comparisons of the records with one other gate.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between looks at the leases held here.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);
/// Gates to which a change is sent at once; the others get it from those.
const FANOUT: usize = 8;
/// Gates to which a change that came from another gate is passed on.
const RELAY_FANOUT: usize = 3;
/// Most records in one frame.
const RECORDS_PER_FRAME: usize = 256;

#[derive(Debug)]
struct Peer {
    name: Box<str>,
    tx: mpsc::Sender<Frame>,
}

/// Links to the other gates.
#[derive(Debug, Default)]
pub struct Gossip {
    links: Mutex<BTreeMap<u64, Peer>>,
    next_id: AtomicU64,
}

impl Gossip {
    /// Creates a table without links.
    pub fn new() -> Self {
        Self::default()
    }

    /// Place of the gate `own` among all linked ones by name, and their number with it.
    pub fn rank(&self, own: &str) -> (usize, usize) {
        let peers = self.peers();
        let before = peers.keys().filter(|name| &***name < own).count();
        (before, peers.len() + 1)
    }

    /// Number of linked gates.
    pub fn linked_gates(&self) -> usize {
        self.peers().len()
    }

    /// Sends a frame to up to [`FANOUT`] gates.
    pub fn broadcast(&self, frame: &Frame) {
        self.send_to(FANOUT, None, frame);
    }

    /// Tells the other gates what this one has counted for a suspected request.
    pub fn spread_suspect(&self, gate: &str, fingerprint: u64, count: LossCount) {
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
            // A full queue means a slow gate; it catches up by comparison.
            let _ = tx.try_send(frame.clone());
        }
    }

    /// One link to each linked gate.
    fn peers(&self) -> BTreeMap<Box<str>, mpsc::Sender<Frame>> {
        let links = self.links.lock().expect("no holder panics");
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
            .expect("no holder panics")
            .insert(id, peer);
        id
    }

    /// Removes a link; returns whether it was the last one to its gate.
    fn remove(&self, id: u64) -> bool {
        let mut links = self.links.lock().expect("no holder panics");
        let Some(gone) = links.remove(&id) else {
            return false;
        };
        links.values().all(|peer| peer.name != gone.name)
    }
}

/// Starts all tasks of the gossip.
pub(crate) fn start(
    shared: &Arc<Shared>,
    hello: &Hello,
    key: &SharedKey,
    links: mpsc::Receiver<Link>,
) {
    until_end(shared, accept_links(Arc::clone(shared), links));
    until_end(shared, compare(Arc::clone(shared)));
    until_end(shared, expire(Arc::clone(shared)));
    for address in shared.settings.peers.clone() {
        let (hello, key) = (hello.clone(), key.clone());
        until_end(shared, keep_link(Arc::clone(shared), address, hello, key));
    }
}

fn until_end(shared: &Arc<Shared>, task: impl Future<Output = ()> + Send + 'static) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::select! {
            () = task => {}
            () = shared.ended() => {}
        }
    });
}

async fn keep_link(shared: Arc<Shared>, address: SocketAddr, hello: Hello, key: SharedKey) {
    loop {
        match link::connect(address, &hello, &key).await {
            Ok(link) => run_link(&shared, link).await,
            Err(e) => tracing::debug!(event = "TS3301", %address, cause = %e, "no gate link"),
        }
        tokio::time::sleep(RECONNECT).await;
    }
}

async fn accept_links(shared: Arc<Shared>, mut links: mpsc::Receiver<Link>) {
    while let Some(link) = links.recv().await {
        if link.peer.role == PeerRole::Gate && link.peer.name != shared.settings.name {
            let task = Arc::clone(&shared);
            until_end(&shared, async move { run_link(&task, link).await });
        }
    }
}

async fn run_link(shared: &Arc<Shared>, mut link: Link) {
    let name = link.peer.name.clone();
    let id = shared.gossip.add(&link);
    tracing::info!(event = "TS3302", gate = %name, "gate linked");
    shared.view().release_adopted(&name);
    greet(shared, &link.tx).await;
    while let Some(frame) = link.rx.recv().await {
        take_frame(shared, &name, &link.tx, frame);
    }
    if shared.gossip.remove(id) {
        let adopted = shared.view().adopt(shared.now(), &name);
        tracing::warn!(event = "TS3303", gate = %name, adopted, "gate lost");
    }
}

async fn greet(shared: &Shared, tx: &mpsc::Sender<Frame>) {
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

async fn compare(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(COMPARE_INTERVAL);
    loop {
        interval.tick().await;
        let hash = shared.view().hash();
        shared.gossip.send_to(1, None, &Frame::RecordsHash { hash });
        let known = shared.control.known();
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

async fn expire(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(EXPIRE_INTERVAL);
    loop {
        interval.tick().await;
        let lost = shared.view().expire(shared.now());
        for record in &lost {
            tracing::warn!(event = "TS3304", target = %record.name, "lease ended");
        }
        targets::spread(&shared, lost);
    }
}

fn take_frame(shared: &Arc<Shared>, from: &str, tx: &mpsc::Sender<Frame>, frame: Frame) {
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
            let news = shared.view().merge(shared.now(), records);
            targets::apply(shared, &news);
            if !news.is_empty() {
                shared.gossip.relay(from, &Frame::Records { records: news });
            }
        }
        Frame::Head { log, revision } => shared.control.hear(log, revision),
        Frame::FetchConfiguration => {
            let in_force = shared.in_force();
            if let Some(log) = in_force.log() {
                let snapshot = in_force.configuration().snapshot();
                let _ = tx.try_send(Frame::Configuration { log, snapshot });
            }
        }
        Frame::Configuration { log, snapshot }
            // Only for a start without control; afterwards the control link keeps in step.
            if (shared.revision().is_none() || !shared.control.is_current()) => {
                shared.take_snapshot(log, snapshot);
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
    for chunk in records.chunks(RECORDS_PER_FRAME) {
        let _ = tx.try_send(Frame::Records {
            records: chunk.to_vec(),
        });
    }
}
