//! Counters and histograms of a gate.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use toucanshelf_core::outcome::Outcome;

/// Counters and histograms of a gate.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    /// Tokens delivered to callers.
    pub tokens: IntCounter,
    /// Attempts that followed a broken one.
    pub retries: IntCounter,
    /// Frames that were dropped.
    pub dropped_frames: IntCounter,
    /// Time to the first token, in seconds.
    pub first_token_s: Histogram,
    /// Time between the last token before a failure and the first one after, in seconds.
    pub recovery_s: Histogram,
    /// Requests under way.
    pub under_way: IntGauge,
    /// Revision in force.
    pub revision: IntGauge,
    /// 1 while a control instance can be reached.
    pub control_linked: IntGauge,
    /// Targets that take new work.
    pub targets_ready: IntGauge,
    /// Links to other gates.
    pub gate_links: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates all metrics at zero.
    ///
    /// # Panics
    ///
    /// Panics when two metrics have one name, which tests find.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("valid metric name");
            registry
                .register(Box::new(counter.clone()))
                .expect("metric names differ");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid metric name");
            registry
                .register(Box::new(gauge.clone()))
                .expect("metric names differ");
            gauge
        };
        let histogram = |name: &str, help: &str| {
            let buckets = vec![
                0.005, 0.01, 0.025, 0.05, 0.1, 0.3, 0.64, 1.0, 2.5, 5.0, 10.0,
            ];
            let opts = HistogramOpts::new(name, help).buckets(buckets);
            let histogram = Histogram::with_opts(opts).expect("valid metric name");
            registry
                .register(Box::new(histogram.clone()))
                .expect("metric names differ");
            histogram
        };
        let opts = Opts::new("toucanshelf_gate_requests_total", "Requests by outcome.");
        let requests = IntCounterVec::new(opts, &["outcome"]).expect("valid metric name");
        registry
            .register(Box::new(requests.clone()))
            .expect("metric names differ");
        Self {
            requests,
            tokens: counter("toucanshelf_gate_tokens_total", "Tokens delivered."),
            retries: counter(
                "toucanshelf_gate_retries_total",
                "Attempts after a broken one.",
            ),
            dropped_frames: counter("toucanshelf_gate_dropped_frames_total", "Frames dropped."),
            first_token_s: histogram(
                "toucanshelf_gate_first_token_seconds",
                "Time to first token.",
            ),
            recovery_s: histogram("toucanshelf_gate_recovery_seconds", "Gap around a failure."),
            under_way: gauge("toucanshelf_gate_requests_under_way", "Requests under way."),
            revision: gauge("toucanshelf_gate_revision", "Revision in force."),
            control_linked: gauge(
                "toucanshelf_gate_control_linked",
                "1 while control is linked.",
            ),
            targets_ready: gauge("toucanshelf_gate_targets_ready", "Targets taking new work."),
            gate_links: gauge("toucanshelf_gate_links", "Links to other gates."),
            registry,
        }
    }

    /// Counts a request that has ended.
    pub fn count(&self, outcome: Outcome) {
        self.requests
            .with_label_values(&[outcome.to_string()])
            .inc();
    }

    /// Registry of all metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }
}
