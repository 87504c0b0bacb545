//! Limits the token rate of an engine over all its requests.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Rate limiter that can also be frozen, which stops all tokens.
#[derive(Debug)]
pub struct RateLimiter {
    /// Time between two tokens.
    interval: Duration,
    /// Earliest time of the next token.
    next_free: Mutex<Instant>,
    frozen: watch::Sender<bool>,
}

impl RateLimiter {
    /// Creates a limiter that lets `tokens_per_s` tokens pass per second.
    pub fn new(tokens_per_s: f64) -> Self {
        Self {
            interval: Duration::from_secs_f64(1.0 / tokens_per_s),
            next_free: Mutex::new(Instant::now()),
            frozen: watch::Sender::new(false),
        }
    }

    /// Freezes or thaws the engine.
    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits until one more token may pass.
    pub async fn acquire(&self) {
        let due = {
            let mut next_free = self.next_free.lock().expect("no holder panics");
            let due = next_free.max(Instant::now());
            *next_free = due + self.interval;
            due
        };
        tokio::time::sleep_until(due).await;
        self.wait_until_thawed().await;
    }

    /// Waits while the engine is frozen.
    pub async fn wait_until_thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        // An error means that the sender was dropped, but it lives as long as `self`.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }
}
