//! HTTP/1.1 server with graceful shutdown.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt as _;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};

use crate::connection_table::ConnectionKey;
use crate::connections::{Connection, Connections};

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
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: DEFAULT_HEAD_BYTES,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// Serves HTTP connections until `stop` becomes true or its sender is dropped.
///
/// Open connections then complete their current request and close, and the function returns with the
/// last of them. Changed `limits` apply to connections that are accepted afterwards. Each request has a
/// [`Caller`](crate::connections::Caller) as an extension.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    limits: watch::Receiver<ConnectionLimits>,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Clone + Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_bounded(listener, limits, Connections::unlimited(), stop, handler).await;
}

/// Serves HTTP connections as [`serve`] does, with a limit on their number.
///
/// If there are too many, a new connection takes the place of one whose request hasn't been read in
/// full, or is closed.
pub async fn serve_bounded<H, F, B>(
    listener: TcpListener,
    limits: watch::Receiver<ConnectionLimits>,
    table: Arc<Connections>,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Clone + Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connections = JoinSet::new();
    let mut tasks: BTreeMap<ConnectionKey, AbortHandle> = BTreeMap::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(ended) = connections.join_next() => {
                // An aborted connection is removed as it is aborted.
                if let Ok(key) = ended {
                    tasks.remove(&key);
                }
                continue;
            }
            () = wait_for_stop(&mut stop) => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                let admission = table.admit(peer.ip());
                if let Some(task) = admission.closed.and_then(|key| tasks.remove(&key)) {
                    task.abort();
                    // The descriptor is free only after the task has ended.
                    if let Some(Ok(ended)) = connections.join_next().await {
                        tasks.remove(&ended);
                    }
                }
                let Some(connection) = admission.connection else {
                    continue;
                };
                let limits = *limits.borrow();
                let (stop, handler) = (stop.clone(), handler.clone());
                let key = connection.key();
                let task = serve_connection(stream, connection, limits, stop, handler);
                tasks.insert(key, connections.spawn(task));
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
    connection: Connection,
    limits: ConnectionLimits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) -> ConnectionKey
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Without this option, small writes wait for acknowledgements (Nagle's algorithm). Setting it
    // fails only on a closed connection.
    let _ = stream.set_nodelay(true);
    // The system closes a connection whose peer reads no response. Setting this fails only on a closed
    // connection, too.
    let unread_timeout = limits.idle_timeout.as_millis().try_into();
    let _ = set_tcp_user_timeout(&stream, unread_timeout.unwrap_or(u32::MAX));
    let key = connection.key();
    let service = service_fn(move |mut req: Request<Incoming>| {
        let busy = connection.begin_request(!req.body().is_end_stream());
        req.extensions_mut().insert(connection.caller());
        // The connection keeps room for this future all the time, so that only its address counts.
        let response = busy.map(|busy| (busy, Box::pin(handler(req))));
        async move {
            let Some((busy, response)) = response else {
                // The connection is being closed.
                return std::future::pending().await;
            };
            // The closure keeps the connection in use until the body has been sent.
            let response = response.await.map(|body| {
                body.map_err(move |e| {
                    let _busy = &busy;
                    e
                })
            });
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
        () = wait_for_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        tracing::debug!(event = "TS1202", cause = %e, "the connection from a caller failed");
    }
    key
}
