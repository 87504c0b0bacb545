//! Sends the events of a stream to its caller, and bounds those that the caller has not received.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};

use crate::response::{ProxyBody, chunks_body};

/// Unsent bytes of a stream from which on no more is read from its target.
const MAX_UNSENT_BYTES: usize = 8 * 1024;
/// Number of events that wait for the caller's connection.
const MAX_WAITING_EVENTS: usize = 64;

/// Error when the caller has closed its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the caller has left")]
pub struct CallerLeft;

/// Sender of the events of one stream.
///
/// Dropping it ends the response, which is then complete.
#[derive(Debug)]
pub struct EventSender {
    tx: mpsc::Sender<io::Result<Bytes>>,
    /// Bytes of events that the caller's connection has not taken yet.
    unsent: Arc<watch::Sender<usize>>,
}

impl EventSender {
    /// Creates a sender and the body of the response that receives its events.
    pub fn new() -> (Self, ProxyBody) {
        let (tx, rx) = mpsc::channel(MAX_WAITING_EVENTS);
        let unsent = Arc::new(watch::Sender::new(0));
        (Self { tx, unsent }, chunks_body(rx))
    }

    /// Sends an event, and waits until further ones may be read from the target.
    ///
    /// # Errors
    ///
    /// Fails if the caller has left.
    pub async fn send(&self, event: Bytes) -> Result<(), CallerLeft> {
        let len = event.len();
        self.unsent.send_modify(|unsent| *unsent += len);
        let event = Bytes::from_owner(UnsentEvent {
            event,
            unsent: Arc::clone(&self.unsent),
        });
        let sent = self.tx.send(Ok(event)).await;
        sent.map_err(|_| CallerLeft)?;
        if *self.unsent.borrow() < MAX_UNSENT_BYTES {
            return Ok(());
        }
        let mut unsent = self.unsent.subscribe();
        tokio::select! {
            biased;
            // The caller's events are dropped as well when it leaves.
            () = self.tx.closed() => Err(CallerLeft),
            _ = unsent.wait_for(|unsent| *unsent < MAX_UNSENT_BYTES) => Ok(()),
        }
    }

    /// Aborts the caller's connection, so that the response doesn't look complete.
    pub async fn abort(&self, cause: &'static str) {
        // The caller may have left meanwhile.
        let _ = self.tx.send(Err(io::Error::other(cause))).await;
    }

    /// Waits until the caller has left.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// Event that the caller's connection has not taken yet.
struct UnsentEvent {
    event: Bytes,
    unsent: Arc<watch::Sender<usize>>,
}

impl AsRef<[u8]> for UnsentEvent {
    fn as_ref(&self) -> &[u8] {
        &self.event
    }
}

impl Drop for UnsentEvent {
    fn drop(&mut self) {
        let len = self.event.len();
        self.unsent.send_modify(|unsent| *unsent -= len);
    }
}
