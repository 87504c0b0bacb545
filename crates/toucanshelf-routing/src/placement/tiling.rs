//! Tilings: ways to hold the whole model once, and the room that they leave.

use toucanshelf_core::layers::LayerRange;

use super::{Card, ModelShape};

/// Share of a zone's even room that every tiling leaves.
// Requests that wait for a failed engine pile up however fast the others are.
const LEAST_ROOM: f64 = 0.35;
/// Further share for each step factor of the mean layer.
// Requests stay as long as their tokens take, so that faster tilings need less room.
const ROOM_BY_FACTOR: f64 = 0.035;
/// Tilings that are compared between no room and the even room.
const ROOM_STEPS: u32 = 40;
/// Steps of the search for a zone's even room.
const SEARCH_STEPS: u32 = 40;

impl ModelShape {
    /// Layers that fit beside requests of `tokens` tokens in all.
    pub(super) fn capacity(&self, card: &Card, tokens: f64) -> u32 {
        let per_layer = self.layer_mb + self.token_layer_mb * tokens;
        ((card.memory_mb / per_layer) as u32).min(self.layers)
    }

    /// Most tokens for which the cards hold the whole model; none where they never do.
    pub(super) fn even_room(&self, cards: &[&Card]) -> Option<f64> {
        let fits = |tokens: f64| {
            let held: u32 = cards.iter().map(|card| self.capacity(card, tokens)).sum();
            held >= self.layers
        };
        if !fits(0.0) {
            return None;
        }
        let all: f64 = cards.iter().map(|card| card.memory_mb).sum();
        let (mut low, mut high) = (0.0, all / self.token_layer_mb.max(f64::MIN_POSITIVE));
        for _ in 0..SEARCH_STEPS {
            let middle = f64::midpoint(low, high);
            if fits(middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        Some(low)
    }
}

/// A way to hold the whole model once.
#[derive(Debug, Default)]
pub(super) struct Tiling {
    /// Cards with their layers.
    pub(super) ranges: Vec<(usize, LayerRange)>,
    /// Time of a decoding step, in layers of an accelerator of factor 1.
    time: f64,
    /// Tokens for which each card has room.
    pub(super) room: f64,
}

/// Fastest tiling that leaves enough room for the time that requests then stay.
pub(super) fn best_tiling(shape: &ModelShape, cards: &[Card], members: &[usize]) -> Option<Tiling> {
    let refs: Vec<_> = members.iter().map(|i| &cards[*i]).collect();
    let even = shape.even_room(&refs)?;
    let mut order = members.to_vec();
    order.sort_by(|a, b| {
        let (a, b) = (&cards[*a], &cards[*b]);
        a.step_factor
            .total_cmp(&b.step_factor)
            .then(b.memory_mb.total_cmp(&a.memory_mb))
    });
    let layers = f64::from(shape.layers);
    let steps = (1..=ROOM_STEPS).filter_map(|step| {
        let portion = f64::from(step) / f64::from(ROOM_STEPS);
        let tiling = fastest_first(shape, cards, &order, portion * even)?;
        let needed = LEAST_ROOM + ROOM_BY_FACTOR * tiling.time / layers;
        (portion >= needed || step == ROOM_STEPS).then_some(tiling)
    });
    steps.min_by(|a, b| a.time.total_cmp(&b.time))
}

/// Tiling that fills the cards in `order`, each with room for `tokens` tokens.
fn fastest_first(
    shape: &ModelShape,
    cards: &[Card],
    order: &[usize],
    tokens: f64,
) -> Option<Tiling> {
    let mut counts = Vec::new();
    let mut left = shape.layers;
    for i in order {
        let count = shape.capacity(&cards[*i], tokens).min(left);
        left -= count;
        counts.push((*i, count));
    }
    if left > 0 {
        return None;
    }
    counts.retain(|(_, count)| *count > 0);
    // The last card holds what is left; a short first part is easily held by others, too.
    counts.rotate_right(1);
    let mut tiling = Tiling {
        room: tokens,
        ..Tiling::default()
    };
    let mut from = 0;
    for (i, count) in counts {
        let range = LayerRange::new(from, from + count).ok()?;
        tiling.time += f64::from(count) * cards[i].step_factor;
        tiling.ranges.push((i, range));
        from += count;
    }
    Some(tiling)
}

/// Tiling over the cards in `order`, each with about the same room; none where they hold too little.
pub(super) fn even_tiling(
    shape: &ModelShape,
    cards: &[Card],
    order: &[usize],
) -> Option<Vec<(usize, LayerRange)>> {
    let refs: Vec<_> = order.iter().map(|i| &cards[*i]).collect();
    let room = shape.even_room(&refs)?;
    let capacities = refs.iter().map(|card| shape.capacity(card, room));
    let mut counts: Vec<_> = capacities.collect();
    let excess = counts.iter().sum::<u32>().checked_sub(shape.layers)?;
    for _ in 0..excess {
        // The layers that take longest are the ones to give up.
        let time = |i: usize| f64::from(counts[i]) * refs[i].step_factor;
        let slowest = (0..counts.len()).max_by(|a, b| time(*a).total_cmp(&time(*b)))?;
        counts[slowest] -= 1;
    }
    let mut from = 0;
    let mut ranges = Vec::new();
    for (i, count) in order.iter().zip(counts) {
        // A card without layers has no range.
        if let Ok(range) = LayerRange::new(from, from + count) {
            ranges.push((*i, range));
        }
        from += count;
    }
    Some(ranges)
}
