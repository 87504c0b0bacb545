//! Pace of an engine, shared by all its requests.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Lets a bounded number of tokens through a second.
#[derive(Debug)]
pub struct Pace {
    interval: Duration,
    next_free: Mutex<Instant>,
    frozen: watch::Sender<bool>,
}

impl Pace {
    /// Creates a pace of `tokens_per_s`.
    pub fn new(tokens_per_s: f64) -> Self {
        Self {
            interval: Duration::from_secs_f64(1.0 / tokens_per_s),
            next_free: Mutex::new(Instant::now()),
            frozen: watch::Sender::new(false),
        }
    }

    /// Stops or goes on.
    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits until one more token may pass.
    pub async fn token(&self) {
        let due = {
            let mut next_free = self.next_free.lock().expect("no holder panics");
            let due = next_free.max(Instant::now());
            *next_free = due + self.interval;
            due
        };
        tokio::time::sleep_until(due).await;
        self.unfrozen().await;
    }

    /// Waits while the engine is frozen.
    pub async fn unfrozen(&self) {
        let mut frozen = self.frozen.subscribe();
        // Fails only when the sender is gone, and it lives as long as `self`.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }
}
