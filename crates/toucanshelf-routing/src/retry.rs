//! Retry budget, and adaptive timeouts that detect stalled streams.
//!
//! Streams carry the tokens of an answer. A gap is the time between two tokens of a stream. The
//! timeouts follow moving averages of recent times: a time far above the average is an outlier.

/// Number of retries that each new request adds to a [`RetryBudget`].
pub const RETRY_RATIO: f64 = 0.1;
/// Number of retries that a new [`RetryBudget`] allows.
///
/// A budget never holds more than ten times as many.
pub const INITIAL_RETRIES: f64 = 20.0;
/// Maximum number of attempts to run one request, including the first.
pub const MAX_ATTEMPTS: u64 = 6;

/// Limits retries to a share of the requests.
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
    /// Creates a budget of [`INITIAL_RETRIES`] retries.
    pub fn new() -> Self {
        Self {
            balance: INITIAL_RETRIES,
        }
    }

    /// Adds [`RETRY_RATIO`] retries for a new request, up to ten times [`INITIAL_RETRIES`].
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRY_RATIO).min(INITIAL_RETRIES * 10.0);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Lower bound of the timeout between two tokens, in milliseconds.
pub const MIN_GAP_TIMEOUT_MS: f64 = 250.0;
/// Upper bound of the timeout between two tokens, in milliseconds.
pub const MAX_GAP_TIMEOUT_MS: f64 = 10_000.0;
/// Upper bound of the timeout for the first token, in milliseconds.
pub const FIRST_TOKEN_TIMEOUT_MS: f64 = 5_000.0;
/// Lower bound of the timeout for the first token, in milliseconds.
pub const MIN_FIRST_TOKEN_TIMEOUT_MS: f64 = 500.0;
/// Number of mean deviations above the mean at which a time is an outlier.
///
/// The mean deviation is the moving average of the absolute differences from the mean.
const DEVIATION_FACTOR: f64 = 6.0;
/// Multiple of the mean below which no time is an outlier.
///
/// It applies however small the deviation is.
const MEAN_FACTOR: f64 = 4.5;
/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Exponential moving averages of a time and of its absolute deviation.
#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    mean_ms: Option<f64>,
    deviation_ms: f64,
}

impl MovingAverage {
    fn observe(&mut self, ms: f64) {
        let Some(mean) = self.mean_ms else {
            self.mean_ms = Some(ms);
            self.deviation_ms = ms / 2.0;
            return;
        };
        let error = ms - mean;
        self.mean_ms = Some(mean + SAMPLE_WEIGHT * error);
        self.deviation_ms += SAMPLE_WEIGHT * (error.abs() - self.deviation_ms);
    }

    /// Time above which a sample is an outlier; `None` before the first sample.
    fn outlier_ms(&self) -> Option<f64> {
        self.mean_ms
            .map(|mean| (mean + DEVIATION_FACTOR * self.deviation_ms).max(mean * MEAN_FACTOR))
    }
}

/// Timeout for the first token of a request, which adapts to recent requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstTokenTimer {
    average: MovingAverage,
}

impl FirstTokenTimer {
    /// Creates a timer that has recorded no times yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how long a request waited for its first token, in milliseconds.
    pub fn observe(&mut self, ms: f64) {
        self.average.observe(ms);
    }

    /// Time after which a first token counts as overdue, in milliseconds.
    pub fn timeout_ms(&self) -> f64 {
        let outlier = self.average.outlier_ms();
        outlier.map_or(FIRST_TOKEN_TIMEOUT_MS, |ms| {
            ms.clamp(MIN_FIRST_TOKEN_TIMEOUT_MS, FIRST_TOKEN_TIMEOUT_MS)
        })
    }
}

/// Timeout for the next token of one stream, which adapts to its speed.
#[derive(Clone, Copy, Debug)]
pub struct GapTimer {
    first_token_timeout_ms: f64,
    started: bool,
    average: MovingAverage,
}

impl Default for GapTimer {
    fn default() -> Self {
        Self::new()
    }
}

impl GapTimer {
    /// Creates a timer with [`FIRST_TOKEN_TIMEOUT_MS`] as timeout for the first token.
    pub fn new() -> Self {
        Self::with_first_token_timeout(FIRST_TOKEN_TIMEOUT_MS)
    }

    /// Creates a timer with the given timeout for the first token, in milliseconds.
    pub fn with_first_token_timeout(first_token_timeout_ms: f64) -> Self {
        Self {
            first_token_timeout_ms,
            started: false,
            average: MovingAverage::default(),
        }
    }

    /// Whether the stream's first token has arrived.
    pub fn is_started(&self) -> bool {
        self.started
    }

    /// Records that the stream's first token has arrived.
    pub fn start(&mut self) {
        self.started = true;
    }

    /// Records the time between two successive tokens of the stream, in milliseconds.
    pub fn observe(&mut self, gap_ms: f64) {
        self.started = true;
        self.average.observe(gap_ms);
    }

    /// Time without a token after which the stream counts as stalled, in milliseconds.
    pub fn timeout_ms(&self) -> f64 {
        match self.average.outlier_ms() {
            Some(ms) => ms.clamp(MIN_GAP_TIMEOUT_MS, MAX_GAP_TIMEOUT_MS),
            // No gap has been observed yet, so the second token gets as long as the first.
            None => self.first_token_timeout_ms,
        }
    }
}
