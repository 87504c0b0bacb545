//! Monitors the route of a stream in progress and replaces engines that fail.
//!
//! When a stream stalls, the ingress asks the first engine which engine it is waiting for. The
//! failed engine is then replaced within the running request: the other engines keep the tokens
//! that they have processed, and only the replacement has to process the tokens so far.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};
use toucanshelf_link::dialect::EngineReport;
use toucanshelf_link::exchange::exchange;

use crate::request::{CallerRequest, InFlight};
use crate::shared::Shared;
use crate::targets::{RouteHop, TargetKey};

/// Time without a first event after which the route is checked.
// Exceeds the objective for a first event by more than the lag of an engine's report.
const FIRST_EVENT_CHECK_DELAY: Duration = Duration::from_millis(600);
/// Gap between events after which the route is checked.
// Exceeds the usual gap plus the 200 ms by which reports lag.
const EVENT_GAP_CHECK_DELAY: Duration = Duration::from_millis(320);
/// Time between further checks of the route.
const RECHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Gap after which a stream counts as stalled, whatever the engines report.
// Callers disconnect after 2 s without an event.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1_750);
/// Silence after which a stream stops waiting for an engine with the missing layers.
const REROUTE_WAIT_LIMIT: Duration = Duration::from_millis(1_100);
/// Time within which the first engine must answer a reroute call.
const REROUTE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of reroute calls for one request.
const MAX_REROUTES: u32 = 4;

/// Why a stream can't continue on its route.
#[derive(Debug, thiserror::Error)]
pub enum StreamFailure {
    /// The stream from the first engine broke off or is invalid.
    #[error("stream from the first engine failed: {0}")]
    Broken(Box<str>),
    /// A later engine of the route has failed and can't be replaced.
    #[error("a later engine of the route has failed and can't be replaced")]
    RouteFailed,
    /// The first engine has failed.
    #[error("the first engine has failed")]
    FirstEngineFailed,
    /// No event has arrived for too long.
    #[error("no event within {MAX_EVENT_GAP:?}")]
    Stalled,
    /// The deadline has passed.
    #[error("the deadline has passed")]
    Expired,
}

impl StreamFailure {
    /// Whether the stream may still recover without a new route.
    pub fn may_recover(&self) -> bool {
        matches!(
            self,
            Self::RouteFailed | Self::FirstEngineFailed | Self::Stalled
        )
    }
}

/// Result of a reroute call.
#[derive(Debug)]
enum Reroute {
    Done(Vec<RouteHop>, InFlight),
    /// The call was refused because an engine is unreachable or lacks capacity.
    ///
    /// The address is that engine's, if the response names it.
    RefusedAt(Option<SocketAddr>),
    /// The first engine doesn't know the request or has not answered.
    Failed,
}

/// Call in progress to the first engine of a route.
#[derive(Debug)]
enum PendingCall {
    Report(JoinHandle<Option<Arc<EngineReport>>>),
    Reroute(JoinHandle<Reroute>),
}

/// Result of a [`PendingCall`].
enum CallResult {
    Report(Option<Arc<EngineReport>>),
    Reroute(Reroute),
}

/// Route of a stream in progress.
#[derive(Debug)]
pub struct LiveRoute {
    shared: Arc<Shared>,
    /// Identifier of the request.
    request: Box<str>,
    service: Box<str>,
    /// Tokens that the request is expected to need.
    tokens: f64,
    hops: Vec<RouteHop>,
    in_flight: InFlight,
    /// Time at which data last arrived from the first engine.
    last_activity: Instant,
    /// Time of the next check of the route, if no data arrives before.
    check_due: Instant,
    /// Time until which checks of the route are suspended.
    paused_until: Instant,
    /// Changes whenever a target may have failed.
    failures: watch::Receiver<u64>,
    /// Engines that this request must not use.
    excluded: Vec<TargetKey>,
    /// Reroute calls so far.
    reroutes: u32,
    pending: Option<PendingCall>,
}

impl LiveRoute {
    /// Reserves the load of a request on its route and starts the check timers.
    ///
    /// The request is sent afterwards.
    pub fn new(shared: &Arc<Shared>, req: &CallerRequest, hops: Vec<RouteHop>) -> Self {
        let now = Instant::now();
        let tokens = req.expected_tokens();
        Self {
            shared: Arc::clone(shared),
            request: req.id().into(),
            service: req.service.clone(),
            tokens,
            in_flight: reserve(shared, &hops, tokens),
            hops,
            last_activity: now,
            check_due: now + FIRST_EVENT_CHECK_DELAY,
            paused_until: now,
            failures: shared.failures(),
            excluded: Vec::new(),
            reroutes: 0,
            pending: None,
        }
    }

    /// Engines of the route, in the order of their layers.
    pub fn hops(&self) -> &[RouteHop] {
        &self.hops
    }

    /// Time since the first engine last sent data.
    ///
    /// Before the first data, this is the time since the request was sent.
    pub fn time_since_activity(&self) -> Duration {
        self.last_activity.elapsed()
    }

    /// Records that data has arrived from the first engine.
    pub fn record_activity(&mut self) {
        self.last_activity = Instant::now();
        self.check_due = self.last_activity + EVENT_GAP_CHECK_DELAY;
    }

    /// Suspends the checks of a stalled route for one recheck interval.
    pub fn extend_wait(&mut self) {
        self.paused_until = Instant::now() + RECHECK_INTERVAL;
    }

    /// Whether an engine of the route has failed or is excluded.
    pub fn has_failed(&self) -> bool {
        let now = self.shared.now();
        let targets = self.shared.targets();
        let mut hops = self.hops.iter();
        hops.any(|hop| targets.has_failed(hop.key, now) || self.excluded.contains(&hop.key))
    }

    /// Monitors and repairs the route until the stream can't continue on it.
    ///
    /// The future is cancel safe: it may be dropped and the method called again.
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
        let (shared, address) = (Arc::clone(&self.shared), self.hops[0].address);
        let report = tokio::spawn(async move { shared.reports.get(&shared, address).await });
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
            CallResult::Reroute(Reroute::Failed) => Some(StreamFailure::RouteFailed),
        }
    }

    /// Marks the engines down on which the request stalls, according to a report.
    fn handle_report(&mut self, report: Option<&EngineReport>) -> Option<StreamFailure> {
        let first = self.hops[0];
        let Some(report) = report else {
            mark_down_and_report(
                &self.shared,
                &self.request,
                first,
                "the engine sent no report",
            );
            return Some(StreamFailure::FirstEngineFailed);
        };
        let stalled = report.stalled.iter();
        let own = stalled.filter(|stalled| stalled.request_id == self.request);
        let stalled_on: Vec<_> = own.map(|stalled| stalled.address).collect();
        for hop in &self.hops[1..] {
            if stalled_on.contains(&hop.address) {
                mark_down_and_report(&self.shared, &self.request, *hop, "the request stalls here");
            }
        }
        if stalled_on.contains(&first.address) {
            // The first engine is alive, because it has sent the report. The request therefore
            // stalls on the path back from other zones, and the engines there are replaced.
            let remote = self.shared.targets().remote_engines(&self.hops);
            self.excluded.extend(remote);
        }
        None
    }

    /// Starts a reroute call; returns a failure if the route can't be repaired.
    fn start_reroute(&mut self) -> Option<StreamFailure> {
        let now = self.shared.now();
        let first = self.hops[0];
        if self.shared.targets().has_failed(first.key, now) {
            return Some(StreamFailure::FirstEngineFailed);
        }
        if self.reroutes >= MAX_REROUTES {
            return Some(StreamFailure::RouteFailed);
        }
        let targets = self.shared.targets();
        let repaired = targets.repair_route(&self.service, &self.hops, &self.excluded, now);
        drop(targets);
        let Some(hops) = repaired else {
            // Another engine may load the missing layers soon.
            return (self.time_since_activity() >= REROUTE_WAIT_LIMIT)
                .then_some(StreamFailure::RouteFailed);
        };
        self.reroutes += 1;
        let (shared, request) = (Arc::clone(&self.shared), self.request.clone());
        // The load is reserved before the call, so that streams rerouted at the same time choose
        // different engines.
        let in_flight = reserve(&shared, &hops, self.tokens);
        let reroute =
            tokio::spawn(async move { reroute(&shared, &request, hops, in_flight).await });
        self.pending = Some(PendingCall::Reroute(reroute));
        None
    }
}

/// Adds a request with `tokens` to the load of all engines of a route.
fn reserve(shared: &Arc<Shared>, hops: &[RouteHop], tokens: f64) -> InFlight {
    let reserved = hops
        .iter()
        .map(|hop| (hop.key, tokens * f64::from(hop.layers.len())));
    InFlight::new(shared, reserved.collect())
}

/// Waits for the result of the call in progress.
///
/// The future never completes if no call is in progress.
async fn pending_result(pending: &mut Option<PendingCall>) -> CallResult {
    match pending {
        // The task is cancelled only when the runtime shuts down.
        Some(PendingCall::Report(report)) => CallResult::Report(report.await.unwrap_or(None)),
        Some(PendingCall::Reroute(reroute)) => {
            CallResult::Reroute(reroute.await.unwrap_or(Reroute::Failed))
        }
        None => std::future::pending().await,
    }
}

/// Calls the first engine of `hops` to move a request to that route.
async fn reroute(
    shared: &Shared,
    request: &str,
    hops: Vec<RouteHop>,
    in_flight: InFlight,
) -> Reroute {
    let path: Vec<_> = hops.iter().map(|hop| (hop.address, hop.layers)).collect();
    let first = hops[0].address;
    let call = shared.dialect.reroute_call(request, &path);
    let response = exchange(first, call, REROUTE_TIMEOUT).await;
    let status = response.as_ref().map(|response| response.status().as_u16());
    tracing::info!(event = "TS4308", request, %first, hops = hops.len(), ?status, "reroute ended");
    match response {
        Ok(response) if response.status().is_success() => Reroute::Done(hops, in_flight),
        Ok(response) if response.status() == StatusCode::CONFLICT => {
            Reroute::RefusedAt(shared.dialect.refusing_engine(response.body()))
        }
        _ => Reroute::Failed,
    }
}

/// Marks an engine as down and reports it to control and to other streams.
pub fn mark_down_and_report(shared: &Shared, request: &str, hop: RouteHop, cause: &str) {
    let now = shared.now();
    if !shared.targets().mark_down(hop.key, now) {
        return;
    }
    let address = hop.address;
    tracing::warn!(event = "TS4303", request, %address, cause, "target marked down");
    shared.pool.close_idle(address);
    shared.control.report_suspected(address);
    shared.notify_failure();
}
