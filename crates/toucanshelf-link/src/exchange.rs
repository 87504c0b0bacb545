//! HTTP client that opens a new connection to a target for each request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::dialect::EngineCall;

/// Maximum size of the response body that [`exchange`] reads, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Reason why [`exchange`] received no complete response from a target.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ExchangeError {
    /// The TCP connection to the target could not be opened.
    #[error("cannot connect to {address}: {cause}")]
    Refused {
        /// Address of the target that the request was for.
        address: SocketAddr,
        /// Description of the network or HTTP error that caused the failure.
        cause: Box<str>,
    },
    /// The connection failed before the response was complete, or the response is too large.
    #[error("the request to {address} failed: {cause}")]
    Broken {
        /// Address of the target that the request was for.
        address: SocketAddr,
        /// Description of the network or HTTP error that caused the failure.
        cause: Box<str>,
    },
    /// Another target answers at the address, with status 421; the called one has ended.
    #[error("another target answers at {address}")]
    Misdirected {
        /// Address of the target that the request was for.
        address: SocketAddr,
    },
    /// The target's complete response did not arrive within the time limit.
    #[error("the request to {address} timed out after {time_limit:?}")]
    Timeout {
        /// Address of the target that the request was for.
        address: SocketAddr,
        /// Time limit for connecting, sending the request and receiving the response.
        time_limit: Duration,
    },
}

/// Sends `call` to the target at `address` and reads the complete response.
///
/// # Errors
///
/// Fails when the target cannot be reached, the connection fails, the response body is too large,
/// the request takes longer than `time_limit` or another target answers at the address.
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
    *request.headers_mut() = call.headers;
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
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(ExchangeError::Misdirected { address });
    }
    Ok(Response::from_parts(parts, body))
}
