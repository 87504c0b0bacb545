//! HTTP/1.1 listeners that stop in order.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest buffer for a head that the HTTP library takes, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Time for which a connection may be idle before a deployment says otherwise.
const DEFAULT_IDLE: Duration = Duration::from_secs(30);
/// Largest head before a deployment says otherwise, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;

/// Bounds on a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Longest time between the end of one request and the whole head of the next.
    pub idle_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: DEFAULT_HEAD_BYTES,
            idle_timeout: DEFAULT_IDLE,
        }
    }
}

/// Serves connections until `stop` turns true or its sender is gone.
///
/// Open connections then finish the request that they have, and close.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    limits: watch::Receiver<ConnectionLimits>,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Clone + Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(&mut stop) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let limits = *limits.borrow();
                let (stop, handler) = (stop.clone(), handler.clone());
                tokio::spawn(serve_connection(stream, limits, stop, handler));
            }
            Err(e) => {
                tracing::warn!(event = "TS1201", cause = %e, "accepting a connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until `stop` turns true or its sender is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender is gone, which also is a stop.
    drop(stop.wait_for(|stop| *stop).await);
}

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    limits: ConnectionLimits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Small writes must not wait for acknowledgements; fails only on a closed connection.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let response = handler(req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        tracing::debug!(event = "TS1202", cause = %e, "a caller's connection broke");
    }
}
