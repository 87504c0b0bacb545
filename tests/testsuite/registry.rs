//! Latest word of targets, whatever the order of its arrival.

use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_core::registry::{Change, Registry};

fn word(id: &str, incarnation: u64, sequence: u64) -> Registration {
    Registration {
        id: id.into(),
        incarnation: Incarnation(incarnation),
        sequence,
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        readiness: Readiness::Ready,
        accelerator: None,
        layers: None,
    }
}

fn readiness(registry: &Registry, id: &str) -> Readiness {
    registry.get(id).unwrap().record.readiness
}

#[test]
fn late_word_is_stale() {
    let mut registry = Registry::new();
    assert_eq!(registry.apply(word("a", 1, 5), 0), Change::Changed);
    assert_eq!(registry.apply(word("a", 1, 4), 0), Change::Stale);
    assert_eq!(registry.apply(word("a", 1, 6), 0), Change::Refreshed);
}

#[test]
fn gone_stays_gone() {
    let mut registry = Registry::new();
    registry.apply(word("a", 1, 5), 0);
    assert!(registry.leave("a", None, 0).is_some());
    assert_eq!(registry.apply(word("a", 1, 9), 0), Change::Stale);
    assert_eq!(readiness(&registry, "a"), Readiness::Gone);
}

#[test]
fn restart_under_same_id() {
    let mut registry = Registry::new();
    registry.apply(word("a", 1, 5), 0);
    assert_eq!(registry.apply(word("a", 2, 1), 0), Change::Changed);
    assert!(
        registry.leave("a", Some(Incarnation(1)), 0).is_none(),
        "a late leave of the first start"
    );
    assert_eq!(readiness(&registry, "a"), Readiness::Ready);
    assert_eq!(registry.apply(word("a", 1, 6), 0), Change::Stale);
}

#[test]
fn successor_at_address() {
    let mut registry = Registry::new();
    registry.apply(word("a", 1, 5), 0);
    assert_eq!(registry.apply(word("b", 2, 1), 0), Change::Changed);
    assert_eq!(readiness(&registry, "a"), Readiness::Gone);
    assert_eq!(
        registry.apply(word("c", 1, 9), 0),
        Change::Stale,
        "held up behind a partition"
    );
    assert!(registry.get("c").is_none());
}

#[test]
fn drain_is_a_change() {
    let mut registry = Registry::new();
    registry.apply(word("a", 1, 5), 0);
    let mut drains = word("a", 1, 6);
    drains.readiness = Readiness::Draining;
    assert_eq!(registry.apply(drains, 0), Change::Changed);
}
