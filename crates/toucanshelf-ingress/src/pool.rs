//! Connections to targets, kept for the next request.

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
// A lost opening packet is sent again after a second; another target is asked before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for which an idle connection is used where the target names none.
const DEFAULT_IDLE: Duration = Duration::from_millis(1_500);
/// Margin before the end of the idle time that a target names.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Most idle connections kept for one target.
const MAX_IDLE: usize = 64;

/// Sends requests on one connection.
pub type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    until: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

/// Why there is no connection.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ConnectError {
    /// The target refuses connections.
    #[error("connection refused: {0}")]
    Refused(Box<str>),
    /// The target has not accepted in time.
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    Timeout,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().expect("no holder panics")
    }

    /// An idle connection to `address` that is still open.
    pub fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            let usable = connection.sender.is_ready() && !connection.sender.is_closed();
            if usable && now < connection.until {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Keeps a connection whose answer with `headers` has been read to its end.
    pub fn put(&self, address: SocketAddr, sender: Sender, headers: &HeaderMap) {
        let Some(idle_time) = idle_time(headers) else {
            return;
        };
        if sender.is_closed() {
            return;
        }
        let until = Instant::now() + idle_time;
        let mut idle = self.idle();
        let connections = idle.entry(address).or_default();
        connections.retain(|connection| !connection.sender.is_closed());
        if connections.len() < MAX_IDLE {
            connections.push(Idle { sender, until });
        }
    }

    /// Closes all idle connections to `address`.
    pub fn forget(&self, address: SocketAddr) {
        self.idle().remove(&address);
    }
}

/// Time for which a connection may be used again; none where it closes.
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
        return Some(DEFAULT_IDLE);
    };
    Duration::from_secs(seconds).checked_sub(IDLE_MARGIN)
}

/// Opens a connection to `address`.
///
/// # Errors
///
/// Fails when the target refuses or takes too long.
pub async fn connect(address: SocketAddr) -> Result<Sender, ConnectError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(ConnectError::Refused(e.to_string().into())),
        Err(_) => return Err(ConnectError::Timeout),
    };
    // Fails only on a closed connection, which the request will notice.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) =
        handshake.map_err(|e| ConnectError::Refused(e.to_string().into()))?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            tracing::debug!(event = "TS4201", %address, cause = %e, "a target's connection broke");
        }
    });
    Ok(sender)
}
