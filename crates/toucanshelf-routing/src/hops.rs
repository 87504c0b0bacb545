//! Cheapest route of a request over engines that hold parts of a model.
//!
//! An engine may run any part of the range that it holds, so engines with different but
//! overlapping ranges can replace each other. The cheapest route runs every layer once and in
//! order and visits no engine twice.

use toucanshelf_core::layers::LayerRange;

/// An engine that may become a stage of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateStage<K> {
    /// Key of the engine.
    pub key: K,
    /// Availability zone.
    pub zone: u16,
    /// Layers that the engine holds.
    pub layers: LayerRange,
    /// Cost of running one layer.
    pub layer_cost: f64,
    /// Cost of entering this engine, independent of the layers that it runs.
    pub entry_cost: f64,
    /// Additional cost if this engine is the first of a route.
    pub first_cost: f64,
}

/// Costs of passing a request from one engine to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HopCosts {
    /// Cost of a hop to another engine in the same zone.
    pub same_zone: f64,
    /// Cost of a hop to an engine in another zone.
    pub other_zone: f64,
    /// Cost of starting at an engine outside the caller's zone.
    pub remote_entry: f64,
}

/// An engine of a route with the layers that it runs there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hop<K> {
    /// Key of the engine, as given in its [`CandidateStage`].
    pub key: K,
    /// Layers that the engine runs.
    pub layers: LayerRange,
}

/// Cheapest route over the layers below a boundary, for one last stage.
#[derive(Clone, Copy, Debug)]
struct PartialRoute {
    cost: f64,
    /// Index of the last stage.
    stage: usize,
    /// First layer that the last stage runs.
    last_from: u32,
    /// Index of the partial route before the last stage.
    previous: Option<usize>,
}

/// Returns the cheapest route through `layers` layers for a caller in `zone`.
///
/// Returns `None` if any layer is held by no stage.
pub fn cheapest_route<K: Copy>(
    stages: &[CandidateStage<K>],
    layers: u32,
    zone: u16,
    costs: &HopCosts,
) -> Option<Vec<Hop<K>>> {
    let boundaries = boundaries(stages, layers);
    let mut partials: Vec<PartialRoute> = Vec::new();
    // Indices of the partial routes that end at each boundary, one for each possible last stage.
    let mut partials_at: Vec<Vec<usize>> = vec![Vec::new(); boundaries.len()];
    for boundary in 0..boundaries.len().saturating_sub(1) {
        for (i, stage) in stages.iter().enumerate() {
            let from = boundaries[boundary];
            if stage.layers.from() > from || stage.layers.to() <= from {
                continue;
            }
            let Some((cost, previous)) = cheapest_entry(
                stages,
                &partials,
                &partials_at[boundary],
                stage,
                zone,
                from,
                costs,
            ) else {
                continue;
            };
            let reachable = boundaries.iter().enumerate().skip(boundary + 1);
            for (end, to) in reachable.take_while(|(_, to)| **to <= stage.layers.to()) {
                let partial = PartialRoute {
                    cost: cost + f64::from(to - from) * stage.layer_cost,
                    stage: i,
                    last_from: from,
                    previous,
                };
                keep_cheapest(&mut partials, &mut partials_at[end], partial);
            }
        }
    }
    let last = partials_at.last()?.iter().copied();
    let best = last.min_by(|a, b| partials[*a].cost.total_cmp(&partials[*b].cost))?;
    Some(reconstruct_hops(stages, &partials, best, layers))
}

/// Layer boundaries at which a route may change engines, in ascending order.
fn boundaries<K>(stages: &[CandidateStage<K>], layers: u32) -> Vec<u32> {
    let ends = stages
        .iter()
        .flat_map(|stage| [stage.layers.from(), stage.layers.to()]);
    let mut out: Vec<_> = ends
        .chain([0, layers])
        .filter(|boundary| *boundary <= layers)
        .collect();
    out.sort_unstable();
    out.dedup();
    out
}

/// Returns the lowest cost of entering `stage` at `from`, and the route before it.
///
/// The cost includes that of the partial route, which is given by its index.
fn cheapest_entry<K>(
    stages: &[CandidateStage<K>],
    partials: &[PartialRoute],
    partials_at: &[usize],
    stage: &CandidateStage<K>,
    zone: u16,
    from: u32,
    costs: &HopCosts,
) -> Option<(f64, Option<usize>)> {
    if from == 0 {
        let remote = if stage.zone == zone {
            0.0
        } else {
            costs.remote_entry
        };
        return Some((remote + stage.entry_cost + stage.first_cost, None));
    }
    let arrivals = partials_at.iter().map(|id| {
        let partial = &partials[*id];
        let hop = if stages[partial.stage].zone == stage.zone {
            costs.same_zone
        } else {
            costs.other_zone
        };
        (partial.cost + hop + stage.entry_cost, Some(*id))
    });
    arrivals.min_by(|a, b| a.0.total_cmp(&b.0))
}

/// Adds a partial route unless the same stage already ends there as cheaply.
fn keep_cheapest(
    partials: &mut Vec<PartialRoute>,
    partials_at: &mut Vec<usize>,
    partial: PartialRoute,
) {
    let known = partials_at
        .iter()
        .position(|id| partials[*id].stage == partial.stage);
    let id = partials.len();
    match known {
        Some(i) if partials[partials_at[i]].cost <= partial.cost => return,
        // The old entry stays in `partials`, because later ones may refer to it.
        Some(i) => partials_at[i] = id,
        None => partials_at.push(id),
    }
    partials.push(partial);
}

/// Follows the partial routes back from the last and returns the hops.
fn reconstruct_hops<K: Copy>(
    stages: &[CandidateStage<K>],
    partials: &[PartialRoute],
    last: usize,
    layers: u32,
) -> Vec<Hop<K>> {
    let mut parts = Vec::new();
    let (mut current, mut to) = (Some(last), layers);
    while let Some(id) = current {
        let partial = &partials[id];
        parts.push((partial.stage, partial.last_from, to));
        to = partial.last_from;
        current = partial.previous;
    }
    parts.reverse();
    // An engine that is entered twice also holds all layers in between, so one hop runs them all.
    let mut merged: Vec<(usize, u32, u32)> = Vec::new();
    for (stage, from, to) in parts {
        if let Some(i) = merged.iter().position(|part| part.0 == stage) {
            merged.truncate(i + 1);
            merged[i].2 = to;
        } else {
            merged.push((stage, from, to));
        }
    }
    let hops = merged.into_iter().map(|(stage, from, to)| Hop {
        key: stages[stage].key,
        layers: LayerRange::new(from, to).expect("a hop runs at least one layer"),
    });
    hops.collect()
}
