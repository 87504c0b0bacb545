//! Open connections of a server, of which an idle one closes when there are too many.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::Notify;

/// Open connections of a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    /// Connections that weren't asked to close, by the number that each got when it opened.
    open: BTreeMap<u64, Connection>,
    /// Numbers of the idle ones among them, in the order in which they became idle.
    idle: BTreeMap<u64, u64>,
}

#[derive(Debug)]
struct Connection {
    close: Arc<Notify>,
    /// Key of the connection among the idle ones; `None` while it serves a request.
    idle: Option<u64>,
}

/// An open connection, which counts until it is dropped or asked to close.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    connections: Connections,
    number: u64,
    close: Arc<Notify>,
}

impl Connections {
    /// Adds a new connection, which is idle until its first request.
    ///
    /// If there are then more than `max`, the connection that has been idle longest is asked to
    /// close. If none is idle, the new connection exceeds `max`.
    pub(crate) fn open(&self, max: usize) -> OpenConnection {
        let mut state = self.state();
        if state.open.len() >= max {
            state.close_oldest_idle();
        }
        let number = state.next();
        let close = Arc::new(Notify::new());
        let connection = Connection {
            close: Arc::clone(&close),
            idle: None,
        };
        state.open.insert(number, connection);
        state.set_idle(number, true);
        drop(state);
        OpenConnection {
            connections: self.clone(),
            number,
            close,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no lock holder panics")
    }
}

impl State {
    fn next(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn close_oldest_idle(&mut self) {
        let oldest = self.idle.pop_first();
        if let Some(connection) = oldest.and_then(|(_, number)| self.open.remove(&number)) {
            connection.close.notify_one();
        }
    }

    /// Has no effect on a connection that was asked to close.
    fn set_idle(&mut self, number: u64, is_idle: bool) {
        let key = self.next();
        let Some(connection) = self.open.get_mut(&number) else {
            return;
        };
        let former = std::mem::replace(&mut connection.idle, is_idle.then_some(key));
        if let Some(former) = former {
            self.idle.remove(&former);
        }
        if is_idle {
            self.idle.insert(key, number);
        }
    }
}

impl OpenConnection {
    /// Records that a request has arrived.
    pub(crate) fn begin_request(&self) {
        self.connections.state().set_idle(self.number, false);
    }

    /// Records that the response is ready, so that the connection becomes idle.
    pub(crate) fn end_request(&self) {
        self.connections.state().set_idle(self.number, true);
    }

    /// Waits until the connection is asked to close.
    pub(crate) async fn closing(&self) {
        self.close.notified().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.connections.state();
        state.set_idle(self.number, false);
        state.open.remove(&self.number);
    }
}
