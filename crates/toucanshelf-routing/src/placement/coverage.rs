//! Cost model for the coverage of a model's layers by a group of engines.
//!
//! The cost of a layer falls with the total token capacity of the engines that hold it, with the
//! capacity that remains after the loss of the largest of them, and with the speed of the fastest.
//! The cost of a placement is the sum over its layers, so the gain from reassigning one engine
//! depends only on the layers of its old and its new range. Costs have no unit.
//!
//! An engine that holds a layer is a holder of that layer. Its token capacity is the number of
//! tokens of requests for which it has memory in each of its layers. Its step factor is the time
//! that it takes for one token in one layer, relative to a reference engine. The balanced capacity
//! of a group is the largest token capacity that all its engines can have at once while together
//! they hold the whole model.

use toucanshelf_core::layers::LayerRange;

use super::{EngineProfile, ModelShape};

/// Desired token capacity of a layer, as a share of the balanced capacity.
const DESIRED_CAPACITY_SHARE: f64 = 0.6;
/// Constant added to the ratio of a layer's token capacity to the desired one.
///
/// The cost falls with the cube of this sum, so without it a layer with no capacity would have
/// infinite cost.
const SHORTAGE_OFFSET: f64 = 0.2;
/// Remaining token capacity at which the loss of an engine costs half.
///
/// The engine is the one with the highest token capacity in the layer, and its loss costs most if
/// no capacity remains. The value is a share of the balanced capacity. It is small because an
/// engine is missing for only some seconds. What matters most is that requests in flight can move
/// to another engine.
const HALF_LOSS_COST_SHARE: f64 = 0.08;
/// Cost of losing the only holder of a range of layers.
///
/// It is divided evenly among the layers. All engines fail equally often, so each layer of a short
/// range carries more of the cost.
const LOSS_COST: f64 = 5.0;
/// Part of a layer's cost if its fastest engine has the mean step factor.
///
/// The mean is that of the group. The part is proportional to the engine's step factor, the time
/// that it takes for one token in one layer. Requests take longer where only slow engines hold a
/// layer, and meanwhile use memory on every engine of their route.
const SPEED_WEIGHT: f64 = 0.4;
/// Cost of each layer that an engine loads when it already holds others.
const LOAD_COST: f64 = 0.1;
/// Cost of each layer that an engine unloads.
///
/// The engine must first wait for its requests to finish and can't load other layers meanwhile.
const UNLOAD_COST: f64 = 0.2;
/// Share of the slots assumed in use on the first engine of a route.
///
/// A slot is the capacity to run one request at a time.
const SLOT_UTILISATION: f64 = 0.8;

/// Combined capacity of the engines that hold one layer.
#[derive(Clone, Copy, Debug)]
struct LayerCapacity {
    /// Sum of the holders' token capacities.
    token_capacity: f64,
    /// Token capacity of the engine with the most token capacity in this layer.
    largest_capacity: f64,
    /// Number of layers held by this layer's engine with the most token capacity.
    largest_holder_layers: u32,
    /// Step factor of the fastest engine that holds this layer.
    ///
    /// It is the engine's time for one token in one layer, relative to a reference engine.
    min_step_factor: f64,
}

/// A range of layers that an engine could hold, and its gain.
///
/// The gain is the amount by which the cost of the placement would fall.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) range: LayerRange,
    pub(super) gain: f64,
}

/// Cost model of the layers of one group of engines.
pub(super) struct Coverage<'a> {
    shape: &'a ModelShape,
    engines: &'a [EngineProfile],
    members: &'a [usize],
    /// Balanced capacity of the group; `None` if its engines can't hold the whole model.
    pub(super) balanced_capacity: Option<f64>,
    /// Desired total token capacity of the engines that hold a layer.
    desired_capacity: f64,
    /// Remaining token capacity at which the loss of an engine costs half.
    ///
    /// The engine is the one with the highest token capacity in the layer, and its loss costs most
    /// if no capacity remains.
    half_loss_capacity: f64,
    mean_step_factor: f64,
    max_step_factor: f64,
}

impl<'a> Coverage<'a> {
    pub(super) fn new(
        shape: &'a ModelShape,
        engines: &'a [EngineProfile],
        members: &'a [usize],
    ) -> Self {
        let refs: Vec<_> = members.iter().map(|i| &engines[*i]).collect();
        let balanced_capacity = shape.balanced_token_capacity(&refs);
        let balanced_tokens = balanced_capacity.unwrap_or(0.0);
        let total_memory_mb: f64 = refs.iter().map(|engine| engine.memory_mb).sum();
        let weighted = refs
            .iter()
            .map(|engine| engine.memory_mb * engine.step_factor);
        let factors = refs.iter().map(|engine| engine.step_factor);
        Self {
            shape,
            engines,
            members,
            balanced_capacity,
            desired_capacity: (DESIRED_CAPACITY_SHARE * balanced_tokens)
                .max(shape.typical_tokens)
                .max(1.0),
            half_loss_capacity: (HALF_LOSS_COST_SHARE * balanced_tokens)
                .max(shape.typical_tokens)
                .max(1.0),
            mean_step_factor: (weighted.sum::<f64>() / total_memory_mb.max(1.0))
                .max(f64::MIN_POSITIVE),
            max_step_factor: factors.fold(1.0, f64::max),
        }
    }

    /// Token capacity of engine `i` in `layer` if it holds `count` layers.
    ///
    /// In layer 0 the number of slots limits it too, because the engine is the first of its routes.
    fn token_capacity(&self, i: usize, count: u32, layer: u32) -> f64 {
        let count = f64::from(count);
        let free = self.engines[i].memory_mb - count * self.shape.layer_mb;
        let token_capacity = (free / count / self.shape.token_layer_mb).max(0.0);
        if layer > 0 {
            return token_capacity;
        }
        let slots = SLOT_UTILISATION * f64::from(self.shape.slots.max(1));
        token_capacity.min(slots * self.shape.typical_tokens)
    }

    /// Part of a layer's cost that depends on its holders' total token capacity.
    fn shortage(&self, token_capacity: f64) -> f64 {
        (token_capacity / self.desired_capacity + SHORTAGE_OFFSET).powi(-3)
    }

    /// Cost of `layer` if its holders have this combined capacity.
    fn cost(&self, layer: usize, capacity: &LayerCapacity) -> f64 {
        // A request holds a slot of its first engine for as long as it runs, so that a shortage in
        // layer 0 leaves the memory of all other engines unused.
        let weight = if layer == 0 {
            self.shape.entry_weight
        } else {
            1.0
        };
        let remaining = (capacity.token_capacity - capacity.largest_capacity).max(0.0);
        let loss = LOSS_COST / f64::from(capacity.largest_holder_layers);
        weight * self.shortage(capacity.token_capacity)
            + loss / (1.0 + remaining / self.half_loss_capacity)
            + SPEED_WEIGHT * capacity.min_step_factor / self.mean_step_factor
    }

    /// Combined capacity of each layer's holders except engine `excluded`, by layer.
    fn layer_capacities(
        &self,
        assignments: &[Option<LayerRange>],
        excluded: Option<usize>,
    ) -> Vec<LayerCapacity> {
        let no_holders = LayerCapacity {
            token_capacity: 0.0,
            largest_capacity: 0.0,
            largest_holder_layers: self.shape.layers,
            min_step_factor: self.max_step_factor,
        };
        let mut out = vec![no_holders; self.shape.layers as usize];
        for i in self.members.iter().filter(|i| Some(**i) != excluded) {
            let Some(range) = assignments[*i] else {
                continue;
            };
            for layer in range.from()..range.to().min(self.shape.layers) {
                let capacity = &mut out[layer as usize];
                *capacity = self.with_engine(capacity, *i, range.len(), layer);
            }
        }
        out
    }

    /// Adds engine `i` to the combined capacity of the engines that hold `layer`.
    ///
    /// `capacity` is their combined capacity without engine `i`. `count` is the number of layers
    /// that engine `i` would hold in all.
    fn with_engine(
        &self,
        capacity: &LayerCapacity,
        i: usize,
        count: u32,
        layer: u32,
    ) -> LayerCapacity {
        let token_capacity = self.token_capacity(i, count, layer);
        let (largest_capacity, largest_holder_layers) =
            if token_capacity > capacity.largest_capacity {
                (token_capacity, count)
            } else {
                (capacity.largest_capacity, capacity.largest_holder_layers)
            };
        LayerCapacity {
            token_capacity: capacity.token_capacity + token_capacity,
            largest_capacity,
            largest_holder_layers,
            min_step_factor: capacity.min_step_factor.min(self.engines[i].step_factor),
        }
    }

    /// Cost of each layer.
    fn costs(&self, capacities: &[LayerCapacity]) -> Vec<f64> {
        let layers = capacities.iter().enumerate();
        layers
            .map(|(layer, capacity)| self.cost(layer, capacity))
            .collect()
    }

    /// Cost of a placement: the sum of the costs of its layers.
    pub(super) fn total(&self, assignments: &[Option<LayerRange>]) -> f64 {
        self.costs(&self.layer_capacities(assignments, None))
            .iter()
            .sum()
    }

    /// Range for engine `i` that lowers the cost of the placement most.
    ///
    /// If `covering` is given, only ranges that include this layer are considered. Returns `None`
    /// if no range has a lower cost than the current one, with the cost of the change included.
    pub(super) fn best_candidate(
        &self,
        assignments: &[Option<LayerRange>],
        i: usize,
        covering: Option<u32>,
    ) -> Option<Candidate> {
        let others = self.layer_capacities(assignments, Some(i));
        let costs_without = self.costs(&others);
        let gain_in = |layer: u32, count: u32| {
            let capacity = &others[layer as usize];
            let with_engine = self.with_engine(capacity, i, count, layer);
            costs_without[layer as usize] - self.cost(layer as usize, &with_engine)
        };
        let held_gain = assignments[i].map_or(0.0, |range| {
            let layers = range.from()..range.to().min(self.shape.layers);
            layers.map(|layer| gain_in(layer, range.len())).sum()
        });
        let mut best: Option<Candidate> = None;
        for count in 1..=self.shape.layer_capacity(&self.engines[i], 0.0) {
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
                if covering
                    .is_some_and(|covering| covering < range.from() || range.to() <= covering)
                {
                    continue;
                }
                let gain = sum - held_gain - reassignment_cost(assignments[i], range);
                if best.is_none_or(|best| gain > best.gain) {
                    best = Some(Candidate { range, gain });
                }
            }
        }
        best.filter(|best| best.gain > 0.0 && Some(best.range) != assignments[i])
    }
}

/// Cost of changing the layers of an engine from `held` to `range`.
fn reassignment_cost(held: Option<LayerRange>, range: LayerRange) -> f64 {
    let Some(held) = held else { return 0.0 };
    let kept = held
        .to()
        .min(range.to())
        .saturating_sub(held.from().max(range.from()));
    LOAD_COST * f64::from(range.len() - kept) + UNLOAD_COST * f64::from(held.len() - kept)
}
