//! Sends a caller's request to a target and validates the response.
//!
//! Each such send is an attempt. If the target is an engine, it holds some layers of a model and
//! passes the request along a route: a sequence of engines that together run all layers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout_at};
use toucanshelf_core::layers::LayerRange;
use toucanshelf_link::dialect::{ResponseMetadata, TargetRequestMetadata};

use crate::pool::{ConnectError, Sender};
use crate::request::CallerRequest;
use crate::response::{may_follow, strip_connection_headers, strip_stream_headers};
use crate::response_buffer::{BufferedBody, ResponseBuffers};
use crate::shared::Shared;
use crate::targets::LimitChange;

/// Cause of an attempt's failure if the response is of another request.
const OTHER_REQUEST: &str = "the response belongs to another request";

/// Error that ended an attempt without a valid response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AttemptError {
    /// No byte of the request was sent to the target.
    #[error("not sent: {0}")]
    NotSent(Box<str>),
    /// The target refused the request and stated that it has not run it.
    #[error("not run (status {status}), engine at fault: {at_fault:?}")]
    NotRun {
        /// HTTP status of the target's refusal.
        status: StatusCode,
        /// Address of the engine that caused the refusal, if the response names one.
        at_fault: Option<SocketAddr>,
    },
    /// The connection ended after the request was sent, before the response was complete.
    ///
    /// The target may have run the request, and may have crashed.
    #[error("response lost: {0}")]
    Disconnected(Box<str>),
    /// The target may have run the request, but its response isn't valid.
    #[error("response lost: {0}")]
    Lost(Box<str>),
    /// The attempt was ended because requests with the same content crash targets.
    #[error("cancelled, requests with the same content crash targets")]
    Cancelled,
    /// No response arrived in time; the target may have run the request.
    #[error("no response in time")]
    TimedOut,
}

impl AttemptError {
    /// Returns whether the target has certainly not run the request.
    pub fn has_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::NotRun { .. })
    }

    /// Returns whether the target crashed in the attempt.
    ///
    /// `has_ended` tells whether its process has ended. Another request may learn that first.
    pub fn shows_crash(&self, has_ended: bool) -> bool {
        match self {
            Self::Disconnected(_) => true,
            Self::Lost(_) | Self::TimedOut => has_ended,
            Self::NotSent(_) | Self::NotRun { .. } | Self::Cancelled => false,
        }
    }

    /// Returns the name of the error in the `outcome` label of the attempts metric.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not-sent",
            Self::NotRun { .. } => "not-run",
            Self::Disconnected(_) | Self::Lost(_) => "lost",
            Self::Cancelled => "cancelled",
            Self::TimedOut => "timed-out",
        }
    }
}

/// Target of an attempt, with the engines that process the request.
#[derive(Clone, Debug)]
pub struct Destination<'a> {
    /// Identity under which the target has registered with the control instances.
    pub id: &'a str,
    /// Address to which the request is sent.
    pub address: SocketAddr,
    /// Engines of the route and the layers that each runs.
    ///
    /// The list is empty if the target isn't an engine.
    pub hops: &'a [(SocketAddr, LayerRange)],
    /// Number of the stream event after which the target must continue.
    ///
    /// `None` if the ingress has sent no event to the caller yet. Then the `Last-Event-ID` header
    /// of the caller's request applies, if there is one.
    pub last_event: Option<u64>,
    /// Status of the response whose events the attempt continues.
    ///
    /// `None` if the caller has no response yet.
    pub continued: Option<StatusCode>,
}

/// A target's response whose head has arrived and whose body is still unread.
#[derive(Debug)]
pub struct OpenResponse {
    /// Response head and unread body.
    pub response: Response<Incoming>,
    sender: Sender,
    address: SocketAddr,
}

/// Sends a request to a target and waits for the head of the response.
///
/// If the head hasn't arrived by `due`, the attempt fails.
///
/// # Errors
///
/// Fails if no valid response arrives; the error tells whether the target may have run the request.
pub async fn send(
    shared: &Shared,
    req: &CallerRequest,
    to: &Destination<'_>,
    due: Instant,
) -> Result<OpenResponse, AttemptError> {
    let result = send_once(shared, req, to, due).await;
    let outcome = match &result {
        Ok(_) => "answered",
        Err(e) => e.name(),
    };
    shared.metrics.attempts.with_label_values(&[outcome]).inc();
    if let Err(e) = &result {
        tracing::info!(
            event = "TS4301",
            request = req.id(),
            target_id = to.id,
            address = %to.address,
            last_event = to.last_event,
            age_ms = req.age_ms(),
            parts = %req.shared_parts(),
            cause = %e,
            "attempt failed"
        );
    }
    result
}

/// Sends the request to the target and validates the head of the response.
async fn send_once(
    shared: &Shared,
    req: &CallerRequest,
    to: &Destination<'_>,
    due: Instant,
) -> Result<OpenResponse, AttemptError> {
    let sent = shared.uptime();
    let pooled = shared.pool.take_for(req.kind, to.address);
    let (sender, response) = match pooled {
        Some(sender) => match exchange(shared, req, to, sender, due).await {
            Err(AttemptError::NotSent(_)) => {
                exchange_on_new_connection(shared, req, to, due).await?
            }
            result => result?,
        },
        None => exchange_on_new_connection(shared, req, to, due).await?,
    };
    if !(200..=599).contains(&response.status().as_u16()) {
        let cause = format!(
            "{} is not the status of a final response",
            response.status()
        );
        return Err(AttemptError::Lost(cause.into()));
    }
    let metadata = shared.dialect.response_metadata(response.headers());
    let is_of_request = metadata.request_id.as_deref() == req.facts.id.as_deref();
    // What a response of another request says, also "not run", doesn't concern this one.
    if metadata.request_id.is_some() && !is_of_request {
        return Err(AttemptError::Lost(OTHER_REQUEST.into()));
    }
    record_limit(shared, req, to, metadata.request_rate_limit, sent);
    record_notices(shared, req, to, response.status(), &metadata);
    if metadata.not_run || response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptError::NotRun {
            status: response.status(),
            at_fault: metadata.failed_engine,
        });
    }
    // A refusal may lack the identifier, a response of a run must not.
    if !is_of_request {
        return Err(AttemptError::Lost(OTHER_REQUEST.into()));
    }
    if !metadata.signed {
        return Err(AttemptError::Lost("the response is not signed".into()));
    }
    let status = response.status();
    if let Some(first) = to.continued
        && status.is_success()
        && !may_follow(first, status)
    {
        let cause = format!("{status} doesn't continue a response with status {first}");
        return Err(AttemptError::Lost(cause.into()));
    }
    Ok(OpenResponse {
        response,
        sender,
        address: to.address,
    })
}

/// Records the limit that an answer names, and logs a change.
fn record_limit(
    shared: &Shared,
    req: &CallerRequest,
    to: &Destination<'_>,
    rate: Option<f64>,
    sent: Duration,
) {
    let now = shared.uptime();
    let change = shared.targets().record_limit(to.id, rate, sent, now);
    if let Some(LimitChange { before, after }) = change {
        tracing::info!(
            event = "TS4314",
            request = req.id(),
            target_id = to.id,
            address = %to.address,
            before,
            after,
            "limit of target changed"
        );
    }
}

/// Records what an answer says about further requests to its target.
fn record_notices(
    shared: &Shared,
    req: &CallerRequest,
    to: &Destination<'_>,
    status: StatusCode,
    metadata: &ResponseMetadata,
) {
    // With status 421, another target answers at the address.
    if status != StatusCode::MISDIRECTED_REQUEST {
        shared.targets().record_alive(to.id);
    }
    if metadata.leaving && shared.targets().record_leaving(to.id) {
        tracing::info!(
            event = "TS4316",
            request = req.id(),
            target_id = to.id,
            address = %to.address,
            "target leaves"
        );
    }
    let Some(wait) = metadata.retry_after else {
        return;
    };
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let wait_ms = wait.as_millis() as u64;
        let until = shared.now().saturating_add(wait_ms);
        shared.targets().record_unwanted(to.id, until);
        tracing::info!(
            event = "TS4317",
            request = req.id(),
            target_id = to.id,
            address = %to.address,
            wait_ms,
            "target wants no requests"
        );
    }
}

/// Connects to the target and sends the request.
async fn exchange_on_new_connection(
    shared: &Shared,
    req: &CallerRequest,
    to: &Destination<'_>,
    due: Instant,
) -> Result<(Sender, Response<Incoming>), AttemptError> {
    let sender = match timeout_at(due, shared.pool.connect(to.address)).await {
        Ok(Ok(sender)) => {
            shared.isolation.record_connection();
            sender
        }
        Ok(Err(e)) => {
            shared.isolation.record_failure(to.address, shared.now());
            if matches!(e, ConnectError::Refused(_)) {
                shared.targets().record_ended(to.id);
            }
            return Err(AttemptError::NotSent(e.to_string().into()));
        }
        Err(_) => {
            shared.isolation.record_failure(to.address, shared.now());
            return Err(AttemptError::NotSent("no time left to connect".into()));
        }
    };
    exchange(shared, req, to, sender, due).await
}

/// Sends the request on a connection and waits for the response head.
async fn exchange(
    shared: &Shared,
    req: &CallerRequest,
    to: &Destination<'_>,
    sender: Sender,
    due: Instant,
) -> Result<(Sender, Response<Incoming>), AttemptError> {
    let Some(deadline_ms) = req.remaining_ms() else {
        return Err(AttemptError::NotSent("no time left to send".into()));
    };
    let metadata = TargetRequestMetadata {
        target: to.id,
        deadline_ms,
        organisation: req.organisation.as_deref(),
        rank: req.rank,
        hops: to.hops,
        last_event: to.last_event,
    };
    let mut request = req.to_request();
    shared
        .dialect
        .target_headers(request.headers_mut(), &metadata);
    send_request(sender, request, due).await
}

/// Sends a request on a connection and waits for the response head.
pub(crate) async fn send_request(
    mut sender: Sender,
    request: Request<Full<Bytes>>,
    due: Instant,
) -> Result<(Sender, Response<Incoming>), AttemptError> {
    match timeout_at(due, sender.try_send_request(request)).await {
        Ok(Ok(response)) => Ok((sender, response)),
        Ok(Err(mut e)) => {
            // hyper returns the request only if it has written none of it.
            let unsent = e.take_message().is_some();
            let cause = e.into_error().to_string().into();
            Err(if unsent {
                AttemptError::NotSent(cause)
            } else {
                AttemptError::Disconnected(cause)
            })
        }
        Err(_) => Err(AttemptError::TimedOut),
    }
}

/// Reads a response body to its end, within the limits of `buffers`.
pub(crate) async fn read_body(
    buffers: &ResponseBuffers,
    mut body: Incoming,
) -> Result<BufferedBody, AttemptError> {
    let announced = body.size_hint().exact();
    let mut buffer = buffers.new_buffer().with_announced_len(announced);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| AttemptError::Disconnected(e.to_string().into()))?;
        if let Ok(chunk) = frame.into_data() {
            let pushed = buffer.push(&chunk);
            pushed.map_err(|e| AttemptError::Lost(e.to_string().into()))?;
        }
    }
    Ok(buffer.into_body())
}

impl OpenResponse {
    /// Reads the whole response body, then returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Fails if the body is incomplete, too large or isn't read in full by `due`.
    pub async fn read_to_end(
        self,
        shared: &Shared,
        due: Instant,
    ) -> Result<Response<BufferedBody>, AttemptError> {
        let (mut parts, body) = self.response.into_parts();
        let body = timeout_at(due, read_body(&shared.response_buffers, body))
            .await
            .map_err(|_| AttemptError::TimedOut)??;
        shared.pool.put(self.address, self.sender, &parts.headers);
        strip_connection_headers(&mut parts.headers);
        Ok(Response::from_parts(parts, body))
    }

    /// Whether the response states neither a length nor chunks, so that it ends with its connection.
    pub fn ends_with_connection(&self) -> bool {
        let headers = self.response.headers();
        !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
    }

    /// Splits the response into its head, its unread body and its connection.
    ///
    /// Headers that apply only to the connection to the target, or to the exact bytes of the body, are
    /// removed from the head.
    pub fn into_stream(self) -> (http::response::Parts, Incoming, ReusableConnection) {
        let (mut parts, body) = self.response.into_parts();
        let connection = ReusableConnection {
            address: self.address,
            sender: self.sender,
            headers: parts.headers.clone(),
        };
        strip_stream_headers(&mut parts.headers);
        (parts, body, connection)
    }
}

/// Connection that can be reused once the response has been read to its end.
#[derive(Debug)]
pub struct ReusableConnection {
    address: SocketAddr,
    sender: Sender,
    headers: http::HeaderMap,
}

impl ReusableConnection {
    /// Puts the connection back into the pool of idle connections.
    pub fn return_to_pool(self, shared: &Shared) {
        shared.pool.put(self.address, self.sender, &self.headers);
    }
}
