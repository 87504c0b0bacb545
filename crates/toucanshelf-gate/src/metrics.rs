//! Prometheus metrics of a gate.
//!
//! An attempt is one run of a request over engines that together run all layers of the model.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use toucanshelf_core::outcome::Outcome;

/// Prometheus metrics of a gate.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    /// Number of tokens delivered to callers.
    pub tokens: IntCounter,
    /// Number of attempts that followed a failed attempt of the same request.
    pub retries: IntCounter,
    /// Number of frames from engines that were dropped as invalid.
    pub dropped_frames: IntCounter,
    /// Time to the first token of a request, in seconds.
    pub first_token_s: Histogram,
    /// Time between a request's last token before a failure and its next, in seconds.
    pub recovery_s: Histogram,
    /// Number of requests in flight.
    pub requests_in_flight: IntGauge,
    /// Revision of the active configuration, or 0 before the first one.
    pub revision: IntGauge,
    /// Gauge that is 1 while a control instance is linked and 0 otherwise.
    pub control_linked: IntGauge,
    /// Number of targets that accept new work.
    pub targets_ready: IntGauge,
    /// Number of linked gates.
    pub gate_links: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics, with the value zero.
    ///
    /// # Panics
    ///
    /// Panics if a metric name is invalid or used twice, which the tests detect.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("metric name is valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("metric name is unique");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("metric name is valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("metric name is unique");
            gauge
        };
        let histogram = |name: &str, help: &str| {
            let buckets = vec![
                0.005, 0.01, 0.025, 0.05, 0.1, 0.3, 0.64, 1.0, 2.5, 5.0, 10.0,
            ];
            let opts = HistogramOpts::new(name, help).buckets(buckets);
            let histogram = Histogram::with_opts(opts).expect("metric name is valid");
            registry
                .register(Box::new(histogram.clone()))
                .expect("metric name is unique");
            histogram
        };
        let opts = Opts::new("toucanshelf_gate_requests_total", "Requests by outcome.");
        let requests = IntCounterVec::new(opts, &["outcome"]).expect("metric name is valid");
        registry
            .register(Box::new(requests.clone()))
            .expect("metric name is unique");
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
            requests_in_flight: gauge("toucanshelf_gate_requests_under_way", "Requests under way."),
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

    /// Counts a finished request under its outcome.
    pub fn count(&self, outcome: Outcome) {
        self.requests
            .with_label_values(&[outcome.to_string()])
            .inc();
    }

    /// Returns the registry of all metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }
}
