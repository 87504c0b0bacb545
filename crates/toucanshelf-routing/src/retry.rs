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
/// Shortest time that a first token is given, in milliseconds.
pub const MIN_FIRST_TOKEN_TIMEOUT_MS: f64 = 500.0;
/// Mean deviations beyond the mean that count as unusual.
const GAP_FACTOR: f64 = 6.0;
/// Times the mean that counts as unusual, however steady the samples.
const MEAN_FACTOR: f64 = 4.5;
/// Weight of the newest gap in the average.
const GAP_WEIGHT: f64 = 0.2;

/// Average and spread of a time.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    mean_ms: Option<f64>,
    deviation_ms: f64,
}

impl Average {
    fn observe(&mut self, ms: f64) {
        let Some(mean) = self.mean_ms else {
            self.mean_ms = Some(ms);
            self.deviation_ms = ms / 2.0;
            return;
        };
        let error = ms - mean;
        self.mean_ms = Some(mean + GAP_WEIGHT * error);
        self.deviation_ms += GAP_WEIGHT * (error.abs() - self.deviation_ms);
    }

    /// Time that is far beyond the usual; none before the first sample.
    fn unusual_ms(&self) -> Option<f64> {
        self.mean_ms
            .map(|mean| (mean + GAP_FACTOR * self.deviation_ms).max(mean * MEAN_FACTOR))
    }
}

/// Time within which first tokens must come, from what recent requests waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstTokenTimer {
    average: Average,
}

impl FirstTokenTimer {
    /// Creates a timer without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the time to a first token.
    pub fn observe(&mut self, ms: f64) {
        self.average.observe(ms);
    }

    /// Time after which a first token counts as overdue, in milliseconds.
    pub fn timeout_ms(&self) -> f64 {
        let unusual = self.average.unusual_ms();
        unusual.map_or(FIRST_TOKEN_TIMEOUT_MS, |ms| {
            ms.clamp(MIN_FIRST_TOKEN_TIMEOUT_MS, FIRST_TOKEN_TIMEOUT_MS)
        })
    }
}

/// Timeout between tokens that adapts to the stream's pace.
#[derive(Clone, Copy, Debug)]
pub struct GapTimer {
    first_ms: f64,
    started: bool,
    average: Average,
}

impl Default for GapTimer {
    fn default() -> Self {
        Self::new()
    }
}

impl GapTimer {
    /// Creates a timer that waits for a first token as long as that may take.
    pub fn new() -> Self {
        Self::with_first(FIRST_TOKEN_TIMEOUT_MS)
    }

    /// Creates a timer that waits `first_ms` milliseconds for a first token.
    pub fn with_first(first_ms: f64) -> Self {
        Self {
            first_ms,
            started: false,
            average: Average::default(),
        }
    }

    /// Whether the first token has come.
    pub fn is_started(&self) -> bool {
        self.started
    }

    /// Notes that the first token has come.
    pub fn start(&mut self) {
        self.started = true;
    }

    /// Takes the time between two tokens.
    pub fn observe(&mut self, gap_ms: f64) {
        self.started = true;
        self.average.observe(gap_ms);
    }

    /// Time after which the stream counts as frozen, in milliseconds.
    pub fn timeout_ms(&self) -> f64 {
        match self.average.unusual_ms() {
            Some(ms) => ms.clamp(MIN_GAP_TIMEOUT_MS, MAX_GAP_TIMEOUT_MS),
            // The second token comes no later than the first.
            None => self.first_ms,
        }
    }
}
