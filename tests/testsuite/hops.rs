//! Tests of the cheapest route over engines that hold parts of a model.

use proptest::prelude::*;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_routing::hops::{CandidateStage, Hop, HopCosts, cheapest_route};

/// Costs of hops, in the unit of the layer costs.
const COSTS: HopCosts = HopCosts {
    same_zone: 0.1,
    other_zone: 20.0,
    remote_entry: 30.0,
};

/// Returns an engine that costs `layer_cost` per layer and nothing to enter.
fn stage(key: usize, zone: u16, from: u32, to: u32, layer_cost: f64) -> CandidateStage<usize> {
    CandidateStage {
        key,
        zone,
        layers: LayerRange::new(from, to).unwrap(),
        layer_cost,
        entry_cost: 0.0,
        first_cost: Some(0.0),
    }
}

fn keys(route: &[Hop<usize>]) -> Vec<usize> {
    route.iter().map(|hop| hop.key).collect()
}

#[test]
fn own_zone_first() {
    let stages = [
        stage(0, 0, 0, 5, 1.0),
        stage(1, 0, 5, 10, 1.0),
        stage(2, 1, 0, 10, 0.1),
    ];
    let route = cheapest_route(&stages, 10, 0, &COSTS).unwrap();
    assert_eq!(keys(&route), [0, 1]);
}

#[test]
fn missing_part_is_borrowed() {
    let stages = [
        stage(0, 0, 0, 4, 1.0),
        stage(1, 0, 6, 10, 1.0),
        stage(2, 1, 3, 8, 1.0),
    ];
    let route = cheapest_route(&stages, 10, 0, &COSTS).unwrap();
    assert_eq!(keys(&route), [0, 2, 1]);
}

#[test]
fn full_entry_is_left() {
    let mut stages = [
        stage(0, 0, 0, 5, 1.0),
        stage(1, 0, 0, 5, 2.0),
        stage(2, 0, 5, 10, 1.0),
    ];
    stages[0].first_cost = Some(10.0);
    let route = cheapest_route(&stages, 10, 0, &COSTS).unwrap();
    assert_eq!(keys(&route), [1, 2]);
}

#[test]
fn engine_without_permit_is_not_first() {
    let mut stages = [
        stage(0, 0, 0, 5, 1.0),
        stage(1, 0, 0, 5, 2.0),
        stage(2, 0, 5, 10, 1.0),
    ];
    stages[0].first_cost = None;
    let route = cheapest_route(&stages, 10, 0, &COSTS).unwrap();
    assert_eq!(keys(&route), [1, 2]);
    stages[1].first_cost = None;
    assert_eq!(cheapest_route(&stages, 10, 0, &COSTS), None);
}

#[test]
fn gap_has_no_route() {
    let stages = [stage(0, 0, 0, 4, 1.0), stage(1, 0, 5, 10, 1.0)];
    assert_eq!(cheapest_route(&stages, 10, 0, &COSTS), None);
    assert_eq!(cheapest_route::<usize>(&[], 10, 0, &COSTS), None);
}

proptest! {
    /// Every route runs each layer once and in order, on engines that hold it, and visits no
    /// engine twice.
    #[test]
    fn layers_once(parts in prop::collection::vec((0_u16..3, 0_u32..20, 1_u32..20, 0.01_f64..5.0), 1..25)) {
        let stages: Vec<_> = parts
            .iter()
            .enumerate()
            .map(|(key, (zone, from, len, cost))| stage(key, *zone, *from, (*from + *len).min(20).max(*from + 1), *cost))
            .collect();
        let covered = (0..20).all(|layer| {
            stages.iter().any(|s| s.layers.from() <= layer && layer < s.layers.to())
        });
        let route = cheapest_route(&stages, 20, 0, &COSTS);
        prop_assert_eq!(route.is_some(), covered);
        let mut next = 0;
        let mut seen = std::collections::BTreeSet::new();
        for hop in route.into_iter().flatten() {
            prop_assert_eq!(hop.layers.from(), next);
            prop_assert!(stages[hop.key].layers.covers(hop.layers));
            prop_assert!(seen.insert(hop.key), "engine {} is entered twice", hop.key);
            next = hop.layers.to();
        }
        prop_assert!(!covered || next == 20);
    }
}
