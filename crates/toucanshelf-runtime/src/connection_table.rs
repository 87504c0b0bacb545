//! Decides which connections of a server are kept and which requests begin, without I/O.
//!
//! A connection whose request hasn't been read in full gives way to a new one. Of the peer with the most
//! connections, those go first that have made no request in time; then the one that has been without a
//! request for longest; then the others, the oldest first.
//!
//! A request that was read in full keeps its connection until it ends, so the requests of one class must
//! not take all connections. A class may use a multiple of those that no request of any class uses. So
//! some always remain for another class, however many classes are crowded.

use std::collections::BTreeMap;
use std::net::IpAddr;

/// Time after which a connection whose request hasn't been read in full goes first, in milliseconds.
const REQUEST_GRACE_MS: u64 = 1_000;
/// Connections that the requests of one class may use, as a multiple of those that no request uses.
const CLASS_SHARE: usize = 7;
/// Connections beyond the limit, as a divisor of it, while all others are in use.
const EXCESS_SHARE: usize = 16;

/// Key of a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionKey(u64);

/// State of a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Activity {
    /// No request has begun yet.
    New,
    /// The last request has ended.
    Idle,
    /// The body of the request is being read.
    Reading,
    /// The request was read in full; the class is known if there is one.
    Running(Option<Box<str>>),
}

impl Activity {
    fn gives_way(&self) -> bool {
        !matches!(self, Self::Running(_))
    }
}

#[derive(Clone, Debug)]
struct Entry {
    peer: IpAddr,
    activity: Activity,
    /// Time since which the connection is in this state, in milliseconds.
    since_ms: u64,
    /// Order in which connections came into their states.
    order: u64,
}

/// Answer to a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admission {
    /// Key of the new connection, if it is kept.
    pub admitted: Option<ConnectionKey>,
    /// Another connection, which has to close.
    pub closed: Option<ConnectionKey>,
}

/// Connections of a server.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    max: usize,
    /// Maximum while all connections are in use.
    max_in_use: usize,
    entries: BTreeMap<ConnectionKey, Entry>,
    /// Number of connections in use by requests that were read in full.
    running: usize,
    /// Number of connections in use, by the class of their request.
    classes: BTreeMap<Box<str>, usize>,
    next: u64,
}

impl ConnectionTable {
    /// Creates a table for at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            max_in_use: max,
            entries: BTreeMap::new(),
            running: 0,
            classes: BTreeMap::new(),
            next: 0,
        }
    }

    /// Keeps some new connections beyond the limit while all others are in use.
    #[must_use]
    pub fn with_excess(self) -> Self {
        let excess = (self.max / EXCESS_SHARE).max(1);
        Self {
            max_in_use: self.max.saturating_add(excess),
            ..self
        }
    }

    /// Adds a connection, for which another one may have to close.
    pub fn admit(&mut self, peer: IpAddr, now_ms: u64) -> Admission {
        let mut closed = None;
        if self.entries.len() >= self.max {
            closed = self.first_to_close(now_ms);
            match closed {
                Some(key) => self.remove(key),
                None if self.entries.len() < self.max_in_use => {}
                None => {
                    return Admission {
                        admitted: None,
                        closed: None,
                    };
                }
            }
        }
        let order = self.next();
        let key = ConnectionKey(order);
        let entry = Entry {
            peer,
            activity: Activity::New,
            since_ms: now_ms,
            order,
        };
        self.entries.insert(key, entry);
        Admission {
            admitted: Some(key),
            closed,
        }
    }

    /// Returns the connection that gives way first, if any does.
    fn first_to_close(&self, now_ms: u64) -> Option<ConnectionKey> {
        let mut by_peer: BTreeMap<IpAddr, usize> = BTreeMap::new();
        for entry in self.entries.values() {
            *by_peer.entry(entry.peer).or_default() += 1;
        }
        let entries = self.entries.iter();
        let waiting = entries.filter(|(_, entry)| entry.activity.gives_way());
        let first = waiting.min_by_key(|(_, entry)| {
            let of_peer = std::cmp::Reverse(by_peer[&entry.peer]);
            let is_fresh = now_ms < entry.since_ms + REQUEST_GRACE_MS;
            let turn = match entry.activity {
                Activity::Idle => 1,
                _ if is_fresh => 2,
                _ => 0,
            };
            (of_peer, turn, entry.order)
        });
        first.map(|(key, _)| *key)
    }

    /// Records the head of a request, whose body is read next unless it is empty.
    ///
    /// Returns `false` if the connection has given way and must start none.
    pub fn begin_request(&mut self, key: ConnectionKey, has_body: bool, now_ms: u64) -> bool {
        let activity = if has_body {
            Activity::Reading
        } else {
            Activity::Running(None)
        };
        self.set_activity(key, activity, now_ms)
    }

    /// Begins to run a request that was read in full, unless its class uses too many connections.
    ///
    /// Returns `false` if the request must not run.
    pub fn run_request(&mut self, key: ConnectionKey, class: &str, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get(&key) else {
            return false;
        };
        let others = self.running - usize::from(!entry.activity.gives_way());
        let unused = self.max.saturating_sub(others);
        let of_class = self.classes.get(class).copied().unwrap_or(0);
        if of_class >= unused.saturating_mul(CLASS_SHARE) {
            return false;
        }
        self.set_activity(key, Activity::Running(Some(class.into())), now_ms)
    }

    /// Records the end of a request.
    pub fn end_request(&mut self, key: ConnectionKey, now_ms: u64) {
        self.set_activity(key, Activity::Idle, now_ms);
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: ConnectionKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.release(&entry.activity);
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns `false` if there is no such connection.
    fn set_activity(&mut self, key: ConnectionKey, activity: Activity, now_ms: u64) -> bool {
        let order = self.next();
        let Some(entry) = self.entries.get_mut(&key) else {
            return false;
        };
        if let Activity::Running(class) = &activity {
            self.running += 1;
            if let Some(class) = class {
                *self.classes.entry(class.clone()).or_default() += 1;
            }
        }
        let before = std::mem::replace(&mut entry.activity, activity);
        (entry.since_ms, entry.order) = (now_ms, order);
        self.release(&before);
        true
    }

    /// Takes back what a connection in this state counts.
    fn release(&mut self, activity: &Activity) {
        let Activity::Running(class) = activity else {
            return;
        };
        self.running -= 1;
        if let Some(class) = class
            && let Some(count) = self.classes.get_mut(class)
        {
            *count -= 1;
            if *count == 0 {
                self.classes.remove(class);
            }
        }
    }

    fn next(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
