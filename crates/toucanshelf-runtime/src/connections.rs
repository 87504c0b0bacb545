//! Bounds the number of a server's connections.
//!
//! A connection without a request gives way to a new one. Of the peer with the most connections, one
//! that never had a request goes first, then the one that has been without a request for longest.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use rustix::process::{Resource, getrlimit};

use crate::log_throttle::LogThrottle;

/// Key of a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionKey(u64);

/// State of a connection, in the order in which connections give way.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Activity {
    /// No request has been received yet.
    New,
    /// All requests have ended, the last one as this number of the table.
    Idle(u64),
    /// Some requests have not ended.
    Busy(u32),
}

#[derive(Clone, Debug)]
struct Entry {
    peer: IpAddr,
    activity: Activity,
}

/// Decides which connections are kept, without I/O.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    max: usize,
    /// Whether a new connection is kept beyond `max` if all others are in use.
    keeps_excess: bool,
    entries: BTreeMap<ConnectionKey, Entry>,
    next: u64,
}

impl ConnectionTable {
    /// Creates a table for at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            keeps_excess: false,
            entries: BTreeMap::new(),
            next: 0,
        }
    }

    /// Keeps new connections beyond the limit while all others are in use.
    #[must_use]
    pub fn with_excess(self) -> Self {
        Self {
            keeps_excess: true,
            ..self
        }
    }

    /// Adds a connection, for which another one may have to be closed.
    ///
    /// Returns the key of the new connection, if there is room, and that of the one to close.
    pub fn admit(&mut self, peer: IpAddr) -> (Option<ConnectionKey>, Option<ConnectionKey>) {
        let mut closed = None;
        if self.entries.len() >= self.max {
            closed = self.first_to_close();
            match closed {
                Some(key) => drop(self.entries.remove(&key)),
                None if self.keeps_excess => {}
                None => return (None, None),
            }
        }
        let key = ConnectionKey(self.next());
        let activity = Activity::New;
        self.entries.insert(key, Entry { peer, activity });
        (Some(key), closed)
    }

    /// Returns the connection without a request that gives way first, if there is one.
    fn first_to_close(&self) -> Option<ConnectionKey> {
        let mut by_peer: BTreeMap<IpAddr, usize> = BTreeMap::new();
        for entry in self.entries.values() {
            *by_peer.entry(entry.peer).or_default() += 1;
        }
        let entries = self.entries.iter();
        let waiting = entries.filter(|(_, entry)| !matches!(entry.activity, Activity::Busy(_)));
        let first = waiting.min_by_key(|(key, entry)| {
            let of_peer = std::cmp::Reverse(by_peer[&entry.peer]);
            (of_peer, entry.activity, **key)
        });
        first.map(|(key, _)| *key)
    }

    /// Records the start of a request.
    ///
    /// Returns `false` if the connection has given way and must start none.
    pub fn begin_request(&mut self, key: ConnectionKey) -> bool {
        let Some(entry) = self.entries.get_mut(&key) else {
            return false;
        };
        entry.activity = match entry.activity {
            Activity::Busy(count) => Activity::Busy(count + 1),
            _ => Activity::Busy(1),
        };
        true
    }

    /// Records the end of a request.
    pub fn end_request(&mut self, key: ConnectionKey) {
        let now = self.next();
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.activity = match entry.activity {
                Activity::Busy(count) if count > 1 => Activity::Busy(count - 1),
                _ => Activity::Idle(now),
            };
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: ConnectionKey) {
        self.entries.remove(&key);
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn next(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

/// Connections of a server, shared by their tasks.
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
pub(crate) struct Admission {
    /// The new connection, if it is kept.
    pub connection: Option<Connection>,
    /// Another connection to close.
    pub closed: Option<ConnectionKey>,
}

impl Connections {
    /// Creates the table of at most `max` connections.
    pub fn new(max: usize) -> Arc<Self> {
        Self::with_table(ConnectionTable::new(max))
    }

    /// Creates the table of about `max` connections, of which those in use may be more.
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

    /// Creates a table without a limit.
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

    pub(crate) fn admit(self: &Arc<Self>, peer: IpAddr) -> Admission {
        let (key, closed) = self.table().admit(peer);
        if key.is_none() || closed.is_some() {
            self.record_shortage();
        }
        let connection = key.map(|key| Connection {
            table: Arc::clone(self),
            key,
        });
        Admission { connection, closed }
    }

    fn record_shortage(&self) {
        self.closed.fetch_add(1, Ordering::Relaxed);
        let now = self.started.elapsed().as_millis() as u64;
        let mut shortages = self.shortages.lock().expect("no holder panics");
        if let Some(count) = shortages.record(now) {
            tracing::warn!(
                event = "TS1203",
                count,
                "too many connections, closed others"
            );
        }
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
}

impl Connection {
    pub(crate) fn key(&self) -> ConnectionKey {
        self.key
    }

    /// Marks the connection as in use until the returned guard is dropped.
    ///
    /// Returns `None` if the connection has given way to another one.
    pub(crate) fn begin_request(&self) -> Option<BusyConnection> {
        let has_begun = self.table.table().begin_request(self.key);
        has_begun.then(|| BusyConnection {
            table: Arc::clone(&self.table),
            key: self.key,
        })
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
        self.table.table().end_request(self.key);
    }
}

/// Returns the number of descriptors that the process may open, if the system limits it.
pub fn descriptor_limit() -> Option<usize> {
    let limit = getrlimit(Resource::Nofile).current?;
    usize::try_from(limit).ok()
}
