//! Tests of heartbeats that are collected for the other control instances.

use std::collections::BTreeMap;

use toucanshelf_control::directory::refreshes::Refreshes;
use toucanshelf_core::registration::Registration;

use crate::registry::registration;

fn heartbeat(id: &str, sequence: u64) -> Registration {
    registration(id, 1, sequence)
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
