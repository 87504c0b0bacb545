//! Which engine should hold which layers.

use proptest::prelude::*;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_routing::placement::{Card, ModelShape, Retiling, plan};

const SHAPE: ModelShape = ModelShape {
    layers: 80,
    layer_mb: 1_750.0,
    token_layer_mb: 0.007_375,
    slots: 192,
    usual_tokens: 1_000.0,
};

fn card(zone: u16, memory_mb: f64, step_factor: f64) -> Card {
    Card {
        zone,
        memory_mb,
        step_factor,
        held: None,
    }
}

/// A zone of one large, some middle and some slow accelerators.
fn zone(number: u16, middle: usize, slow: usize) -> Vec<Card> {
    let mut out = vec![card(number, 72_000.0, 2.4)];
    out.extend(vec![card(number, 14_400.0, 5.3); middle]);
    out.extend(vec![card(number, 21_600.0, 16.0); slow]);
    out
}

fn place(cards: &mut [Card], retiling: Retiling) {
    let wanted = plan(&SHAPE, cards, retiling);
    for (card, wanted) in cards.iter_mut().zip(wanted) {
        card.held = wanted;
    }
}

fn coverage(cards: &[Card], zone: u16) -> Vec<usize> {
    let held = cards
        .iter()
        .filter(|card| card.zone == zone)
        .filter_map(|card| card.held);
    let held: Vec<_> = held.collect();
    let holds = |layer, range: &LayerRange| range.from() <= layer && layer < range.to();
    (0..SHAPE.layers)
        .map(|layer| held.iter().filter(|range| holds(layer, range)).count())
        .collect()
}

fn is_whole(cards: &[Card], zone: u16) -> bool {
    coverage(cards, zone).iter().all(|count| *count > 0)
}

#[test]
fn each_zone_whole() {
    let mut cards = [zone(0, 10, 4), zone(1, 6, 6)].concat();
    place(&mut cards, Retiling::Allowed);
    assert!(is_whole(&cards, 0) && is_whole(&cards, 1));
}

#[test]
fn placed_stays() {
    let mut cards = zone(0, 10, 4);
    place(&mut cards, Retiling::Allowed);
    let before = cards.clone();
    place(&mut cards, Retiling::Allowed);
    assert_eq!(
        cards, before,
        "a plan that is carried out asks for nothing more"
    );
}

#[test]
fn any_middle_engine_lost() {
    for lost in 1..=10 {
        let mut cards = zone(0, 10, 4);
        place(&mut cards, Retiling::Allowed);
        cards.remove(lost);
        place(&mut cards, Retiling::Deferred);
        assert!(is_whole(&cards, 0), "engine {lost} leaves a gap");
    }
}

#[test]
fn largest_engine_lost() {
    let mut cards = zone(0, 10, 4);
    place(&mut cards, Retiling::Allowed);
    cards.remove(0);
    place(&mut cards, Retiling::Allowed);
    assert!(is_whole(&cards, 0));
}

#[test]
fn stand_in_makes_room() {
    let mut cards = zone(0, 10, 4);
    place(&mut cards, Retiling::Allowed);
    let counts = coverage(&cards, 0);
    let backed = (1..=10).find(|i| {
        let range = cards[*i].held.unwrap();
        (range.from()..range.to()).all(|layer| counts[layer as usize] > 1)
    });
    let lost = backed.expect("a reserve stands by for some engine");
    let range = cards.remove(lost).held.unwrap();
    place(&mut cards, Retiling::Deferred);
    let stand_in = cards
        .iter()
        .filter_map(|card| card.held)
        .find(|held| *held == range);
    assert!(stand_in.is_some(), "the stand-in gives up all but {range}");
}

#[test]
fn weak_layers_are_doubled() {
    let holds = |mut card: Card, from, to| {
        card.held = LayerRange::new(from, to).ok();
        card
    };
    let mut cards = [
        holds(card(0, 72_000.0, 2.4), 0, 36),
        holds(card(0, 72_000.0, 2.4), 36, 72),
        // Stretched over what others have lost, with room for 7,000 tokens.
        holds(card(0, 14_400.0, 5.3), 72, 80),
        holds(card(0, 21_600.0, 16.0), 10, 18),
    ];
    place(&mut cards, Retiling::Deferred);
    let counts = coverage(&cards, 0);
    assert!(
        counts[72..].iter().any(|count| *count > 1),
        "the reserve helps where it is needed"
    );
    assert!(is_whole(&cards, 0));
}

#[test]
fn entries_for_all_requests() {
    let mut cards = vec![card(0, 72_000.0, 2.4); 4];
    cards.extend(vec![card(0, 14_400.0, 5.3); 10]);
    cards.extend(vec![card(0, 21_600.0, 16.0); 11]);
    place(&mut cards, Retiling::Allowed);
    assert!(is_whole(&cards, 0));
    let firsts = cards
        .iter()
        .filter_map(|card| card.held)
        .filter(|held| held.from() == 0);
    assert!(
        firsts.count() > 1,
        "one engine's slots can't take what so many have room for"
    );
}

#[test]
fn zones_too_small_alone() {
    let mut cards = [zone(0, 1, 0), zone(1, 2, 1)].concat();
    place(&mut cards, Retiling::Allowed);
    let ranges: Vec<_> = cards.iter().filter_map(|card| card.held).collect();
    let covered = (0..SHAPE.layers).all(|layer| {
        ranges
            .iter()
            .any(|range| range.from() <= layer && layer < range.to())
    });
    assert!(covered, "small zones hold the model together");
}

proptest! {
    /// Whatever is lost and comes back empty, no engine is asked to hold more than it can.
    #[test]
    fn never_beyond_memory(
        middle in 0_usize..12,
        slow in 0_usize..8,
        losses in prop::collection::vec((0_usize..20, any::<bool>()), 0..8),
    ) {
        let mut cards = [zone(0, middle, slow), zone(1, slow, middle)].concat();
        place(&mut cards, Retiling::Allowed);
        for (lost, retile) in losses {
            let lost = lost % cards.len();
            cards[lost].held = None;
            let retiling = if retile { Retiling::Allowed } else { Retiling::Deferred };
            place(&mut cards, retiling);
            for card in &cards {
                let len = card.held.map_or(0, LayerRange::len);
                prop_assert!(f64::from(len) * SHAPE.layer_mb <= card.memory_mb);
                prop_assert!(card.held.is_none_or(|range| range.to() <= SHAPE.layers));
            }
        }
    }
}
