//! Counts the work that a stop must wait for.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time between looks at the work that is left while stopping.
pub const STOP_POLL: Duration = Duration::from_millis(20);

/// Requests that are under way.
#[derive(Clone, Debug, Default)]
pub struct UnderWayCount {
    count: Arc<AtomicUsize>,
}

impl UnderWayCount {
    /// Creates a count of nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests that are under way.
    pub fn get(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Counts a request as under way until the guard is dropped.
    pub fn begin(&self) -> UnderWay {
        self.count.fetch_add(1, Ordering::Relaxed);
        UnderWay {
            counted: self.clone(),
        }
    }

    /// Waits until nothing is under way.
    pub async fn idle(&self) {
        while self.get() > 0 {
            tokio::time::sleep(STOP_POLL).await;
        }
    }
}

/// Counts a request as under way.
#[derive(Debug)]
pub struct UnderWay {
    counted: UnderWayCount,
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.counted.count.fetch_sub(1, Ordering::Relaxed);
    }
}
