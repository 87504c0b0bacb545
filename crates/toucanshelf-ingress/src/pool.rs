//! Opens connections to targets (back ends) and keeps idle ones for reuse.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use std::{fmt, io};

use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use http::HeaderMap;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};
use toucanshelf_core::deployment::RequestKind;

/// Time within which a target must accept a TCP connection.
// TCP retransmits a lost SYN only after one second. The shorter timeout lets the ingress try
// another target before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for which an idle connection is reusable by default.
///
/// It applies if the target announces no timeout in a `Keep-Alive` header.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(1_500);
/// Time before the announced `Keep-Alive` timeout at which a connection stops being reusable.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum time for which an idle connection is reusable, whatever its target announces.
///
/// A target may announce any number of seconds, also more than a point in time can express.
const MAX_IDLE_TIME: Duration = Duration::from_hours(1);
/// Maximum number of idle connections per target.
const MAX_IDLE_PER_TARGET: usize = 64;
/// Maximum number of idle connections.
const MAX_IDLE: usize = 256;

/// Receive buffer that is requested for a connection to a target, in bytes.
///
/// The system may double it. Without a request it grows to tens of megabytes for a target that sends
/// faster than this process reads, and unread bytes count as memory of this process.
const RECEIVE_BUFFER_BYTES: u32 = 1024 * 1024;
/// Maximum size of a connection's buffer for unread bytes, and so of a response's head, in bytes.
const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;

/// Handle that sends requests on one HTTP/1 connection to a target.
pub type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    /// Time after which the connection isn't reused, because the target may close it.
    usable_until: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        self.sender.is_ready() && !self.sender.is_closed() && now < self.usable_until
    }
}

fn count(idle: &HashMap<SocketAddr, Vec<IdleConnection>>) -> usize {
    idle.values().map(Vec::len).sum()
}

/// Opens TCP connections to targets.
///
/// A caller drops the future when it takes too long.
pub trait Connector: fmt::Debug + Send + Sync {
    /// Opens a connection to `address`.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>>;
}

/// Connector that uses the network of the operating system.
///
/// It bounds the receive buffer of each connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        async move {
            let socket = match address {
                SocketAddr::V4(_) => TcpSocket::new_v4()?,
                SocketAddr::V6(_) => TcpSocket::new_v6()?,
            };
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
            socket.connect(address).await
        }
        .boxed()
    }
}

/// Opens connections to targets, and keeps idle ones by the target's address.
#[derive(Debug)]
pub struct Pool {
    connector: Arc<dyn Connector>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

/// Error that prevented a connection to a target.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ConnectError {
    /// Nothing listens at the target's address.
    #[error("connecting failed: {0}")]
    Refused(Box<str>),
    /// The TCP connection or its HTTP handshake failed for another reason.
    #[error("connecting failed: {0}")]
    Failed(Box<str>),
    /// The target did not accept the connection within `CONNECT_TIMEOUT`.
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    Timeout,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(connector: Arc<dyn Connector>) -> Self {
        Self {
            connector,
            idle: Mutex::default(),
        }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().expect("no holder panics")
    }

    /// Takes a connection to `address` for a request of this kind, if it may use one of the pool.
    ///
    /// If a reused connection breaks, it is unknown whether the request has run, and a response on it
    /// may be an extra one of an earlier request. A request that must not run twice therefore uses a
    /// new connection.
    pub fn take_for(&self, kind: RequestKind, address: SocketAddr) -> Option<Sender> {
        kind.is_retryable().then(|| self.take(address)).flatten()
    }

    /// Takes a reusable connection to `address` out of the pool, if there is one.
    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            if connection.is_usable(now) {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Adds a connection to the pool after its response has been read in full.
    ///
    /// `headers` are the response's headers, which tell for how long the connection is reusable.
    pub fn put(&self, address: SocketAddr, sender: Sender, headers: &HeaderMap) {
        let Some(idle_time) = idle_time(headers) else {
            return;
        };
        if sender.is_closed() {
            return;
        }
        let usable_until = Instant::now() + idle_time;
        let mut idle = self.idle();
        if count(&idle) >= MAX_IDLE {
            let now = Instant::now();
            idle.retain(|_, connections| {
                connections.retain(|connection| connection.is_usable(now));
                !connections.is_empty()
            });
        }
        let all = count(&idle);
        let connections = idle.entry(address).or_default();
        connections.retain(|connection| !connection.sender.is_closed());
        if all < MAX_IDLE && connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(IdleConnection {
                sender,
                usable_until,
            });
        }
    }

    /// Closes all idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle().remove(&address);
    }

    /// Opens an HTTP/1 connection to the target at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the target refuses the connection or doesn't accept it in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<Sender, ConnectError> {
        let stream = match timeout(CONNECT_TIMEOUT, self.connector.connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ConnectError::Refused(e.to_string().into()));
            }
            Ok(Err(e)) => return Err(ConnectError::Failed(e.to_string().into())),
            Err(_) => return Err(ConnectError::Timeout),
        };
        // An error is ignored: it means that the connection is closed, so that the request fails as
        // well.
        let _ = stream.set_nodelay(true);
        let mut client = http1::Builder::new();
        client.max_buf_size(MAX_READ_BUFFER_BYTES);
        let handshake = client.handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|e| ConnectError::Failed(e.to_string().into()))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(event = "TS4201", %address, cause = %e, "connection to target failed");
            }
        });
        Ok(sender)
    }
}

/// Returns the time for which a connection is reusable, from the response's headers.
///
/// Returns `None` if the target closes the connection or its timeout is under [`IDLE_MARGIN`].
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let tokens = |name: http::HeaderName| {
        let values = headers.get_all(name).into_iter();
        values
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .map(|token| token.trim().to_ascii_lowercase())
            .collect::<Vec<_>>()
    };
    if tokens(CONNECTION).iter().any(|token| token == "close") {
        return None;
    }
    let keep_alive = tokens(http::HeaderName::from_static("keep-alive"));
    let seconds = keep_alive
        .iter()
        .find_map(|token| token.strip_prefix("timeout=")?.trim().parse::<u64>().ok());
    let Some(seconds) = seconds else {
        return Some(DEFAULT_IDLE_TIME);
    };
    let announced = Duration::from_secs(seconds).min(MAX_IDLE_TIME);
    announced.checked_sub(IDLE_MARGIN)
}
