//! Limits the token rate of a stand-in engine over all its requests.
//!
//! A frozen engine keeps its connections open but sends no tokens, as if it hung.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Rate limiter for the tokens of one engine, which can also freeze it.
#[derive(Debug)]
pub struct RateLimiter {
    /// Shortest time between two tokens of the engine.
    interval: Duration,
    /// Earliest time at which the next token may pass.
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

    /// Freezes the engine, or lets it continue if `frozen` is false.
    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits until the rate allows one more token and the engine is not frozen.
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
        // This can't fail: it would if the sender were dropped, but `self` owns the sender.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }
}
