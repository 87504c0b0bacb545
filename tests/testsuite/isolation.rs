//! Tests of the decision that an instance has lost its connections to all targets.

use std::net::SocketAddr;

use toucanshelf_routing::isolation::{IsolationDetector, Transition};

fn target(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

#[test]
fn record_failure_of_one_target() {
    let mut detector = IsolationDetector::new();
    assert!(!detector.record_failure(target(1), 3));
    assert!(!detector.record_failure(target(1), 3));
    assert!(detector.record_failure(target(2), 4));
    assert!(!detector.is_isolated(), "only a probe decides");
}

/// Guards against an isolated instance that goes unnoticed because it knows a single target.
#[test]
fn suspects_at_refusal_after_failure() {
    let mut detector = IsolationDetector::new();
    assert!(!detector.suspects_at_refusal(), "no target has failed");
    detector.record_failure(target(1), 3);
    assert!(detector.suspects_at_refusal());
    detector.record_connection();
    assert!(!detector.suspects_at_refusal());
}

/// Guards against an instance that takes a crash of single targets for its own isolation.
#[test]
fn record_failure_between_connections() {
    let mut detector = IsolationDetector::new();
    for port in 1..20 {
        assert!(!detector.record_failure(target(port), 3));
        detector.record_connection();
    }
}

#[test]
fn record_probe_without_connection() {
    let mut detector = IsolationDetector::new();
    assert_eq!(detector.record_probe(true, 1), None);
    detector.record_failure(target(7), 6);
    detector.record_failure(target(8), 8);
    assert_eq!(detector.record_probe(false, 10), Some(Transition::Isolated));
    assert!(detector.is_isolated());
    assert!(!detector.record_failure(target(1), 3), "probes run anyway");
    assert!(!detector.record_failure(target(2), 4));
    assert_eq!(detector.record_probe(false, 500), None);
    let reconnected = Transition::Reconnected { first_failure: 6 };
    assert_eq!(detector.record_probe(true, 1_000), Some(reconnected));
    assert!(!detector.is_isolated());
}
