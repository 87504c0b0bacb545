//! Prometheus metrics of the ingress.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 20.0,
];

/// Upper bounds of the buckets for the age of known loads, in seconds.
const LOAD_AGE_BUCKETS: [f64; 7] = [0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5];

/// Metrics exported by an ingress.
#[derive(Debug)]
pub struct Metrics {
    /// Registry that holds all metrics.
    pub registry: Registry,
    /// Number of callers' requests, by kind (plain or stream) and outcome.
    pub requests: IntCounterVec,
    /// Number of sends of requests to targets (back ends), by outcome.
    pub attempts: IntCounterVec,
    /// Number of repeated sends that were asked of the budgets, by result (taken or denied).
    pub repeated_sends: IntCounterVec,
    /// Number of ranked requests, by rank and whether they begin (begun, floor) or are refused.
    pub admissions: IntCounterVec,
    /// Time from a request to its complete response or first stream event, in seconds.
    pub latency: Histogram,
    /// Age of the loads by other ingresses that decided on the engines of a route, in seconds.
    pub load_age: Histogram,
    /// Number of reports of loads sent and of answers received (report or answer).
    pub load_messages: IntCounterVec,
    /// Number of open connections to control instances.
    pub control_links: IntGauge,
    /// Time for which no control instance has been linked, in seconds; 0 while one is.
    pub unlinked_seconds: IntGauge,
    /// 1 while no target can be reached, otherwise 0.
    pub isolated: IntGauge,
    /// Memory that callers' request bodies hold, in bytes.
    pub body_memory: IntGauge,
    /// Number of open connections of callers.
    pub connections: IntGauge,
    /// Number of callers' connections that were closed because there were too many.
    pub closed_connections: IntCounter,
    /// Version of the active deployment, the configuration that control distributes.
    pub deployment_version: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates all metrics and registers them in a new registry.
    ///
    /// # Panics
    ///
    /// Panics if two metrics share a name.
    pub fn new() -> Self {
        let registry = Registry::new();
        let requests = Opts::new("toucanshelf_requests_total", "Requests by kind and outcome");
        let requests = IntCounterVec::new(requests, &["kind", "outcome"]).expect("valid options");
        let attempts = Opts::new(
            "toucanshelf_attempts_total",
            "Attempts at targets by outcome",
        );
        let attempts = IntCounterVec::new(attempts, &["outcome"]).expect("valid options");
        let repeated_sends = Opts::new(
            "toucanshelf_repeated_sends_total",
            "Repeated sends asked of the budgets by result",
        );
        let repeated_sends =
            IntCounterVec::new(repeated_sends, &["result"]).expect("valid options");
        let admissions = Opts::new(
            "toucanshelf_admissions_total",
            "Ranked requests by rank and decision",
        );
        let admissions =
            IntCounterVec::new(admissions, &["rank", "decision"]).expect("valid options");
        let latency = HistogramOpts::new(
            "toucanshelf_latency_seconds",
            "Time to a whole answer, or to the first event of a stream",
        );
        let latency = latency.buckets(LATENCY_BUCKETS.to_vec());
        let latency = Histogram::with_opts(latency).expect("valid options");
        let load_age = HistogramOpts::new(
            "toucanshelf_load_age_seconds",
            "Age of the known load of an engine when it is chosen",
        );
        let load_age = load_age.buckets(LOAD_AGE_BUCKETS.to_vec());
        let load_age = Histogram::with_opts(load_age).expect("valid options");
        let load_messages = Opts::new(
            "toucanshelf_load_messages_total",
            "Reports of loads sent, and answers received",
        );
        let load_messages = IntCounterVec::new(load_messages, &["kind"]).expect("valid options");
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("valid options");
        let control_links = gauge("toucanshelf_control_links", "Open links to control");
        let unlinked_seconds = gauge(
            "toucanshelf_control_unlinked_seconds",
            "Time without a link to control",
        );
        let deployment_version = gauge(
            "toucanshelf_deployment_version",
            "Version of the deployment in force",
        );
        let isolated = gauge("toucanshelf_isolated", "1 while no target can be reached");
        let body_memory = gauge(
            "toucanshelf_body_memory_bytes",
            "Memory held by request bodies",
        );
        let connections = gauge("toucanshelf_caller_connections", "Connections of callers");
        let closed_connections = IntCounter::new(
            "toucanshelf_closed_caller_connections_total",
            "Connections of callers closed because there were too many",
        );
        let closed_connections = closed_connections.expect("valid options");
        let collectors: [Box<dyn prometheus::core::Collector>; 14] = [
            Box::new(admissions.clone()),
            Box::new(requests.clone()),
            Box::new(attempts.clone()),
            Box::new(repeated_sends.clone()),
            Box::new(latency.clone()),
            Box::new(load_age.clone()),
            Box::new(load_messages.clone()),
            Box::new(control_links.clone()),
            Box::new(unlinked_seconds.clone()),
            Box::new(deployment_version.clone()),
            Box::new(isolated.clone()),
            Box::new(body_memory.clone()),
            Box::new(connections.clone()),
            Box::new(closed_connections.clone()),
        ];
        for collector in collectors {
            registry.register(collector).expect("names differ");
        }
        Self {
            registry,
            requests,
            attempts,
            repeated_sends,
            admissions,
            latency,
            load_age,
            load_messages,
            control_links,
            unlinked_seconds,
            isolated,
            body_memory,
            connections,
            closed_connections,
            deployment_version,
        }
    }
}
