//! How well the cards of a group cover the layers, and where one more card helps most.
//!
//! Every layer has a cost that falls with the room that its holders offer together, with the room
//! that is left when the largest of them is lost, and with the speed of the fastest. The cost of
//! a placement is the sum over its layers, so that the gain of giving a card other layers is
//! found from those layers alone.

use toucanshelf_core::layers::LayerRange;

use super::{Card, ModelShape};

/// Share of a group's even room that each layer should offer.
const TARGET_SHARE: f64 = 0.6;
/// Share of the target that is added to all room, which bounds the cost of a layer without any.
const EMPTY_SHARE: f64 = 0.2;
/// Share of a group's even room at which half of the cost of a loss is gone.
// A loss lasts some seconds; what matters most is that requests under way have somewhere to go.
const LOSS_SHARE: f64 = 0.08;
/// Cost of the loss of a card whose layers nobody else holds, shared by these layers.
// Each card is lost as often as any other, so that the layers of a short range weigh more.
const LOSS_COST: f64 = 5.0;
/// Weight of the fastest holder's step factor, relative to the mean of the group.
// Requests stay longer on slow layers and take room everywhere meanwhile.
const SPEED_WEIGHT: f64 = 0.4;
/// Cost of each layer that an engine with layers must load.
const LOAD_COST: f64 = 0.1;
/// Cost of each layer that an engine gives up.
// It first waits for the requests that pass through, and loads nothing meanwhile.
const LEAVE_COST: f64 = 0.2;
/// Share of its slots that a first engine is planned for.
const SLOTS_USED: f64 = 0.8;

/// What the holders of one layer offer together.
#[derive(Clone, Copy, Debug)]
struct Offer {
    /// Tokens for which they have room.
    room: f64,
    /// Room of the largest of them.
    largest: f64,
    /// Number of layers that the largest of them holds.
    largest_layers: u32,
    /// Step factor of the fastest of them.
    fastest: f64,
}

/// A range of layers for a card and what it gains.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window {
    pub(super) range: LayerRange,
    pub(super) gain: f64,
}

/// Costs of the layers of one group of cards.
pub(super) struct Coverage<'a> {
    shape: &'a ModelShape,
    cards: &'a [Card],
    members: &'a [usize],
    /// Tokens for which each layer should have room.
    target: f64,
    /// Tokens at which half of the cost of a loss is gone.
    loss_room: f64,
    mean_factor: f64,
    slowest: f64,
}

impl<'a> Coverage<'a> {
    pub(super) fn new(shape: &'a ModelShape, cards: &'a [Card], members: &'a [usize]) -> Self {
        let refs: Vec<_> = members.iter().map(|i| &cards[*i]).collect();
        let even = shape.even_room(&refs).unwrap_or(0.0);
        let memory: f64 = refs.iter().map(|card| card.memory_mb).sum();
        let weighted = refs.iter().map(|card| card.memory_mb * card.step_factor);
        let factors = refs.iter().map(|card| card.step_factor);
        Self {
            shape,
            cards,
            members,
            target: (TARGET_SHARE * even).max(shape.usual_tokens).max(1.0),
            loss_room: (LOSS_SHARE * even).max(shape.usual_tokens).max(1.0),
            mean_factor: (weighted.sum::<f64>() / memory.max(1.0)).max(f64::MIN_POSITIVE),
            slowest: factors.fold(1.0, f64::max),
        }
    }

    /// Tokens for which card `i` has room in `layer` when it holds `count` layers.
    fn room(&self, i: usize, count: u32, layer: u32) -> f64 {
        let count = f64::from(count);
        let free = self.cards[i].memory_mb - count * self.shape.layer_mb;
        let room = (free / count / self.shape.token_layer_mb).max(0.0);
        if layer > 0 {
            return room;
        }
        let slots = SLOTS_USED * f64::from(self.shape.slots.max(1));
        room.min(slots * self.shape.usual_tokens)
    }

    fn shortage(&self, room: f64) -> f64 {
        (room / self.target + EMPTY_SHARE).powi(-3)
    }

    fn cost(&self, offer: &Offer) -> f64 {
        let after_loss = (offer.room - offer.largest).max(0.0);
        let loss = LOSS_COST / f64::from(offer.largest_layers);
        self.shortage(offer.room)
            + loss / (1.0 + after_loss / self.loss_room)
            + SPEED_WEIGHT * offer.fastest / self.mean_factor
    }

    /// What all cards but `left_out` offer, by layer.
    fn offers(&self, wanted: &[Option<LayerRange>], left_out: Option<usize>) -> Vec<Offer> {
        let none = Offer {
            room: 0.0,
            largest: 0.0,
            largest_layers: self.shape.layers,
            fastest: self.slowest,
        };
        let mut out = vec![none; self.shape.layers as usize];
        for i in self.members.iter().filter(|i| Some(**i) != left_out) {
            let Some(range) = wanted[*i] else { continue };
            for layer in range.from()..range.to().min(self.shape.layers) {
                let offer = &mut out[layer as usize];
                *offer = self.with_card(offer, *i, range.len(), layer);
            }
        }
        out
    }

    fn with_card(&self, offer: &Offer, i: usize, count: u32, layer: u32) -> Offer {
        let room = self.room(i, count, layer);
        let (largest, largest_layers) = if room > offer.largest {
            (room, count)
        } else {
            (offer.largest, offer.largest_layers)
        };
        Offer {
            room: offer.room + room,
            largest,
            largest_layers,
            fastest: offer.fastest.min(self.cards[i].step_factor),
        }
    }

    /// Cost of the whole placement.
    pub(super) fn total(&self, wanted: &[Option<LayerRange>]) -> f64 {
        let offers = self.offers(wanted, None);
        offers.iter().map(|offer| self.cost(offer)).sum()
    }

    /// Range that lowers the cost most when card `i` holds it instead of what it holds now.
    ///
    /// Only ranges around the layer `over` count where one is given. None where nothing is better
    /// than to leave it.
    pub(super) fn best_window(
        &self,
        wanted: &[Option<LayerRange>],
        i: usize,
        over: Option<u32>,
    ) -> Option<Window> {
        let others = self.offers(wanted, Some(i));
        let before: Vec<_> = others.iter().map(|offer| self.cost(offer)).collect();
        let gain_in = |layer: u32, count: u32| {
            let offer = &others[layer as usize];
            before[layer as usize] - self.cost(&self.with_card(offer, i, count, layer))
        };
        let held = wanted[i].map_or(0.0, |range| {
            let layers = range.from()..range.to().min(self.shape.layers);
            layers.map(|layer| gain_in(layer, range.len())).sum()
        });
        let mut best: Option<Window> = None;
        for count in 1..=self.shape.capacity(&self.cards[i], 0.0) {
            let gains: Vec<_> = (0..self.shape.layers)
                .map(|layer| gain_in(layer, count))
                .collect();
            let mut sum: f64 = gains[..count as usize].iter().sum();
            for from in 0..=(self.shape.layers - count) {
                if from > 0 {
                    sum += gains[(from + count - 1) as usize] - gains[(from - 1) as usize];
                }
                let Ok(range) = LayerRange::new(from, from + count) else {
                    continue;
                };
                if over.is_some_and(|over| over < range.from() || range.to() <= over) {
                    continue;
                }
                let gain = sum - held - change_cost(wanted[i], range);
                if best.is_none_or(|best| gain > best.gain) {
                    best = Some(Window { range, gain });
                }
            }
        }
        best.filter(|best| best.gain > 0.0 && Some(best.range) != wanted[i])
    }
}

/// Cost of going from the layers `held` to `range`.
fn change_cost(held: Option<LayerRange>, range: LayerRange) -> f64 {
    let Some(held) = held else { return 0.0 };
    let kept = held
        .to()
        .min(range.to())
        .saturating_sub(held.from().max(range.from()));
    LOAD_COST * f64::from(range.len() - kept) + LEAVE_COST * f64::from(held.len() - kept)
}
