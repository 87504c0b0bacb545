//! Requests that are suspected of crashing targets.

use toucanshelf_routing::quarantine::{Handling, MEMORY_MS, Quarantine};

#[test]
fn second_loss_at_start() {
    let mut quarantine = Quarantine::new();
    quarantine.record_loss(0, 7, "g1", false);
    assert_eq!(quarantine.handling(0, 7), Handling::Alone);
    quarantine.record_loss(0, 7, "g2", false);
    assert_eq!(
        quarantine.handling(0, 7),
        Handling::Refused,
        "counts of all gates add up"
    );
    assert_eq!(quarantine.handling(0, 8), Handling::Normal);
    assert_eq!(quarantine.handling(MEMORY_MS, 7), Handling::Normal);
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
        "it crashed again on resuming"
    );
}

#[test]
fn neighbour_passes_start() {
    let mut quarantine = Quarantine::new();
    quarantine.record_loss(0, 7, "g1", false);
    quarantine.pass_start(7, "g1");
    quarantine.record_loss(0, 7, "g1", true);
    assert_eq!(quarantine.handling(0, 7), Handling::Normal);
}

#[test]
fn excuse_once() {
    let mut quarantine = Quarantine::new();
    quarantine.record_loss(0, 7, "g1", true);
    quarantine.record_loss(0, 7, "g1", false);
    assert!(quarantine.excuse(7, "g1").is_some());
    assert_eq!(quarantine.handling(0, 7), Handling::Normal);
    quarantine.record_loss(0, 7, "g1", false);
    assert!(
        quarantine.excuse(7, "g1").is_none(),
        "an outage is an excuse once"
    );
    assert_eq!(quarantine.handling(0, 7), Handling::Refused);
}

#[test]
fn charge_before_other_gate_runs() {
    let (mut first, mut second) = (Quarantine::new(), Quarantine::new());
    let lost = first.record_loss(0, 7, "g1", false);
    second.merge(0, 7, "g1", lost);
    let charged = first.record_loss(0, 7, "g1", false);
    second.merge(0, 7, "g1", charged);
    assert_eq!(
        second.handling(0, 7),
        Handling::Refused,
        "while the first gate tries"
    );
    let refunded = first.refund(7, "g1").unwrap();
    second.merge(0, 7, "g1", refunded);
    second.merge(0, 7, "g1", charged); // Late, and older.
    assert_eq!(second.handling(0, 7), Handling::Alone);
}
