//! Client interface to model engines.
//!
//! An attempt is one try to run a request on a route of engines. The engine answers with a stream
//! of lines, each a JSON value. An order tells an engine which layers of a model to hold.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::{self, BoxStream};
use futures_util::{FutureExt as _, StreamExt as _};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use toucanshelf_core::engine::{CancelRequest, EngineLine, EngineOrder, RunRequest};

/// Maximum length of a line in an engine's response, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Maximum size of the body of an engine's error response, in bytes.
///
/// A longer body is ignored.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;
/// Maximum time for opening a TCP connection to an engine or service.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason why an HTTP request to an engine failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum EngineError {
    /// The connection could not be opened, so the engine has received nothing.
    #[error("connecting to the engine: {0}")]
    NotSent(Box<str>),
    /// The engine refused the request before it ran any part of it.
    ///
    /// Every HTTP status other than 200 counts as a refusal.
    #[error("the engine refused ({status}): {reason}")]
    Refused {
        /// HTTP status code of the engine's response.
        status: u16,
        /// Body of the engine's response, which states why it refused.
        reason: Box<str>,
    },
    /// The connection failed after it was opened, so the request may have run.
    #[error("the connection to the engine broke: {0}")]
    Broken(Box<str>),
    /// The engine sent a line that is too long or cannot be decoded.
    #[error("the engine broke the protocol: {0}")]
    Protocol(Box<str>),
}

/// Stream of decoded lines from an engine; it ends after the first error.
pub type LineStream = BoxStream<'static, Result<EngineLine, EngineError>>;

/// Client for running requests on engines and for sending orders to them.
///
/// Dropping a [`LineStream`] closes its connection, but the engine may continue to run the attempt
/// until it receives the request that [`EngineClient::cancel`] sends.
pub trait EngineClient: fmt::Debug + Send + Sync {
    /// Starts an attempt on a route's first engine and returns the response lines.
    ///
    /// `headers` are added to the HTTP request; they carry the trace context.
    fn run(
        &self,
        engine: SocketAddr,
        request: RunRequest,
        headers: HeaderMap,
    ) -> BoxFuture<'static, Result<LineStream, EngineError>>;

    /// Asks an engine to stop the attempts of a request; failures are ignored.
    ///
    /// Sending the same cancellation again has no further effect.
    fn cancel(&self, engine: SocketAddr, request: CancelRequest) -> BoxFuture<'static, ()>;

    /// Returns whether an engine accepts a TCP connection within [`CONNECT_TIMEOUT`].
    fn probe(&self, engine: SocketAddr) -> BoxFuture<'static, bool>;

    /// Sends an order that tells an engine which layers to hold.
    fn order(
        &self,
        engine: SocketAddr,
        order: EngineOrder,
    ) -> BoxFuture<'static, Result<(), EngineError>>;
}

/// HTTP client for engines that implement the protocol in `docs/PROTOCOLS.md`.
#[derive(Clone, Debug)]
pub struct HttpEngineClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpEngineClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpEngineClient {
    /// Creates a client with its own connection pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    async fn post(
        &self,
        engine: SocketAddr,
        path: &str,
        body: Vec<u8>,
        headers: HeaderMap,
    ) -> Result<http::Response<Incoming>, EngineError> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{engine}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
            .expect("the address and path make a valid request");
        request.headers_mut().extend(headers);
        let response = self.client.request(request).await.map_err(|e| {
            let cause = error_with_causes(&e);
            if e.is_connect() {
                EngineError::NotSent(cause)
            } else {
                EngineError::Broken(cause)
            }
        })?;
        if response.status() == StatusCode::OK {
            return Ok(response);
        }
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_REFUSAL_BYTES)
            .collect()
            .await;
        let text = body
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        Err(EngineError::Refused {
            status,
            reason: String::from_utf8_lossy(&text).into(),
        })
    }
}

impl EngineClient for HttpEngineClient {
    fn run(
        &self,
        engine: SocketAddr,
        request: RunRequest,
        headers: HeaderMap,
    ) -> BoxFuture<'static, Result<LineStream, EngineError>> {
        let this = self.clone();
        async move {
            let body = serde_json::to_vec(&request).expect("requests are always serialisable");
            let response = this.post(engine, "/v1/pipeline/run", body, headers).await?;
            Ok(decode_lines(response.into_body()))
        }
        .boxed()
    }

    fn cancel(&self, engine: SocketAddr, request: CancelRequest) -> BoxFuture<'static, ()> {
        let this = self.clone();
        async move {
            let body = serde_json::to_vec(&request).expect("requests are always serialisable");
            let headers = HeaderMap::new();
            // A failure is ignored: if the engine can't be reached because it has stopped, the
            // attempt has ended as well.
            let _ = this
                .post(engine, "/v1/pipeline/cancel", body, headers)
                .await;
        }
        .boxed()
    }

    fn probe(&self, engine: SocketAddr) -> BoxFuture<'static, bool> {
        async move {
            let connect = tokio::net::TcpStream::connect(engine);
            matches!(
                tokio::time::timeout(CONNECT_TIMEOUT, connect).await,
                Ok(Ok(_))
            )
        }
        .boxed()
    }

    fn order(
        &self,
        engine: SocketAddr,
        order: EngineOrder,
    ) -> BoxFuture<'static, Result<(), EngineError>> {
        let this = self.clone();
        async move {
            let body = serde_json::to_vec(&order).expect("orders are always serialisable");
            let response = this
                .post(engine, "/v1/orders", body, HeaderMap::new())
                .await?;
            drop(response);
            Ok(())
        }
        .boxed()
    }
}

struct LineReader {
    body: Incoming,
    buf: Vec<u8>,
    finished: bool,
}

/// Decodes an engine's response body, which consists of one JSON value per line.
fn decode_lines(body: Incoming) -> LineStream {
    let reader = LineReader {
        body,
        buf: Vec::new(),
        finished: false,
    };
    stream::unfold(reader, |mut reader| async move {
        if reader.finished {
            return None;
        }
        let line = reader.next_line().await?;
        reader.finished = line.is_err();
        Some((line, reader))
    })
    .boxed()
}

impl LineReader {
    async fn next_line(&mut self) -> Option<Result<EngineLine, EngineError>> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                let parsed = serde_json::from_slice(&line[..end]);
                return Some(parsed.map_err(|e| EngineError::Protocol(e.to_string().into())));
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Some(Err(EngineError::Protocol("a line is too long".into())));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.buf.extend_from_slice(data);
                    }
                }
                Some(Err(e)) => return Some(Err(EngineError::Broken(error_with_causes(&e)))),
                None if self.buf.is_empty() => return None,
                None => return Some(Err(EngineError::Broken("the last line is cut off".into()))),
            }
        }
    }
}

/// Formats an error and the errors that caused it, separated by colons.
pub(crate) fn error_with_causes(error: &dyn std::error::Error) -> Box<str> {
    let mut out = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        out.push_str(": ");
        out.push_str(&cause.to_string());
        source = cause.source();
    }
    out.into()
}
