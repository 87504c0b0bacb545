//! Tests of the decision that an instance has lost its connections to all targets.

use std::net::SocketAddr;

use toucanshelf_routing::isolation::{IsolationDetector, Transition};

fn target(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

#[test]
fn record_failure_of_one_target() {
    let mut detector = IsolationDetector::new();
    assert!(!detector.record_failure(target(1)));
    assert!(!detector.record_failure(target(1)));
    assert!(detector.record_failure(target(2)));
    assert!(!detector.is_isolated(), "only a probe decides");
}

/// Guards against an instance that takes a crash of single targets for its own isolation.
#[test]
fn record_failure_between_connections() {
    let mut detector = IsolationDetector::new();
    for port in 1..20 {
        assert!(!detector.record_failure(target(port)));
        detector.record_connection();
    }
}

#[test]
fn record_probe_without_connection() {
    let mut detector = IsolationDetector::new();
    assert_eq!(detector.record_probe(true, 5), None);
    assert_eq!(detector.record_probe(false, 10), Some(Transition::Isolated));
    assert!(detector.is_isolated());
    assert!(!detector.record_failure(target(1)), "probes run anyway");
    assert!(!detector.record_failure(target(2)));
    assert_eq!(detector.record_probe(false, 500), None);
    let reconnected = Transition::Reconnected { after_ms: 990 };
    assert_eq!(detector.record_probe(true, 1_000), Some(reconnected));
    assert!(!detector.is_isolated());
}
