//! Monitors the route of a stream in progress and replaces engines that fail.
//!
//! A route is the sequence of engines on which a request runs; each engine runs some layers of the
//! model. The first engine receives the request from the ingress and sends the stream of events.
//!
//! If no data arrives for longer than usual, the ingress fetches the report of the first engine,
//! which names the engines that the request is waiting for. A failed later engine is replaced by a
//! reroute call, which orders the first engine to continue the request on a new route. The other
//! engines keep the tokens that they have processed, and only the replacement processes all tokens
//! so far.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};
use toucanshelf_link::dialect::{EngineInstance, EngineReport};
use toucanshelf_link::exchange::{ExchangeError, exchange};

use crate::events::SplitError;
use crate::request::{CallerRequest, InFlight};
use crate::response_buffer::BufferError;
use crate::shared::Shared;
use crate::targets::{DownCause, RouteHop, TargetKey};

/// Time without a first event after which the first engine's report is fetched.
///
/// It also applies after a reroute call.
// This exceeds the latency objective for a first event by more than the delay with which an engine
// reports a stall.
const FIRST_EVENT_CHECK_DELAY: Duration = Duration::from_millis(600);
/// Time without further data after which the first engine's report is fetched.
// This exceeds the usual gap between events plus 200 ms, the delay with which engines report a
// stall.
const EVENT_GAP_CHECK_DELAY: Duration = Duration::from_millis(320);
/// Interval at which the first engine's report is fetched while no data arrives.
const RECHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time without data after which a stream counts as stalled, whatever engines report.
///
/// The stream then moves to another route if possible.
// This is shorter than the 2 s without an event after which callers disconnect.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1_750);
/// Time without data after which a stream stops waiting for a replacement engine.
///
/// It waits if no other engine holds the failed engine's layers, because one may load them soon.
const REROUTE_WAIT_LIMIT: Duration = Duration::from_millis(1_100);
/// Time within which the first engine must answer a reroute call.
const REROUTE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of reroute calls for one request on one first engine.
const MAX_REROUTES: u32 = 4;

/// Reason why a stream fails, or may be about to fail, on its route.
#[derive(Debug, thiserror::Error)]
pub enum StreamFailure {
    /// The event stream from the first engine broke off or is malformed.
    #[error("stream from the first engine failed: {0}")]
    Broken(Box<str>),
    /// An engine after the first one has failed and can't be replaced.
    #[error("a later engine of the route has failed and can't be replaced")]
    RouteFailed,
    /// The first engine of the route has failed.
    #[error("the first engine has failed")]
    FirstEngineFailed,
    /// No data has arrived from the first engine for `MAX_EVENT_GAP`.
    #[error("no event within {MAX_EVENT_GAP:?}")]
    Stalled,
    /// Requests with the same content crash targets.
    #[error("cancelled, requests with the same content crash targets")]
    Cancelled,
    /// The deadline of the request has passed.
    #[error("the deadline has passed")]
    Expired,
    /// An event is large, and other responses use the memory of the ingress.
    #[error(transparent)]
    NoMemory(BufferError),
}

impl From<SplitError> for StreamFailure {
    fn from(error: SplitError) -> Self {
        match error {
            SplitError::TooLong => Self::Broken(error.to_string().into()),
            SplitError::NoMemory(e) => Self::NoMemory(e),
        }
    }
}

impl StreamFailure {
    /// Returns whether the stream may still recover on its present route.
    pub fn may_recover(&self) -> bool {
        matches!(
            self,
            Self::RouteFailed | Self::FirstEngineFailed | Self::Stalled
        )
    }
}

/// Result of a reroute call, which asks the first engine to change the route.
#[derive(Debug)]
enum Reroute {
    /// The first engine continues the request on the new route.
    ///
    /// The values are the new route and the guard that counts the request in its engines' load.
    Done(Vec<RouteHop>, InFlight),
    /// The call was refused because an engine is unreachable or lacks capacity.
    ///
    /// The value is the address of that engine, if the response names it.
    RefusedAt(Option<SocketAddr>),
    /// Another engine answers at the address of the first engine, which has ended.
    Misdirected,
    /// The call failed for any other reason.
    ///
    /// For example, the first engine did not answer in time or doesn't know the request.
    Failed,
}

/// Task that waits for a call to the first engine of a route.
#[derive(Debug)]
enum PendingCall {
    Report(JoinHandle<Option<Arc<EngineReport>>>),
    Reroute(JoinHandle<Reroute>),
}

/// Result of a [`PendingCall`] once its task has ended.
enum CallResult {
    Report(Option<Arc<EngineReport>>),
    Reroute(Reroute),
}

/// Route of a stream in progress, with the timers for checking it.
#[derive(Debug)]
pub struct LiveRoute {
    shared: Arc<Shared>,
    /// Identifier of the streaming request.
    request: Box<str>,
    service: Box<str>,
    /// Expected number of tokens in the prompt and the response together.
    tokens: f64,
    /// First engine of the route, to which the calls about the stream are sent.
    first_engine: EngineInstance,
    hops: Vec<RouteHop>,
    in_flight: InFlight,
    /// Time at which data last arrived from the first engine.
    ///
    /// Before the first data, it is the time at which this value was created.
    last_activity: Instant,
    /// Time at which the first engine's report is fetched, unless data arrives before.
    check_due: Instant,
    /// Time until which [`LiveRoute::watch`] neither checks nor repairs the route.
    paused_until: Instant,
    /// Receiver of a counter that is raised whenever any target may have failed.
    failures: watch::Receiver<u64>,
    /// Engines that a repaired route of this request must not contain.
    excluded: Vec<TargetKey>,
    /// Whether the first engine was found to have failed while the stream stayed on the route.
    first_suspected: bool,
    /// Number of reroute calls made on this route so far.
    reroutes: u32,
    /// Call in progress to the first engine of the route, if any.
    pending: Option<PendingCall>,
}

impl LiveRoute {
    /// Adds a request to the load of its route's engines and starts the timers.
    ///
    /// `first_engine` is the first of `hops`. The request must be sent to it after this call.
    pub fn new(
        shared: &Arc<Shared>,
        req: &CallerRequest,
        first_engine: EngineInstance,
        hops: Vec<RouteHop>,
    ) -> Self {
        let now = Instant::now();
        let tokens = req.expected_tokens();
        Self {
            shared: Arc::clone(shared),
            request: req.id().into(),
            service: req.service.clone(),
            tokens,
            in_flight: reserve(shared, &hops, tokens),
            first_engine,
            hops,
            last_activity: now,
            check_due: now + FIRST_EVENT_CHECK_DELAY,
            paused_until: now,
            failures: shared.failures(),
            excluded: Vec::new(),
            first_suspected: false,
            reroutes: 0,
            pending: None,
        }
    }

    /// Engines of the route, in the order of their layers.
    pub fn hops(&self) -> &[RouteHop] {
        &self.hops
    }

    /// Returns the time since data last arrived from the first engine.
    ///
    /// Before the first data, this is the time since [`LiveRoute::new`].
    pub fn time_since_activity(&self) -> Duration {
        self.last_activity.elapsed()
    }

    /// Records that data has arrived from the first engine, and restarts the check timer.
    pub fn record_activity(&mut self) {
        self.resume_watch();
        if std::mem::take(&mut self.first_suspected) {
            self.record_first_alive();
        }
    }

    /// Makes the first engine usable again if it was marked down for its silence.
    fn record_first_alive(&self) {
        let first = self.hops[0];
        let now = self.shared.now();
        if self.shared.targets().record_data(first.key, now) {
            tracing::info!(event = "TS4309", request = %self.request, address = %first.address, "silent engine goes on");
        }
    }

    /// Waits for data from the first engine anew, after a time in which none was read.
    pub fn resume_watch(&mut self) {
        self.last_activity = Instant::now();
        self.check_due = self.last_activity + EVENT_GAP_CHECK_DELAY;
    }

    /// Suspends checks and repairs of the route for 150 ms (`RECHECK_INTERVAL`).
    pub fn extend_wait(&mut self) {
        self.paused_until = Instant::now() + RECHECK_INTERVAL;
    }

    /// Returns whether any engine of the route has failed or must be replaced.
    pub fn has_failed(&self) -> bool {
        let now = self.shared.now();
        let targets = self.shared.targets();
        let mut hops = self.hops.iter();
        hops.any(|hop| targets.has_failed(hop.key, now) || self.excluded.contains(&hop.key))
    }

    /// Monitors and repairs the route until the stream can't continue on it.
    ///
    /// Returns the reason why it can't. The future is cancel safe: it may be dropped and the method
    /// called again.
    pub async fn watch(&mut self) -> StreamFailure {
        sleep_until(self.paused_until).await;
        loop {
            if self.pending.is_none()
                && self.has_failed()
                && let Some(failure) = self.start_reroute()
            {
                return failure;
            }
            tokio::select! {
                call_result = pending_result(&mut self.pending) => {
                    self.pending = None;
                    if let Some(failure) = self.handle_result(call_result) {
                        return failure;
                    }
                }
                changed = self.failures.changed() => {
                    if changed.is_err() {
                        return StreamFailure::Stalled;
                    }
                }
                () = sleep_until(self.check_due) => {
                    self.check_due = Instant::now() + RECHECK_INTERVAL;
                    if self.time_since_activity() >= MAX_EVENT_GAP {
                        return StreamFailure::Stalled;
                    }
                    if self.pending.is_none() {
                        self.request_report();
                    }
                }
            }
        }
    }

    fn request_report(&mut self) {
        let (shared, engine) = (Arc::clone(&self.shared), self.first_engine.clone());
        let report = tokio::spawn(async move { shared.reports.get(&shared, &engine).await });
        self.pending = Some(PendingCall::Report(report));
    }

    fn handle_result(&mut self, call_result: CallResult) -> Option<StreamFailure> {
        match call_result {
            CallResult::Report(report) => self.handle_report(report.as_deref()),
            CallResult::Reroute(Reroute::Done(hops, in_flight)) => {
                self.in_flight = in_flight;
                self.hops = hops;
                self.check_due = Instant::now() + FIRST_EVENT_CHECK_DELAY;
                None
            }
            CallResult::Reroute(Reroute::RefusedAt(address)) => {
                let key = address.and_then(|address| self.shared.targets().at_address(address));
                self.excluded.extend(key);
                None
            }
            CallResult::Reroute(Reroute::Misdirected) => Some(self.fail_first(DownCause::Replaced)),
            CallResult::Reroute(Reroute::Failed) => Some(StreamFailure::RouteFailed),
        }
    }

    /// Handles the first engine's report, or `None` if no valid one arrived.
    ///
    /// Every later engine that the report names as holding up this request is marked down. Without
    /// a report, the first engine is marked down and `FirstEngineFailed` is returned.
    fn handle_report(&mut self, report: Option<&EngineReport>) -> Option<StreamFailure> {
        let first = self.hops[0];
        let Some(report) = report else {
            return Some(self.fail_first(DownCause::NoReport));
        };
        let stalled = report.stalled.iter();
        let own = stalled.filter(|stalled| stalled.request_id == self.request);
        let stalled_on: Vec<_> = own.map(|stalled| stalled.address).collect();
        for hop in &self.hops[1..] {
            if stalled_on.contains(&hop.address) {
                mark_down_and_report(&self.shared, &self.request, *hop, DownCause::Stalled);
            }
        }
        if stalled_on.contains(&first.address) {
            // The report says that the request waits for the first engine, which is alive because
            // it sent the report. The data must therefore be held up on its way back to the first
            // engine from another zone, so all engines in other zones are replaced.
            let remote = self.shared.targets().remote_engines(&self.hops);
            self.excluded.extend(remote);
        }
        None
    }

    fn fail_first(&mut self, cause: DownCause) -> StreamFailure {
        mark_down_and_report(&self.shared, &self.request, self.hops[0], cause);
        self.first_suspected = true;
        StreamFailure::FirstEngineFailed
    }

    /// Chooses replacements for the failed engines and starts a reroute call.
    ///
    /// Returns a failure if the route can't be repaired, and otherwise `None`. No call is started
    /// while the stream waits for another engine to load the layers of the failed ones.
    fn start_reroute(&mut self) -> Option<StreamFailure> {
        let now = self.shared.now();
        let first = self.hops[0];
        if self.shared.targets().has_failed(first.key, now) {
            self.first_suspected = true;
            return Some(StreamFailure::FirstEngineFailed);
        }
        if self.reroutes >= MAX_REROUTES {
            return Some(StreamFailure::RouteFailed);
        }
        let targets = self.shared.targets();
        let repaired = targets.repair_route(&self.service, &self.hops, &self.excluded, now);
        drop(targets);
        let Some(hops) = repaired else {
            // Another engine may load the layers of the failed engine soon, so the stream waits.
            return (self.time_since_activity() >= REROUTE_WAIT_LIMIT)
                .then_some(StreamFailure::RouteFailed);
        };
        self.reroutes += 1;
        let (shared, request) = (Arc::clone(&self.shared), self.request.clone());
        let first = self.first_engine.clone();
        // The load is reserved before the call, so that streams rerouted at the same time choose
        // different engines.
        let in_flight = reserve(&shared, &hops, self.tokens);
        let reroute =
            tokio::spawn(async move { reroute(&shared, &request, &first, hops, in_flight).await });
        self.pending = Some(PendingCall::Reroute(reroute));
        None
    }
}

/// Adds a request to its engines' load until the returned guard is dropped.
///
/// `tokens` is the number of tokens that the request is expected to need.
fn reserve(shared: &Arc<Shared>, hops: &[RouteHop], tokens: f64) -> InFlight {
    let reserved = hops
        .iter()
        .map(|hop| (hop.key, tokens * f64::from(hop.layers.len())));
    InFlight::new(shared, reserved.collect())
}

/// Waits for the result of the pending call to the first engine.
///
/// The future never completes if no call is in progress.
async fn pending_result(pending: &mut Option<PendingCall>) -> CallResult {
    match pending {
        // The task fails only if it panics or the runtime shuts down, which counts as a failed
        // call.
        Some(PendingCall::Report(report)) => CallResult::Report(report.await.unwrap_or(None)),
        Some(PendingCall::Reroute(reroute)) => {
            CallResult::Reroute(reroute.await.unwrap_or(Reroute::Failed))
        }
        None => std::future::pending().await,
    }
}

/// Orders `first`, the first engine of `hops`, to continue a request on the route `hops`.
async fn reroute(
    shared: &Shared,
    request: &str,
    first: &EngineInstance,
    hops: Vec<RouteHop>,
    in_flight: InFlight,
) -> Reroute {
    let path: Vec<_> = hops.iter().map(|hop| (hop.address, hop.layers)).collect();
    let call = shared.dialect.reroute_call(&first.id, request, &path);
    let response = exchange(first.address, call, REROUTE_TIMEOUT).await;
    let status = response.as_ref().map(|response| response.status().as_u16());
    tracing::info!(event = "TS4308", request, first = %first.address, hops = hops.len(), ?status, "reroute ended");
    match response {
        Ok(response) if response.status().is_success() => Reroute::Done(hops, in_flight),
        Ok(response) if response.status() == StatusCode::CONFLICT => {
            Reroute::RefusedAt(shared.dialect.refusing_engine(response.body()))
        }
        Err(ExchangeError::Misdirected { .. }) => Reroute::Misdirected,
        _ => Reroute::Failed,
    }
}

/// Marks an engine as down and reports it as suspected.
///
/// An engine that is marked down receives no requests for a while. The control instances and the
/// other streams are told that it may have failed. Nothing happens if it was marked already or has
/// deregistered.
pub fn mark_down_and_report(shared: &Shared, request: &str, hop: RouteHop, cause: DownCause) {
    let now = shared.now();
    if !shared.targets().mark_down(hop.key, now, cause) {
        return;
    }
    let address = hop.address;
    tracing::warn!(event = "TS4303", request, %address, %cause, "target marked down");
    shared.pool.close_idle(address);
    shared.isolation.record_failure(address, now);
    if !shared.isolation.is_isolated() {
        shared.control.report_suspected(address);
    }
    shared.notify_failure();
}
