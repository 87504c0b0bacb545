//! Permits that divide the limit of a target among the ingresses.
//!
//! A target in need names how many requests a second it accepts from all ingresses together. Each
//! request to it then needs a permit, of which a bucket issues no more than the limit.

/// Time for which unused permits are kept, in seconds.
///
/// It bounds the requests that may arrive at once after a pause.
const BURST_S: f64 = 0.5;
/// Minimum rate of permits, in requests a second.
///
/// Without any request, the end of the limit would never be noticed.
const MIN_RATE: f64 = 0.1;
/// Longest time until which a refused requester is told to wait, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;

/// Returns the rate at which permits are issued for a limit, both in requests a second.
pub fn permit_rate(limit: f64) -> f64 {
    limit.max(MIN_RATE)
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The request may be sent.
    Granted,
    /// The request must not be sent.
    Denied {
        /// Time after which the requester may ask again, in milliseconds.
        wait_ms: u64,
    },
}

/// Issues permits for the requests to one target.
#[derive(Clone, Copy, Debug)]
pub struct PermitBucket {
    /// Permits that can be issued now.
    available: f64,
    /// Time up to which `available` is calculated, in milliseconds.
    updated_ms: u64,
    /// Time up to which permits are promised to those that were told to wait, in milliseconds.
    promised_until_ms: f64,
}

impl PermitBucket {
    /// Creates a bucket with `available` permits at the time `now`, in milliseconds.
    pub fn new(now: u64, available: f64) -> Self {
        Self {
            available,
            updated_ms: now,
            promised_until_ms: 0.0,
        }
    }

    /// Issues a permit if `rate` permits a second allow it at the time `now`, in milliseconds.
    ///
    /// Those that are denied one are told to ask again at different times, one for each permit that
    /// will be available, so that they don't all ask at once.
    pub fn ask(&mut self, now: u64, rate: f64) -> Permit {
        let interval_ms = 1_000.0 / rate;
        let elapsed_s = now.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        let most = (rate * BURST_S).max(1.0);
        self.available = (self.available + rate * elapsed_s).min(most);
        self.updated_ms = now;
        if self.available >= 1.0 {
            self.available -= 1.0;
            return Permit::Granted;
        }
        let next = now as f64 + (1.0 - self.available) * interval_ms;
        let promised = next.max(self.promised_until_ms);
        let wait_ms = (promised - now as f64).ceil() as u64;
        if wait_ms > MAX_WAIT_MS {
            return Permit::Denied {
                wait_ms: MAX_WAIT_MS,
            };
        }
        self.promised_until_ms = promised + interval_ms;
        Permit::Denied { wait_ms }
    }

    /// Returns whether the bucket has not been asked for `age_ms` at the time `now`.
    pub fn is_unused(&self, now: u64, age_ms: u64) -> bool {
        now >= self.updated_ms + age_ms
    }
}
