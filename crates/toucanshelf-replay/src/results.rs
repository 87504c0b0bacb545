//! Results of replaying a trace.
//!
//! A recovery is a long gap between two tokens of a stream, as after a failure. Throughput is
//! measured in a window in the middle of the load, after the last fault. A booking is a request to
//! the plain service, which runs no model, that must not be executed twice.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::caller::{Observation, RequestOutcome};
use crate::trace::Expectation;

/// Minimum ratio of a recovery gap to the stream's median gap between tokens.
const RECOVERY_GAP_FACTOR: u32 = 4;
/// Minimum gap between two tokens that counts as a recovery.
const MIN_RECOVERY_GAP: Duration = Duration::from_millis(60);

/// Summary of a distribution of durations.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Distribution {
    /// Number of samples.
    pub samples: usize,
    /// Median, in milliseconds.
    pub p50: f64,
    /// 95th percentile, in milliseconds.
    pub p95: f64,
    /// Maximum, in milliseconds.
    pub max: f64,
}

impl Distribution {
    /// Summarises samples that are given in milliseconds.
    pub fn of(mut samples: Vec<f64>) -> Self {
        samples.sort_unstable_by(f64::total_cmp);
        let Some(max) = samples.last().copied() else {
            return Self::default();
        };
        let percentile = |fraction: f64| {
            let index = (samples.len() as f64 * fraction).ceil() as usize;
            samples[index.clamp(1, samples.len()) - 1]
        };
        Self {
            samples: samples.len(),
            p50: percentile(0.5),
            p95: percentile(0.95),
            max,
        }
    }
}

/// Results of replaying a trace.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Results {
    /// Name of the trace.
    pub name: Box<str>,
    /// Planner that chose the engines for each request.
    pub planner: Box<str>,
    /// Number of requests that were sent.
    pub requests: usize,
    /// Number of requests with a complete response.
    pub complete: usize,
    /// Number of requests that were rejected and not executed.
    pub not_run: usize,
    /// Number of requests whose response reports a failure.
    pub failed: usize,
    /// Number of requests that may or may not have been executed, as their response reports.
    pub unknown: usize,
    /// Number of requests whose connection to the gate broke.
    pub cut_off: usize,
    /// Number of requests that the caller cancelled by disconnecting.
    pub hung_up: usize,
    /// Number of requests that timed out or whose response is incomplete.
    ///
    /// Such a response lacks its outcome or some of the expected tokens.
    pub lost: usize,
    /// Number of surplus tokens plus repeated executions of non-idempotent requests.
    ///
    /// Surplus tokens are those that callers received beyond the expected responses. The
    /// non-idempotent requests are the `POST` requests to the plain service.
    pub duplicated: usize,
    /// Number of responses with unexpected tokens, such as those of another request.
    pub wrong_caller: usize,
    /// Number of executions of non-idempotent `POST` requests at all targets.
    pub bookings_run: usize,
    /// Number of engines that were crashed by a prompt.
    pub engines_crashed: usize,
    /// Number of requests in flight at engines after the replay.
    pub left_running: u32,
    /// Processor time used by gate threads that are alive after the replay, in seconds.
    pub gate_cpu_s: f64,
    /// Tokens delivered per second of the gates' processor time, including startup and idle time.
    pub tokens_per_gate_core_s: f64,
    /// Tokens per second that callers received during the measurement window.
    pub tokens_per_s: f64,
    /// Throughput bound of the engines that no fault crashes, in tokens per second.
    pub bound_tokens_per_s: f64,
    /// Ratio of the throughput to its bound.
    pub throughput_ratio: f64,
    /// Throughput ratio of each baseline planner, if baselines were requested.
    ///
    /// It is the ratio of the throughput to its bound.
    pub baseline_ratios: BTreeMap<Box<str>, f64>,
    /// Distribution of the gaps between tokens that count as recoveries from a failure.
    pub recovery_ms: Distribution,
    /// Distribution of the times to the first token, as callers observed them.
    pub first_token_ms: Distribution,
    /// Distribution of the latencies that a gate adds to the first token.
    ///
    /// It has no samples unless the latency was measured.
    pub added_first_token_ms: Distribution,
    /// Number of tokens received in each second of the replay.
    pub tokens_by_second: Vec<f64>,
    /// Results of each organisation.
    pub organisations: BTreeMap<Box<str>, OrganisationResults>,
    /// Number of error responses and error events in streams, by error code.
    pub codes: BTreeMap<Box<str>, usize>,
}

/// Results of one organisation.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct OrganisationResults {
    /// Number of requests that were sent.
    pub requests: usize,
    /// Number of requests with a complete response.
    pub complete: usize,
    /// Number of tokens that were delivered.
    pub tokens: usize,
}

impl Results {
    /// Adds the observations of all callers and computes rates, ratios and distributions.
    ///
    /// `window` is the measurement window, relative to `started`. The throughput bound and the
    /// processor time of the gates must be set before.
    pub fn aggregate(
        &mut self,
        observations: &[Observation],
        started: Instant,
        window: [Duration; 2],
    ) {
        for observation in observations {
            self.count_observation(observation);
        }
        let token_times = observations
            .iter()
            .flat_map(|observation| &observation.token_times);
        let mut tokens_in_window = 0;
        for arrival in token_times {
            let elapsed = arrival.duration_since(started);
            let second = elapsed.as_secs() as usize;
            if self.tokens_by_second.len() <= second {
                self.tokens_by_second.resize(second + 1, 0.0);
            }
            self.tokens_by_second[second] += 1.0;
            tokens_in_window += usize::from(window[0] <= elapsed && elapsed < window[1]);
        }
        let seconds = window[1].saturating_sub(window[0]).as_secs_f64();
        if seconds > 0.0 {
            self.tokens_per_s = tokens_in_window as f64 / seconds;
        }
        if self.bound_tokens_per_s > 0.0 {
            self.throughput_ratio = self.tokens_per_s / self.bound_tokens_per_s;
        }
        let tokens: usize = observations
            .iter()
            .map(|observation| observation.token_times.len())
            .sum();
        if self.gate_cpu_s > 0.0 {
            self.tokens_per_gate_core_s = tokens as f64 / self.gate_cpu_s;
        }
        let first_token_ms = observations.iter().filter_map(|observation| {
            Some(millis(
                observation
                    .token_times
                    .first()?
                    .duration_since(observation.started),
            ))
        });
        self.first_token_ms = Distribution::of(first_token_ms.collect());
        self.recovery_ms = Distribution::of(observations.iter().flat_map(recovery_gaps).collect());
    }

    /// Adds one observation to the counters.
    fn count_observation(&mut self, observation: &Observation) {
        self.requests += 1;
        let counter = match observation.outcome {
            RequestOutcome::Complete => &mut self.complete,
            RequestOutcome::NotRun => &mut self.not_run,
            RequestOutcome::Failed => &mut self.failed,
            RequestOutcome::Unknown => &mut self.unknown,
            RequestOutcome::CutOff => &mut self.cut_off,
            RequestOutcome::HungUp => &mut self.hung_up,
            RequestOutcome::Lost => &mut self.lost,
        };
        *counter += 1;
        self.duplicated += observation.extra_tokens;
        self.wrong_caller += usize::from(observation.mismatched);
        if !observation.code.is_empty() {
            *self.codes.entry(observation.code.clone()).or_default() += 1;
        }
        let organisation = self
            .organisations
            .entry(observation.organisation.clone())
            .or_default();
        organisation.requests += 1;
        organisation.tokens += observation.token_times.len();
        organisation.complete += usize::from(observation.outcome == RequestOutcome::Complete);
    }

    /// Describes each difference between the results and the expectation.
    pub fn differences(&self, expect: &Expectation) -> Vec<String> {
        let counts = [
            ("complete", expect.complete, self.complete),
            ("not-run", expect.not_run, self.not_run),
            ("failed", expect.failed, self.failed),
            ("unknown", expect.unknown, self.unknown),
            ("cut-off", expect.cut_off, self.cut_off),
            ("hung-up", expect.hung_up, self.hung_up),
            ("bookings-run", expect.bookings_run, self.bookings_run),
            // These counts must be 0 in every trace, whatever it expects.
            ("lost", Some(0), self.lost),
            ("duplicated", Some(0), self.duplicated),
            ("wrong-caller", Some(0), self.wrong_caller),
        ];
        let mut out: Vec<_> = counts
            .into_iter()
            .filter_map(|(name, expected, actual)| {
                let expected = expected.filter(|expected| *expected != actual)?;
                Some(format!("{name}: {actual}, not {expected}"))
            })
            .collect();
        if expect
            .engines_crashed_max
            .is_some_and(|max| self.engines_crashed > max)
        {
            out.push(format!("engines-crashed: {}", self.engines_crashed));
        }
        if expect
            .bookings_run_max
            .is_some_and(|max| self.bookings_run > max)
        {
            out.push(format!("bookings-run: {}", self.bookings_run));
        }
        if expect
            .left_running
            .is_some_and(|left| self.left_running != left)
        {
            out.push(format!("left-running: {}", self.left_running));
        }
        for name in &expect.complete_organisations {
            let organisation = self.organisations.get(name).copied().unwrap_or_default();
            if organisation.complete != organisation.requests || organisation.requests == 0 {
                out.push(format!("{name}: {organisation:?}"));
            }
        }
        out
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Returns the gaps between tokens that count as recoveries, in milliseconds.
///
/// A recovery gap exceeds both [`MIN_RECOVERY_GAP`] and the median gap of the stream times
/// [`RECOVERY_GAP_FACTOR`].
fn recovery_gaps(observation: &Observation) -> Vec<f64> {
    let mut gaps: Vec<_> = observation
        .token_times
        .windows(2)
        .map(|pair| pair[1].duration_since(pair[0]))
        .collect();
    gaps.sort_unstable();
    let Some(median) = gaps.get(gaps.len() / 2).copied() else {
        return Vec::new();
    };
    let threshold = (median * RECOVERY_GAP_FACTOR).max(MIN_RECOVERY_GAP);
    gaps.into_iter()
        .filter(|gap| *gap > threshold)
        .map(millis)
        .collect()
}
