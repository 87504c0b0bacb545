//! Tests of heartbeats that are collected for the other control instances.

use std::collections::BTreeMap;

use toucanshelf_control::directory::refreshes::Refreshes;
use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::registration::{Readiness, Registration};

fn heartbeat(id: &str, sequence: u64) -> Registration {
    Registration {
        id: id.into(),
        incarnation: Incarnation(1),
        sequence,
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        readiness: Readiness::Ready,
        accelerator: None,
        layers: None,
    }
}

/// Guards against a transfer that grows with the heartbeats of a target that sends too many.
#[test]
fn latest_of_each_target() {
    let refreshes = Refreshes::new();
    refreshes.queue(heartbeat("b", 7));
    for sequence in 1..=100 {
        refreshes.queue(heartbeat("a", sequence));
    }
    let taken = refreshes.take().into_iter();
    let sequences: BTreeMap<_, _> = taken.map(|record| (record.id, record.sequence)).collect();
    let expected = [("a".into(), 100), ("b".into(), 7)];
    assert_eq!(sequences, BTreeMap::from(expected));
    assert!(refreshes.take().is_empty(), "each is forwarded once");
}
