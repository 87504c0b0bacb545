//! Which engine should hold which layers.
//!
//! Each availability zone holds the whole model by itself where its accelerators allow. Layers
//! that are held stay where they are; a gap is filled by engines that are empty or hold only
//! what others hold too, then by their neighbours, and only as a last resort by moving the
//! borders of the whole zone. What is not needed stands by: it holds the layers of as many others
//! as fit, so that requests under way can move there at once.
//!
//! ```
//! use toucanshelf_routing::placement::{Card, ModelShape, Retiling, plan};
//!
//! let shape = ModelShape {
//!     layers: 8,
//!     layer_mb: 10.0,
//!     token_layer_mb: 0.01,
//!     slots: 64,
//!     usual_tokens: 1_000.0,
//! };
//! let card = |memory_mb| Card { zone: 0, memory_mb, step_factor: 1.0, held: None };
//! let wanted = plan(&shape, &[card(120.0), card(60.0)], Retiling::Allowed);
//! let held: Vec<_> = wanted.into_iter().flatten().collect();
//! let holds = |layer| held.iter().any(|range| range.from() <= layer && layer < range.to());
//! assert!((0..8).all(holds));
//! ```

mod tiling;

use toucanshelf_core::layers::LayerRange;

use tiling::best_tiling;

/// Share of a tiling's room that an engine in a gap must keep.
const GAP_ROOM: f64 = 0.8;
/// Share of a tiling's room below which an engine counts as one that only stands by.
const WORKING_ROOM: f64 = 0.6;
/// Share of a tiling's room below which a neighbour is not stretched over a gap.
const STRETCH_ROOM: f64 = 0.3;
/// Share of a tiling's room that an engine keeps while it only stands by for others.
const STAND_BY_ROOM: f64 = 0.2;
/// Share of a model's layers that one engine stands by with at most.
// More would take so long to load that the engine could not step in meanwhile.
const STAND_BY_SHARE: f64 = 0.125;
/// Factor by which the least room must grow for a card to be moved there.
const STRENGTHENED: f64 = 1.2;
/// Share of its slots that a first engine is planned for.
const SLOTS_USED: f64 = 0.8;

/// Sizes of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelShape {
    /// Number of layers.
    pub layers: u32,
    /// Memory of one layer, in megabytes.
    pub layer_mb: f64,
    /// Memory of one token of a request in one layer, in megabytes.
    pub token_layer_mb: f64,
    /// Requests that an engine takes as the first of a route.
    pub slots: u32,
    /// Tokens that a request usually holds.
    pub usual_tokens: f64,
}

/// An engine that can be given layers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Card {
    /// Availability zone.
    pub zone: u16,
    /// Memory for layers and requests, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of a decoding step; higher is slower.
    pub step_factor: f64,
    /// Layers that it holds or has been ordered to hold.
    pub held: Option<LayerRange>,
}

/// Whether the borders of a whole zone may move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retiling {
    /// They may.
    Allowed,
    /// They stay; a gap that nobody can fill stays open.
    Deferred,
}

/// Layers that each card should hold, in the order of `cards`.
///
/// The answer depends on nothing but the arguments, and a card keeps what it holds unless the
/// zone's coverage needs another range.
pub fn plan(shape: &ModelShape, cards: &[Card], retiling: Retiling) -> Vec<Option<LayerRange>> {
    let mut wanted: Vec<_> = cards.iter().map(|card| card.held).collect();
    for members in groups(shape, cards) {
        let mut group = Group::new(shape, cards, members, &mut wanted);
        group.place(retiling);
    }
    wanted
}

/// Cards by zone; zones that can't hold the model by themselves are taken together.
fn groups(shape: &ModelShape, cards: &[Card]) -> Vec<Vec<usize>> {
    let mut zones: Vec<u16> = cards.iter().map(|card| card.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut whole = Vec::new();
    let mut rest = Vec::new();
    for zone in zones {
        let members: Vec<_> = (0..cards.len())
            .filter(|i| cards[*i].zone == zone)
            .collect();
        let refs: Vec<_> = members.iter().map(|i| &cards[*i]).collect();
        match shape.even_room(&refs) {
            Some(_) => whole.push(members),
            None => rest.extend(members),
        }
    }
    whole.push(rest);
    whole
}

/// Cards that hold the model together.
struct Group<'a> {
    shape: &'a ModelShape,
    cards: &'a [Card],
    members: Vec<usize>,
    wanted: &'a mut [Option<LayerRange>],
    /// Tokens for which a tiling by these cards would have room.
    room: f64,
}

impl<'a> Group<'a> {
    fn new(
        shape: &'a ModelShape,
        cards: &'a [Card],
        members: Vec<usize>,
        wanted: &'a mut [Option<LayerRange>],
    ) -> Self {
        let room = best_tiling(shape, cards, &members).map_or(0.0, |tiling| tiling.room);
        Self {
            shape,
            cards,
            members,
            wanted,
            room,
        }
    }

    fn place(&mut self, retiling: Retiling) {
        if self.members.is_empty() {
            return;
        }
        if self.members.iter().all(|i| self.wanted[*i].is_none()) {
            self.tile_afresh();
        } else {
            self.fill_gaps();
            if self.first_gap().is_some() && retiling == Retiling::Allowed {
                self.retile();
            }
            self.trim_stand_ins();
            self.strengthen();
        }
        self.stand_by();
    }

    /// Number of cards that hold each layer.
    fn coverage(&self) -> Vec<u32> {
        let mut out = vec![0; self.shape.layers as usize];
        for range in self.members.iter().filter_map(|i| self.wanted[*i]) {
            for layer in range.from()..range.to().min(self.shape.layers) {
                out[layer as usize] += 1;
            }
        }
        out
    }

    fn first_gap(&self) -> Option<LayerRange> {
        let coverage = self.coverage();
        let from = coverage.iter().position(|count| *count == 0)?;
        let len = coverage[from..]
            .iter()
            .take_while(|count| **count == 0)
            .count();
        LayerRange::new(from as u32, (from + len) as u32).ok()
    }

    /// Tiles the model over the fastest cards that leave enough room; the rest stay in reserve.
    fn tile_afresh(&mut self) {
        let best = best_tiling(self.shape, self.cards, &self.members);
        for (i, range) in best.into_iter().flat_map(|tiling| tiling.ranges) {
            self.wanted[i] = Some(range);
        }
    }

    /// Shortest first part, and the number of cards that should hold it to take all requests
    /// for which the whole tiling has room.
    fn first_part(&self) -> Option<(LayerRange, usize)> {
        let ranges = self.members.iter().filter_map(|i| self.wanted[*i]);
        let firsts = ranges.filter(|range| range.from() == 0);
        let first = firsts.min_by_key(|range| range.len())?;
        let room = self
            .room_by_layer()
            .into_iter()
            .fold(f64::INFINITY, f64::min);
        let requests = room / self.shape.usual_tokens.max(1.0);
        let wanted = requests / (SLOTS_USED * f64::from(self.shape.slots.max(1)));
        Some((first, wanted.ceil() as usize))
    }

    /// Tokens for which each layer has room, over all cards that hold it.
    fn room_by_layer(&self) -> Vec<f64> {
        let mut out = vec![0.0; self.shape.layers as usize];
        for i in &self.members {
            let Some(range) = self.wanted[*i] else {
                continue;
            };
            let layers = f64::from(range.len());
            let free = self.cards[*i].memory_mb - layers * self.shape.layer_mb;
            for layer in range.from()..range.to().min(self.shape.layers) {
                out[layer as usize] += free / layers / self.shape.token_layer_mb;
            }
        }
        out
    }

    /// Tiles the model over the cards in this order.
    fn tile(&mut self, order: &[usize]) {
        let refs: Vec<_> = order.iter().map(|i| &self.cards[*i]).collect();
        let Some(room) = self.shape.even_room(&refs) else {
            return;
        };
        let mut counts: Vec<_> = refs
            .iter()
            .map(|card| self.shape.capacity(card, room))
            .collect();
        let mut excess = counts.iter().sum::<u32>() - self.shape.layers;
        while excess > 0 {
            // The layer that takes longest is the one to give up.
            let slowest = (0..order.len()).filter(|i| counts[*i] > 0).max_by(|a, b| {
                let time = |i: usize| f64::from(counts[i]) * self.cards[order[i]].step_factor;
                time(*a).total_cmp(&time(*b))
            });
            let Some(slowest) = slowest else { return };
            counts[slowest] -= 1;
            excess -= 1;
        }
        let mut from = 0;
        for (i, count) in order.iter().zip(counts) {
            self.wanted[*i] = LayerRange::new(from, from + count).ok();
            from += count;
        }
    }

    /// Fills gaps by cards that can be spared, then by stretching neighbours.
    fn fill_gaps(&mut self) {
        while let Some(gap) = self.first_gap() {
            if !self.fill_by_spare(gap) && !self.stretch_over(gap) {
                return;
            }
        }
    }

    fn fill_by_spare(&mut self, gap: LayerRange) -> bool {
        let coverage = self.coverage();
        let spare = self
            .members
            .iter()
            .copied()
            .filter(|i| self.is_spare(*i, &coverage));
        let fitting = |i: usize| self.shape.capacity(&self.cards[i], GAP_ROOM * self.room);
        let best = spare.filter(|i| fitting(*i) > 0).max_by(|a, b| {
            let reach = |i: usize| fitting(i).min(gap.len());
            let empty = |i: usize| self.wanted[i].is_none();
            reach(*a)
                .cmp(&reach(*b))
                .then(empty(*a).cmp(&empty(*b)))
                .then(
                    self.cards[*b]
                        .step_factor
                        .total_cmp(&self.cards[*a].step_factor),
                )
        });
        let Some(best) = best else {
            return false;
        };
        let to = gap.from() + fitting(best).min(gap.len());
        self.wanted[best] = LayerRange::new(gap.from(), to).ok();
        true
    }

    /// Whether a card is empty, or others hold all that it holds.
    fn is_spare(&self, i: usize, coverage: &[u32]) -> bool {
        self.wanted[i].is_none_or(|range| {
            let held = &coverage[range.from() as usize..range.to() as usize];
            held.iter().all(|count| *count > 1)
        })
    }

    fn stretch_over(&mut self, gap: LayerRange) -> bool {
        let room = STRETCH_ROOM * self.room;
        let neighbours = self.members.iter().copied().filter_map(|i| {
            let range = self.wanted[i]?;
            let free = self
                .shape
                .capacity(&self.cards[i], room)
                .checked_sub(range.len())?;
            let touches = range.to() == gap.from() || range.from() == gap.to();
            (touches && free > 0).then_some((free, i, range))
        });
        let Some((_, i, range)) = neighbours.max_by_key(|(free, ..)| *free) else {
            return false;
        };
        // One layer at a time, so that neighbours on both sides share the gap.
        self.wanted[i] = if range.to() == gap.from() {
            LayerRange::new(range.from(), range.to() + 1).ok()
        } else {
            LayerRange::new(range.from() - 1, range.to()).ok()
        };
        true
    }

    /// Moves all borders; cards keep their order along the layers.
    fn retile(&mut self) {
        let gap = self.first_gap().map_or(0, LayerRange::from);
        let mut order = self.members.clone();
        let start = |i: &usize| self.wanted[*i].map_or(gap, LayerRange::from);
        order.sort_by_key(start);
        self.tile(&order);
    }

    /// Lets cards that stand in for others give up what others hold, to have room for requests.
    fn trim_stand_ins(&mut self) {
        for i in self.members.clone() {
            let Some(range) = self.wanted[i] else {
                continue;
            };
            if range.len()
                <= self
                    .shape
                    .capacity(&self.cards[i], WORKING_ROOM * self.room)
            {
                continue;
            }
            let coverage = self.coverage();
            let alone = |layer: &u32| coverage[*layer as usize] == 1;
            let first = (range.from()..range.to()).find(alone);
            let last = (range.from()..range.to()).rev().find(alone);
            if let (Some(first), Some(last)) = (first, last) {
                self.wanted[i] = LayerRange::new(first, last + 1).ok();
            }
        }
    }

    /// Has a card that can be spared double the layers that have the least room for requests.
    fn strengthen(&mut self) {
        let before = self.room_by_layer();
        let enough = WORKING_ROOM * self.room;
        let least = before.iter().copied().fold(f64::INFINITY, f64::min);
        if least >= enough {
            return;
        }
        let is_weak = |layer: usize| before[layer] < enough;
        let weakest = before.iter().position(|room| *room <= least).unwrap_or(0);
        let from = (0..=weakest)
            .rev()
            .take_while(|layer| is_weak(*layer))
            .last();
        let from = from.unwrap_or(weakest);
        let weak = (from..before.len())
            .take_while(|layer| is_weak(*layer))
            .count();
        let coverage = self.coverage();
        for i in self.members.clone() {
            let fits = self.shape.capacity(&self.cards[i], GAP_ROOM * self.room);
            // Keeps the weakest layer inside where not all weak ones fit.
            let len = fits.min(weak as u32);
            let start = (from as u32).max((weakest as u32 + 1).saturating_sub(len));
            let old = self.wanted[i];
            if len == 0 || old.is_none() || !self.is_spare(i, &coverage) {
                continue;
            }
            self.wanted[i] = LayerRange::new(start, start + len).ok();
            let after = self
                .room_by_layer()
                .into_iter()
                .fold(f64::INFINITY, f64::min);
            if after > least * STRENGTHENED {
                return;
            }
            self.wanted[i] = old;
        }
    }

    /// Has empty cards stand by for as many others as they can hold the layers of.
    fn stand_by(&mut self) {
        let empty: Vec<_> = self
            .members
            .iter()
            .copied()
            .filter(|i| self.wanted[*i].is_none())
            .collect();
        for i in empty {
            if let Some(first) = self.missing_first_part(i) {
                self.wanted[i] = Some(first);
                continue;
            }
            let fits = self
                .shape
                .capacity(&self.cards[i], STAND_BY_ROOM * self.room);
            let most = (STAND_BY_SHARE * f64::from(self.shape.layers)).ceil();
            let len = fits.min(most as u32);
            let starts = 0..=(self.shape.layers - len);
            let best = starts.max_by_key(|from| self.gain_of(*from, from + len));
            let from = best.unwrap_or(0);
            self.wanted[i] = LayerRange::new(from, from + len).ok();
        }
    }

    /// First part, if too few cards hold it and card `i` can.
    fn missing_first_part(&self, i: usize) -> Option<LayerRange> {
        let (first, wanted) = self.first_part()?;
        let ranges = self.members.iter().filter_map(|i| self.wanted[*i]);
        let held = ranges.filter(|range| range.covers(first)).count();
        let fits = self.shape.capacity(&self.cards[i], GAP_ROOM * self.room) >= first.len();
        (held < wanted && fits).then_some(first)
    }

    /// Layers of cards that would have a stand-in, and layers that would be held twice.
    fn gain_of(&self, from: u32, to: u32) -> (u32, u32) {
        let coverage = self.coverage();
        let ranges = self.members.iter().filter_map(|i| self.wanted[*i]);
        let alone = |layer: u32| u32::from(coverage[layer as usize] == 1);
        let inside = ranges.filter(|range| from <= range.from() && range.to() <= to);
        let unbacked = inside.map(|range| (range.from()..range.to()).map(alone).sum::<u32>());
        (unbacked.sum(), (from..to).map(alone).sum())
    }
}
