//! Which engine should hold which layers.
//!
//! Each availability zone holds the whole model by itself where its accelerators allow, by the
//! fastest of them that leave enough room for requests. The others double the layers where that
//! helps most: where room is short, where the loss of one engine would leave a gap, or where only
//! slow engines hold a layer. Later, an engine moves only when that closes a gap or is worth the
//! load of its new layers.
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
//! let card = |memory_mb| Card { zone: 0, memory_mb, step_factor: 1.0, held: None, loading: false };
//! let wanted = plan(&shape, &[card(120.0), card(60.0)], Retiling::Allowed);
//! let held: Vec<_> = wanted.into_iter().flatten().collect();
//! let holds = |layer| held.iter().any(|range| range.from() <= layer && layer < range.to());
//! assert!((0..8).all(holds));
//! ```

mod coverage;
mod tiling;

use toucanshelf_core::layers::LayerRange;

use coverage::{Coverage, Window};
use tiling::{best_tiling, even_tiling};

/// Share of a tiling's room below which a neighbour is not stretched over a gap.
const STRETCH_ROOM: f64 = 0.3;
/// Part of a placement's cost that the move of an engine must gain.
// A move takes layers away for the time that the engine waits for requests and loads.
const MOVE_SHARE: f64 = 0.04;

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
    /// Whether it was ordered to hold layers that it does not hold yet.
    pub loading: bool,
}

/// Whether the borders of a whole zone may move to close a gap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retiling {
    /// They may.
    Allowed,
    /// They stay; a gap that no single card can close stays open.
    Deferred,
}

/// Layers that each card should hold, in the order of `cards`.
///
/// The answer depends on nothing but the arguments. A card keeps what it holds unless another
/// range closes a gap or helps enough; of the cards that serve, one of a zone moves at a time.
pub fn plan(shape: &ModelShape, cards: &[Card], retiling: Retiling) -> Vec<Option<LayerRange>> {
    let mut wanted: Vec<_> = cards.iter().map(|card| card.held).collect();
    for members in groups(shape, cards) {
        let tiling = best_tiling(shape, cards, &members);
        let mut group = Group {
            coverage: Coverage::new(shape, cards, &members),
            shape,
            cards,
            members: &members,
            wanted: &mut wanted,
            room: tiling.as_ref().map_or(0.0, |tiling| tiling.room),
            tiling: tiling.map(|tiling| tiling.ranges).unwrap_or_default(),
        };
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
    coverage: Coverage<'a>,
    shape: &'a ModelShape,
    cards: &'a [Card],
    members: &'a [usize],
    wanted: &'a mut [Option<LayerRange>],
    /// How the cards would be tiled if they held nothing yet.
    tiling: Vec<(usize, LayerRange)>,
    /// Tokens for which that tiling has room.
    room: f64,
}

impl Group<'_> {
    fn place(&mut self, retiling: Retiling) {
        if self.members.iter().all(|i| self.wanted[*i].is_none()) {
            for (i, range) in &self.tiling {
                self.wanted[*i] = Some(*range);
            }
            self.fill_empty();
            return;
        }
        self.fill_empty();
        self.close_gaps();
        if self.first_gap().is_some() && retiling == Retiling::Allowed {
            self.retile();
        }
        if self.members.iter().all(|i| !self.cards[*i].loading) {
            self.move_one();
        }
    }

    /// Gives each empty card the layers where it helps most, the largest first.
    fn fill_empty(&mut self) {
        let empty = self.members.iter().filter(|i| self.wanted[**i].is_none());
        let mut empty: Vec<_> = empty.copied().collect();
        empty.sort_by(|a, b| {
            let (a, b) = (&self.cards[*a], &self.cards[*b]);
            b.memory_mb.total_cmp(&a.memory_mb)
        });
        for i in empty {
            let window = self.coverage.best_window(self.wanted, i, None);
            self.wanted[i] = window.map(|window| window.range);
        }
    }

    /// Closes gaps by the cards that lose least by it, then by stretching neighbours.
    fn close_gaps(&mut self) {
        // A step closes one layer at least; one that opens another is made up for at the next plan.
        for _ in 0..self.shape.layers {
            let Some(gap) = self.first_gap() else { return };
            if let Some((i, window)) = self.best_move(Some(gap.from())) {
                self.wanted[i] = Some(window.range);
            } else if !self.stretch_over(gap) {
                return;
            }
        }
    }

    /// Number of cards that hold each layer.
    fn holders(&self) -> Vec<u32> {
        let mut out = vec![0; self.shape.layers as usize];
        for range in self.members.iter().filter_map(|i| self.wanted[*i]) {
            for layer in range.from()..range.to().min(self.shape.layers) {
                out[layer as usize] += 1;
            }
        }
        out
    }

    fn stretch_over(&mut self, gap: LayerRange) -> bool {
        let room = STRETCH_ROOM * self.room;
        let neighbours = self.members.iter().copied().filter_map(|i| {
            let range = self.wanted[i]?;
            let fits = self.shape.capacity(&self.cards[i], room);
            let free = fits.checked_sub(range.len())?;
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
        let mut order = self.members.to_vec();
        order.sort_by_key(|i| self.wanted[*i].map_or(0, LayerRange::from));
        let tiling = even_tiling(self.shape, self.cards, &order);
        for (i, range) in tiling.into_iter().flatten() {
            self.wanted[i] = Some(range);
        }
    }

    /// Moves the card that gains most, if it gains enough.
    fn move_one(&mut self) {
        let least = MOVE_SHARE * self.coverage.total(self.wanted);
        if let Some((i, window)) = self.best_move(None)
            && window.gain >= least
        {
            self.wanted[i] = Some(window.range);
        }
    }

    /// Card and range that gain most, over the layer `over` where one is given.
    fn best_move(&self, over: Option<u32>) -> Option<(usize, Window)> {
        let windows = self.members.iter().filter_map(|i| {
            let window = self.coverage.best_window(self.wanted, *i, over)?;
            Some((*i, window))
        });
        windows.max_by(|a, b| a.1.gain.total_cmp(&b.1.gain))
    }

    /// First range of layers that nobody holds.
    fn first_gap(&self) -> Option<LayerRange> {
        let holders = self.holders();
        let from = holders.iter().position(|count| *count == 0)?;
        let held = holders[from..].iter().take_while(|count| **count == 0);
        LayerRange::new(from as u32, (from + held.count()) as u32).ok()
    }
}
