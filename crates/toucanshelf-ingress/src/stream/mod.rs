//! Proxies requests whose response is a stream of events.
//!
//! An engine runs some layers of a model. A route is a sequence of engines that together run all
//! layers, and its first engine sends the events. If a stream breaks off, or receives no data for
//! too long, it resumes on another route after the last event that the caller has. The caller gets
//! one response, with the head from the route of its first event, and each event once.

mod opening;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep_until};
use toucanshelf_core::ids::CrashId;
use toucanshelf_routing::runs::{AttemptKey, AttemptState, RunLedger};
use toucanshelf_runtime::in_flight::InFlightGuard;

use crate::attempt::ReusableConnection;
use crate::content_guard::ContentAttempt;
use crate::event_sender::EventSender;
use crate::events::{EventSplitter, warn_of_memory};
use crate::live_route::{LiveRoute, StreamFailure};
use crate::relay::{self, Delivered, History};
use crate::request::CallerRequest;
use crate::response::{ProxyResponse, Refusal, full_body, refusal_response};
use crate::rooms;
use crate::shared::Shared;
use crate::targets::TargetKey;

/// Time without data after which an isolated ingress continues a stream at another one.
const RELAY_SILENCE: Duration = Duration::from_millis(700);
/// Default `Retry-After` time sent to the caller if the request fails without having run.
const RETRY_AFTER: Duration = Duration::from_millis(2_500);

/// Sends a streaming request to an engine and returns the response to the caller.
///
/// `under_way` counts the request as in flight until its stream has ended.
pub async fn run(
    shared: Arc<Shared>,
    req: CallerRequest,
    under_way: InFlightGuard,
) -> ProxyResponse {
    let mut session = StreamSession::new(shared, req);
    let (mut head, mut upstream) = match session.open(AvoidedEngines::LastResort).await {
        Ok(Opened::Stream(head, upstream)) => (head, upstream),
        Ok(Opened::ErrorResponse(response)) => return response,
        Err(refusal) => return session.relay_or_refuse(refusal, under_way).await,
    };
    loop {
        match session.next_item(&mut upstream, None).await {
            StreamItem::Event(event) => {
                let (tx, body) = EventSender::new();
                session.delivered.status = Some(head.status);
                session.record_first_event();
                if session.req.relayed {
                    relay::set_runs(&mut head.headers, session.runs());
                }
                tokio::spawn(async move {
                    session.forward_events(upstream, event, tx).await;
                    drop(under_way);
                });
                return ProxyResponse::from_parts(head, body);
            }
            StreamItem::End => {
                session.finish("served", head.status.as_u16());
                upstream.return_connection(&session.shared);
                return ProxyResponse::from_parts(head, full_body(Bytes::new()));
            }
            StreamItem::Failed(failure) => {
                match session.fail_over(&mut upstream, &failure, None).await {
                    Failover::Switched(new_head) => head = *new_head,
                    Failover::Kept => {}
                    Failover::Ended => {
                        drop(upstream);
                        let refusal = session.unavailable_refusal();
                        return session.relay_or_refuse(refusal, under_way).await;
                    }
                }
            }
            StreamItem::CallerDisconnected => {
                unreachable!("the caller is watched only once the response has a body")
            }
        }
    }
}

/// Result of moving an interrupted or stalled stream to another route.
enum Failover {
    /// The stream continues on another route, whose response has this head.
    Switched(Box<http::response::Parts>),
    /// The stream stays on its route, where it may still recover.
    Kept,
    /// The stream can't be continued.
    Ended,
}

/// Response of an engine to a streaming request.
enum Opened {
    /// The head of a successful response, and its stream.
    Stream(http::response::Parts, Box<Upstream>),
    /// An error response of the engine, which is passed on to the caller.
    ErrorResponse(ProxyResponse),
}

/// Waits until the caller disconnects.
///
/// `caller` is the channel to the caller's response body. Without one, the future never completes.
async fn caller_disconnected(caller: Option<&EventSender>) {
    match caller {
        Some(tx) => tx.closed().await,
        None => std::future::pending().await,
    }
}

/// Whether a new route may contain the first engines of earlier, failed routes.
///
/// [`StreamSession::avoided`] lists these engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AvoidedEngines {
    /// Engines in [`StreamSession::avoided`] are chosen only if no other route exists.
    LastResort,
    /// Engines in [`StreamSession::avoided`] are never chosen.
    Excluded,
}

/// Next item read from a stream.
enum StreamItem {
    /// All bytes of an event that the caller has not received yet.
    Event(Bytes),
    /// The stream has ended after a complete event.
    End,
    /// The stream can't or may not continue on its route.
    Failed(StreamFailure),
    /// The caller has closed its connection.
    CallerDisconnected,
}

/// Stream of events from the first engine of a route.
struct Upstream {
    body: Incoming,
    connection: ReusableConnection,
    splitter: EventSplitter,
    route: LiveRoute,
    attempt: AttemptKey,
    /// Whether the response has neither a length nor chunks, so that it ends with its connection.
    ends_with_connection: bool,
    /// Whether an event has arrived.
    has_event: bool,
    /// Identifier under which a crash of the first engine is reported.
    crash: CrashId,
    /// Report on the request's content.
    content: ContentAttempt,
}

impl Upstream {
    /// Records that the first engine has sent an event.
    fn record_event(&mut self) {
        self.has_event = true;
        self.content.record_begun();
    }

    /// Reports that the first engine crashed.
    fn record_crash(&mut self, req: &CallerRequest) {
        self.content.record_crash(req, self.crash);
    }

    /// Returns the connection to the pool once the stream has ended.
    fn return_connection(self: Box<Self>, shared: &Shared) {
        self.connection.return_to_pool(shared);
    }
}

/// A streaming request and the state of its attempts on routes.
///
/// An attempt is one send of the request to the first engine of a route.
struct StreamSession {
    shared: Arc<Shared>,
    req: CallerRequest,
    /// Engines that have refused the request or caused its refusal.
    ///
    /// They are not chosen for new routes of the request.
    excluded: Vec<TargetKey>,
    /// First engines of routes on which the stream failed.
    ///
    /// [`AvoidedEngines`] tells whether they may be chosen again.
    avoided: Vec<TargetKey>,
    /// Attempts on all routes, and the limit of runs (`max_attempts`).
    ledger: RunLedger<TargetKey>,
    /// What the caller has of the response.
    ///
    /// The last event may stem from an earlier response, if the caller states it in the request.
    delivered: Delivered,
    /// Number of events that were sent to the caller in this response.
    events: u64,
    /// Time from reading the request's head to the first event, in milliseconds.
    first_event_ms: Option<u64>,
    last_delivered: Instant,
    /// Longest time between two events in a row that were sent to the caller.
    longest_gap: Duration,
    /// Address of the first engine on the latest route.
    first_engine: Option<SocketAddr>,
    /// Number of times that the latest route passes from one zone to another.
    zone_crossings: usize,
    /// `Retry-After` time for the caller if the request has not run.
    retry_after: Duration,
}

impl StreamSession {
    fn new(shared: Arc<Shared>, req: CallerRequest) -> Self {
        let delivered = Delivered {
            status: None,
            last_event: req.facts.last_event,
        };
        let ledger = RunLedger::new(req.max_attempts).with_earlier_runs(req.earlier_runs);
        Self {
            shared,
            req,
            excluded: Vec::new(),
            avoided: Vec::new(),
            ledger,
            delivered,
            events: 0,
            first_event_ms: None,
            last_delivered: Instant::now(),
            longest_gap: Duration::ZERO,
            first_engine: None,
            zone_crossings: 0,
            retry_after: RETRY_AFTER,
        }
    }

    /// Reads the next event that the caller has not received yet.
    ///
    /// Meanwhile failed engines of the route are replaced where possible.
    ///
    /// `caller` is the channel to the caller's response body, once there is one.
    async fn next_item(&self, upstream: &mut Upstream, caller: Option<&EventSender>) -> StreamItem {
        loop {
            let next = match upstream.splitter.next_queued() {
                Ok(next) => next,
                Err(e) => return StreamItem::Failed(e.into()),
            };
            if let Some(event) = next {
                if !crate::events::is_well_formed(&event.bytes) {
                    let cause = "the engine sent bytes that are no event";
                    return StreamItem::Failed(StreamFailure::Broken(cause.into()));
                }
                upstream.record_event();
                if event.id.is_some_and(|id| self.has_delivered(id)) {
                    continue;
                }
                return StreamItem::Event(event.bytes);
            }
            tokio::select! {
                frame = upstream.body.frame() => match frame {
                    Some(Ok(frame)) => {
                        let Ok(bytes) = frame.into_data() else { continue };
                        upstream.route.record_activity();
                        upstream.splitter.queue(bytes);
                    }
                    Some(Err(e)) => {
                        upstream.record_crash(&self.req);
                        return StreamItem::Failed(StreamFailure::Broken(e.to_string().into()))
                    }
                    None if upstream.splitter.holds_partial_event() => {
                        upstream.record_crash(&self.req);
                        return StreamItem::Failed(StreamFailure::Broken(
                            "the stream ended within an event".into(),
                        ));
                    }
                    None if self.is_cut_before_first_event(upstream) => {
                        upstream.record_crash(&self.req);
                        return StreamItem::Failed(StreamFailure::Broken(
                            "the connection ended before the first event".into(),
                        ));
                    }
                    None => {
                        // A stream without an event doesn't show that the engine would have survived
                        // one, and a connection may also end because the engine crashed.
                        if upstream.has_event && !upstream.ends_with_connection {
                            upstream.content.record_served();
                        }
                        return StreamItem::End;
                    }
                },
                () = caller_disconnected(caller) => return StreamItem::CallerDisconnected,
                () = upstream.content.refused() => {
                    return StreamItem::Failed(StreamFailure::Cancelled);
                }
                failure = upstream.route.watch() => {
                    if !failure.may_recover() || self.can_fail_over(&upstream.route) {
                        return StreamItem::Failed(failure);
                    }
                    upstream.route.extend_wait();
                }
                () = sleep_until(self.req.deadline) => {
                    return StreamItem::Failed(StreamFailure::Expired)
                }
            }
        }
    }

    /// Whether an ended stream was broken off, although its end looks regular.
    ///
    /// A response without a length and without chunks ends with its connection, and so does one
    /// whose engine crashes. A stream without any event, which isn't resumed, is taken for the latter.
    fn is_cut_before_first_event(&self, upstream: &Upstream) -> bool {
        upstream.ends_with_connection && !upstream.has_event && self.delivered.last_event.is_none()
    }

    /// Whether the caller has already received the event with number `id`.
    fn has_delivered(&self, id: u64) -> bool {
        self.delivered.last_event.is_some_and(|last| id <= last)
    }

    /// Returns the number of runs that count towards the limit.
    fn runs(&self) -> u32 {
        self.ledger.runs(|key| self.shared.targets().has_ended(key))
    }

    /// Returns whether the limit allows another run.
    fn has_run_left(&self) -> bool {
        let has_ended = |key| self.shared.targets().has_ended(key);
        self.ledger.has_run_left(has_ended)
    }

    /// Records that an attempt whose first engine is `first` was given up.
    ///
    /// It counts towards the limit of runs unless that engine has ended.
    // An engine that is silent, or marked down for another reason, may still run the request.
    fn settle_run(&mut self, attempt: AttemptKey, first: TargetKey) {
        let state = if self.shared.targets().has_ended(first) {
            AttemptState::TargetEnded
        } else {
            self.avoided.push(first);
            AttemptState::MayHaveRun
        };
        self.ledger.settle(attempt, state);
    }

    /// Logs that a stream failed on its route, and settles the attempt.
    fn record_failure(&mut self, upstream: &mut Upstream, failure: &StreamFailure) {
        let first = upstream.route.hops()[0].key;
        // Another request may learn that the process has ended before this stream's connection ends.
        if self.shared.targets().has_ended(first) {
            upstream.record_crash(&self.req);
        }
        self.settle_run(upstream.attempt, first);
        tracing::info!(
            event = "TS4305",
            request = self.req.id(),
            first = %upstream.route.hops()[0].address,
            hops = upstream.route.hops().len(),
            last_event = self.delivered.last_event,
            silent_ms = upstream.route.time_since_activity().as_millis() as u64,
            runs = self.runs(),
            cause = %failure,
            "stream interrupted"
        );
    }

    /// Returns whether the request may run again on another route.
    ///
    /// Its kind, the limit of runs and the deadline decide. A stalled stream counts as a run.
    fn may_retry(&self) -> bool {
        self.req.kind.is_retryable()
            && self.has_run_left()
            && Instant::now() < self.req.response_due()
    }

    /// Sends events to the caller until the stream ends or can't be continued.
    ///
    /// `event` is the first event, which was read already. If the stream fails on its route, it
    /// moves to another one.
    async fn forward_events(mut self, upstream: Box<Upstream>, event: Bytes, tx: EventSender) {
        let mut upstream = upstream;
        let mut event = Some(event);
        loop {
            if let Some(bytes) = event.take() {
                self.record_delivery(&bytes);
                if tx.send(bytes).await.is_err() {
                    return self.finish("caller-left", 200);
                }
                upstream.route.resume_watch();
            }
            match self.next_item(&mut upstream, Some(&tx)).await {
                StreamItem::Event(bytes) => event = Some(bytes),
                StreamItem::End => {
                    upstream.return_connection(&self.shared);
                    rooms::record_duration(&self.shared, &self.req);
                    return self.finish("served", 200);
                }
                StreamItem::CallerDisconnected => return self.finish("caller-left", 200),
                StreamItem::Failed(failure) => {
                    let failover = self.fail_over(&mut upstream, &failure, Some(&tx)).await;
                    if matches!(failover, Failover::Ended) && self.takes_relay() {
                        drop(upstream);
                        let (shared, req) = (&self.shared, &self.req);
                        relay::continue_stream(shared, req, self.delivered, self.runs(), &tx).await;
                        return self.finish("relayed", 200);
                    }
                    if matches!(failover, Failover::Ended) {
                        tx.abort("the stream can't be continued on any route").await;
                        return self.finish("cut", 200);
                    }
                }
            }
        }
    }

    /// Moves a stream to another route after a failure, if possible.
    ///
    /// A stream that may still recover keeps its old route until the new route sends its response.
    async fn fail_over(
        &mut self,
        upstream: &mut Box<Upstream>,
        failure: &StreamFailure,
        caller: Option<&EventSender>,
    ) -> Failover {
        if let StreamFailure::NoMemory(e) = failure {
            warn_of_memory(&self.req, *e);
            return Failover::Ended;
        }
        if self.req.relayed && caller.is_some() {
            return self.return_to_sender(upstream, failure);
        }
        let may_recover = failure.may_recover();
        if !may_recover {
            self.record_failure(upstream, failure);
        }
        let allowed = if may_recover {
            self.can_fail_over(&upstream.route)
        } else {
            self.may_retry()
        };
        // If events were sent to the caller but had no numbers, the new engine can't be told after
        // which event to resume.
        let resumable = self.events == 0 || self.delivered.last_event.is_some();
        let next = if allowed && resumable {
            let avoided = if may_recover {
                AvoidedEngines::Excluded
            } else {
                AvoidedEngines::LastResort
            };
            self.avoided.push(upstream.route.hops()[0].key);
            self.open_alternative(avoided, caller).await
        } else {
            None
        };
        match next {
            Some((head, next)) => {
                if may_recover {
                    self.record_failure(upstream, failure);
                }
                *upstream = next;
                Failover::Switched(Box::new(head))
            }
            None if may_recover && !self.relay_is_due(&upstream.route) => {
                upstream.route.extend_wait();
                Failover::Kept
            }
            None => {
                if may_recover {
                    self.record_failure(upstream, failure);
                }
                Failover::Ended
            }
        }
    }

    /// Ends a relayed stream, which then continues where the ingress that sent it decides.
    ///
    /// That ingress knows only the runs up to the response head, so this one may not start further ones.
    fn return_to_sender(&mut self, upstream: &mut Upstream, failure: &StreamFailure) -> Failover {
        if failure.may_recover() && !self.can_fail_over(&upstream.route) {
            upstream.route.extend_wait();
            return Failover::Kept;
        }
        self.record_failure(upstream, failure);
        Failover::Ended
    }

    /// Opens the rest of the stream on another route.
    ///
    /// Returns `None` if that fails or the caller disconnects first.
    async fn open_alternative(
        &mut self,
        avoided: AvoidedEngines,
        caller: Option<&EventSender>,
    ) -> Option<(http::response::Parts, Box<Upstream>)> {
        let opened = tokio::select! {
            opened = self.open(avoided) => opened,
            () = caller_disconnected(caller) => return None,
        };
        match opened {
            Ok(Opened::Stream(head, upstream)) => Some((head, upstream)),
            Ok(Opened::ErrorResponse(_)) | Err(_) => None,
        }
    }

    fn record_first_event(&mut self) {
        let ms = self.req.age_ms();
        self.first_event_ms = Some(ms);
        self.shared.metrics.latency.observe(ms as f64 / 1e3);
    }

    fn record_delivery(&mut self, bytes: &Bytes) {
        let now = Instant::now();
        if self.events > 0 {
            self.longest_gap = self.longest_gap.max(now - self.last_delivered);
        }
        self.last_delivered = now;
        self.events += 1;
        if let Some(id) = crate::events::event_id(bytes) {
            self.delivered.last_event = Some(id);
        }
    }

    /// Returns the error for the caller if the request's deadline has passed.
    fn deadline_refusal(&self) -> Refusal {
        if self.ledger.may_have_run() {
            Refusal::Expired
        } else {
            Refusal::ExpiredUnrun
        }
    }

    /// Returns the error for the caller if no route can be used any more.
    fn unavailable_refusal(&self) -> Refusal {
        if self.ledger.may_have_run() {
            Refusal::Lost
        } else {
            Refusal::NoTarget
        }
    }

    /// Returns whether another ingress may continue the request, because this one is isolated.
    ///
    /// The budget of repeated sends must allow that if an engine has received the request.
    fn may_relay(&self) -> bool {
        let resumable = self.events == 0 || self.delivered.last_event.is_some();
        let may_run = !self.ledger.may_have_run() || self.may_retry();
        may_run
            && resumable
            && relay::is_needed(&self.shared, &self.req)
            && (!self.ledger.is_offered() || self.shared.has_repeat(&self.req.service))
    }

    /// Returns whether a stream on `route` should continue at another ingress.
    ///
    /// A connection may live on while no new one can be opened; the stream then stays.
    fn relay_is_due(&self, route: &LiveRoute) -> bool {
        self.may_relay() && route.time_since_activity() >= RELAY_SILENCE
    }

    /// Returns whether to relay the request now, and takes a repeated send for it if one is due.
    fn takes_relay(&self) -> bool {
        self.may_relay()
            && (!self.ledger.is_offered() || self.shared.take_repeat(&self.req.service))
    }

    /// Sends a request of which the caller has no event to another ingress, or refuses it.
    async fn relay_or_refuse(self, refusal: Refusal, under_way: InFlightGuard) -> ProxyResponse {
        if self.takes_relay() {
            let history = History {
                earlier_runs: self.ledger.may_have_run().then(|| self.runs()),
                counted: true,
            };
            return relay::run(self.shared, self.req, history, under_way).await;
        }
        self.refuse(refusal)
    }

    fn refuse(&self, refusal: Refusal) -> ProxyResponse {
        self.finish(refusal.name(), refusal.status().as_u16());
        let retry_after = (!self.ledger.may_have_run()).then_some(self.retry_after);
        refusal_response(refusal, retry_after)
    }

    /// Records the outcome of the request in metrics and the log.
    fn finish(&self, outcome: &'static str, status: u16) {
        let requests = &self.shared.metrics.requests;
        requests.with_label_values(&["stream", outcome]).inc();
        tracing::info!(
            event = "TS4306",
            request = self.req.id(),
            route = %self.req.route,
            service = %self.req.service,
            parts = %self.req.shared_parts(),
            version = self.req.version,
            status,
            outcome,
            runs = self.runs(),
            offers = self.ledger.attempts(),
            events = self.events,
            first = ?self.first_engine,
            crossings = self.zone_crossings,
            first_event_ms = self.first_event_ms,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            ms = self.req.age_ms(),
            "stream ended"
        );
    }
}
