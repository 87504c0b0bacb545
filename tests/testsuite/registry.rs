//! Tests that the registry ignores late and out-of-order registrations.

use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_core::registry::{Registry, RegistryChange};

/// Returns a registration of a ready target; all targets have the same address.
fn registration(id: &str, incarnation: u64, sequence: u64) -> Registration {
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
    assert_eq!(
        registry.apply(registration("a", 1, 5), 0),
        RegistryChange::Changed
    );
    assert_eq!(
        registry.apply(registration("a", 1, 4), 0),
        RegistryChange::Stale
    );
    assert_eq!(
        registry.apply(registration("a", 1, 6), 0),
        RegistryChange::Refreshed
    );
}

#[test]
fn gone_stays_gone() {
    let mut registry = Registry::new();
    registry.apply(registration("a", 1, 5), 0);
    assert!(registry.mark_gone("a", None, 0).is_some());
    assert_eq!(
        registry.apply(registration("a", 1, 9), 0),
        RegistryChange::Stale
    );
    assert_eq!(readiness(&registry, "a"), Readiness::Gone);
}

#[test]
fn restart_under_same_id() {
    let mut registry = Registry::new();
    registry.apply(registration("a", 1, 5), 0);
    assert_eq!(
        registry.apply(registration("a", 2, 1), 0),
        RegistryChange::Changed
    );
    assert!(
        registry.mark_gone("a", Some(Incarnation(1)), 0).is_none(),
        "a late departure of the first incarnation must not remove the second"
    );
    assert_eq!(readiness(&registry, "a"), Readiness::Ready);
    assert_eq!(
        registry.apply(registration("a", 1, 6), 0),
        RegistryChange::Stale
    );
}

#[test]
fn successor_at_address() {
    let mut registry = Registry::new();
    registry.apply(registration("a", 1, 5), 0);
    assert_eq!(
        registry.apply(registration("b", 2, 1), 0),
        RegistryChange::Changed
    );
    assert_eq!(readiness(&registry, "a"), Readiness::Gone);
    assert_eq!(
        registry.apply(registration("c", 1, 9), 0),
        RegistryChange::Stale,
        "a registration that a partition delayed must not replace its successor"
    );
    assert!(registry.get("c").is_none());
}

#[test]
fn drain_is_a_change() {
    let mut registry = Registry::new();
    registry.apply(registration("a", 1, 5), 0);
    let mut draining = registration("a", 1, 6);
    draining.readiness = Readiness::Draining;
    assert_eq!(registry.apply(draining, 0), RegistryChange::Changed);
}
