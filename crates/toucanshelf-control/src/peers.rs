//! Links between control instances.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use toucanshelf_coordination::replica::{Message, ReplicaId};
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_link::frame::{Frame, LogId, SubmitError};
use toucanshelf_link::handshake::{Hello, SharedKey};
use toucanshelf_link::link::{self, Link};

use crate::Parts;
use crate::settings::ControlSettings;

/// Time between tries to reach another instance.
const RECONNECT: Duration = Duration::from_millis(200);
/// Time within which the leader must answer a forwarded command.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

type Answer = oneshot::Sender<Result<Reply, SubmitError>>;

#[derive(Debug)]
struct Peer {
    replica: Option<ReplicaId>,
    tx: mpsc::Sender<Frame>,
    /// Whether the peer's disk is empty; unknown until it has said so.
    empty: Option<bool>,
}

/// Links to the other control instances, one for each address in the settings.
#[derive(Debug)]
pub struct Peers {
    hello: Hello,
    key: SharedKey,
    own: SocketAddr,
    addresses: Mutex<BTreeSet<SocketAddr>>,
    bootstrap: bool,
    links: Mutex<BTreeMap<SocketAddr, Peer>>,
    waiting: Mutex<BTreeMap<u64, Answer>>,
    next_id: AtomicU64,
}

impl Peers {
    /// Creates the links' table; [`Peers::start`] opens them.
    pub fn new(settings: &ControlSettings, hello: Hello, key: SharedKey) -> Self {
        Self {
            hello,
            key,
            own: settings.link_listen,
            addresses: Mutex::default(),
            bootstrap: settings.bootstrap,
            links: Mutex::default(),
            waiting: Mutex::default(),
            next_id: AtomicU64::new(1),
        }
    }

    /// Keeps a link open to each address.
    pub(crate) fn start(&self, parts: &Arc<Parts>) {
        for address in parts.settings.known_links() {
            self.learn(parts, address);
        }
    }

    /// Keeps a link open to an instance that someone has told of.
    pub(crate) fn learn(&self, parts: &Arc<Parts>, address: SocketAddr) {
        if address != self.own && self.addresses().insert(address) {
            tracing::info!(event = "TS2202", %address, "control instance known");
            tokio::spawn(keep_link(Arc::clone(parts), address));
        }
    }

    fn addresses(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.addresses.lock().expect("no holder panics")
    }

    /// Link addresses of all control instances that are known, this one included.
    pub fn members(&self) -> Vec<SocketAddr> {
        let addresses = self.addresses();
        addresses.iter().copied().chain([self.own]).collect()
    }

    /// Sends a frame to each linked instance; it is dropped where the queue is full.
    pub fn broadcast(&self, frame: &Frame) {
        let links = self.links.lock().expect("no holder panics");
        for peer in links.values() {
            // The next word of the same target makes up for one that is lost here.
            let _ = peer.tx.try_send(frame.clone());
        }
    }

    /// Sends a message of the replicated log; it is dropped where no link is open.
    pub fn send(&self, message: Message) {
        let links = self.links.lock().expect("no holder panics");
        if let Some(peer) = links.values().find(|peer| peer.replica == Some(message.to)) {
            // A full queue means a slow peer; the leader sends again.
            let _ = peer.tx.try_send(Frame::Replica(message));
        }
    }

    /// Passes a command on to the leader.
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
        let (answer_tx, answer) = oneshot::channel();
        let sent = {
            let links = self.links.lock().expect("no holder panics");
            let peer = links.values().find(|peer| peer.replica == Some(leader));
            let frame = Frame::Submit {
                id,
                body,
                forward: false,
            };
            self.waiting
                .lock()
                .expect("no holder panics")
                .insert(id, answer_tx);
            peer.is_some_and(|peer| peer.tx.try_send(frame).is_ok())
        };
        if !sent {
            self.take_waiting(id);
            return Err(SubmitError::NotTaken("the leader can't be reached".into()));
        }
        let result = tokio::time::timeout(FORWARD_TIMEOUT, answer).await;
        self.take_waiting(id);
        match result {
            Ok(Ok(result)) => result,
            _ => Err(SubmitError::Unknown("the leader has not answered".into())),
        }
    }

    fn take_waiting(&self, id: u64) -> Option<Answer> {
        self.waiting.lock().expect("no holder panics").remove(&id)
    }

    fn all_empty(&self) -> bool {
        let links = self.links.lock().expect("no holder panics");
        let empty = links
            .values()
            .filter(|peer| peer.empty == Some(true))
            .count();
        empty == self.addresses().len()
    }
}

async fn keep_link(parts: Arc<Parts>, address: SocketAddr) {
    loop {
        let peers = &parts.peers;
        match link::connect(address, &peers.hello, &peers.key).await {
            Ok(link) => run_link(&parts, address, link).await,
            Err(e) => tracing::debug!(event = "TS2201", %address, cause = %e, "no link"),
        }
        tokio::time::sleep(RECONNECT).await;
    }
}

async fn run_link(parts: &Arc<Parts>, address: SocketAddr, mut link: Link) {
    let peers = &parts.peers;
    let replica = link.peer.replica;
    if let Some(replica) = replica {
        parts.driver.see(replica);
    }
    tracing::info!(event = "TS2203", %address, replica = ?replica, "control instance linked");
    let introduction = Frame::Introduce { link: peers.own };
    if link.tx.try_send(introduction).is_err() {
        return;
    }
    let peer = Peer {
        replica,
        tx: link.tx.clone(),
        empty: None,
    };
    peers
        .links
        .lock()
        .expect("no holder panics")
        .insert(address, peer);
    while let Some(frame) = link.rx.recv().await {
        match frame {
            Frame::Submitted { id, result } => {
                if let Some(answer) = peers.take_waiting(id) {
                    let _ = answer.send(result);
                }
            }
            Frame::Standing { log } => take_standing(parts, address, log),
            Frame::Members { links, .. } => {
                for link in links {
                    peers.learn(parts, link);
                }
            }
            _ => {}
        }
    }
    peers
        .links
        .lock()
        .expect("no holder panics")
        .remove(&address);
    tracing::warn!(event = "TS2204", %address, "link to a control instance lost");
}

fn take_standing(parts: &Arc<Parts>, address: SocketAddr, log: Option<LogId>) {
    let peers = &parts.peers;
    if let Some(peer) = peers
        .links
        .lock()
        .expect("no holder panics")
        .get_mut(&address)
    {
        peer.empty = Some(log.is_none());
    }
    if peers.bootstrap && parts.driver.log().is_none() && peers.all_empty() {
        parts.driver.bootstrap();
    }
}

/// Serves a link that another control instance opened.
pub(crate) async fn serve(parts: Arc<Parts>, mut link: Link) {
    let log = parts.driver.log();
    if link.tx.send(Frame::Standing { log }).await.is_err() {
        return;
    }
    while let Some(frame) = link.rx.recv().await {
        match frame {
            Frame::Replica(message) => parts.driver.receive(message),
            Frame::Introduce { link: address } => {
                parts.peers.learn(&parts, address);
                let members = parts.peers.members();
                let frame = Frame::Members {
                    links: members,
                    ingress_zones: Vec::new(),
                };
                if link.tx.try_send(frame).is_err() {
                    return;
                }
            }
            Frame::Registrations { records, .. } => {
                if let Some(directory) = &parts.directory {
                    directory.hear(records);
                }
            }
            Frame::Submit { id, body, .. } => {
                let (parts, tx) = (Arc::clone(&parts), link.tx.clone());
                tokio::spawn(async move {
                    let result = parts.driver.submit(body).await;
                    let _ = tx.send(Frame::Submitted { id, result }).await;
                });
            }
            _ => {}
        }
    }
}
