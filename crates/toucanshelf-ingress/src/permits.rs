//! Asks for permits to send requests to targets that have named a limit.
//!
//! The limit applies to all ingresses together, so one control instance issues the permits of a
//! target to all of them. Without a control instance, an ingress keeps to an equal share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;
use toucanshelf_link::frame::Frame;
use toucanshelf_routing::permits::Permit;

use crate::request::CallerRequest;
use crate::shared::Shared;
use crate::targets::TargetKey;

/// Time within which a control instance must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a target is not chosen if the control instance has not answered, in milliseconds.
// The link to an instance that doesn't answer is closed after 3 s; until then few requests wait.
const UNANSWERED_WAIT_MS: u64 = 500;

/// Requests for permits that control instances have not answered yet.
#[derive(Debug, Default)]
pub struct PendingPermits {
    next_id: AtomicU64,
    pending: Mutex<BTreeMap<u64, oneshot::Sender<Permit>>>,
}

impl PendingPermits {
    fn pending(&self) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<Permit>>> {
        self.pending.lock().expect("no holder panics")
    }

    /// Hands the answer of a control instance to the request that waits for it.
    pub fn answer(&self, id: u64, permit: Permit) {
        if let Some(tx) = self.pending().remove(&id) {
            // The request may have ended meanwhile; the permit is then unused.
            let _ = tx.send(permit);
        }
    }
}

/// Chooses a target that may receive a request now, and takes a permit if it needs one.
///
/// `choose` returns the best target with its key; one that is denied a permit isn't returned again for
/// some time. Returns `None` if there is no target, or if the send `is_repeat` and the service's budget
/// of repeated sends is exhausted.
pub async fn choose_permitted<T>(
    shared: &Shared,
    req: &CallerRequest,
    is_repeat: bool,
    choose: impl Fn() -> Option<(TargetKey, T)>,
) -> Option<T> {
    if is_repeat && !shared.has_repeat(&req.service) {
        return None;
    }
    loop {
        let (key, target) = choose()?;
        if acquire(shared, req, key).await {
            return (!is_repeat || shared.take_repeat(&req.service)).then_some(target);
        }
    }
}

/// Returns the time until a target of `service` has a permit, if all of them lack one.
pub fn retry_after(shared: &Shared, service: &str) -> Option<Duration> {
    let now = shared.now();
    let wait_ms = shared.targets().permit_wait_ms(service, now);
    wait_ms.map(Duration::from_millis)
}

/// Returns whether a request may be sent to a target now.
///
/// If the target names a limit, this asks for a permit. If none is issued, the target is not chosen
/// by this ingress for some time.
async fn acquire(shared: &Shared, req: &CallerRequest, key: TargetKey) -> bool {
    let Some((target, rate)) = shared.targets().limit(key) else {
        return true;
    };
    let permit = match ask_control(shared, &target, rate).await {
        Some(permit) => permit,
        None => shared.ask_own_share(key, rate),
    };
    let wait_ms = match permit {
        Permit::Granted => 0,
        Permit::Denied { wait_ms } => wait_ms,
    };
    let granted = permit == Permit::Granted;
    tracing::info!(
        event = "TS4315",
        request = req.id(),
        target_id = %target,
        rate,
        granted,
        wait_ms,
        "permit for limited target"
    );
    if !granted {
        let now = shared.now();
        shared.targets().defer(key, now + wait_ms);
    }
    granted
}

/// Asks the control instance that is responsible for a target.
///
/// Returns `None` if no control instance issues permits.
async fn ask_control(shared: &Shared, target: &str, rate: f64) -> Option<Permit> {
    let pending = &shared.permits;
    let id = pending.next_id.fetch_add(1, Ordering::Relaxed);
    let (tx, rx) = oneshot::channel();
    pending.pending().insert(id, tx);
    let frame = Frame::AskPermit {
        id,
        target: target.into(),
        rate,
    };
    let answer = if shared.control.send_to_responsible(target, frame) {
        let unanswered = Permit::Denied {
            wait_ms: UNANSWERED_WAIT_MS,
        };
        let answer = timeout(ANSWER_TIMEOUT, rx).await;
        Some(answer.ok().and_then(Result::ok).unwrap_or(unanswered))
    } else {
        None
    };
    pending.pending().remove(&id);
    answer
}
