//! Tests of decisions under the load of the heaviest days, each named after the pattern it answers.

use std::time::Duration;

use toucanshelf_core::layers::LayerRange;
use toucanshelf_routing::placement::{EngineProfile, Repartitioning};
use toucanshelf_routing::startup::configuration_wait;

use crate::placement::{SHAPE, covers_all_layers, engine, place, plan_until_stable};

/// Two large, two medium and two slow engines, which hold the model once.
fn small_zone(number: u16) -> [EngineProfile; 6] {
    [
        engine(number, 72_000.0, 2.4),
        engine(number, 72_000.0, 2.4),
        engine(number, 14_400.0, 5.3),
        engine(number, 14_400.0, 5.3),
        engine(number, 21_600.0, 16.0),
        engine(number, 21_600.0, 16.0),
    ]
}

fn held(engines: &[EngineProfile]) -> Vec<Option<LayerRange>> {
    engines.iter().map(|engine| engine.held).collect()
}

/// Pattern: a large engine falls dark for some seconds, and the rest of its zone could hold the model
/// only without memory for requests.
///
/// Guards against a zone that moves all its engines at once, breaks the streams on them and then
/// refuses nearly all requests, while other zones could run the missing layers.
#[test]
fn large_engine_dark_in_small_zone() {
    let mut engines: Vec<_> = (0..3).flat_map(small_zone).collect();
    plan_until_stable(&mut engines);
    let before = held(&engines);
    for lost in [0, 1] {
        let mut left = engines.clone();
        left.remove(lost);
        let mut expected = before.clone();
        expected.remove(lost);
        place(&mut left, Repartitioning::Allowed);
        assert_eq!(
            held(&left),
            expected,
            "no engine moves after the loss of engine {lost}"
        );
    }
}

/// Pattern: the same engine returns without layers.
#[test]
fn large_engine_returns_to_small_zone() {
    let mut engines: Vec<_> = (0..3).flat_map(small_zone).collect();
    plan_until_stable(&mut engines);
    let before = held(&engines);
    engines[0].held = None;
    place(&mut engines, Repartitioning::Allowed);
    let after = held(&engines);
    let others = before[1..].iter().zip(&after[1..]);
    let moved = others.filter(|(before, after)| before != after).count();
    assert!(
        moved <= 1,
        "{moved} engines move beside the returning one: {after:?}"
    );
    assert!(
        covers_all_layers(&engines, 0),
        "the zone is whole again: {after:?}"
    );
}

/// Pattern: two zones lose the same layers, and neither can hold the model alone.
///
/// Together they can, so that one engine of them takes the missing layers.
#[test]
fn large_engines_dark_in_two_small_zones() {
    let mut engines: Vec<_> = (0..2).flat_map(small_zone).collect();
    plan_until_stable(&mut engines);
    let range = engines[0].held.unwrap();
    engines.retain(|engine| engine.held != Some(range));
    assert_eq!(engines.len(), 10, "both zones are placed alike");
    place(&mut engines, Repartitioning::Allowed);
    let holds = |layer| {
        let mut ranges = engines.iter().filter_map(|engine| engine.held);
        ranges.any(|range| range.from() <= layer && layer < range.to())
    };
    assert!((0..SHAPE.layers).all(holds), "{:?}", held(&engines));
}

/// Pattern: all instances lose power at once, and callers whose streams broke off come back, once, to
/// instances that start and have no configuration yet.
///
/// Their requests wait for it, but for no more than a part of the time that the caller has.
#[test]
fn callers_return_to_starting_instances() {
    let wait = |ms| configuration_wait(Some(Duration::from_millis(ms)));
    assert_eq!(wait(20_000), Duration::from_secs(3), "a restart takes less");
    assert_eq!(wait(1_500), Duration::from_millis(375));
    assert_eq!(wait(0), Duration::ZERO);
    assert_eq!(configuration_wait(None), Duration::from_secs(3));
}
