//! Connections of a server, shared by their tasks.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use rustix::process::{Resource, getrlimit};

use crate::connection_table::{ConnectionKey, ConnectionTable};
use crate::log_throttle::LogThrottle;

/// Connections of a server.
#[derive(Debug)]
pub struct Connections {
    table: Mutex<ConnectionTable>,
    shortages: Mutex<LogThrottle>,
    /// Number of connections that were closed because there were too many.
    closed: AtomicU64,
    started: Instant,
}

/// Result of the arrival of a new connection.
#[derive(Debug)]
pub(crate) struct NewConnection {
    /// The new connection, if it is kept.
    pub connection: Option<Connection>,
    /// Another connection to close.
    pub closed: Option<ConnectionKey>,
}

impl Connections {
    /// Creates the connections of a server, at most `max`.
    pub fn new(max: usize) -> Arc<Self> {
        Self::with_table(ConnectionTable::new(max))
    }

    /// Creates the connections of a server, about `max`, of which those in use may be a few more.
    pub fn with_excess(max: usize) -> Arc<Self> {
        Self::with_table(ConnectionTable::new(max).with_excess())
    }

    fn with_table(table: ConnectionTable) -> Arc<Self> {
        Arc::new(Self {
            table: Mutex::new(table),
            shortages: Mutex::default(),
            closed: AtomicU64::new(0),
            started: Instant::now(),
        })
    }

    /// Creates the connections of a server without a limit.
    pub fn unlimited() -> Arc<Self> {
        Self::new(usize::MAX)
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.table().len()
    }

    /// Returns the number of connections that were closed because there were too many.
    pub fn closed_count(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }

    pub(crate) fn admit(self: &Arc<Self>, peer: IpAddr) -> NewConnection {
        let admission = self.table().admit(peer, self.now_ms());
        if admission.admitted.is_none() || admission.closed.is_some() {
            self.record_shortage();
        }
        let connection = admission.admitted.map(|key| Connection {
            table: Arc::clone(self),
            key,
            peer,
        });
        NewConnection {
            connection,
            closed: admission.closed,
        }
    }

    fn record_shortage(&self) {
        self.closed.fetch_add(1, Ordering::Relaxed);
        let now = self.now_ms();
        let mut shortages = self.shortages.lock().expect("no holder panics");
        if let Some(count) = shortages.record(now) {
            tracing::warn!(
                event = "TS1203",
                count,
                "too many connections, closed others"
            );
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn table(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().expect("no holder panics")
    }
}

/// A connection, which leaves its table when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    table: Arc<Connections>,
    key: ConnectionKey,
    peer: IpAddr,
}

impl Connection {
    pub(crate) fn key(&self) -> ConnectionKey {
        self.key
    }

    /// Marks the connection as in use until the returned guard is dropped.
    ///
    /// Returns `None` if the connection has given way to another one.
    pub(crate) fn begin_request(&self, has_body: bool) -> Option<BusyConnection> {
        let now = self.table.now_ms();
        let has_begun = self.table.table().begin_request(self.key, has_body, now);
        has_begun.then(|| BusyConnection {
            table: Arc::clone(&self.table),
            key: self.key,
        })
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller {
            address: self.peer,
            table: Arc::clone(&self.table),
            key: self.key,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.table.table().remove(self.key);
    }
}

/// Guard of a connection that is in use.
#[derive(Debug)]
pub(crate) struct BusyConnection {
    table: Arc<Connections>,
    key: ConnectionKey,
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        let now = self.table.now_ms();
        self.table.table().end_request(self.key, now);
    }
}

/// Sender of a request, an extension of the request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// IP address from which the request was sent.
    pub address: IpAddr,
    table: Arc<Connections>,
    key: ConnectionKey,
}

impl Caller {
    /// Begins to run the caller's request, which was read in full.
    ///
    /// Returns `false` if it must not run, because requests of this class use too many connections or
    /// its own connection has given way.
    pub fn run_request(&self, class: &str) -> bool {
        let now = self.table.now_ms();
        self.table.table().run_request(self.key, class, now)
    }
}

/// Returns a share of the descriptors that the process may open, at least 1 and at most `max`.
///
/// `divisor` is the number of such shares.
pub fn share_of_descriptors(divisor: usize, max: usize) -> usize {
    descriptor_limit().map_or(max, |limit| (limit / divisor).clamp(1, max))
}

/// Returns the number of descriptors that the process may open, if the system limits it.
pub fn descriptor_limit() -> Option<usize> {
    let limit = getrlimit(Resource::Nofile).current?;
    usize::try_from(limit).ok()
}
