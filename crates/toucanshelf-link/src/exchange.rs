//! Single HTTP request on a dedicated connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::dialect::EngineCall;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Reason why no response was received.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ExchangeError {
    /// The TCP connection could not be opened.
    #[error("cannot connect to {address}: {cause}")]
    Refused {
        /// Address of the target.
        address: SocketAddr,
        /// Description of the underlying error.
        cause: Box<str>,
    },
    /// The connection failed before the response was complete, or the body is too large.
    #[error("the request to {address} failed: {cause}")]
    Broken {
        /// Address of the target.
        address: SocketAddr,
        /// Description of the underlying error.
        cause: Box<str>,
    },
    /// The response did not arrive in time.
    #[error("the request to {address} timed out after {time_limit:?}")]
    Timeout {
        /// Address of the target.
        address: SocketAddr,
        /// Time limit of the request.
        time_limit: Duration,
    },
}

/// Sends `call` to `address` and reads the complete response.
///
/// # Errors
///
/// Fails when the target cannot be reached, the connection fails, the response body is too large
/// or the request takes longer than `time_limit`.
pub async fn exchange(
    address: SocketAddr,
    call: EngineCall,
    time_limit: Duration,
) -> Result<Response<Bytes>, ExchangeError> {
    match tokio::time::timeout(time_limit, send_call(address, call)).await {
        Ok(result) => result,
        Err(_) => Err(ExchangeError::Timeout {
            address,
            time_limit,
        }),
    }
}

async fn send_call(
    address: SocketAddr,
    call: EngineCall,
) -> Result<Response<Bytes>, ExchangeError> {
    let broken = |cause: String| ExchangeError::Broken {
        address,
        cause: cause.into(),
    };
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| ExchangeError::Refused {
            address,
            cause: e.to_string().into(),
        })?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| broken(e.to_string()))?;
    let driver = tokio::spawn(connection);
    let mut request = Request::new(Full::new(Bytes::from(call.body)));
    *request.method_mut() = call.method;
    *request.uri_mut() = http::Uri::from_static(call.path);
    let host = address.to_string();
    let host = host.parse().expect("an address is a header value");
    request.headers_mut().insert(HOST, host);
    let json = http::HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    let response = sender.send_request(request).await;
    let (parts, body) = response.map_err(|e| broken(e.to_string()))?.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|e| broken(e.to_string()))?.to_bytes();
    driver.abort();
    Ok(Response::from_parts(parts, body))
}
