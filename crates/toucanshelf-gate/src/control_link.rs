//! Link to the control instances, which send the configuration and commit claims.
//!
//! The control instances replicate the configuration in a log, in which each version has a number,
//! its revision. A claim lets a non-idempotent call run at most once.

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

/// Delay before another attempt to connect to a control instance.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Time without a revision announcement after which the link is closed.
///
/// The gate then tries another control instance.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which the gate's configuration may be older than the newest revision.
///
/// The gate then tries another control instance.
const LAG_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which [`HEAD_TIMEOUT`] and [`LAG_TIMEOUT`] are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which the control instance must reply to a command.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(4);

/// Sender that passes a control instance's reply to the task that submitted the command.
type ReplySender = oneshot::Sender<Result<Reply, SubmitError>>;

/// Link to one of the control instances.
#[derive(Debug, Default)]
pub struct ControlLink {
    tx: Mutex<Option<mpsc::Sender<Frame>>>,
    /// Reply senders of the commands that await a reply, by command identifier.
    pending: Mutex<BTreeMap<u64, ReplySender>>,
    next_id: AtomicU64,
    /// Whether the linked control instance has a connection to the leader.
    current: AtomicBool,
    /// Highest revision that any process has announced, with its replicated log.
    newest_known_revision: Mutex<Option<(LogId, Revision)>>,
}

impl ControlLink {
    /// Creates a link that is not connected.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a control instance with a connection to the leader is linked.
    pub fn is_current(&self) -> bool {
        self.current.load(Ordering::Relaxed)
    }

    /// Records a revision that another process has announced.
    ///
    /// A revision of a different log than the first recorded one is ignored.
    pub fn observe_revision(&self, log: LogId, revision: Revision) {
        let mut newest_known = self
            .newest_known_revision
            .lock()
            .expect("lock is not poisoned");
        match &mut *newest_known {
            Some((own, newest)) if *own == log => *newest = revision.max(*newest),
            Some(_) => {}
            None => *newest_known = Some((log, revision)),
        }
    }

    /// Returns the highest revision that any process has announced, with its log.
    pub fn newest_known_revision(&self) -> Option<(LogId, Revision)> {
        *self
            .newest_known_revision
            .lock()
            .expect("lock is not poisoned")
    }

    /// Commits a command through the linked control instance.
    ///
    /// # Errors
    ///
    /// Fails with [`SubmitError::NotTaken`] only if the command will never be committed.
    pub async fn submit(&self, body: CommandBody) -> Result<Reply, SubmitError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (reply_tx, reply) = oneshot::channel();
        let tx = self.tx.lock().expect("lock is not poisoned").clone();
        let Some(tx) = tx else {
            return Err(SubmitError::NotTaken(
                "no control instance is linked".into(),
            ));
        };
        self.pending
            .lock()
            .expect("lock is not poisoned")
            .insert(id, reply_tx);
        if tx
            .try_send(Frame::Submit {
                id,
                body,
                forward: true,
            })
            .is_err()
        {
            self.remove_pending(id);
            return Err(SubmitError::NotTaken(
                "the control link is closed or full".into(),
            ));
        }
        let result = tokio::time::timeout(SUBMIT_TIMEOUT, reply).await;
        self.remove_pending(id);
        match result {
            Ok(Ok(result)) => result,
            _ => Err(SubmitError::Unknown("control has not answered".into())),
        }
    }

    fn remove_pending(&self, id: u64) -> Option<ReplySender> {
        self.pending
            .lock()
            .expect("lock is not poisoned")
            .remove(&id)
    }

    /// Sets the sender for frames to the control instance, or `None` without a link.
    fn set_sender(&self, tx: Option<mpsc::Sender<Frame>>) {
        *self.tx.lock().expect("lock is not poisoned") = tx;
        // Dropping the senders notifies the submitting tasks that no reply will arrive.
        self.pending.lock().expect("lock is not poisoned").clear();
    }

    fn set_current(&self, current: bool) {
        self.current.store(current, Ordering::Relaxed);
    }
}

/// Starts the task that keeps a link to one of the control instances open.
pub(crate) fn start(shared: &Arc<Shared>, hello: &Hello, key: &SharedKey) {
    let (shared, hello, key) = (Arc::clone(shared), hello.clone(), key.clone());
    tokio::spawn(async move {
        let stop_signal = Arc::clone(&shared);
        tokio::select! {
            () = maintain_link(shared, hello, key) => {}
            () = stop_signal.stopped() => {}
        }
    });
}

async fn maintain_link(shared: Arc<Shared>, hello: Hello, key: SharedKey) {
    let addresses = shared.settings.control.clone();
    // The hash of its name selects the instance that a gate tries first, which distributes the
    // gates over the instances.
    let start = toucanshelf_core::digest::Digest::of(hello.name.as_bytes()).prefix() as usize;
    for tries in 0.. {
        let address = addresses[(start.wrapping_add(tries)) % addresses.len()];
        match link::connect(address, &hello, &key).await {
            Ok(link) => run_link(&shared, address, link).await,
            Err(e) => tracing::debug!(event = "TS3201", %address, cause = %e, "connection failed"),
        }
        shared.control.set_sender(None);
        shared.control.set_current(false);
        shared.metrics.control_linked.set(0);
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Serves a link until it closes or the gate must try another control instance.
///
/// The gate must try another one after a frame that doesn't fit its configuration, if no revision
/// arrives for [`HEAD_TIMEOUT`], or if its configuration stays older than the newest known revision
/// for [`LAG_TIMEOUT`].
async fn run_link(shared: &Arc<Shared>, address: SocketAddr, mut link: Link) {
    let (log, revision) = active_revision(shared);
    let watch = Frame::Watch { log, revision };
    if link.tx.send(watch).await.is_err() {
        return;
    }
    tracing::info!(event = "TS3202", %address, control = %link.peer.name, "link to control instance opened");
    shared.control.set_sender(Some(link.tx.clone()));
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
                if !handle_frame(shared, &link, frame) {
                    return;
                }
            }
            _ = checks.tick() => {
                lag_due = if is_behind(shared) {
                    lag_due.or(Some(Instant::now() + LAG_TIMEOUT))
                } else {
                    None
                };
                let now = Instant::now();
                if now > head_due || lag_due.is_some_and(|due| now > due) {
                    tracing::warn!(event = "TS3203", %address, "control instance is unresponsive or behind; trying another");
                    return;
                }
            }
        }
    }
}

/// Returns the active revision and the replicated log that it comes from.
fn active_revision(shared: &Shared) -> (Option<LogId>, Revision) {
    let active = shared.active_configuration();
    (active.log(), active.configuration().revision())
}

/// Returns whether the active configuration is older than the newest known revision.
fn is_behind(shared: &Shared) -> bool {
    let (log, revision) = active_revision(shared);
    shared
        .control
        .newest_known_revision()
        .is_some_and(|(known_log, known)| {
            log.is_none_or(|log| log == known_log) && known > revision
        })
}

/// Handles a frame and returns whether the link can stay open.
fn handle_frame(shared: &Arc<Shared>, link: &Link, frame: Frame) -> bool {
    let is_consistent = match frame {
        Frame::Configuration { log, snapshot } => {
            let revision = snapshot.revision;
            shared.apply_snapshot(log, snapshot) || active_revision(shared) == (Some(log), revision)
        }
        Frame::Deltas { log, deltas } => shared.apply_deltas(log, &deltas),
        Frame::Head { log, revision } => {
            shared.control.observe_revision(log, revision);
            return true;
        }
        Frame::Submitted { id, result } => {
            if let Some(reply_tx) = shared.control.remove_pending(id) {
                let _ = reply_tx.send(result);
            }
            return true;
        }
        _ => return true,
    };
    let (log, revision) = active_revision(shared);
    if let Some(log) = log {
        shared.control.observe_revision(log, revision);
        shared.gossip.broadcast(&Frame::Head { log, revision });
    }
    is_consistent && link.tx.try_send(Frame::InForce { revision }).is_ok()
}
