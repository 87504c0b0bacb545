//! Tests of the handling of requests suspected of crashing targets.
//!
//! All losses belong to the request with fingerprint 7. The last argument of `record_loss` is false
//! if the target was lost before the request had started, and true if it was lost while streaming.

use toucanshelf_routing::quarantine::{Handling, Quarantine, RETENTION_MS};

#[test]
fn second_loss_at_start() {
    let mut quarantine = Quarantine::new();
    quarantine.record_loss(0, 7, "g1", false);
    assert_eq!(quarantine.handling(0, 7), Handling::Isolated);
    quarantine.record_loss(0, 7, "g2", false);
    assert_eq!(
        quarantine.handling(0, 7),
        Handling::Refused,
        "the losses of all gates are added up"
    );
    assert_eq!(quarantine.handling(0, 8), Handling::Normal);
    assert_eq!(quarantine.handling(RETENTION_MS, 7), Handling::Normal);
}

#[test]
fn crash_in_mid_answer() {
    let mut quarantine = Quarantine::new();
    quarantine.record_loss(0, 7, "g1", true);
    assert_eq!(quarantine.handling(0, 7), Handling::Normal);
    quarantine.record_loss(0, 7, "g1", false);
    assert_eq!(
        quarantine.handling(0, 7),
        Handling::Refused,
        "the request lost a second target, this time at its start"
    );
}

#[test]
fn neighbour_passes_start() {
    let mut quarantine = Quarantine::new();
    quarantine.record_loss(0, 7, "g1", false);
    quarantine.clear_starting_losses(7, "g1");
    quarantine.record_loss(0, 7, "g1", true);
    assert_eq!(quarantine.handling(0, 7), Handling::Normal);
}

#[test]
fn excuse_once() {
    let mut quarantine = Quarantine::new();
    quarantine.record_loss(0, 7, "g1", true);
    quarantine.record_loss(0, 7, "g1", false);
    assert!(quarantine.discount_outage(7, "g1").is_some());
    assert_eq!(quarantine.handling(0, 7), Handling::Normal);
    quarantine.record_loss(0, 7, "g1", false);
    assert!(
        quarantine.discount_outage(7, "g1").is_none(),
        "only one loss may be discounted"
    );
    assert_eq!(quarantine.handling(0, 7), Handling::Refused);
}

#[test]
fn charge_before_other_gate_runs() {
    let (mut first, mut second) = (Quarantine::new(), Quarantine::new());
    let lost = first.record_loss(0, 7, "g1", false);
    second.merge(0, 7, "g1", lost);
    let precounted = first.record_loss(0, 7, "g1", false);
    second.merge(0, 7, "g1", precounted);
    assert_eq!(
        second.handling(0, 7),
        Handling::Refused,
        "the first gate counts a loss ahead of its attempt"
    );
    let reverted = first.revert_loss(7, "g1").unwrap();
    second.merge(0, 7, "g1", reverted);
    second.merge(0, 7, "g1", precounted); // An older count that arrives late is ignored.
    assert_eq!(second.handling(0, 7), Handling::Isolated);
}
