//! Sends requests to other ingresses while this one reaches no target.
//!
//! A relay is another ingress, which handles the request as if it came from the caller and never
//! passes it on to a further one. Its response is passed on to the caller. If a relay fails, a
//! request that may run again goes to another one, and a stream continues there after its last
//! event.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use rand::seq::IteratorRandom as _;
use tokio::sync::mpsc;
use tokio::time::Instant;
use toucanshelf_core::deployment::RequestKind;
use toucanshelf_runtime::in_flight::InFlightGuard;

use crate::attempt::{AttemptError, read_body, send_request};
use crate::events::EventSplitter;
use crate::pool::Sender;
use crate::request::CallerRequest;
use crate::response::{
    ProxyResponse, Refusal, channel_body, full_body, refusal_response, strip_connection_headers,
};
use crate::shared::Shared;

/// Header with the version of the deployment that the relay must at least have.
///
/// Without it, a caller could see an older deployment at the same ingress.
const MIN_DEPLOYMENT: HeaderName = HeaderName::from_static("toucanshelf-min-deployment");
/// Header that tells the relay that another ingress has counted the request for its budget.
const COUNTED: HeaderName = HeaderName::from_static("toucanshelf-counted");
/// Response header of a relay that has not offered the request to any target.
///
/// Without it, the refusal of a relay is final: another relay would offer the request anew, beyond
/// the budget of repeated sends.
const UNABLE: HeaderName = HeaderName::from_static("toucanshelf-relay-unable");
/// Maximum number of relays to which one request is sent.
const MAX_RELAYS: usize = 3;
/// `Retry-After` time for the caller if no relay is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Ingresses that reach targets, as control has listed them.
#[derive(Debug, Default)]
pub struct Relays {
    /// Address at which this ingress accepts requests of others, if it does.
    own: OnceLock<SocketAddr>,
    addresses: Mutex<Vec<SocketAddr>>,
    /// Number of requests in flight at each relay.
    in_flight: Mutex<HashMap<SocketAddr, u32>>,
}

impl Relays {
    /// Returns the address at which this ingress accepts requests of others, if it does.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.own.get().copied()
    }

    pub(crate) fn set_own_address(&self, address: SocketAddr) {
        self.own.get_or_init(|| address);
    }

    /// Replaces the known relays, unless the new list is empty.
    pub fn update(&self, addresses: Vec<SocketAddr>) {
        if !addresses.is_empty() {
            *self.addresses.lock().expect("no holder panics") = addresses;
        }
    }

    /// Chooses the less loaded of two random relays that are not in `tried`.
    fn choose(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let addresses = self.addresses.lock().expect("no holder panics");
        let untried = addresses.iter().filter(|address| !tried.contains(address));
        let two = untried.copied().sample(&mut rand::rng(), 2);
        let in_flight = self.in_flight.lock().expect("no holder panics");
        let load = |address: &SocketAddr| in_flight.get(address).copied().unwrap_or(0);
        two.into_iter().min_by_key(load)
    }
}

/// Guard that counts a request towards the load of its relay until dropped.
struct RelayLoad {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl RelayLoad {
    fn new(shared: &Arc<Shared>, address: SocketAddr) -> Self {
        let mut in_flight = shared.relays.in_flight.lock().expect("no holder panics");
        *in_flight.entry(address).or_default() += 1;
        drop(in_flight);
        let shared = Arc::clone(shared);
        Self { shared, address }
    }
}

impl Drop for RelayLoad {
    fn drop(&mut self) {
        let mut in_flight = self
            .shared
            .relays
            .in_flight
            .lock()
            .expect("no holder panics");
        if let Some(count) = in_flight.get_mut(&self.address) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Response of a relay, whose body is still unread.
struct RelayedResponse {
    response: Response<Incoming>,
    sender: Sender,
    load: RelayLoad,
}

/// A request and the relays to which it was sent.
struct RelaySession {
    shared: Arc<Shared>,
    tried: Vec<SocketAddr>,
    /// Whether a target may have run the request.
    may_have_run: bool,
    /// Whether an ingress has counted the request for its budget of repeated sends.
    counted: bool,
    /// Number of the last event that the caller has; `None` before the first event.
    last_event: Option<u64>,
}

/// Returns whether a request must go to another ingress.
pub(crate) fn is_needed(shared: &Shared, req: &CallerRequest) -> bool {
    !req.relayed && shared.isolation.is_isolated()
}

/// What another ingress says about a request that it relays.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayMetadata {
    /// Minimum version of the deployment, if it is named.
    pub min_deployment: Option<u64>,
    /// Whether an ingress has counted the request for its budget of repeated sends.
    pub counted: bool,
}

impl RelayMetadata {
    /// Takes the metadata out of the headers of a relayed request.
    pub fn take(headers: &mut HeaderMap) -> Self {
        let min_deployment = headers.remove(MIN_DEPLOYMENT);
        let min_deployment = min_deployment.and_then(|value| value.to_str().ok()?.parse().ok());
        let counted = headers.remove(COUNTED).is_some();
        Self {
            min_deployment,
            counted,
        }
    }
}

/// What has happened to a request before it is relayed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct History {
    /// Whether a target may have run the request.
    pub may_have_run: bool,
    /// Whether this ingress has counted the request for its budget of repeated sends.
    pub counted: bool,
}

/// Marks the response to a relayed request that was not offered to any target.
pub(crate) fn mark_unable(response: &mut ProxyResponse) {
    let headers = response.headers_mut();
    headers.insert(UNABLE, HeaderValue::from_static("1"));
}

/// Sends a request to another ingress and returns its response.
///
/// A repeated send must be taken from the budget before, if a target has received the request.
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
    let (mut head, upstream) = relayed.into_stream();
    strip_connection_headers(&mut head.headers);
    let (tx, body) = channel_body();
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
    last_event: Option<u64>,
    tx: &mpsc::Sender<io::Result<Bytes>>,
) {
    let history = History {
        may_have_run: true,
        counted: true,
    };
    let mut session = RelaySession::new(shared, history);
    session.last_event = last_event;
    let opened = session.reopen(req).await;
    match opened {
        Some(upstream) => session.forward_events(req, upstream, tx).await,
        None => session.abort(req, tx).await,
    }
}

impl RelaySession {
    fn new(shared: &Arc<Shared>, history: History) -> Self {
        Self {
            shared: Arc::clone(shared),
            tried: Vec::new(),
            may_have_run: history.may_have_run,
            counted: history.counted,
            last_event: None,
        }
    }

    /// Sends the request to one relay after another until one is able to handle it.
    async fn open(&mut self, req: &CallerRequest) -> Option<RelayedResponse> {
        while self.tried.len() < MAX_RELAYS {
            let address = self.shared.relays.choose(&self.tried)?;
            self.tried.push(address);
            let load = RelayLoad::new(&self.shared, address);
            match self.send(req, address).await {
                Ok((sender, response)) => {
                    let relayed = RelayedResponse {
                        response,
                        sender,
                        load,
                    };
                    if !relayed.response.headers().contains_key(UNABLE) {
                        self.counted = true;
                        return Some(relayed);
                    }
                }
                Err(e) if e.has_not_run() => {}
                Err(_) => {
                    self.may_have_run = true;
                    self.counted = true;
                    if !self.may_repeat(req) {
                        return None;
                    }
                }
            }
        }
        None
    }

    /// Returns whether the request may be sent again, and takes that from the service's budget.
    fn may_repeat(&self, req: &CallerRequest) -> bool {
        req.kind.is_retryable()
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
            last_event = self.last_event,
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
        // As towards targets, a request that must not run twice uses a new connection.
        let pooled = match req.kind {
            RequestKind::NonIdempotent => None,
            _ => self.shared.pool.take(address),
        };
        if let Some(sender) = pooled {
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

    fn build_request(
        &self,
        req: &CallerRequest,
    ) -> Result<Request<http_body_util::Full<Bytes>>, AttemptError> {
        let Some(deadline_ms) = req.remaining_ms() else {
            return Err(AttemptError::NotSent("no time left to send".into()));
        };
        let mut request = req.to_request();
        let headers = request.headers_mut();
        let dialect = &self.shared.dialect;
        dialect.relay_headers(headers, deadline_ms, self.last_event);
        headers.insert(MIN_DEPLOYMENT, HeaderValue::from(req.version));
        if self.counted {
            headers.insert(COUNTED, HeaderValue::from_static("1"));
        }
        Ok(request)
    }

    /// Reads a response to its end; if that fails, the request goes to another relay.
    async fn read_to_end(&mut self, req: &CallerRequest, first: RelayedResponse) -> ProxyResponse {
        let mut next = Some(first);
        while let Some(relayed) = next {
            match relayed.read_to_end(&self.shared, req).await {
                Ok(response) => {
                    let outcome = if response.status().is_success() {
                        "served"
                    } else {
                        "failed"
                    };
                    self.finish(req, outcome);
                    return response;
                }
                Err(_) => self.may_have_run = true,
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
        let success = relayed.response.status().is_success();
        success.then(|| relayed.into_stream().1)
    }

    /// Sends events to the caller until the stream ends or can't be continued.
    async fn forward_events(
        &mut self,
        req: &CallerRequest,
        mut upstream: RelayedStream,
        tx: &mpsc::Sender<io::Result<Bytes>>,
    ) {
        let mut sent = self.last_event.is_some();
        loop {
            while let Some(event) = upstream.splitter.next_event() {
                if event.id.is_some() && event.id <= self.last_event {
                    continue;
                }
                self.last_event = event.id.or(self.last_event);
                sent = true;
                if tx.send(Ok(event.bytes)).await.is_err() {
                    return self.finish(req, "caller-left");
                }
            }
            let frame = tokio::select! {
                frame = upstream.body.frame() => frame,
                () = tx.closed() => return self.finish(req, "caller-left"),
            };
            let broken = match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => upstream.splitter.push(&bytes).is_err(),
                    Err(_) => false,
                },
                Some(Err(_)) => true,
                None if upstream.splitter.holds_partial_event() => true,
                None => {
                    upstream.return_connection(&self.shared);
                    return self.finish(req, "served");
                }
            };
            if !broken {
                continue;
            }
            self.may_have_run = true;
            let resumable = !sent || self.last_event.is_some();
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
    async fn abort(&self, req: &CallerRequest, tx: &mpsc::Sender<io::Result<Bytes>>) {
        let error = io::Error::other("the stream can't be continued at any ingress");
        // The caller may have left meanwhile.
        let _ = tx.send(Err(error)).await;
        self.finish(req, "cut");
    }

    /// Returns the response for a request that no relay has served.
    fn refuse(&self, req: &CallerRequest) -> ProxyResponse {
        if self.may_have_run {
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
            relays = self.tried.len(),
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
    fn into_stream(self) -> (http::response::Parts, RelayedStream) {
        let (parts, body) = self.response.into_parts();
        let stream = RelayedStream {
            body,
            sender: self.sender,
            headers: parts.headers.clone(),
            splitter: EventSplitter::new(),
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
