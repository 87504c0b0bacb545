//! Partitions of a model's layers over engines, and the token capacity that they leave.
//!
//! A partition assigns every layer to exactly one engine. The token capacity of an engine is the
//! number of tokens of requests for which it has memory in each of its layers. The balanced
//! capacity is the largest token capacity that all engines can have at once while together they
//! hold the whole model. The step factor of an engine is the time that it takes for one token in
//! one layer, relative to a reference engine. The step time of a partition is the sum over all
//! layers of the step factors of the engines that hold them.

use toucanshelf_core::layers::LayerRange;

use super::{EngineProfile, ModelShape};

/// Minimum token capacity of a partition, as a share of the balanced capacity.
///
/// Requests that wait for a failed engine use up memory however fast the other engines are.
const MIN_CAPACITY_SHARE: f64 = 0.35;
/// Increase of the minimum capacity share per unit of a partition's mean step factor.
///
/// It is added to [`MIN_CAPACITY_SHARE`]. The mean step factor is the time for one token in one
/// layer, averaged over all layers and relative to a reference engine. Requests finish sooner on a
/// faster partition, so it needs less token capacity.
const CAPACITY_SHARE_PER_STEP_FACTOR: f64 = 0.035;
/// Number of token capacities that [`best_partition`] tries.
///
/// They are evenly spaced up to the balanced capacity.
const CAPACITY_STEPS: u32 = 40;
/// Number of bisection steps in the search for the balanced capacity.
const BISECTION_STEPS: u32 = 40;

impl ModelShape {
    /// Largest number of layers that leaves `engine` a token capacity of `tokens`.
    pub(super) fn layer_capacity(&self, engine: &EngineProfile, tokens: f64) -> u32 {
        let per_layer = self.layer_mb + self.token_layer_mb * tokens;
        ((engine.memory_mb / per_layer) as u32).min(self.layers)
    }

    /// Largest token capacity that all engines can have while holding the whole model.
    ///
    /// Returns `None` if their memory is too small for the model even without requests.
    pub(super) fn balanced_token_capacity(&self, engines: &[&EngineProfile]) -> Option<f64> {
        let fits = |tokens: f64| {
            let held: u32 = engines
                .iter()
                .map(|engine| self.layer_capacity(engine, tokens))
                .sum();
            held >= self.layers
        };
        if !fits(0.0) {
            return None;
        }
        let total_memory_mb: f64 = engines.iter().map(|engine| engine.memory_mb).sum();
        let (mut low, mut high) = (
            0.0,
            total_memory_mb / self.token_layer_mb.max(f64::MIN_POSITIVE),
        );
        for _ in 0..BISECTION_STEPS {
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

/// A partition with its step time and token capacity.
#[derive(Debug, Default)]
pub(super) struct Partition {
    /// Index of each engine that holds layers, with the layers.
    pub(super) ranges: Vec<(usize, LayerRange)>,
    /// Step time of the partition.
    step_time: f64,
    /// Token capacity that each engine has at least.
    pub(super) token_capacity: f64,
}

/// Returns the partition with the lowest step time and enough token capacity.
///
/// The slower the partition, the more token capacity it needs. Returns `None` if the engines cannot
/// hold the whole model.
pub(super) fn best_partition(
    shape: &ModelShape,
    engines: &[EngineProfile],
    members: &[usize],
) -> Option<Partition> {
    let refs: Vec<_> = members.iter().map(|i| &engines[*i]).collect();
    let balanced_capacity = shape.balanced_token_capacity(&refs)?;
    let mut order = members.to_vec();
    order.sort_by(|a, b| {
        let (a, b) = (&engines[*a], &engines[*b]);
        a.step_factor
            .total_cmp(&b.step_factor)
            .then(b.memory_mb.total_cmp(&a.memory_mb))
    });
    let layers = f64::from(shape.layers);
    let partitions = (1..=CAPACITY_STEPS).filter_map(|step| {
        let portion = f64::from(step) / f64::from(CAPACITY_STEPS);
        let partition = fastest_first(shape, engines, &order, portion * balanced_capacity)?;
        let min_portion =
            MIN_CAPACITY_SHARE + CAPACITY_SHARE_PER_STEP_FACTOR * partition.step_time / layers;
        (portion >= min_portion || step == CAPACITY_STEPS).then_some(partition)
    });
    partitions.min_by(|a, b| a.step_time.total_cmp(&b.step_time))
}

/// Gives each engine in `order` as many layers as it can hold.
///
/// Each keeps a token capacity of `tokens`. Returns `None` if some layers remain unassigned.
fn fastest_first(
    shape: &ModelShape,
    engines: &[EngineProfile],
    order: &[usize],
    tokens: f64,
) -> Option<Partition> {
    let mut counts = Vec::new();
    let mut remaining = shape.layers;
    for i in order {
        let count = shape.layer_capacity(&engines[*i], tokens).min(remaining);
        remaining -= count;
        counts.push((*i, count));
    }
    if remaining > 0 {
        return None;
    }
    counts.retain(|(_, count)| *count > 0);
    // The last engine gets the layers that the others left, often only a few. It is moved to the
    // front, because other engines can easily replicate a short range of first layers.
    counts.rotate_right(1);
    let mut partition = Partition {
        token_capacity: tokens,
        ..Partition::default()
    };
    let mut from = 0;
    for (i, count) in counts {
        let range = LayerRange::new(from, from + count).ok()?;
        partition.step_time += f64::from(count) * engines[i].step_factor;
        partition.ranges.push((i, range));
        from += count;
    }
    Some(partition)
}

/// Partitions the layers so that engines have about equal token capacity.
///
/// The engines hold ranges in the order of `order`. Returns `None` if the engines cannot hold the
/// whole model.
pub(super) fn balanced_partition(
    shape: &ModelShape,
    engines: &[EngineProfile],
    order: &[usize],
) -> Option<Vec<(usize, LayerRange)>> {
    let refs: Vec<_> = order.iter().map(|i| &engines[*i]).collect();
    let token_capacity = shape.balanced_token_capacity(&refs)?;
    let capacities = refs
        .iter()
        .map(|engine| shape.layer_capacity(engine, token_capacity));
    let mut counts: Vec<_> = capacities.collect();
    let excess = counts.iter().sum::<u32>().checked_sub(shape.layers)?;
    for _ in 0..excess {
        // Together, the engines could hold `excess` layers more than the model has. Each iteration
        // takes one layer from the engine that needs the most time for its layers.
        let step_time = |i: usize| f64::from(counts[i]) * refs[i].step_factor;
        let slowest = (0..counts.len()).max_by(|a, b| step_time(*a).total_cmp(&step_time(*b)))?;
        counts[slowest] -= 1;
    }
    let mut from = 0;
    let mut ranges = Vec::new();
    for (i, count) in order.iter().zip(counts) {
        // An engine without layers gets no range.
        if let Ok(range) = LayerRange::new(from, from + count) {
            ranges.push((*i, range));
        }
        from += count;
    }
    Some(ranges)
}
