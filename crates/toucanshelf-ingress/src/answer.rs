//! Answers to callers: those of targets, and refusals of our own.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Body of an answer.
pub type AnswerBody = BoxBody<Bytes, io::Error>;
/// Answer to a caller.
pub type Answer = Response<AnswerBody>;

/// Headers that concern only one connection.
const CONNECTION_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a request ends without a target's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No deployment is known yet.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The key belongs to no organisation.
    UnknownKey,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body could not be read in full.
    BodyBroken,
    /// No target can take the request now; it has not run.
    NoTarget,
    /// The deadline has passed; the request has not run.
    ExpiredUnrun,
    /// The request may have run, and its answer is lost.
    Lost,
    /// The deadline has passed, and the request may have run.
    Expired,
}

impl Refusal {
    /// HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotConfigured | Self::NoTarget | Self::ExpiredUnrun => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Expired => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotConfigured => "not-configured",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyBroken => "body-broken",
            Self::NoTarget => "no-target",
            Self::ExpiredUnrun => "expired-unrun",
            Self::Lost => "lost",
            Self::Expired => "expired",
        }
    }
}

/// Answer for a refusal; `retry_after` tells when to come back.
pub fn refuse(refusal: Refusal, retry_after: Option<Duration>) -> Answer {
    let text = Bytes::from(format!("{{\"error\":\"{}\"}}", refusal.name()));
    let mut response = Response::new(full(text));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = retry_after {
        let seconds = format!("{:.2}", after.as_secs_f64());
        let seconds = HeaderValue::from_str(&seconds).expect("a number is a header value");
        headers.insert(RETRY_AFTER, seconds);
    }
    response
}

/// Body that is known in full.
pub fn full(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// Body that is fed through a channel; an error breaks the connection off.
pub fn channel() -> (mpsc::Sender<io::Result<Bytes>>, AnswerBody) {
    let (tx, rx) = mpsc::channel(64);
    let chunks = stream::unfold(rx, |mut rx| async move {
        let chunk: io::Result<Bytes> = rx.recv().await?;
        Some((chunk.map(Frame::data), rx))
    });
    // The channel is polled from one task only; the boxed body must be shareable all the same.
    let body = StreamBody::new(chunks.boxed());
    (tx, SyncBody(std::sync::Mutex::new(body)).boxed())
}

/// Makes a body shareable between threads.
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

/// Removes the headers that concern only one connection.
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
