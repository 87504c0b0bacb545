//! Bound on the handshakes of links whose peer has not proved that it knows the key.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use tokio::task::JoinHandle;

/// Handshakes of accepted connections that are not complete.
///
/// If there are too many, the oldest one gives way to a new one.
#[derive(Debug)]
pub struct PendingHandshakes {
    max: usize,
    tasks: Mutex<VecDeque<JoinHandle<()>>>,
}

impl PendingHandshakes {
    /// Creates an empty set for at most `max` handshakes.
    pub fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            max,
            tasks: Mutex::default(),
        })
    }

    /// Runs a handshake, for which the oldest one may give way.
    pub(crate) fn add(&self, handshake: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = self.tasks.lock().expect("no holder panics");
        tasks.retain(|task| !task.is_finished());
        if tasks.len() >= self.max
            && let Some(oldest) = tasks.pop_front()
        {
            oldest.abort();
        }
        tasks.push_back(tokio::spawn(handshake));
    }
}
