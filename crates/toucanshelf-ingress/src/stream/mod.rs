//! Requests that are answered by a stream of events.
//!
//! A stream that breaks off or stalls goes on at another route after its last whole event,
//! within the same answer: the caller sees the head of the first engine and each event once.

mod opening;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use toucanshelf_runtime::in_flight::InFlightGuard;

use crate::answer::{Answer, Refusal, channel, full, refuse};
use crate::attempt::KeptConnection;
use crate::events::EventSplitter;
use crate::live_route::{Failure, LiveRoute};
use crate::request::CallerRequest;
use crate::shared::Shared;
use crate::targets::TargetKey;

/// Time after which a caller may come back where no route can take its request.
const RETRY_AFTER: Duration = Duration::from_millis(2_500);

/// Runs a request whose answer is a stream.
pub async fn run(shared: Arc<Shared>, req: CallerRequest, under_way: InFlightGuard) -> Answer {
    let mut run = StreamRun::new(shared, req);
    let (mut head, mut source) = match run.open(Avoided::IfNeeded).await {
        Ok(Opened::Stream(head, source)) => (head, source),
        Ok(Opened::Failure(answer)) => return answer,
        Err(refusal) => return run.refuse(refusal),
    };
    loop {
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
            Next::Failed(failure) => match run.move_on(&mut source, &failure, None).await {
                Moved::Elsewhere(new_head) => head = *new_head,
                Moved::Stays => {}
                Moved::Nowhere => return run.refuse(run.refusal()),
            },
            Next::Left => unreachable!("nobody can leave before there is a body"),
        }
    }
}

/// What became of a stream that was held up or broke off.
enum Moved {
    /// It goes on at another route, whose answer has this head.
    Elsewhere(Box<http::response::Parts>),
    /// It may still go on where it is.
    Stays,
    /// It has ended.
    Nowhere,
}

/// What an attempt to open a stream led to.
enum Opened {
    Stream(http::response::Parts, Box<Source>),
    /// The engine's own failure, to be passed on.
    Failure(Answer),
}

/// Waits until the caller has left; for ever where there is none yet.
async fn left(caller: Option<&mpsc::Sender<io::Result<Bytes>>>) {
    match caller {
        Some(tx) => tx.closed().await,
        None => std::future::pending().await,
    }
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
                () = left(caller) => return Next::Left,
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
        self.req.kind.is_retryable()
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
                Next::Failed(failure) => {
                    let moved = self.move_on(&mut source, &failure, Some(&tx)).await;
                    if matches!(moved, Moved::Nowhere) {
                        // An error breaks the connection off, so that the answer looks cut.
                        let cut = io::Error::other("the stream can't go on");
                        drop(tx.send(Err(cut)).await);
                        return self.finish("cut", 200);
                    }
                }
            }
        }
    }

    /// Moves a stream to another route; one that may still go on stays until that is open.
    async fn move_on(
        &mut self,
        source: &mut Box<Source>,
        failure: &Failure,
        caller: Option<&mpsc::Sender<io::Result<Bytes>>>,
    ) -> Moved {
        let may_stay = failure.may_pass();
        if !may_stay {
            self.note_failure(source, failure);
        }
        let allowed = if may_stay {
            self.can_go_elsewhere(&source.route)
        } else {
            self.may_go_on()
        };
        // Without the number of the last event nobody can tell where to go on.
        let resumable = self.events == 0 || self.last_event.is_some();
        let next = if allowed && resumable {
            let avoided = if may_stay {
                Avoided::Never
            } else {
                Avoided::IfNeeded
            };
            self.avoided.push(source.route.hops()[0].key);
            self.open_elsewhere(avoided, caller).await
        } else {
            None
        };
        match next {
            Some((head, next)) => {
                if may_stay {
                    self.note_failure(source, failure);
                }
                *source = next;
                Moved::Elsewhere(Box::new(head))
            }
            None if may_stay => {
                source.route.wait_on();
                Moved::Stays
            }
            None => Moved::Nowhere,
        }
    }

    /// Opens the rest of the stream at another route, unless the caller leaves meanwhile.
    async fn open_elsewhere(
        &mut self,
        avoided: Avoided,
        caller: Option<&mpsc::Sender<io::Result<Bytes>>>,
    ) -> Option<(http::response::Parts, Box<Source>)> {
        let opened = tokio::select! {
            opened = self.open(avoided) => opened,
            () = left(caller) => return None,
        };
        match opened {
            Ok(Opened::Stream(head, source)) => Some((head, source)),
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
