//! Limits on retries, and the timeout that finds frozen streams.

/// Share of recent requests that may be retried.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries that are allowed without any recent request.
pub const MIN_RETRIES: f64 = 20.0;
/// Most attempts of one request.
pub const MAX_ATTEMPTS: u64 = 6;

/// Budget of retries that grows with requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self {
            balance: MIN_RETRIES,
        }
    }

    /// Counts a new request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRY_RATIO).min(MIN_RETRIES * 10.0);
    }

    /// Takes one retry from the budget, if there is any.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Shortest gap between tokens that counts as a freeze, in milliseconds.
pub const MIN_GAP_TIMEOUT_MS: f64 = 250.0;
/// Longest gap between tokens that is waited out, in milliseconds.
pub const MAX_GAP_TIMEOUT_MS: f64 = 10_000.0;
/// Time within which the first token must come, in milliseconds.
pub const FIRST_TOKEN_TIMEOUT_MS: f64 = 5_000.0;
/// Gaps that a freeze must be longer than, times the usual gap.
const GAP_FACTOR: f64 = 6.0;
/// Weight of the newest gap in the average.
const GAP_WEIGHT: f64 = 0.2;

/// Timeout between tokens that adapts to the stream's pace.
#[derive(Clone, Copy, Debug)]
pub struct GapTimer {
    mean_ms: Option<f64>,
    deviation_ms: f64,
}

impl Default for GapTimer {
    fn default() -> Self {
        Self::new()
    }
}

impl GapTimer {
    /// Creates a timer that waits for a first token.
    pub fn new() -> Self {
        Self {
            mean_ms: None,
            deviation_ms: 0.0,
        }
    }

    /// Takes the time between two tokens.
    pub fn observe(&mut self, gap_ms: f64) {
        let Some(mean) = self.mean_ms else {
            self.mean_ms = Some(gap_ms);
            self.deviation_ms = gap_ms / 2.0;
            return;
        };
        let error = gap_ms - mean;
        self.mean_ms = Some(mean + GAP_WEIGHT * error);
        self.deviation_ms += GAP_WEIGHT * (error.abs() - self.deviation_ms);
    }

    /// Time after which the stream counts as frozen, in milliseconds.
    pub fn timeout_ms(&self) -> f64 {
        match self.mean_ms {
            None => FIRST_TOKEN_TIMEOUT_MS,
            Some(mean) => (mean + GAP_FACTOR * self.deviation_ms)
                .max(mean * GAP_FACTOR)
                .clamp(MIN_GAP_TIMEOUT_MS, MAX_GAP_TIMEOUT_MS),
        }
    }
}
