//! Border towards plain services.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::engine::{CONNECT_TIMEOUT, cause_chain};

/// Largest answer of a plain service, in bytes.
pub const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Header by which a service says that a refused call has not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: Box<str>,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Box<str>,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the service says that it refused before running anything.
    pub not_run: bool,
}

/// Why a call has no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ServiceError {
    /// No byte reached the service.
    #[error("connecting to the service: {0}")]
    NotSent(Box<str>),
    /// The call may have run.
    #[error("the connection to the service broke: {0}")]
    Broken(Box<str>),
}

/// Border behind which plain services are called.
pub trait ServiceClient: fmt::Debug + Send + Sync {
    /// Makes one call on a connection of its own; never repeats it.
    fn call(
        &self,
        target: SocketAddr,
        call: ServiceCall,
    ) -> BoxFuture<'static, Result<ServiceAnswer, ServiceError>>;
}

/// Adapter for plain HTTP services.
#[derive(Clone, Debug)]
pub struct HttpServiceClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpServiceClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpServiceClient {
    /// Creates an adapter.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // A pooled connection may close just as a call is written to it, and then nobody knows
        // whether the call ran. A fresh one fails before the first byte or not at all.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }
}

impl ServiceClient for HttpServiceClient {
    fn call(
        &self,
        target: SocketAddr,
        call: ServiceCall,
    ) -> BoxFuture<'static, Result<ServiceAnswer, ServiceError>> {
        let client = self.client.clone();
        async move {
            let mut request = Request::builder()
                .method(call.method)
                .uri(format!("http://{target}{}", call.path))
                .body(Full::new(call.body))
                .map_err(|e| ServiceError::NotSent(e.to_string().into()))?;
            request.headers_mut().extend(call.headers);
            let response = client.request(request).await.map_err(|e| {
                let cause = cause_chain(&e);
                if e.is_connect() {
                    ServiceError::NotSent(cause)
                } else {
                    ServiceError::Broken(cause)
                }
            })?;
            let (parts, body) = response.into_parts();
            let content_type = parts
                .headers
                .get(CONTENT_TYPE)
                .and_then(|v| v.to_str().ok());
            let content_type = content_type.unwrap_or("application/octet-stream").into();
            let status = parts.status.as_u16();
            let not_run = parts.headers.contains_key(NOT_RUN_HEADER) && status >= 400;
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|e| ServiceError::Broken(cause_chain(&*e)))?;
            let body = body.to_bytes().to_vec();
            Ok(ServiceAnswer {
                status,
                content_type,
                body,
                not_run,
            })
        }
        .boxed()
    }
}
