//! HTTP/1.1 server with graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::connections::{Connections, OpenConnection};

/// Delay before the server accepts connections again after a failure to accept one.
///
/// Such a failure occurs, for example, if the process runs out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum size of a connection's read buffer that the hyper library allows, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Default of [`ConnectionLimits::idle_timeout`].
///
/// An ingress uses it until it receives the routes and limits of a platform.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Default of [`ConnectionLimits::max_head_bytes`], in bytes.
///
/// An ingress uses it until it receives the routes and limits of a platform.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;

/// Limits that the server applies to each connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionLimits {
    /// Maximum size of a request's line and headers, in bytes.
    ///
    /// A smaller value than 8 KiB acts as 8 KiB.
    pub max_head_bytes: usize,
    /// Time limit for the complete headers of the next request to arrive.
    pub idle_timeout: Duration,
    /// Number of open connections at which a new one closes the one that has been idle longest.
    pub max_connections: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: DEFAULT_HEAD_BYTES,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            max_connections: usize::MAX,
        }
    }
}

/// Serves HTTP connections until `stop` becomes true or its sender is dropped.
///
/// Open connections then complete their current request and close, and the function returns with the
/// last of them. Changed `limits` apply to connections that are accepted afterwards.
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
    let mut connections = JoinSet::new();
    let open = Connections::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            () = wait_for_stop(&mut stop) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let limits = *limits.borrow();
                let (stop, handler) = (stop.clone(), handler.clone());
                let opened = Arc::new(open.open(limits.max_connections));
                connections.spawn(serve_connection(stream, limits, opened, stop, handler));
            }
            Err(e) => {
                tracing::warn!(event = "TS1201", cause = %e, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits for a request to stop: `stop` is true or its sender is dropped.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which also requests a stop.
    drop(stop.wait_for(|stop| *stop).await);
}

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    limits: ConnectionLimits,
    opened: Arc<OpenConnection>,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Without this option, small writes wait for acknowledgements (Nagle's algorithm). Setting it
    // fails only on a closed connection.
    let _ = stream.set_nodelay(true);
    let served = Arc::clone(&opened);
    let service = service_fn(move |req| {
        served.begin_request();
        let (response, served) = (handler(req), Arc::clone(&served));
        async move {
            let response = response.await;
            served.end_request();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = async {
            tokio::select! {
                () = wait_for_stop(&mut stop) => {}
                () = opened.closing() => {}
            }
        } => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        tracing::debug!(event = "TS1202", cause = %e, "the connection from a caller failed");
    }
}
