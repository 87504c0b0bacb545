//! Tests of registrations that are collected for the ingresses and the other control instances.
//!
//! Guards against a transfer to each ingress for each heartbeat, when many targets report at once.

use std::collections::BTreeMap;

use toucanshelf_control::directory::outbox::Outbox;
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

/// Returns the sequence number of each target's registration.
fn sequences(records: &[Registration]) -> BTreeMap<&str, u64> {
    let records = records.iter();
    records
        .map(|record| (&*record.id, record.sequence))
        .collect()
}

/// Guards against a transfer that grows with the heartbeats of a target that sends too many.
#[test]
fn latest_of_each_target() {
    let outbox = Outbox::new();
    outbox.queue(heartbeat("b", 7), true);
    for sequence in 1..=100 {
        outbox.queue(heartbeat("a", sequence), false);
    }
    let batch = outbox.take();
    let expected = [("a", 100), ("b", 7)];
    assert_eq!(sequences(&batch.all), BTreeMap::from(expected));
    assert_eq!(sequences(&batch.changed), BTreeMap::from([("b", 7)]));
    assert!(outbox.take().all.is_empty(), "each is sent once");
}

/// Guards against a change that the ingresses miss because the next heartbeat changes nothing.
#[test]
fn change_before_refresh() {
    let outbox = Outbox::new();
    outbox.queue(heartbeat("a", 1), true);
    outbox.queue(heartbeat("a", 2), false);
    let batch = outbox.take();
    assert_eq!(sequences(&batch.changed), BTreeMap::from([("a", 2)]));
    outbox.queue(heartbeat("a", 3), false);
    assert!(outbox.take().changed.is_empty());
}
