//! Route of a stream that is under way: finds engines that have failed, and replaces them.
//!
//! A stalled stream asks its first engine what it waits for. The failed engine is then replaced
//! where the request runs: the other engines keep what they have read, and only the replacement
//! reads the tokens so far.

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

/// Wait for a first event after which the route is looked into.
// Longer than the report's lag beyond the objective for a first event.
const FIRST_EVENT_CHECK: Duration = Duration::from_millis(600);
/// Gap between events after which the route is looked into.
// Beyond the usual gap and the 200 ms by which reports lag.
const GAP_CHECK: Duration = Duration::from_millis(320);
/// Time between further looks.
const CHECK_AGAIN: Duration = Duration::from_millis(150);
/// Gap after which a stream goes on elsewhere, whatever the reports say.
// Callers leave after 2 s without an event.
const GAP_LIMIT: Duration = Duration::from_millis(1_750);
/// Time for which a stream waits for somebody to hold what its route lacks.
const MEND_LIMIT: Duration = Duration::from_millis(1_100);
/// Time within which the first engine must answer an order to change a route.
const MEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Orders to change the route of one request.
const MAX_MENDS: u32 = 4;

/// Why a stream can't go on where it is.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The connection to the first engine broke.
    #[error("connection broke: {0}")]
    Broken(Box<str>),
    /// An engine further on has failed and can't be replaced.
    #[error("an engine further on has failed")]
    RouteFailed,
    /// The first engine has failed.
    #[error("the first engine has failed")]
    FirstFailed,
    /// Nothing has come for too long.
    #[error("no event in time")]
    Frozen,
    /// The deadline has passed.
    #[error("the deadline has passed")]
    Expired,
}

impl Failure {
    /// Whether the stream may still go on by itself.
    pub fn may_pass(&self) -> bool {
        matches!(self, Self::RouteFailed | Self::FirstFailed | Self::Frozen)
    }
}

/// How an order to change the route ended.
#[derive(Debug)]
enum Mend {
    Done(Vec<RouteHop>, InFlight),
    /// The engine that is named is not there or has no room.
    RefusedAt(Option<SocketAddr>),
    /// The first engine does not know the request, or has not answered.
    Failed,
}

/// What is asked of the first engine at the moment.
#[derive(Debug)]
enum Asked {
    Report(JoinHandle<Option<Arc<EngineReport>>>),
    Mend(JoinHandle<Mend>),
}

/// What the first engine has answered.
enum Answered {
    Report(Option<Arc<EngineReport>>),
    Mend(Mend),
}

/// Route of a stream that is under way.
#[derive(Debug)]
pub struct LiveRoute {
    shared: Arc<Shared>,
    request: Box<str>,
    service: Box<str>,
    tokens: f64,
    hops: Vec<RouteHop>,
    in_flight: InFlight,
    last_heard: Instant,
    check_due: Instant,
    /// Time before which nothing is concluded.
    held_until: Instant,
    failures: watch::Receiver<u64>,
    excluded: Vec<TargetKey>,
    mends: u32,
    asked: Option<Asked>,
}

impl LiveRoute {
    /// Starts to watch the route of a request that is sent now.
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
            last_heard: now,
            check_due: now + FIRST_EVENT_CHECK,
            held_until: now,
            failures: shared.failures(),
            excluded: Vec::new(),
            mends: 0,
            asked: None,
        }
    }

    /// Engines of the route.
    pub fn hops(&self) -> &[RouteHop] {
        &self.hops
    }

    /// Time since the last sign of life.
    pub fn silence(&self) -> Duration {
        self.last_heard.elapsed()
    }

    /// Notes that something has come.
    pub fn note_event(&mut self) {
        self.last_heard = Instant::now();
        self.check_due = self.last_heard + GAP_CHECK;
    }

    /// Gives a route that is held up more time.
    pub fn wait_on(&mut self) {
        self.held_until = Instant::now() + CHECK_AGAIN;
    }

    /// Whether an engine of the route has failed.
    pub fn has_failed(&self) -> bool {
        let now = self.shared.now();
        let targets = self.shared.targets();
        let mut hops = self.hops.iter();
        hops.any(|hop| targets.has_failed(hop.key, now) || self.excluded.contains(&hop.key))
    }

    /// Waits until the stream can't go on here; mends the route meanwhile where it can.
    ///
    /// May be dropped and called again.
    pub async fn watch(&mut self) -> Failure {
        sleep_until(self.held_until).await;
        loop {
            if self.asked.is_none()
                && self.has_failed()
                && let Some(failure) = self.start_mend()
            {
                return failure;
            }
            tokio::select! {
                answered = answer(&mut self.asked) => {
                    self.asked = None;
                    if let Some(failure) = self.take_answer(answered) {
                        return failure;
                    }
                }
                changed = self.failures.changed() => {
                    if changed.is_err() {
                        return Failure::Frozen;
                    }
                }
                () = sleep_until(self.check_due) => {
                    self.check_due = Instant::now() + CHECK_AGAIN;
                    if self.silence() >= GAP_LIMIT {
                        return Failure::Frozen;
                    }
                    if self.asked.is_none() {
                        self.ask_report();
                    }
                }
            }
        }
    }

    fn ask_report(&mut self) {
        let (shared, address) = (Arc::clone(&self.shared), self.hops[0].address);
        let report = tokio::spawn(async move { shared.reports.get(&shared, address).await });
        self.asked = Some(Asked::Report(report));
    }

    fn take_answer(&mut self, answered: Answered) -> Option<Failure> {
        match answered {
            Answered::Report(report) => self.take_report(report.as_deref()),
            Answered::Mend(Mend::Done(hops, in_flight)) => {
                self.in_flight = in_flight;
                self.hops = hops;
                self.check_due = Instant::now() + FIRST_EVENT_CHECK;
                None
            }
            Answered::Mend(Mend::RefusedAt(address)) => {
                let key = address.and_then(|address| self.shared.targets().at_address(address));
                self.excluded.extend(key);
                None
            }
            Answered::Mend(Mend::Failed) => Some(Failure::RouteFailed),
        }
    }

    fn take_report(&mut self, report: Option<&EngineReport>) -> Option<Failure> {
        let first = self.hops[0];
        let Some(report) = report else {
            take_down(&self.shared, &self.request, first, "it gives no report");
            return Some(Failure::FirstFailed);
        };
        let stalled = report.stalled.iter();
        let own = stalled.filter(|stalled| stalled.request_id == self.request);
        let waits_for: Vec<_> = own.map(|stalled| stalled.address).collect();
        for hop in &self.hops[1..] {
            if waits_for.contains(&hop.address) {
                take_down(&self.shared, &self.request, *hop, "requests stall there");
            }
        }
        if waits_for.contains(&first.address) {
            // The first engine lives: what comes back to it from another zone is cut off.
            let remote = self.shared.targets().remote(&self.hops);
            self.excluded.extend(remote);
        }
        None
    }

    /// Orders another route; returns a failure where there is none to be had.
    fn start_mend(&mut self) -> Option<Failure> {
        let now = self.shared.now();
        let first = self.hops[0];
        if self.shared.targets().has_failed(first.key, now) {
            return Some(Failure::FirstFailed);
        }
        if self.mends >= MAX_MENDS {
            return Some(Failure::RouteFailed);
        }
        let targets = self.shared.targets();
        let mended = targets.mend_route(&self.service, &self.hops, &self.excluded, now);
        drop(targets);
        let Some(hops) = mended else {
            // Layers may be loaded elsewhere soon.
            return (self.silence() >= MEND_LIMIT).then_some(Failure::RouteFailed);
        };
        self.mends += 1;
        let (shared, request) = (Arc::clone(&self.shared), self.request.clone());
        // Counted from now on, so that streams that are mended at the same time spread out.
        let in_flight = reserve(&shared, &hops, self.tokens);
        let mend = tokio::spawn(async move { mend(&shared, &request, hops, in_flight).await });
        self.asked = Some(Asked::Mend(mend));
        None
    }
}

fn reserve(shared: &Arc<Shared>, hops: &[RouteHop], tokens: f64) -> InFlight {
    let reserved = hops
        .iter()
        .map(|hop| (hop.key, tokens * f64::from(hop.layers.len())));
    InFlight::new(shared, reserved.collect())
}

/// Answer to what is asked; waits for ever where nothing is.
async fn answer(asked: &mut Option<Asked>) -> Answered {
    match asked {
        // A task fails only when the runtime ends.
        Some(Asked::Report(report)) => Answered::Report(report.await.unwrap_or(None)),
        Some(Asked::Mend(mend)) => Answered::Mend(mend.await.unwrap_or(Mend::Failed)),
        None => std::future::pending().await,
    }
}

/// Orders the first engine of `hops` to move a request to that route.
async fn mend(shared: &Shared, request: &str, hops: Vec<RouteHop>, in_flight: InFlight) -> Mend {
    let path: Vec<_> = hops.iter().map(|hop| (hop.address, hop.layers)).collect();
    let first = hops[0].address;
    let call = shared.dialect.reroute_call(request, &path);
    let answer = exchange(first, call, MEND_TIMEOUT).await;
    let status = answer.as_ref().map(|answer| answer.status().as_u16());
    tracing::info!(event = "TS4308", request, %first, hops = hops.len(), ?status, "route changed");
    match answer {
        Ok(answer) if answer.status().is_success() => Mend::Done(hops, in_flight),
        Ok(answer) if answer.status() == StatusCode::CONFLICT => {
            Mend::RefusedAt(shared.dialect.refusing_engine(answer.body()))
        }
        _ => Mend::Failed,
    }
}

/// Leaves a failed engine alone and tells everybody.
pub fn take_down(shared: &Shared, request: &str, hop: RouteHop, cause: &str) {
    let now = shared.now();
    if !shared.targets().note_down(hop.key, now) {
        return;
    }
    let address = hop.address;
    tracing::warn!(event = "TS4303", request, %address, cause, "target left alone");
    shared.pool.forget(address);
    shared.control.report_suspicion(address);
    shared.announce_failure();
}
