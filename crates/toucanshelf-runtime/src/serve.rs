//! HTTP/1.1 server with graceful shutdown.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
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
use tokio::sync::{Notify, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, timeout_at};

use crate::connection_table::ConnectionKey;
use crate::connections::{Connection, Connections};

/// Delay before the server accepts connections again after a failure to accept one.
///
/// Such a failure occurs, for example, if the process runs out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of connections that a server accepts while it stops.
///
/// More wait at no listener.
const MAX_QUEUED_CONNECTIONS: usize = 4_096;
/// Time after its acceptance in which a connection may send its first request to a stopping server.
const FIRST_REQUEST_GRACE: Duration = Duration::from_secs(1);
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
/// Open connections, and those that wait to be accepted, then complete their current request and close,
/// and the function returns with the last of them. A connection that was just accepted may still send
/// its first request. Changed `limits` apply to connections that are accepted afterwards. Each request
/// has a [`Caller`](crate::connections::Caller) as an extension.
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
    let mut acceptor = Acceptor {
        limits,
        table,
        stop: stop.clone(),
        handler,
        connections: JoinSet::new(),
        tasks: BTreeMap::new(),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(ended) = acceptor.connections.join_next() => {
                // An aborted connection is removed as it is aborted.
                if let Ok(key) = ended {
                    acceptor.tasks.remove(&key);
                }
                continue;
            }
            () = wait_for_stop(&mut stop) => break,
        };
        match accepted {
            Ok((stream, peer)) => acceptor.add(stream, peer).await,
            Err(e) => {
                warn_of_accept(&e);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    acceptor.add_queued(listener).await;
    while acceptor.connections.join_next().await.is_some() {}
}

fn warn_of_accept(error: &io::Error) {
    tracing::warn!(event = "TS1201", cause = %error, "failed to accept a connection");
}

/// Accepted connections of a server, with what it needs to serve further ones.
struct Acceptor<H> {
    limits: watch::Receiver<ConnectionLimits>,
    table: Arc<Connections>,
    stop: watch::Receiver<bool>,
    handler: H,
    connections: JoinSet<ConnectionKey>,
    tasks: BTreeMap<ConnectionKey, AbortHandle>,
}

impl<H, F, B> Acceptor<H>
where
    H: Clone + Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Serves a connection if there is room for it; another one may have to close.
    async fn add(&mut self, stream: TcpStream, peer: SocketAddr) {
        let admission = self.table.admit(peer.ip());
        if let Some(task) = admission.closed.and_then(|key| self.tasks.remove(&key)) {
            task.abort();
            // The descriptor is free only after the task has ended.
            if let Some(Ok(ended)) = self.connections.join_next().await {
                self.tasks.remove(&ended);
            }
        }
        let Some(connection) = admission.connection else {
            return;
        };
        let limits = *self.limits.borrow();
        let (stop, handler) = (self.stop.clone(), self.handler.clone());
        let key = connection.key();
        let task = serve_connection(stream, connection, limits, stop, handler);
        self.tasks.insert(key, self.connections.spawn(task));
    }

    /// Serves the connections that wait to be accepted, and closes the listener.
    ///
    /// The system resets those that still wait when a listener closes, whatever they have sent.
    async fn add_queued(&mut self, listener: TcpListener) {
        let listener = match listener.into_std() {
            Ok(listener) => listener,
            Err(e) => return warn_of_accept(&e),
        };
        for _ in 0..MAX_QUEUED_CONNECTIONS {
            let accepted = listener.accept().and_then(|(stream, peer)| {
                stream.set_nonblocking(true)?;
                Ok((TcpStream::from_std(stream)?, peer))
            });
            match accepted {
                Ok((stream, peer)) => self.add(stream, peer).await,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) => return warn_of_accept(&e),
            }
        }
    }
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
    let accepted_at = Instant::now();
    let first_request = Arc::new(Notify::new());
    let has_request = Arc::clone(&first_request);
    let service = service_fn(move |mut req: Request<Incoming>| {
        has_request.notify_one();
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
    let stopping = async {
        wait_for_stop(&mut stop).await;
        // A graceful shutdown closes an idle connection even if a request has arrived unread.
        tokio::task::yield_now().await;
        // The first request of a new connection is on its way.
        let _ = timeout_at(accepted_at + FIRST_REQUEST_GRACE, first_request.notified()).await;
    };
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = stopping => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        tracing::debug!(event = "TS1202", cause = %e, "the connection from a caller failed");
    }
    key
}
