//! Pool of idle connections to targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Time within which a target must accept a connection.
// TCP retransmits a lost SYN after one second; another target is tried before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for which an idle connection is reusable if the target announces none.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(1_500);
/// Margin by which an idle connection is dropped before the target closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of idle connections per target.
const MAX_IDLE_PER_TARGET: usize = 64;

/// Sender of requests on one connection.
pub type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    /// Time after which the target may close the connection.
    usable_until: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

/// Why a connection could not be opened.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ConnectError {
    /// The connection or its HTTP handshake failed.
    #[error("connecting failed: {0}")]
    Refused(Box<str>),
    /// The target has not accepted the connection in time.
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    Timeout,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().expect("no holder panics")
    }

    /// Takes an idle connection to `address` that is still open.
    pub fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            let usable = connection.sender.is_ready() && !connection.sender.is_closed();
            if usable && now < connection.usable_until {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Returns a connection to the pool once its response has been read.
    ///
    /// `headers` are those of the response and tell for how long the connection is reusable.
    pub fn put(&self, address: SocketAddr, sender: Sender, headers: &HeaderMap) {
        let Some(idle_time) = idle_time(headers) else {
            return;
        };
        if sender.is_closed() {
            return;
        }
        let usable_until = Instant::now() + idle_time;
        let mut idle = self.idle();
        let connections = idle.entry(address).or_default();
        connections.retain(|connection| !connection.sender.is_closed());
        if connections.len() < MAX_IDLE_PER_TARGET {
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
}

/// Time for which a connection is reusable; `None` if the target closes it.
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
    Duration::from_secs(seconds).checked_sub(IDLE_MARGIN)
}

/// Opens a connection to `address`.
///
/// # Errors
///
/// Fails if the target refuses the connection or doesn't accept it in time.
pub async fn connect(address: SocketAddr) -> Result<Sender, ConnectError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(ConnectError::Refused(e.to_string().into())),
        Err(_) => return Err(ConnectError::Timeout),
    };
    // This fails only on a closed connection, and then the request fails as well.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) =
        handshake.map_err(|e| ConnectError::Refused(e.to_string().into()))?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            tracing::debug!(event = "TS4201", %address, cause = %e, "connection to target failed");
        }
    });
    Ok(sender)
}
