//! Responses to callers: forwarded ones from targets, and error responses of the ingress.
//!
//! A target is a back end. An error response that the ingress itself produces is a refusal.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::response_buffer::BufferedBody;

/// Body of a response to a caller, either complete or streamed.
pub type ProxyBody = BoxBody<Bytes, io::Error>;
/// Response to a caller, from a target or from the ingress itself.
pub type ProxyResponse = Response<ProxyBody>;

/// Names of hop-by-hop headers, which apply to one connection and are not forwarded.
const CONNECTION_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Names of headers that state something about the exact bytes of one response body.
///
/// They don't hold for the body of a stream, which the ingress builds from the events of one or
/// several runs, and which leaves out events that the caller has already.
const BODY_STATEMENT_HEADERS: [&str; 7] = [
    "accept-ranges",
    "content-digest",
    "content-length",
    "content-md5",
    "digest",
    "etag",
    "repr-digest",
];

/// Reason for which the ingress answers a request itself, with an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The ingress has not received a deployment (configuration) yet.
    NotConfigured,
    /// The deployment doesn't allow the request, but this ingress may miss a newer one.
    ///
    /// No control instance is linked that would announce it.
    Outdated,
    /// No route of the deployment matches the request's host and path.
    NoRoute,
    /// The caller's API key is missing or belongs to no organisation.
    UnknownKey,
    /// The request body is larger than the deployment allows.
    BodyTooLarge,
    /// The request body could not be read in full.
    BodyBroken,
    /// The request body stopped before its end; no target has received any of it.
    BodyStopped,
    /// The bodies of other requests take the memory; no target has received any of this one.
    NoMemory,
    /// Requests of the same service use too many connections; this one has not run.
    Crowded,
    /// No target can accept the request now; it has not run.
    NoTarget,
    /// The engines have no room for a request of this rank now; it has not run.
    NoRoom,
    /// Requests with the same content have crashed targets; this one has not run.
    Quarantined,
    /// The request's deadline has passed, and no target has run the request.
    ExpiredUnrun,
    /// A target may have run the request, but its response is lost.
    Lost,
    /// The request's deadline has passed, and a target may have run the request.
    Expired,
}

impl Refusal {
    /// Returns the HTTP status of the error response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotConfigured
            | Self::Outdated
            | Self::NoRoom
            | Self::NoMemory
            | Self::Crowded
            | Self::NoTarget
            | Self::Quarantined
            | Self::ExpiredUnrun => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyStopped => StatusCode::REQUEST_TIMEOUT,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Expired => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether the rest of the request's body is unread, so that its connection has to close.
    fn leaves_body_unread(self) -> bool {
        matches!(
            self,
            Self::BodyTooLarge | Self::BodyBroken | Self::BodyStopped | Self::NoMemory
        )
    }

    /// Returns the name of the reason in logs, metrics and the response body.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotConfigured => "not-configured",
            Self::Outdated => "outdated",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyBroken => "body-broken",
            Self::NoRoom => "no-room",
            Self::BodyStopped => "body-stopped",
            Self::NoMemory => "no-memory",
            Self::Crowded => "crowded",
            Self::NoTarget => "no-target",
            Self::Quarantined => "quarantined",
            Self::ExpiredUnrun => "expired-unrun",
            Self::Lost => "lost",
            Self::Expired => "expired",
        }
    }
}

/// Builds the response for a refusal, with an optional `Retry-After` header.
pub fn refusal_response(refusal: Refusal, retry_after: Option<Duration>) -> ProxyResponse {
    let text = Bytes::from(format!("{{\"error\":\"{}\"}}", refusal.name()));
    let mut response = Response::new(full_body(text));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if refusal.leaves_body_unread() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(after) = retry_after {
        let seconds = format!("{:.2}", after.as_secs_f64());
        let seconds = HeaderValue::from_str(&seconds).expect("a number is a header value");
        headers.insert(RETRY_AFTER, seconds);
    }
    response
}

/// Creates a body from bytes that are known in full.
pub fn full_body(body: impl Into<BufferedBody>) -> ProxyBody {
    body.into().map_err(|never| match never {}).boxed()
}

/// Creates a response body that sends the chunks from a channel to the caller.
///
/// An error in the channel aborts the caller's connection.
pub fn chunks_body(rx: mpsc::Receiver<io::Result<Bytes>>) -> ProxyBody {
    let chunks = stream::unfold(rx, |mut rx| async move {
        let chunk: io::Result<Bytes> = rx.recv().await?;
        Some((chunk.map(Frame::data), rx))
    });
    // Only one task polls the body, but `BoxBody` requires a type that is `Sync`.
    let body = StreamBody::new(chunks.boxed());
    SyncBody(std::sync::Mutex::new(body)).boxed()
}

/// Wrapper that makes a body `Sync`, as `BoxBody` requires.
struct SyncBody<B>(std::sync::Mutex<B>);

impl<B: hyper::body::Body + Unpin> hyper::body::Body for SyncBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let body = self.get_mut().0.get_mut().expect("no holder panics");
        std::pin::Pin::new(body).poll_frame(cx)
    }
}

/// Removes hop-by-hop headers, including those named in the `Connection` header.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// Removes the headers that don't hold for a stream of events, from the response to one of its runs.
///
/// These are the hop-by-hop headers, and statements about the exact bytes that the run sends. Without
/// a stated length, the response to the caller is sent in chunks, so that a stream that breaks off
/// doesn't look complete.
pub fn strip_stream_headers(headers: &mut HeaderMap) {
    strip_connection_headers(headers);
    for name in BODY_STATEMENT_HEADERS {
        headers.remove(name);
    }
}

/// Returns whether the events of a run with status `next` may follow those of one with status `first`.
///
/// A partial response has a range of the bytes of its own run.
pub fn may_follow(first: StatusCode, next: StatusCode) -> bool {
    first == next && first != StatusCode::PARTIAL_CONTENT
}
