//! What came out of a trace.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::caller::{Ending, Sighting};
use crate::trace::Expectation;

/// Gap between tokens that counts as a recovery, times the stream's usual gap.
const RECOVERY_FACTOR: u32 = 4;
/// Shortest gap between tokens that counts as a recovery.
const MIN_RECOVERY: Duration = Duration::from_millis(60);

/// Distribution of a time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Distribution {
    /// Number of samples.
    pub samples: usize,
    /// Median, in milliseconds.
    pub p50: f64,
    /// 95th percentile, in milliseconds.
    pub p95: f64,
    /// Largest, in milliseconds.
    pub max: f64,
}

impl Distribution {
    /// Distribution of samples in milliseconds.
    pub fn of(mut samples: Vec<f64>) -> Self {
        samples.sort_unstable_by(f64::total_cmp);
        let Some(max) = samples.last().copied() else {
            return Self::default();
        };
        let at = |share: f64| {
            let index = (samples.len() as f64 * share).ceil() as usize;
            samples[index.clamp(1, samples.len()) - 1]
        };
        Self {
            samples: samples.len(),
            p50: at(0.5),
            p95: at(0.95),
            max,
        }
    }
}

/// What came out of a trace.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Results {
    /// What the trace shows.
    pub name: Box<str>,
    /// Way in which routes were chosen.
    pub planner: Box<str>,
    /// Requests sent.
    pub requests: usize,
    /// Requests answered completely.
    pub complete: usize,
    /// Requests refused as not run.
    pub not_run: usize,
    /// Requests that failed, as the answer said.
    pub failed: usize,
    /// Requests of unknown fate, as the answer said.
    pub unknown: usize,
    /// Requests whose connection to the gate broke.
    pub cut_off: usize,
    /// Requests that the caller cancelled.
    pub hung_up: usize,
    /// Requests that ended without an outcome, or with an answer that lacks tokens.
    pub lost: usize,
    /// Tokens delivered twice, and bookings run twice.
    pub duplicated: usize,
    /// Answers with tokens of another request.
    pub wrong_caller: usize,
    /// Runs of bookings over all targets.
    pub bookings_run: usize,
    /// Engines that crashed by a poisonous prompt.
    pub engines_crashed: usize,
    /// Requests still running at engines at the end.
    pub left_running: u32,
    /// Processor time of all gates, in seconds.
    pub gate_cpu_s: f64,
    /// Tokens delivered for each second of processor time of the gates, start and idling counted.
    pub tokens_per_gate_core_s: f64,
    /// Tokens per second that callers got, in the middle of the run.
    pub tokens_per_s: f64,
    /// Tokens per second that the hardware allows.
    pub bound_tokens_per_s: f64,
    /// Share of the bound.
    pub throughput_ratio: f64,
    /// Shares of the bound of the baselines, by planner, where they were run.
    pub baseline_ratios: BTreeMap<Box<str>, f64>,
    /// Time from the last token before a failure to the first one after, as callers saw it.
    pub recovery_ms: Distribution,
    /// Time to the first token, as callers saw it.
    pub first_token_ms: Distribution,
    /// Time that the gate adds to the first token, where it was measured.
    pub added_first_token_ms: Distribution,
    /// Tokens per second, by second of the run.
    pub tokens_by_second: Vec<f64>,
    /// Requests with their endings, by organisation.
    pub organisations: BTreeMap<Box<str>, OrganisationResults>,
    /// Refusals and failures, by code.
    pub codes: BTreeMap<Box<str>, usize>,
}

/// What came out for one organisation.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct OrganisationResults {
    /// Requests sent.
    pub requests: usize,
    /// Requests answered completely.
    pub complete: usize,
    /// Tokens delivered.
    pub tokens: usize,
}

impl Results {
    /// Collects what the callers saw.
    pub fn collect(&mut self, sightings: &[Sighting], started: Instant, window: [Duration; 2]) {
        for sighting in sightings {
            self.count(sighting);
        }
        let all = sightings.iter().flat_map(|sighting| &sighting.tokens);
        let mut in_window = 0;
        for token in all {
            let at = token.duration_since(started);
            let second = at.as_secs() as usize;
            if self.tokens_by_second.len() <= second {
                self.tokens_by_second.resize(second + 1, 0.0);
            }
            self.tokens_by_second[second] += 1.0;
            in_window += usize::from(window[0] <= at && at < window[1]);
        }
        let seconds = window[1].saturating_sub(window[0]).as_secs_f64();
        if seconds > 0.0 {
            self.tokens_per_s = in_window as f64 / seconds;
        }
        if self.bound_tokens_per_s > 0.0 {
            self.throughput_ratio = self.tokens_per_s / self.bound_tokens_per_s;
        }
        let tokens: usize = sightings.iter().map(|sighting| sighting.tokens.len()).sum();
        if self.gate_cpu_s > 0.0 {
            self.tokens_per_gate_core_s = tokens as f64 / self.gate_cpu_s;
        }
        let first = sightings.iter().filter_map(|sighting| {
            Some(millis(
                sighting.tokens.first()?.duration_since(sighting.started),
            ))
        });
        self.first_token_ms = Distribution::of(first.collect());
        self.recovery_ms = Distribution::of(sightings.iter().flat_map(recoveries).collect());
    }

    fn count(&mut self, sighting: &Sighting) {
        self.requests += 1;
        let counter = match sighting.ending {
            Ending::Complete => &mut self.complete,
            Ending::NotRun => &mut self.not_run,
            Ending::Failed => &mut self.failed,
            Ending::Unknown => &mut self.unknown,
            Ending::CutOff => &mut self.cut_off,
            Ending::HungUp => &mut self.hung_up,
            Ending::Lost => &mut self.lost,
        };
        *counter += 1;
        self.duplicated += sighting.surplus;
        self.wrong_caller += usize::from(sighting.wrong);
        if !sighting.code.is_empty() {
            *self.codes.entry(sighting.code.clone()).or_default() += 1;
        }
        let organisation = self
            .organisations
            .entry(sighting.organisation.clone())
            .or_default();
        organisation.requests += 1;
        organisation.tokens += sighting.tokens.len();
        organisation.complete += usize::from(sighting.ending == Ending::Complete);
    }

    /// Everything in which the results differ from what must come out.
    pub fn differences(&self, expect: &Expectation) -> Vec<String> {
        let counts = [
            ("complete", expect.complete, self.complete),
            ("not-run", expect.not_run, self.not_run),
            ("failed", expect.failed, self.failed),
            ("unknown", expect.unknown, self.unknown),
            ("cut-off", expect.cut_off, self.cut_off),
            ("hung-up", expect.hung_up, self.hung_up),
            ("bookings-run", expect.bookings_run, self.bookings_run),
            // What must hold in every trace.
            ("lost", Some(0), self.lost),
            ("duplicated", Some(0), self.duplicated),
            ("wrong-caller", Some(0), self.wrong_caller),
        ];
        let mut out: Vec<_> = counts
            .into_iter()
            .filter_map(|(name, expected, found)| {
                let expected = expected.filter(|expected| *expected != found)?;
                Some(format!("{name}: {found}, not {expected}"))
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

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Gaps between tokens that stand out of the stream's pace.
fn recoveries(sighting: &Sighting) -> Vec<f64> {
    let mut gaps: Vec<_> = sighting
        .tokens
        .windows(2)
        .map(|pair| pair[1].duration_since(pair[0]))
        .collect();
    gaps.sort_unstable();
    let Some(median) = gaps.get(gaps.len() / 2).copied() else {
        return Vec::new();
    };
    let least = (median * RECOVERY_FACTOR).max(MIN_RECOVERY);
    gaps.into_iter()
        .filter(|gap| *gap > least)
        .map(millis)
        .collect()
}
