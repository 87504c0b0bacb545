//! Partitions of a model's layers over engines, and the token capacity that they leave.

use toucanshelf_core::layers::LayerRange;

use super::{EngineProfile, ModelShape};

/// Minimum token capacity of a partition, as a share of the balanced capacity.
///
/// Requests that wait for a failed engine accumulate regardless of how fast the others are.
const MIN_CAPACITY_SHARE: f64 = 0.35;
/// Additional share of the balanced capacity for each unit of the mean step factor.
///
/// Requests finish sooner on a faster partition, so it needs less capacity.
const CAPACITY_SHARE_PER_STEP_FACTOR: f64 = 0.035;
/// Number of token capacities for which a partition is computed and compared.
///
/// They are evenly spaced up to the balanced token capacity, the largest that all engines can have
/// while they hold the whole model.
const CAPACITY_STEPS: u32 = 40;
/// Number of bisection steps in the search for the balanced token capacity.
const BISECTION_STEPS: u32 = 40;

impl ModelShape {
    /// Number of layers that `engine` can hold with memory for `tokens` tokens.
    pub(super) fn layer_capacity(&self, engine: &EngineProfile, tokens: f64) -> u32 {
        let per_layer = self.layer_mb + self.token_layer_mb * tokens;
        ((engine.memory_mb / per_layer) as u32).min(self.layers)
    }

    /// Largest token capacity that all engines can have while holding the whole model.
    ///
    /// Returns `None` if they cannot hold it even without requests.
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

/// An assignment of every layer to exactly one engine.
#[derive(Debug, Default)]
pub(super) struct Partition {
    /// Indices of the engines with their layers.
    pub(super) ranges: Vec<(usize, LayerRange)>,
    /// Time of a decoding step, relative to one layer at step factor 1.
    step_time: f64,
    /// Tokens that each engine can keep in memory.
    pub(super) token_capacity: f64,
}

/// Returns the fastest partition that leaves enough token capacity for its step time.
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

/// Assigns layers to the engines in `order`, each with capacity for `tokens` tokens.
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
    // The last engine holds the remaining layers, often only a few. It gets the first layers of the
    // model, because other engines can easily replicate a short first range.
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

/// Partitions the layers over the engines in `order` with about equal token capacity.
///
/// Returns `None` if the engines cannot hold the whole model.
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
        // Each excess layer is taken from the engine with the longest step time.
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
