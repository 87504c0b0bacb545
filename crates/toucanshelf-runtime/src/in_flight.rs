//! Counter of in-flight requests; a graceful shutdown waits until it reaches zero.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Interval at which a shutdown polls the number of in-flight requests.
pub const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Shared counter of in-flight requests.
#[derive(Clone, Debug, Default)]
pub struct InFlightCounter {
    count: Arc<AtomicUsize>,
}

impl InFlightCounter {
    /// Creates a counter that starts at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current number of in-flight requests.
    pub fn get(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            counter: self.clone(),
        }
    }

    /// Waits until no request is in flight, polling the counter at [`STOP_POLL_INTERVAL`].
    pub async fn wait_until_idle(&self) {
        while self.get() > 0 {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

/// Guard that counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    counter: InFlightCounter,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counter.count.fetch_sub(1, Ordering::Relaxed);
    }
}
