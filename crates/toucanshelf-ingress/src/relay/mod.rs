//! Sends requests to other ingresses while this one reaches no target.
//!
//! A relay is another ingress, which handles the request as if it came from the caller and never
//! passes it on to a further one. Its response is passed on to the caller.
//!
//! A relay names the deployment by which it handled the request, and the targets that take no new
//! requests. Once this ingress reaches targets again, it doesn't fall behind what its callers have seen.
//!
//! The relay is told how often the request has run, and its response names the runs after its own. If
//! the response breaks off, a request that may run again goes to another relay, and a stream continues
//! there after its last event. A relay that ends without a response may have used all runs that were left.

mod headers;
mod table;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use tokio::time::Instant;
use toucanshelf_core::deployment::RequestKind;
use toucanshelf_runtime::in_flight::InFlightGuard;

use crate::attempt::{AttemptError, read_body, send_request};
use crate::event_sender::EventSender;
use crate::events::{EventSplitter, SplitError, warn_of_memory};
use crate::pool::Sender;
use crate::request::CallerRequest;
use crate::response::{
    ProxyResponse, Refusal, full_body, may_follow, refusal_response, strip_connection_headers,
    strip_stream_headers,
};
use crate::shared::Shared;
use headers::{RelayNotices, is_marked_unable, take_runs};
use table::RelayLoad;

pub(crate) use headers::{RelayMetadata, mark_unable, set_runs};
pub use table::Relays;

/// Maximum number of relays to which one request is sent.
const MAX_RELAYS: usize = 3;
/// `Retry-After` time for the caller if no relay is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Response of a relay, whose body is still unread.
struct RelayedResponse {
    response: Response<Incoming>,
    sender: Sender,
    load: RelayLoad,
}

/// A request and the relays to which it was sent.
struct RelaySession {
    shared: Arc<Shared>,
    /// Relays that were tried since a response last arrived.
    tried: Vec<SocketAddr>,
    /// Number of times that the request was sent to a relay.
    sends: u32,
    /// Number of runs that count towards the limit; `None` if no target can have run the request.
    earlier_runs: Option<u32>,
    /// Whether an ingress has counted the request for its budget of repeated sends.
    counted: bool,
    /// What the caller has of the response.
    delivered: Delivered,
}

/// Returns whether a request must go to another ingress.
///
/// It must also if callers have seen a newer deployment through a relay than this ingress has.
pub(crate) fn is_needed(shared: &Shared, req: &CallerRequest) -> bool {
    !req.relayed && (shared.isolation.is_isolated() || shared.deployments.is_behind_relays())
}

/// Adds what the ingress from which a request comes must know to the response.
///
/// `service` is the service that handled the request, if a route was found by the deployment `version`.
pub(crate) fn set_notices(
    shared: &Shared,
    version: Option<u64>,
    service: Option<&str>,
    response: &mut ProxyResponse,
) {
    let notices = RelayNotices {
        deployment: version,
        leaving: service.map_or_else(Vec::new, |service| shared.targets().leaving(service)),
    };
    notices.set(response.headers_mut());
}

/// What the caller of a stream has of its response.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Delivered {
    /// Status of the response; `None` before its head.
    pub status: Option<StatusCode>,
    /// Number of the last event; `None` before the first event.
    pub last_event: Option<u64>,
}

/// What has happened to a request before it is relayed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct History {
    /// Number of runs that count towards the limit; `None` if no target can have run the request.
    pub earlier_runs: Option<u32>,
    /// Whether this ingress has counted the request for its budget of repeated sends.
    pub counted: bool,
}

/// Sends a request to another ingress and returns its response.
///
/// A repeated send must be taken from the budget before, if a target has received the request. A run
/// must be left.
pub(crate) async fn run(
    shared: Arc<Shared>,
    req: CallerRequest,
    history: History,
    under_way: InFlightGuard,
) -> ProxyResponse {
    if !matches!(req.kind, RequestKind::Stream { .. }) {
        return run_plain(&shared, &req, history).await;
    }
    let mut session = RelaySession::new(&shared, history);
    let Some(relayed) = session.open(&req).await else {
        return session.refuse(&req);
    };
    if !relayed.response.status().is_success() {
        return session.read_to_end(&req, relayed).await;
    }
    let (mut head, upstream) = relayed.into_stream(&shared);
    strip_stream_headers(&mut head.headers);
    session.delivered.status = Some(head.status);
    let (tx, body) = EventSender::new();
    tokio::spawn(async move {
        session.forward_events(&req, upstream, &tx).await;
        drop(under_way);
    });
    ProxyResponse::from_parts(head, body)
}

/// Sends a plain request to another ingress and reads the whole response.
pub(crate) async fn run_plain(
    shared: &Arc<Shared>,
    req: &CallerRequest,
    history: History,
) -> ProxyResponse {
    let mut session = RelaySession::new(shared, history);
    match session.open(req).await {
        Some(relayed) => session.read_to_end(req, relayed).await,
        None => session.refuse(req),
    }
}

/// Continues a stream of which the caller has events at another ingress.
pub(crate) async fn continue_stream(
    shared: &Arc<Shared>,
    req: &CallerRequest,
    delivered: Delivered,
    earlier_runs: u32,
    tx: &EventSender,
) {
    let history = History {
        earlier_runs: Some(earlier_runs),
        counted: true,
    };
    let mut session = RelaySession::new(shared, history);
    session.delivered = delivered;
    match session.reopen(req).await {
        Some(upstream) => session.forward_events(req, upstream, tx).await,
        None => session.abort(req, tx).await,
    }
}

impl RelaySession {
    fn new(shared: &Arc<Shared>, history: History) -> Self {
        Self {
            shared: Arc::clone(shared),
            tried: Vec::new(),
            sends: 0,
            earlier_runs: history.earlier_runs,
            counted: history.counted,
            delivered: Delivered::default(),
        }
    }

    /// Sends the request to one relay after another until one is able to handle it.
    async fn open(&mut self, req: &CallerRequest) -> Option<RelayedResponse> {
        while self.tried.len() < MAX_RELAYS {
            let address = self.shared.relays.choose(&self.tried)?;
            self.tried.push(address);
            self.sends += 1;
            let load = RelayLoad::new(&self.shared, address);
            match self.send(req, address).await {
                Ok((sender, mut response)) => {
                    let runs = take_runs(response.headers_mut());
                    let notices = RelayNotices::take(response.headers_mut());
                    self.record_notices(req, address, &notices);
                    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
                        self.shared.relays.record_refusal(address);
                    }
                    let relayed = RelayedResponse {
                        response,
                        sender,
                        load,
                    };
                    if !is_marked_unable(relayed.response.headers()) {
                        self.earlier_runs = Some(runs.unwrap_or(req.max_attempts));
                        self.counted = true;
                        // If the response breaks off, the relay itself need not have failed.
                        self.tried.clear();
                        return Some(relayed);
                    }
                }
                Err(e) if e.has_not_run() => {}
                Err(_) => {
                    self.earlier_runs = Some(req.max_attempts);
                    return None;
                }
            }
        }
        None
    }

    /// Records what a relay has said about its deployment and the targets.
    fn record_notices(&self, req: &CallerRequest, address: SocketAddr, notices: &RelayNotices) {
        if let Some(version) = notices.deployment {
            self.shared.deployments.record_relayed(version);
        }
        for (incarnation, id) in &notices.leaving {
            let mut targets = self.shared.targets();
            if targets.record_leaving_incarnation(id, *incarnation) {
                tracing::info!(
                    event = "TS4316",
                    request = req.id(),
                    target_id = %id,
                    relay = %address,
                    "target leaves"
                );
            }
        }
    }

    /// Returns whether the request may run again, and takes a repeated send for that.
    fn may_repeat(&self, req: &CallerRequest) -> bool {
        req.kind.is_retryable()
            && self.earlier_runs.unwrap_or(0) < req.max_attempts
            && Instant::now() < req.response_due()
            && self.shared.take_repeat(&req.service)
    }

    async fn send(
        &self,
        req: &CallerRequest,
        address: SocketAddr,
    ) -> Result<(Sender, Response<Incoming>), AttemptError> {
        let result = self.send_once(req, address).await;
        let outcome = match &result {
            Ok((_, response)) => response.status().as_u16().to_string(),
            Err(e) => e.to_string(),
        };
        tracing::info!(
            event = "TS4322",
            request = req.id(),
            %address,
            last_event = self.delivered.last_event,
            runs = self.earlier_runs,
            age_ms = req.age_ms(),
            outcome,
            "request relayed"
        );
        result
    }

    async fn send_once(
        &self,
        req: &CallerRequest,
        address: SocketAddr,
    ) -> Result<(Sender, Response<Incoming>), AttemptError> {
        if let Some(sender) = self.shared.pool.take_for(req.kind, address) {
            let request = self.build_request(req)?;
            match send_request(sender, request, req.response_due()).await {
                Err(AttemptError::NotSent(_)) => {}
                result => return result,
            }
        }
        let connected = self.shared.pool.connect(address).await;
        let sender = connected.map_err(|e| AttemptError::NotSent(e.to_string().into()))?;
        send_request(sender, self.build_request(req)?, req.response_due()).await
    }

    fn build_request(&self, req: &CallerRequest) -> Result<Request<Full<Bytes>>, AttemptError> {
        let Some(deadline_ms) = req.remaining_ms() else {
            return Err(AttemptError::NotSent("no time left to send".into()));
        };
        let mut request = req.to_request();
        let headers = request.headers_mut();
        let dialect = &self.shared.dialect;
        dialect.relay_headers(headers, deadline_ms, self.delivered.last_event);
        let metadata = RelayMetadata {
            min_deployment: Some(req.version.max(self.shared.deployments.relayed())),
            counted: self.counted,
            earlier_runs: self.earlier_runs,
        };
        metadata.set(headers);
        Ok(request)
    }

    /// Reads a response to its end; if that fails, the request goes to another relay.
    async fn read_to_end(&mut self, req: &CallerRequest, first: RelayedResponse) -> ProxyResponse {
        let mut next = Some(first);
        while let Some(relayed) = next {
            if let Ok(response) = relayed.read_to_end(&self.shared, req).await {
                let outcome = if response.status().is_success() {
                    "served"
                } else {
                    "failed"
                };
                self.finish(req, outcome);
                return response;
            }
            next = if self.may_repeat(req) {
                self.open(req).await
            } else {
                None
            };
        }
        self.refuse(req)
    }

    /// Opens the rest of a stream at another relay.
    async fn reopen(&mut self, req: &CallerRequest) -> Option<RelayedStream> {
        let relayed = self.open(req).await?;
        let (first, status) = (self.delivered.status, relayed.response.status());
        let continues = first.is_none_or(|first| may_follow(first, status));
        (status.is_success() && continues).then(|| relayed.into_stream(&self.shared).1)
    }

    /// Sends events to the caller until the stream ends or can't be continued.
    async fn forward_events(
        &mut self,
        req: &CallerRequest,
        mut upstream: RelayedStream,
        tx: &EventSender,
    ) {
        let mut sent = self.delivered.last_event.is_some();
        loop {
            let next = upstream.splitter.next_queued();
            let broken = match next {
                Ok(Some(event)) => {
                    if event.id.is_some() && event.id <= self.delivered.last_event {
                        continue;
                    }
                    self.delivered.last_event = event.id.or(self.delivered.last_event);
                    sent = true;
                    if tx.send(event.bytes).await.is_err() {
                        return self.finish(req, "caller-left");
                    }
                    false
                }
                Ok(None) => {
                    let frame = tokio::select! {
                        frame = upstream.body.frame() => frame,
                        () = tx.closed() => return self.finish(req, "caller-left"),
                    };
                    match frame {
                        Some(Ok(frame)) => {
                            upstream
                                .splitter
                                .queue(frame.into_data().unwrap_or_default());
                            false
                        }
                        Some(Err(_)) => true,
                        None if upstream.splitter.holds_partial_event() => true,
                        None => {
                            upstream.return_connection(&self.shared);
                            return self.finish(req, "served");
                        }
                    }
                }
                Err(SplitError::TooLong) => true,
                Err(SplitError::NoMemory(e)) => {
                    warn_of_memory(req, e);
                    return self.abort(req, tx).await;
                }
            };
            if !broken {
                continue;
            }
            let resumable = !sent || self.delivered.last_event.is_some();
            let next = if resumable && self.may_repeat(req) {
                self.reopen(req).await
            } else {
                None
            };
            match next {
                Some(next) => upstream = next,
                None => return self.abort(req, tx).await,
            }
        }
    }

    /// Aborts the caller's response, which would otherwise look complete.
    async fn abort(&self, req: &CallerRequest, tx: &EventSender) {
        tx.abort("the stream can't be continued at any ingress")
            .await;
        self.finish(req, "cut");
    }

    /// Returns the response for a request that no relay has served.
    fn refuse(&self, req: &CallerRequest) -> ProxyResponse {
        if self.earlier_runs.is_some() {
            self.finish(req, Refusal::Lost.name());
            return refusal_response(Refusal::Lost, None);
        }
        self.finish(req, Refusal::NoTarget.name());
        refusal_response(Refusal::NoTarget, Some(RETRY_AFTER))
    }

    fn finish(&self, req: &CallerRequest, outcome: &'static str) {
        let requests = &self.shared.metrics.requests;
        requests.with_label_values(&["relayed", outcome]).inc();
        tracing::info!(
            event = "TS4323",
            request = req.id(),
            route = %req.route,
            outcome,
            relays = self.sends,
            ms = req.age_ms(),
            "relayed request ended"
        );
    }
}

/// Stream of events from a relay.
struct RelayedStream {
    body: Incoming,
    sender: Sender,
    headers: HeaderMap,
    splitter: EventSplitter,
    load: RelayLoad,
}

impl RelayedStream {
    /// Returns the connection to the pool once the stream has ended.
    fn return_connection(self, shared: &Shared) {
        let address = self.load.address;
        shared.pool.put(address, self.sender, &self.headers);
    }
}

impl RelayedResponse {
    fn into_stream(self, shared: &Shared) -> (http::response::Parts, RelayedStream) {
        let (parts, body) = self.response.into_parts();
        let stream = RelayedStream {
            body,
            sender: self.sender,
            headers: parts.headers.clone(),
            splitter: EventSplitter::new().with_buffers(shared.response_buffers.clone()),
            load: self.load,
        };
        (parts, stream)
    }

    async fn read_to_end(
        self,
        shared: &Shared,
        req: &CallerRequest,
    ) -> Result<ProxyResponse, AttemptError> {
        let (mut parts, body) = self.response.into_parts();
        let body = read_body(&shared.response_buffers, body);
        let body = tokio::time::timeout_at(req.response_due(), body)
            .await
            .map_err(|_| AttemptError::TimedOut)??;
        let address = self.load.address;
        shared.pool.put(address, self.sender, &parts.headers);
        strip_connection_headers(&mut parts.headers);
        Ok(ProxyResponse::from_parts(parts, full_body(body)))
    }
}
