//! Requests that are answered by a stream of events.
//!
//! A stream that breaks off or stalls goes on at another route after its last whole event,
//! within the same answer: the caller sees the head of the first engine and each event once.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::answer::{Answer, Refusal, channel, full, refuse};
use crate::attempt::{AttemptError, Destination, KeptConnection, OpenAnswer, send};
use crate::events::EventSplitter;
use crate::live_route::{Failure, LiveRoute, take_down};
use crate::request::CallerRequest;
use crate::shared::{Shared, UnderWay};
use crate::targets::{RouteHop, TargetKey};

/// Routes that are offered a request before it is refused.
const MAX_OFFERS: u32 = 6;
/// Time after which a caller may come back where no route can take its request.
const RETRY_AFTER: Duration = Duration::from_millis(2_500);

/// Runs a request whose answer is a stream.
pub async fn run(shared: Arc<Shared>, req: CallerRequest, under_way: UnderWay) -> Answer {
    let mut run = StreamRun::new(shared, req);
    loop {
        let open = match run.open(Avoided::IfNeeded).await {
            Ok(open) => open,
            Err(refusal) => return run.refuse(refusal),
        };
        let (head, mut source) = match open {
            Opened::Stream(head, source) => (head, source),
            Opened::Failure(answer) => return answer,
        };
        match run.next(&mut source, None).await {
            Next::Event(event) => {
                let (tx, body) = channel();
                run.note_first_event();
                tokio::spawn(async move {
                    run.pump(source, event, tx).await;
                    drop(under_way);
                });
                return Answer::from_parts(head, body);
            }
            Next::End => {
                run.finish("served", head.status.as_u16());
                source.keep(&run.shared);
                return Answer::from_parts(head, full(Bytes::new()));
            }
            Next::Failed(cause) => run.note_failure(&source, &cause),
            Next::Left => unreachable!("nobody can leave before there is a body"),
        }
        if !run.may_go_on() {
            return run.refuse(run.refusal());
        }
    }
}

/// What an attempt to open a stream led to.
enum Opened {
    Stream(http::response::Parts, Box<Source>),
    /// The engine's own failure, to be passed on.
    Failure(Answer),
}

/// Whether first engines that have lost the request's answer may get it again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Avoided {
    /// Only where there is no other.
    IfNeeded,
    /// They may not.
    Never,
}

/// What comes next on a stream.
enum Next {
    Event(Bytes),
    End,
    Failed(Failure),
    /// The caller has left.
    Left,
}

/// A stream from an engine.
struct Source {
    body: Incoming,
    kept: KeptConnection,
    splitter: EventSplitter,
    route: LiveRoute,
}

impl Source {
    /// Keeps the connection of a stream that was read to its end.
    fn keep(self: Box<Self>, shared: &Shared) {
        self.kept.keep(shared);
    }
}

/// A request and what has happened to it so far.
struct StreamRun {
    shared: Arc<Shared>,
    req: CallerRequest,
    /// Engines that have refused the request.
    excluded: Vec<TargetKey>,
    /// First engines whose answers were lost; they are better than none.
    avoided: Vec<TargetKey>,
    /// Attempts that may have run, on engines that are still there.
    runs: u32,
    offers: u32,
    /// Attempts that may have run at all.
    may_have_run: bool,
    last_event: Option<u64>,
    events: u64,
    first_event_ms: Option<u64>,
    last_delivered: Instant,
    longest_gap: Duration,
    first: Option<SocketAddr>,
    crossings: usize,
}

impl StreamRun {
    fn new(shared: Arc<Shared>, req: CallerRequest) -> Self {
        let last_event = req.facts.last_event;
        Self {
            shared,
            req,
            excluded: Vec::new(),
            avoided: Vec::new(),
            runs: 0,
            offers: 0,
            may_have_run: false,
            last_event,
            events: 0,
            first_event_ms: None,
            last_delivered: Instant::now(),
            longest_gap: Duration::ZERO,
            first: None,
            crossings: 0,
        }
    }

    /// Opens the stream at the first route that takes it.
    async fn open(&mut self, avoided: Avoided) -> Result<Opened, Refusal> {
        loop {
            if self.req.answer_due() <= Instant::now() {
                return Err(self.expired());
            }
            let Some(route) = self.next_route(avoided) else {
                return Err(self.refusal());
            };
            self.offers += 1;
            match self.attempt(route).await {
                Ok(opened) => return Ok(opened),
                Err(e) if e.has_not_run() => {}
                Err(_) if self.may_go_on() => {}
                Err(AttemptError::TimedOut) => return Err(self.expired()),
                Err(_) => return Err(self.refusal()),
            }
        }
    }

    fn next_route(&mut self, avoided: Avoided) -> Option<Vec<RouteHop>> {
        let (shared, service) = (&self.shared, &self.req.service);
        if self.offers >= MAX_OFFERS {
            return None;
        }
        let route = self.find_route(avoided)?;
        (self.offers == 0 || shared.take_repeat(service)).then_some(route)
    }

    async fn attempt(&mut self, route: Vec<RouteHop>) -> Result<Opened, AttemptError> {
        let first = route[0];
        let Some(id) = self.shared.targets().id(first.key) else {
            return Err(AttemptError::NotSent("the engine has left".into()));
        };
        let hops: Vec<_> = route.iter().map(|hop| (hop.address, hop.layers)).collect();
        let destination = Destination {
            id: &id,
            address: first.address,
            hops: &hops,
            last_event: self.last_event.filter(|_| self.events > 0),
        };
        self.first = Some(first.address);
        self.crossings = self.shared.targets().crossings(&route);
        let mut live = LiveRoute::new(&self.shared, &self.req, route);
        let result = self.send_watched(&destination, &mut live).await;
        let open = match result {
            Ok(open) => open,
            Err(e) => {
                self.note_refused(&live, &e);
                return Err(e);
            }
        };
        if !open.response.status().is_success() {
            let whole = open.whole(&self.shared, self.req.answer_due()).await;
            self.runs += 1;
            self.may_have_run = true;
            let answer = whole?;
            let status = answer.status().as_u16();
            self.finish("target-failure", status);
            return Ok(Opened::Failure(answer.map(full)));
        }
        let (head, body, kept) = open.into_stream();
        let source = Source {
            body,
            kept,
            splitter: EventSplitter::new(),
            route: live,
        };
        Ok(Opened::Stream(head, Box::new(source)))
    }

    /// Sends the request and waits for the head of the answer, as long as the route holds.
    async fn send_watched(
        &self,
        destination: &Destination<'_>,
        route: &mut LiveRoute,
    ) -> Result<OpenAnswer, AttemptError> {
        let due = self.req.answer_due();
        let sending = send(&self.shared, &self.req, destination, due);
        let mut sending = std::pin::pin!(sending);
        loop {
            tokio::select! {
                result = &mut sending => return result,
                failure = route.watch() => {
                    if !self.stays(&failure, route) {
                        return Err(AttemptError::Lost(failure.to_string().into()));
                    }
                }
            }
        }
    }

    /// Whether a stream that is held up has nowhere else to go.
    fn stays(&self, failure: &Failure, route: &mut LiveRoute) -> bool {
        let stays = failure.may_pass() && !self.can_go_elsewhere(route);
        if stays {
            route.wait_on();
        }
        stays
    }

    /// Whether another run is allowed beside the one on `route`, and there is a route for it.
    fn can_go_elsewhere(&self, route: &LiveRoute) -> bool {
        self.may_go_on()
            && self.runs + self.runs_on(route) < self.req.max_attempts
            && self.offers < MAX_OFFERS
            && self.find_route(Avoided::Never).is_some()
            && self.shared.has_repeat(&self.req.service)
    }

    /// Cheapest route without engines that have refused or, if possible, lost the request.
    fn find_route(&self, avoided: Avoided) -> Option<Vec<RouteHop>> {
        let (targets, now) = (self.shared.targets(), self.shared.now());
        let both: Vec<_> = self.excluded.iter().chain(&self.avoided).copied().collect();
        let service = &self.req.service;
        let route = targets.choose_route(service, &both, now);
        let route = match (route, avoided) {
            (None, Avoided::IfNeeded) => targets.choose_route(service, &self.excluded, now),
            (route, _) => route,
        };
        route.filter(|route| !route.is_empty())
    }

    /// Next event of a stream; `caller` tells when the caller has left.
    async fn next(
        &self,
        source: &mut Source,
        caller: Option<&mpsc::Sender<io::Result<Bytes>>>,
    ) -> Next {
        loop {
            if let Some(event) = source.splitter.next_event() {
                if event.id.is_some_and(|id| self.has_delivered(id)) {
                    continue;
                }
                return Next::Event(event.bytes);
            }
            let left = async {
                match caller {
                    Some(tx) => tx.closed().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                frame = source.body.frame() => match frame {
                    Some(Ok(frame)) => {
                        let Ok(bytes) = frame.into_data() else { continue };
                        source.route.note_event();
                        if let Err(e) = source.splitter.push(&bytes) {
                            return Next::Failed(Failure::Broken(e.to_string().into()));
                        }
                    }
                    Some(Err(e)) => return Next::Failed(Failure::Broken(e.to_string().into())),
                    None if source.splitter.holds_partial_event() => {
                        return Next::Failed(Failure::Broken("it ends within an event".into()));
                    }
                    None => return Next::End,
                },
                () = left => return Next::Left,
                failure = source.route.watch() => {
                    if !failure.may_pass() || self.can_go_elsewhere(&source.route) {
                        return Next::Failed(failure);
                    }
                    source.route.wait_on();
                }
                () = sleep_until(self.req.deadline) => return Next::Failed(Failure::Expired),
            }
        }
    }

    fn has_delivered(&self, id: u64) -> bool {
        self.last_event.is_some_and(|last| id <= last)
    }

    /// Draws conclusions from an attempt that was not taken.
    fn note_refused(&mut self, route: &LiveRoute, error: &AttemptError) {
        let first = route.hops()[0];
        let now = self.shared.now();
        match error {
            AttemptError::NotSent(_) => {
                take_down(&self.shared, self.req.id(), first, "it can't be reached");
            }
            AttemptError::NotRun { status, at_fault } => {
                let address = at_fault.unwrap_or(first.address);
                let mut targets = self.shared.targets();
                let hop = route.hops().iter().find(|hop| hop.address == address);
                let key = hop.map_or(first.key, |hop| hop.key);
                if *status == http::StatusCode::MISDIRECTED_REQUEST {
                    targets.note_misplaced(key, now);
                } else if targets.is_on_trial(key) {
                    targets.note_down(key, now);
                } else {
                    targets.note_refusal(key, now);
                }
                self.excluded.push(key);
            }
            AttemptError::Lost(_) | AttemptError::TimedOut => self.count_run(route),
        }
    }

    /// Counts an attempt that may have run, unless its first engine has failed.
    // An engine further on that has failed does not undo the run on the first one.
    fn count_run(&mut self, route: &LiveRoute) {
        self.may_have_run = true;
        let runs = self.runs_on(route);
        self.runs += runs;
        if runs > 0 {
            self.avoided.push(route.hops()[0].key);
        }
    }

    /// 1 where the first engine of a route lives, else 0.
    fn runs_on(&self, route: &LiveRoute) -> u32 {
        let first = route.hops()[0].key;
        let failed = self.shared.targets().has_failed(first, self.shared.now());
        u32::from(!failed)
    }

    /// Draws conclusions from a stream that can't go on where it is.
    fn note_failure(&mut self, source: &Source, failure: &Failure) {
        tracing::info!(
            event = "TS4305",
            request = self.req.id(),
            first = %source.route.hops()[0].address,
            hops = source.route.hops().len(),
            last_event = self.last_event,
            silent_ms = source.route.silence().as_millis() as u64,
            cause = %failure,
            "stream broke off"
        );
        self.count_run(&source.route);
    }

    fn may_go_on(&self) -> bool {
        self.req.kind.may_repeat()
            && self.runs < self.req.max_attempts
            && Instant::now() < self.req.answer_due()
    }

    /// Forwards events until the stream ends, going on elsewhere where it must.
    async fn pump(
        mut self,
        source: Box<Source>,
        event: Bytes,
        tx: mpsc::Sender<io::Result<Bytes>>,
    ) {
        let mut source = source;
        let mut event = Some(event);
        loop {
            if let Some(bytes) = event.take() {
                self.note_delivered(&bytes);
                if tx.send(Ok(bytes)).await.is_err() {
                    return self.finish("caller-left", 200);
                }
            }
            match self.next(&mut source, Some(&tx)).await {
                Next::Event(bytes) => event = Some(bytes),
                Next::End => {
                    source.keep(&self.shared);
                    return self.finish("served", 200);
                }
                Next::Left => return self.finish("caller-left", 200),
                Next::Failed(failure) if failure.may_pass() => {
                    // What can't be opened elsewhere may still go on where it is.
                    let next = if self.can_go_elsewhere(&source.route) {
                        self.go_on(&source, &tx, Avoided::Never).await
                    } else {
                        None
                    };
                    if let Some(next) = next {
                        self.note_failure(&source, &failure);
                        source = next;
                    } else {
                        source.route.wait_on();
                    }
                }
                Next::Failed(failure) => {
                    self.note_failure(&source, &failure);
                    let Some(next) = self.go_on(&source, &tx, Avoided::IfNeeded).await else {
                        // An error breaks the connection off, so that the answer looks cut.
                        let cut = io::Error::other("the stream can't go on");
                        drop(tx.send(Err(cut)).await);
                        return self.finish("cut", 200);
                    };
                    source = next;
                }
            }
        }
    }

    /// Opens the rest of the stream at another route than that of `source`.
    async fn go_on(
        &mut self,
        source: &Source,
        tx: &mpsc::Sender<io::Result<Bytes>>,
        avoided: Avoided,
    ) -> Option<Box<Source>> {
        let first = source.route.hops()[0].key;
        self.avoided.push(first);
        if !self.may_go_on() || self.last_event.is_none() {
            return None;
        }
        let opened = tokio::select! {
            opened = self.open(avoided) => opened,
            () = tx.closed() => return None,
        };
        match opened {
            Ok(Opened::Stream(_, source)) => Some(source),
            Ok(Opened::Failure(_)) | Err(_) => None,
        }
    }

    fn note_first_event(&mut self) {
        let ms = self.req.age_ms();
        self.first_event_ms = Some(ms);
        self.shared.metrics.latency.observe(ms as f64 / 1e3);
    }

    fn note_delivered(&mut self, bytes: &Bytes) {
        let now = Instant::now();
        if self.events > 0 {
            self.longest_gap = self.longest_gap.max(now - self.last_delivered);
        }
        self.last_delivered = now;
        self.events += 1;
        if let Some(id) = crate::events::event_id(bytes) {
            self.last_event = Some(id);
        }
    }

    fn expired(&self) -> Refusal {
        if self.may_have_run {
            Refusal::Expired
        } else {
            Refusal::ExpiredUnrun
        }
    }

    fn refusal(&self) -> Refusal {
        if self.may_have_run {
            Refusal::Lost
        } else {
            Refusal::NoTarget
        }
    }

    fn refuse(&self, refusal: Refusal) -> Answer {
        self.finish(refusal.name(), refusal.status().as_u16());
        let retry_after = (!self.may_have_run).then_some(RETRY_AFTER);
        refuse(refusal, retry_after)
    }

    fn finish(&self, outcome: &'static str, status: u16) {
        let requests = &self.shared.metrics.requests;
        requests.with_label_values(&["stream", outcome]).inc();
        tracing::info!(
            event = "TS4306",
            request = self.req.id(),
            route = %self.req.route,
            service = %self.req.service,
            version = self.req.version,
            status,
            outcome,
            runs = self.runs,
            offers = self.offers,
            events = self.events,
            first = ?self.first,
            crossings = self.crossings,
            first_event_ms = self.first_event_ms,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            ms = self.req.age_ms(),
            "stream ended"
        );
    }
}
