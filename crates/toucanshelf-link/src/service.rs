//! Client interface to plain services, which are HTTP back ends that run no model.

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

use crate::engine::{CONNECT_TIMEOUT, error_with_causes};

/// Maximum size of a response body from a plain service, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Response header that states that the service refused a call without running it.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// An HTTP request to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query of the request URI.
    pub path: Box<str>,
    /// Request headers to send to the service.
    pub headers: HeaderMap,
    /// Complete body of the request to the service.
    pub body: Bytes,
}

/// HTTP response of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceResponse {
    /// HTTP status code of the response.
    pub status: u16,
    /// Media type of the response body, `application/octet-stream` if the service states none.
    pub content_type: Box<str>,
    /// Complete body of the service's response.
    pub body: Vec<u8>,
    /// Whether the service states that it refused the call without running it.
    pub not_run: bool,
}

/// Reason why a call to a plain service has no response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ServiceError {
    /// No byte of the call was sent to the service.
    ///
    /// Either the request could not be built or the connection could not be opened.
    #[error("connecting to the service: {0}")]
    NotSent(Box<str>),
    /// The connection failed after it was opened, or the response body is too large.
    ///
    /// The service may have run the call.
    #[error("the connection to the service broke: {0}")]
    Broken(Box<str>),
}

/// Client for calling plain services over HTTP.
pub trait ServiceClient: fmt::Debug + Send + Sync {
    /// Sends a call once, on a connection of its own, and returns the response.
    ///
    /// A failed call is never retried.
    fn call(
        &self,
        target: SocketAddr,
        call: ServiceCall,
    ) -> BoxFuture<'static, Result<ServiceResponse, ServiceError>>;
}

/// [`ServiceClient`] that opens a new HTTP connection for each call.
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
    /// Creates a client that opens a new connection for each call.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // The service may close an idle pooled connection while a call is being written to it, and
        // then it is unknown whether the call ran. A new connection has no such race, because the
        // service has not had it idle: if it cannot be opened, no byte has been sent.
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
    ) -> BoxFuture<'static, Result<ServiceResponse, ServiceError>> {
        let client = self.client.clone();
        async move {
            let mut request = Request::builder()
                .method(call.method)
                .uri(format!("http://{target}{}", call.path))
                .body(Full::new(call.body))
                .map_err(|e| ServiceError::NotSent(e.to_string().into()))?;
            request.headers_mut().extend(call.headers);
            let response = client.request(request).await.map_err(|e| {
                let cause = error_with_causes(&e);
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
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|e| ServiceError::Broken(error_with_causes(&*e)))?;
            let body = body.to_bytes().to_vec();
            Ok(ServiceResponse {
                status,
                content_type,
                body,
                not_run,
            })
        }
        .boxed()
    }
}
