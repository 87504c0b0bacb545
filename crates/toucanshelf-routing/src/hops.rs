//! Cheapest route of a request over engines that hold parts of a model.
//!
//! An engine may run any part of the range that it holds, so engines with different but overlapping
//! ranges can replace each other. A route runs every layer once and in order and visits no engine
//! twice.
//!
//! Costs have no unit; only their ratios matter. A route may change engines only at a boundary,
//! which is a layer at which the range of some engine starts or ends.

use toucanshelf_core::layers::LayerRange;

/// An engine that may become a stage of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateStage<K> {
    /// Key of the engine.
    pub key: K,
    /// Number of the engine's availability zone.
    pub zone: u16,
    /// Layers that the engine holds.
    pub layers: LayerRange,
    /// Cost of running one layer on this engine.
    pub layer_cost: f64,
    /// Cost of entering this engine, independent of the layers that it runs.
    pub entry_cost: f64,
    /// Cost added if this engine is the first of a route; `None` if it can't be the first.
    pub first_cost: Option<f64>,
}

/// Costs of passing a request to an engine, by zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HopCosts {
    /// Cost of passing a request to another engine in the same zone.
    pub same_zone: f64,
    /// Cost of passing a request to an engine in another zone.
    pub other_zone: f64,
    /// Cost of starting a route at an engine outside the caller's zone.
    pub remote_entry: f64,
}

/// An engine of a route with the layers that it runs on this route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hop<K> {
    /// Key of the engine, as given in its [`CandidateStage`].
    pub key: K,
    /// Layers that the engine runs.
    pub layers: LayerRange,
}

/// Cheapest route from layer 0 to one boundary, for one last engine.
#[derive(Clone, Copy, Debug)]
struct PartialRoute {
    cost: f64,
    /// Last engine of this partial route, as an index into the candidate stages.
    ///
    /// The candidate stages are the `stages` argument of [`cheapest_route`].
    stage: usize,
    /// First layer that the last engine runs.
    last_from: u32,
    /// Index of the partial route that the last engine continues.
    ///
    /// `None` if the last engine is also the first.
    previous: Option<usize>,
}

/// Returns the cheapest route through `layers` layers for a caller in `zone`.
///
/// Returns `None` if some layer is held by no candidate stage.
pub fn cheapest_route<K: Copy>(
    stages: &[CandidateStage<K>],
    layers: u32,
    zone: u16,
    costs: &HopCosts,
) -> Option<Vec<Hop<K>>> {
    let boundaries = boundaries(stages, layers);
    let mut partials: Vec<PartialRoute> = Vec::new();
    // For each boundary, the indices of the partial routes that end there, one per last engine.
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

/// Layers at which a route may change engines, in ascending order.
///
/// The list includes 0 and the number of layers.
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

/// Returns the lowest cost of reaching layer `from` and passing the request to `stage`.
///
/// The cost of the layers that `stage` runs is not included. Also returns the index of the partial
/// route that `stage` continues, or `None` at layer 0.
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
        return Some((remote + stage.entry_cost + stage.first_cost?, None));
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

/// Adds a partial route unless a known one costs no more.
///
/// Only partial routes that end at the same boundary with the same last engine are compared.
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
        // The replaced partial route stays in `partials`: `previous` of others may refer to it.
        Some(i) => partials_at[i] = id,
        None => partials_at.push(id),
    }
    partials.push(partial);
}

/// Returns the hops of the route whose last partial route is `last`.
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
    // If an engine occurs twice, it also holds all layers between its two parts. It then runs these
    // layers too, in one hop, so that the route visits no engine twice.
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
