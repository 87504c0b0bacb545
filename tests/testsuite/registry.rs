//! Tests that the registry ignores late and out-of-order registrations.

use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_core::registry::{Registry, RegistryChange};

/// Returns a registration of a ready target; all targets have the same address.
pub fn registration(id: &str, incarnation: u64, sequence: u64) -> Registration {
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

/// Returns all lists of up to `length` of the `choices`.
fn lists<T: Clone>(choices: &[T], length: usize) -> Vec<Vec<T>> {
    let mut all = vec![Vec::new()];
    let mut last = all.clone();
    for _ in 0..length {
        last = last
            .iter()
            .flat_map(|list| {
                choices.iter().map(|choice| {
                    let mut longer = list.clone();
                    longer.push(choice.clone());
                    longer
                })
            })
            .collect();
        all.extend(last.iter().cloned());
    }
    all
}

/// Guards against a drain that is acknowledged while the target is still used.
///
/// Explores all orders of three heartbeats of two targets at the same address.
#[test]
fn held_drain_is_not_ready() {
    let mut records = Vec::new();
    for (id, incarnation, sequence) in [
        ("a", 1, 1),
        ("a", 1, 2),
        ("a", 1, 3),
        ("a", 2, 1),
        ("b", 2, 1),
        ("b", 3, 1),
    ] {
        for readiness in [Readiness::Ready, Readiness::Draining, Readiness::Gone] {
            records.push(Registration {
                readiness,
                ..registration(id, incarnation, sequence)
            });
        }
    }
    for list in lists(&records, 3) {
        let mut registry = Registry::new();
        for record in &list {
            let change = registry.apply(record.clone(), 0);
            let holds = registry.holds(record);
            assert!(holds || change == RegistryChange::Stale, "{list:?}");
            let is_used = registry.entries().any(|entry| {
                entry.record.id == record.id
                    && entry.record.incarnation == record.incarnation
                    && entry.record.readiness == Readiness::Ready
            });
            if holds && record.readiness != Readiness::Ready {
                assert!(!is_used, "{list:?}");
            }
            // A heartbeat that is sent again, because its answer was lost, must be taken again.
            let again = registry.apply(record.clone(), 0);
            assert_eq!(again, RegistryChange::Stale);
            assert_eq!(registry.holds(record), holds, "{list:?}");
        }
    }
}

/// Guards against a target that is lost because its own heartbeats are taken for another writer's.
#[test]
fn contradiction_within_one_start() {
    let mut registry = Registry::new();
    let known = registration("a", 1, 5);
    assert!(!registry.contradicts(&known));
    registry.apply(known.clone(), 0);
    let moved = |incarnation| Registration {
        address: "10.0.0.2:80".parse().unwrap(),
        ..registration("a", incarnation, 6)
    };
    assert!(registry.contradicts(&moved(1)));
    assert!(!registry.contradicts(&moved(2)), "the target has restarted");
    let draining = Registration {
        readiness: Readiness::Draining,
        accelerator: Some("card".into()),
        ..known
    };
    assert!(!registry.contradicts(&draining));
    let mut registry = Registry::new();
    registry.apply(registration("a", 0, 5), 0);
    assert!(!registry.contradicts(&moved(0)), "the start is unknown");
}

/// Guards against a target that is used again after the departure of its latest start.
#[test]
fn departure_of_later_start() {
    let mut registry = Registry::new();
    registry.apply(registration("a", 1, 5), 0);
    let record = registry.mark_gone("a", Some(Incarnation(2)), 0).unwrap();
    assert_eq!(record.incarnation, Incarnation(2));
    assert!(registry.mark_gone("a", Some(Incarnation(2)), 0).is_none());
    assert!(registry.mark_gone("a", Some(Incarnation(1)), 0).is_none());
    assert!(registry.mark_gone("a", None, 0).is_none());
    assert_eq!(
        registry.apply(registration("a", 2, 1), 0),
        RegistryChange::Stale
    );
    assert!(registry.mark_gone("a", Some(Incarnation(3)), 0).is_some());
    assert_eq!(
        registry.apply(registration("a", 4, 1), 0),
        RegistryChange::Changed
    );
}

/// Guards against a target that hides or ends others at an address that it has left.
#[test]
fn restart_at_another_address() {
    let mut registry = Registry::new();
    registry.apply(registration("a", 5, 1), 0);
    let mut moved = registration("a", 6, 1);
    moved.address = "10.0.0.2:80".parse().unwrap();
    registry.apply(moved, 0);
    assert_eq!(
        registry.apply(registration("b", 2, 1), 0),
        RegistryChange::Changed,
        "no target with a later start is left at the address"
    );
    let mut successor = registration("c", 7, 1);
    successor.address = "10.0.0.2:80".parse().unwrap();
    registry.apply(successor, 0);
    assert_eq!(readiness(&registry, "a"), Readiness::Gone);
    assert_eq!(readiness(&registry, "b"), Readiness::Ready);
}

/// Guards against a target that hides others at its address after its retention has ended.
#[test]
fn removed_target_frees_address() {
    let mut registry = Registry::new();
    registry.apply(registration("a", 5, 1), 0);
    registry.mark_gone("a", None, 0);
    registry.prune(119_999);
    let late = registration("b", 2, 1);
    assert_eq!(registry.apply(late.clone(), 0), RegistryChange::Stale);
    registry.prune(120_000);
    assert_eq!(registry.apply(late, 0), RegistryChange::Changed);
}

/// A registration or a change of the deployment.
#[derive(Clone, Debug)]
enum Step {
    Apply(Registration),
    /// The deployment names the service of the targets from now on.
    Deploy,
    Leave(&'static str, u64),
}

/// Returns the registrations of targets that are used or were, without those of other writers.
fn entered(steps: &[Step]) -> Vec<Registration> {
    let mut registry = Registry::without_deployment();
    for step in steps {
        match step {
            Step::Apply(record) => {
                registry.apply(record.clone(), 0);
            }
            Step::Deploy => {
                registry.set_services(["s".into()], 0);
            }
            Step::Leave(id, incarnation) => {
                registry.mark_gone(id, Some(Incarnation(*incarnation)), 0);
            }
        }
    }
    registry.set_services(["s".into()], 0);
    registry
        .entries()
        .map(|entry| entry.record.clone())
        .collect()
}

/// Guards against a registration that is changed by those of a service that isn't deployed.
///
/// Explores all orders of registrations of two targets at one address, beside those of another
/// writer in their names and in a name of its own.
#[test]
fn undeployed_service_changes_no_other() {
    let foreign = |id, incarnation| Registration {
        service: "unnamed".into(),
        ..registration(id, incarnation, 9)
    };
    let draining = Registration {
        readiness: Readiness::Draining,
        ..registration("a", 1, 2)
    };
    let mut steps = vec![Step::Deploy];
    for record in [
        registration("a", 1, 1),
        draining,
        registration("a", 2, 1),
        registration("b", 2, 1),
        foreign("a", 1),
        foreign("a", 3),
        foreign("m", 3),
    ] {
        steps.push(Step::Apply(record));
    }
    for list in lists(&steps, 5) {
        let is_own = |step: &&Step| !matches!(step, Step::Apply(record) if &*record.service != "s");
        let own: Vec<_> = list.iter().filter(is_own).cloned().collect();
        assert_eq!(entered(&list), entered(&own), "{list:?}");
    }
}

/// Guards against a target that is used again after its departure, since its service was deployed later.
///
/// Explores all orders, also with registrations of another writer in the target's name.
#[test]
fn departure_before_deployment() {
    let foreign = Registration {
        service: "unnamed".into(),
        ..registration("a", 1, 9)
    };
    let steps = [
        Step::Deploy,
        Step::Apply(registration("a", 1, 1)),
        Step::Apply(registration("a", 1, 2)),
        Step::Apply(foreign),
        Step::Leave("a", 1),
    ];
    for list in lists(&steps, 6) {
        let mut registered = list
            .iter()
            .skip_while(|step| !matches!(step, Step::Apply(_)));
        let has_left = registered.any(|step| matches!(step, Step::Leave(..)));
        let entered = entered(&list);
        let is_used = entered
            .iter()
            .any(|record| record.readiness != Readiness::Gone);
        assert!(!has_left || !is_used, "{list:?}: {entered:?}");
    }
}

/// Guards against a target that counts as new because its service was deployed after it registered.
#[test]
fn entered_with_times_of_registration() {
    let mut registry = Registry::without_deployment();
    registry.apply(registration("a", 1, 1), 100);
    registry.apply(registration("a", 1, 2), 200);
    assert_eq!(registry.entries().count(), 0);
    let entered = registry.set_services(["s".into()], 900);
    assert_eq!(entered, [registration("a", 1, 2)]);
    let entry = registry.get("a").unwrap();
    assert_eq!((entry.first_seen_ms, entry.last_seen_ms), (100, 200));
    registry.set_services([], 1_000);
    let change = registry.apply(registration("a", 1, 3), 1_000);
    assert_eq!(
        change,
        RegistryChange::Refreshed,
        "it stays until it leaves"
    );
}
