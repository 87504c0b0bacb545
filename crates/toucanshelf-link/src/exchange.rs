//! A single HTTP exchange on a connection of its own.

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

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// Why an exchange has no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ExchangeError {
    /// The target refuses connections.
    #[error("connecting to {address}: {cause}")]
    Refused {
        /// Address of the target.
        address: SocketAddr,
        /// Cause.
        cause: Box<str>,
    },
    /// The exchange broke off.
    #[error("calling {address}: {cause}")]
    Broken {
        /// Address of the target.
        address: SocketAddr,
        /// Cause.
        cause: Box<str>,
    },
    /// The answer has not come in time.
    #[error("calling {address}: no answer within {limit:?}")]
    Timeout {
        /// Address of the target.
        address: SocketAddr,
        /// Time that was given.
        limit: Duration,
    },
}

/// Sends `call` to `address` and reads the whole answer.
///
/// # Errors
///
/// Fails when the target can't be reached, breaks off or takes longer than `limit`.
pub async fn exchange(
    address: SocketAddr,
    call: EngineCall,
    limit: Duration,
) -> Result<Response<Bytes>, ExchangeError> {
    match tokio::time::timeout(limit, run(address, call)).await {
        Ok(result) => result,
        Err(_) => Err(ExchangeError::Timeout { address, limit }),
    }
}

async fn run(address: SocketAddr, call: EngineCall) -> Result<Response<Bytes>, ExchangeError> {
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
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|e| broken(e.to_string()))?.to_bytes();
    driver.abort();
    Ok(Response::from_parts(parts, body))
}
