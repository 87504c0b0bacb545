//! Limits how often a log line that callers can cause is written.

/// Time between two log lines, in milliseconds.
const INTERVAL_MS: u64 = 10_000;

/// Counts occurrences, and tells when a log line with their number is due.
#[derive(Clone, Debug, Default)]
pub struct LogThrottle {
    next_ms: u64,
    count: u64,
}

impl LogThrottle {
    /// Records an occurrence.
    ///
    /// Returns the number of occurrences since the last line if a line is due.
    pub fn record(&mut self, now_ms: u64) -> Option<u64> {
        self.count += 1;
        if now_ms < self.next_ms {
            return None;
        }
        self.next_ms = now_ms + INTERVAL_MS;
        Some(std::mem::take(&mut self.count))
    }
}
