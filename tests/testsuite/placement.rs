//! Tests of the placement of layers on engines.

use proptest::prelude::*;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_routing::placement::{EngineProfile, ModelShape, Repartitioning, plan};

/// A model that is too large for any single accelerator of these tests.
pub const SHAPE: ModelShape = ModelShape {
    layers: 80,
    layer_mb: 1_750.0,
    token_layer_mb: 0.007_375,
    slots: 192,
    typical_tokens: 1_000.0,
    entry_weight: 1.0,
};

/// Share of the first plan's token capacity that must remain after the loss of one engine.
const MIN_SHARE_AFTER_LOSS: f64 = 0.6;
/// Share of the first plan's token capacity that must be back once a lost engine returns.
const MIN_SHARE_AFTER_RETURN: f64 = 0.8;

pub fn engine(zone: u16, memory_mb: f64, step_factor: f64) -> EngineProfile {
    EngineProfile {
        zone,
        memory_mb,
        step_factor,
        held: None,
        loading: false,
    }
}

/// Returns a zone of one large, `medium` medium-sized and `slow` slow accelerators.
fn zone(number: u16, medium: usize, slow: usize) -> Vec<EngineProfile> {
    let mut out = vec![engine(number, 72_000.0, 2.4)];
    out.extend(vec![engine(number, 14_400.0, 5.3); medium]);
    out.extend(vec![engine(number, 21_600.0, 16.0); slow]);
    out
}

/// Plans the placement and applies it at once.
pub fn place(engines: &mut [EngineProfile], repartitioning: Repartitioning) {
    let assignments = plan(&SHAPE, engines, repartitioning);
    for (engine, assigned) in engines.iter_mut().zip(assignments) {
        engine.held = assigned;
    }
}

/// Returns, for each layer, how many engines of the zone hold it.
fn coverage(engines: &[EngineProfile], zone: u16) -> Vec<usize> {
    let held = engines
        .iter()
        .filter(|engine| engine.zone == zone)
        .filter_map(|engine| engine.held);
    let held: Vec<_> = held.collect();
    let holds = |layer, range: &LayerRange| range.from() <= layer && layer < range.to();
    (0..SHAPE.layers)
        .map(|layer| held.iter().filter(|range| holds(layer, range)).count())
        .collect()
}

/// Returns the smallest token capacity of any layer.
fn min_token_capacity(engines: &[EngineProfile]) -> f64 {
    let mut token_capacity = vec![0.0; SHAPE.layers as usize];
    for engine in engines {
        let Some(range) = engine.held else { continue };
        let count = f64::from(range.len());
        let free = engine.memory_mb - count * SHAPE.layer_mb;
        for layer in range.from()..range.to() {
            token_capacity[layer as usize] += free / count / SHAPE.token_layer_mb;
        }
    }
    token_capacity.into_iter().fold(f64::INFINITY, f64::min)
}

/// Returns engines for two copies of the model with enough memory for requests.
fn zone_for_two_copies() -> Vec<EngineProfile> {
    let mut engines = vec![engine(0, 72_000.0, 2.4); 3];
    engines.extend(vec![engine(0, 14_400.0, 5.3); 14]);
    engines.extend(vec![engine(0, 21_600.0, 16.0); 16]);
    engines
}

/// Plans repeatedly until nothing changes and returns the number of plans that did.
pub fn plan_until_stable(engines: &mut [EngineProfile]) -> usize {
    for rounds in 0..100 {
        let before = engines.to_vec();
        place(engines, Repartitioning::Deferred);
        if before == engines {
            return rounds;
        }
    }
    panic!("the placement did not become stable within 100 plans");
}

pub fn covers_all_layers(engines: &[EngineProfile], zone: u16) -> bool {
    coverage(engines, zone).iter().all(|count| *count > 0)
}

#[test]
fn each_zone_whole() {
    let mut engines = [zone(0, 10, 4), zone(1, 6, 6)].concat();
    place(&mut engines, Repartitioning::Allowed);
    assert!(covers_all_layers(&engines, 0) && covers_all_layers(&engines, 1));
}

#[test]
fn placed_stays() {
    let mut engines = zone(0, 10, 4);
    place(&mut engines, Repartitioning::Allowed);
    let before = engines.clone();
    place(&mut engines, Repartitioning::Allowed);
    assert_eq!(
        engines, before,
        "planning an applied placement again changes nothing"
    );
}

#[test]
fn any_middle_engine_lost() {
    for lost in 1..=10 {
        let mut engines = zone(0, 10, 4);
        place(&mut engines, Repartitioning::Allowed);
        engines.remove(lost);
        place(&mut engines, Repartitioning::Deferred);
        assert!(covers_all_layers(&engines, 0), "engine {lost} leaves a gap");
    }
}

#[test]
fn largest_engine_lost() {
    let mut engines = zone(0, 10, 4);
    place(&mut engines, Repartitioning::Allowed);
    engines.remove(0);
    place(&mut engines, Repartitioning::Allowed);
    assert!(covers_all_layers(&engines, 0));
}

#[test]
fn stand_in_makes_room() {
    let mut engines = zone(0, 10, 4);
    place(&mut engines, Repartitioning::Allowed);
    let counts = coverage(&engines, 0);
    let replicated = (1..=10).find(|i| {
        let range = engines[*i].held.unwrap();
        (range.from()..range.to()).all(|layer| counts[layer as usize] > 1)
    });
    let lost = replicated.expect("some engine holds only layers that another engine also holds");
    let before = min_token_capacity(&engines);
    engines.remove(lost);
    place(&mut engines, Repartitioning::Deferred);
    assert!(covers_all_layers(&engines, 0));
    let after = min_token_capacity(&engines);
    assert!(
        after >= MIN_SHARE_AFTER_LOSS * before,
        "after the loss there is capacity for {after:.0} of {before:.0} tokens"
    );
}

#[test]
fn weak_layers_are_doubled() {
    let holds = |mut engine: EngineProfile, from, to| {
        engine.held = LayerRange::new(from, to).ok();
        engine
    };
    let mut engines = [
        holds(engine(0, 72_000.0, 2.4), 0, 36),
        holds(engine(0, 72_000.0, 2.4), 36, 72),
        // This engine was extended into a gap and has capacity left for 7,000 tokens.
        holds(engine(0, 14_400.0, 5.3), 72, 80),
        holds(engine(0, 21_600.0, 16.0), 10, 18),
    ];
    place(&mut engines, Repartitioning::Deferred);
    let counts = coverage(&engines, 0);
    assert!(
        counts[72..].iter().any(|count| *count > 1),
        "no engine replicates the layers with little capacity"
    );
    assert!(covers_all_layers(&engines, 0));
}

#[test]
fn any_engine_lost_of_ample_zone() {
    let mut placed = zone_for_two_copies();
    place(&mut placed, Repartitioning::Allowed);
    for lost in 0..placed.len() {
        let mut engines = placed.clone();
        engines.remove(lost);
        assert!(covers_all_layers(&engines, 0), "engine {lost} leaves a gap");
    }
}

#[test]
fn thin_stand_ins_replace_nobody() {
    let holds = |mut engine: EngineProfile, from, to| {
        engine.held = LayerRange::new(from, to).ok();
        engine
    };
    let mut engines = vec![
        holds(engine(0, 72_000.0, 2.4), 0, 36),
        // This engine was extended into a gap and has little capacity left.
        holds(engine(0, 72_000.0, 2.4), 36, 72),
        holds(engine(0, 14_400.0, 5.3), 72, 76),
        holds(engine(0, 14_400.0, 5.3), 76, 80),
    ];
    // These engines replicate all but four layers of the second engine, with capacity for 7,000
    // tokens each.
    for from in [36, 48, 56] {
        engines.push(holds(engine(0, 21_600.0, 16.0), from, from + 12));
    }
    let before = min_token_capacity(&engines);
    plan_until_stable(&mut engines);
    assert!(
        min_token_capacity(&engines) >= before,
        "an engine unloaded layers for which the others lack capacity"
    );
}

#[test]
fn returning_engine_restores_room() {
    for lost in 0..3 {
        let mut engines = zone_for_two_copies();
        place(&mut engines, Repartitioning::Allowed);
        let before = min_token_capacity(&engines);
        let mut absent = engines.remove(lost);
        plan_until_stable(&mut engines);
        absent.held = None;
        engines.push(absent);
        plan_until_stable(&mut engines);
        let after = min_token_capacity(&engines);
        assert!(
            after >= MIN_SHARE_AFTER_RETURN * before,
            "engine {lost} is back, and there is capacity for {after:.0} of {before:.0} tokens"
        );
    }
}

#[test]
fn serving_engines_move_one_at_a_time() {
    let mut engines = zone_for_two_copies();
    place(&mut engines, Repartitioning::Allowed);
    engines.drain(0..2);
    place(&mut engines, Repartitioning::Deferred);
    for _ in 0..20 {
        let before = engines.clone();
        place(&mut engines, Repartitioning::Deferred);
        let moved = before
            .iter()
            .zip(&engines)
            .filter(|(a, b)| a.held != b.held);
        assert!(moved.count() <= 1);
    }
}

#[test]
fn nothing_moves_while_an_engine_loads() {
    let mut engines = zone_for_two_copies();
    place(&mut engines, Repartitioning::Allowed);
    engines.remove(0);
    engines[0].loading = true;
    let before = engines.clone();
    place(&mut engines, Repartitioning::Deferred);
    assert!(covers_all_layers(&before, 0), "there is no gap to close");
    assert_eq!(engines, before);
    engines[0].loading = false;
    place(&mut engines, Repartitioning::Deferred);
    assert_ne!(engines, before, "an engine moves once no engine is loading");
}

#[test]
fn entries_for_all_requests() {
    let mut engines = vec![engine(0, 72_000.0, 2.4); 4];
    engines.extend(vec![engine(0, 14_400.0, 5.3); 10]);
    engines.extend(vec![engine(0, 21_600.0, 16.0); 11]);
    place(&mut engines, Repartitioning::Allowed);
    assert!(covers_all_layers(&engines, 0));
    let first_engines = engines
        .iter()
        .filter_map(|engine| engine.held)
        .filter(|held| held.from() == 0);
    assert!(
        first_engines.count() > 1,
        "the slots of one first engine are too few for the capacity of the others"
    );
}

#[test]
fn zones_too_small_alone() {
    let mut engines = [zone(0, 1, 0), zone(1, 2, 1)].concat();
    place(&mut engines, Repartitioning::Allowed);
    let ranges: Vec<_> = engines.iter().filter_map(|engine| engine.held).collect();
    let covered = (0..SHAPE.layers).all(|layer| {
        ranges
            .iter()
            .any(|range| range.from() <= layer && layer < range.to())
    });
    assert!(
        covered,
        "zones too small for the model do not cover it together"
    );
}

proptest! {
    /// No engine is assigned more layers than fit in its memory, whichever engines lose theirs.
    #[test]
    fn never_beyond_memory(
        medium in 0_usize..12,
        slow in 0_usize..8,
        losses in prop::collection::vec((0_usize..20, any::<bool>()), 0..8),
    ) {
        let mut engines = [zone(0, medium, slow), zone(1, slow, medium)].concat();
        place(&mut engines, Repartitioning::Allowed);
        for (lost, repartition) in losses {
            let lost = lost % engines.len();
            engines[lost].held = None;
            let repartitioning = if repartition { Repartitioning::Allowed } else { Repartitioning::Deferred };
            place(&mut engines, repartitioning);
            for engine in &engines {
                let len = engine.held.map_or(0, LayerRange::len);
                prop_assert!(f64::from(len) * SHAPE.layer_mb <= engine.memory_mb);
                prop_assert!(engine.held.is_none_or(|range| range.to() <= SHAPE.layers));
            }
        }
    }
}

/// Returns how many requests the engines of zone 0 can run at once.
///
/// The first number is that of slots of the engines that hold layer 0. The second is that of typical
/// requests for which there is memory in the scarcest layer.
fn request_capacity(engines: &[EngineProfile]) -> (u32, f64) {
    let entries = engines.iter().filter_map(|engine| engine.held);
    let entries = entries.filter(|range| range.from() == 0).count();
    let memory = |layer| {
        let holders = engines.iter().filter_map(|engine| {
            let range = engine.held?;
            (range.from() <= layer && layer < range.to()).then_some((engine, range))
        });
        let tokens = holders.map(|(engine, range)| {
            let layers = f64::from(range.len());
            (engine.memory_mb - layers * SHAPE.layer_mb) / layers / SHAPE.token_layer_mb
        });
        tokens.sum::<f64>() / SHAPE.typical_tokens
    };
    let scarcest = (0..SHAPE.layers).map(memory).fold(f64::MAX, f64::min);
    (entries as u32 * SHAPE.slots, scarcest)
}

/// Places a zone of `[72, 43.2, 21.6, 14.4]` GB accelerators with an entry weight.
fn place_zone(counts: [usize; 4], entry_weight: f64) -> Vec<EngineProfile> {
    let kinds = [
        (72_000.0, 2.4),
        (43_200.0, 5.6),
        (21_600.0, 16.0),
        (14_400.0, 5.3),
    ];
    let kinds = counts.iter().zip(kinds);
    let mut engines: Vec<_> = kinds
        .flat_map(|(count, (memory_mb, step_factor))| {
            vec![engine(0, memory_mb, step_factor); *count]
        })
        .collect();
    let shape = ModelShape {
        entry_weight,
        ..SHAPE
    };
    let assignments = plan(&shape, &engines, Repartitioning::Deferred);
    for (engine, assigned) in engines.iter_mut().zip(assignments) {
        engine.held = assigned;
    }
    engines
}

const CROWDED_ZONES: [[usize; 4]; 5] = [
    [2, 15, 12, 0],
    [4, 6, 14, 0],
    [2, 9, 22, 0],
    [4, 0, 11, 10],
    [2, 0, 9, 24],
];

// A crowd of short requests fills the slots of the first engines while the memory of all other
// engines idles. Every request after that waits for a slot.
#[test]
fn crowded_entries_match_memory() {
    for counts in CROWDED_ZONES {
        let (_, memory_before) = request_capacity(&place_zone(counts, 1.0));
        let (slots, memory) = request_capacity(&place_zone(counts, 10.0));
        assert!(
            f64::from(slots) >= memory,
            "{counts:?}: {slots} slots, memory for {memory:.0} requests"
        );
        assert!(
            memory >= 0.75 * memory_before,
            "{counts:?}: memory for {memory:.0} requests, {memory_before:.0} before"
        );
    }
}

// With few engines that hold layer 0, the loss of one takes a third of the zone's entries.
#[test]
fn crowded_entries_survive_loss_of_one() {
    for counts in CROWDED_ZONES {
        let engines = place_zone(counts, 10.0);
        let (slots, _) = request_capacity(&engines);
        assert!(
            slots >= 4 * SHAPE.slots,
            "{counts:?}: {slots} slots in all, so that a loss takes more than a quarter"
        );
    }
}

#[test]
fn entries_unweighted_stay_fewer_than_weighted() {
    for counts in CROWDED_ZONES {
        let (before, _) = request_capacity(&place_zone(counts, 1.0));
        let (after, _) = request_capacity(&place_zone(counts, 10.0));
        assert!(
            before < after,
            "{counts:?}: {before} slots, {after} with weight"
        );
    }
}
