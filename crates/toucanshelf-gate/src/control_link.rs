//! Link to the control instances: configuration in, claims out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use toucanshelf_core::ids::Revision;
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_link::frame::{Frame, LogId, SubmitError};
use toucanshelf_link::handshake::{Hello, SharedKey};
use toucanshelf_link::link::{self, Link};

use crate::shared::Shared;

/// Time between tries to reach a control instance.
const RECONNECT: Duration = Duration::from_millis(200);
/// Time without a word of the revision after which another instance is tried.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which an instance may lag behind what other gates know.
const LAG_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between looks at both.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which a command must be answered.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(4);

type Answer = oneshot::Sender<Result<Reply, SubmitError>>;

/// Link to one of the control instances.
#[derive(Debug, Default)]
pub struct ControlLink {
    tx: Mutex<Option<mpsc::Sender<Frame>>>,
    waiting: Mutex<BTreeMap<u64, Answer>>,
    next_id: AtomicU64,
    current: AtomicBool,
    /// Highest revision that anyone has told of, with its log.
    known: Mutex<Option<(LogId, Revision)>>,
}

impl ControlLink {
    /// Creates a link that is not open.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a control instance that hears the leader is linked.
    pub fn is_current(&self) -> bool {
        self.current.load(Ordering::Relaxed)
    }

    /// Takes a revision that someone has told of.
    pub fn hear(&self, log: LogId, revision: Revision) {
        let mut known = self.known.lock().expect("no holder panics");
        match &mut *known {
            Some((own, newest)) if *own == log => *newest = revision.max(*newest),
            Some(_) => {}
            None => *known = Some((log, revision)),
        }
    }

    /// Highest revision that anyone has told of.
    pub fn known(&self) -> Option<(LogId, Revision)> {
        *self.known.lock().expect("no holder panics")
    }

    /// Commits a command through the linked control instance.
    ///
    /// # Errors
    ///
    /// Fails with [`SubmitError::NotTaken`] only when the command will never be committed.
    pub async fn submit(&self, body: CommandBody) -> Result<Reply, SubmitError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (answer_tx, answer) = oneshot::channel();
        let tx = self.tx.lock().expect("no holder panics").clone();
        let Some(tx) = tx else {
            return Err(SubmitError::NotTaken(
                "no control instance is linked".into(),
            ));
        };
        self.waiting
            .lock()
            .expect("no holder panics")
            .insert(id, answer_tx);
        if tx
            .try_send(Frame::Submit {
                id,
                body,
                forward: true,
            })
            .is_err()
        {
            self.take_waiting(id);
            return Err(SubmitError::NotTaken(
                "the control link is closed or full".into(),
            ));
        }
        let result = tokio::time::timeout(SUBMIT_TIMEOUT, answer).await;
        self.take_waiting(id);
        match result {
            Ok(Ok(result)) => result,
            _ => Err(SubmitError::Unknown("control has not answered".into())),
        }
    }

    fn take_waiting(&self, id: u64) -> Option<Answer> {
        self.waiting.lock().expect("no holder panics").remove(&id)
    }

    fn open(&self, tx: Option<mpsc::Sender<Frame>>) {
        *self.tx.lock().expect("no holder panics") = tx;
        // Dropping the senders tells the waiting that no answer will come.
        self.waiting.lock().expect("no holder panics").clear();
    }

    fn set_current(&self, current: bool) {
        self.current.store(current, Ordering::Relaxed);
    }
}

/// Keeps a link open to one of the control instances.
pub(crate) fn start(shared: &Arc<Shared>, hello: &Hello, key: &SharedKey) {
    let (shared, hello, key) = (Arc::clone(shared), hello.clone(), key.clone());
    tokio::spawn(async move {
        let ended = Arc::clone(&shared);
        tokio::select! {
            () = keep_link(shared, hello, key) => {}
            () = ended.ended() => {}
        }
    });
}

async fn keep_link(shared: Arc<Shared>, hello: Hello, key: SharedKey) {
    let addresses = shared.settings.control.clone();
    // Gates start at different instances, so that they spread over them.
    let start = toucanshelf_core::digest::Digest::of(hello.name.as_bytes()).prefix() as usize;
    for turn in 0.. {
        let address = addresses[(start.wrapping_add(turn)) % addresses.len()];
        match link::connect(address, &hello, &key).await {
            Ok(link) => run_link(&shared, address, link).await,
            Err(e) => tracing::debug!(event = "TS3201", %address, cause = %e, "no control link"),
        }
        shared.control.open(None);
        shared.control.set_current(false);
        shared.metrics.control_linked.set(0);
        tokio::time::sleep(RECONNECT).await;
    }
}

async fn run_link(shared: &Arc<Shared>, address: SocketAddr, mut link: Link) {
    let (log, revision) = standing(shared);
    let watch = Frame::Watch { log, revision };
    if link.tx.send(watch).await.is_err() {
        return;
    }
    tracing::info!(event = "TS3202", %address, control = %link.peer.name, "control linked");
    shared.control.open(Some(link.tx.clone()));
    shared.metrics.control_linked.set(1);
    let mut head_due = Instant::now() + HEAD_TIMEOUT;
    let mut lag_due = None;
    let mut checks = tokio::time::interval(CHECK_INTERVAL);
    loop {
        tokio::select! {
            frame = link.rx.recv() => {
                let Some(frame) = frame else { return };
                if matches!(frame, Frame::Head { .. } | Frame::Deltas { .. }) {
                    head_due = Instant::now() + HEAD_TIMEOUT;
                    shared.control.set_current(true);
                }
                if !take_frame(shared, &link, frame) {
                    return;
                }
            }
            _ = checks.tick() => {
                lag_due = if lags(shared) {
                    lag_due.or(Some(Instant::now() + LAG_TIMEOUT))
                } else {
                    None
                };
                let now = Instant::now();
                if now > head_due || lag_due.is_some_and(|due| now > due) {
                    tracing::warn!(event = "TS3203", %address, "control is out of step; trying another");
                    return;
                }
            }
        }
    }
}

fn standing(shared: &Shared) -> (Option<LogId>, Revision) {
    let in_force = shared.in_force();
    (in_force.log(), in_force.configuration().revision())
}

fn lags(shared: &Shared) -> bool {
    let (log, revision) = standing(shared);
    shared.control.known().is_some_and(|(known_log, known)| {
        log.is_none_or(|log| log == known_log) && known > revision
    })
}

/// Takes a frame; returns whether the link can go on.
fn take_frame(shared: &Arc<Shared>, link: &Link, frame: Frame) -> bool {
    let in_step = match frame {
        Frame::Configuration { log, snapshot } => {
            let revision = snapshot.revision;
            shared.take_snapshot(log, snapshot) || standing(shared) == (Some(log), revision)
        }
        Frame::Deltas { log, deltas } => shared.take_deltas(log, &deltas),
        Frame::Head { log, revision } => {
            shared.control.hear(log, revision);
            return true;
        }
        Frame::Submitted { id, result } => {
            if let Some(answer) = shared.control.take_waiting(id) {
                let _ = answer.send(result);
            }
            return true;
        }
        _ => return true,
    };
    let (log, revision) = standing(shared);
    if let Some(log) = log {
        shared.control.hear(log, revision);
        shared.gossip.broadcast(&Frame::Head { log, revision });
    }
    in_step && link.tx.try_send(Frame::InForce { revision }).is_ok()
}
