//! Route of a request over engines that hold parts of a model.
//!
//! An engine may run any part of what it holds, so that copies with unlike borders stand in for
//! each other. The cheapest route runs every layer once and in order and visits no engine twice.

use toucanshelf_core::layers::LayerRange;

/// An engine that may run layers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage<K> {
    /// Key of the engine.
    pub key: K,
    /// Availability zone.
    pub zone: u16,
    /// Layers held.
    pub layers: LayerRange,
    /// Cost of one layer.
    pub layer_cost: f64,
    /// Cost of entering this engine, whatever it runs.
    pub entry_cost: f64,
    /// Cost of beginning a route here, beside that of entering.
    pub first_cost: f64,
}

/// Costs of going from engine to engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HopCosts {
    /// To another engine of the same zone.
    pub same_zone: f64,
    /// To an engine of another zone.
    pub other_zone: f64,
    /// From the caller's zone to a first engine in another zone.
    pub remote_entry: f64,
}

/// One part of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hop<K> {
    /// Key of the engine.
    pub key: K,
    /// Layers that it runs.
    pub layers: LayerRange,
}

/// Best way to have run all layers up to a border.
#[derive(Clone, Copy, Debug)]
struct Step {
    cost: f64,
    /// Stage that ran the layers before the border.
    stage: usize,
    /// Border at which that stage took over, and the step before it.
    entered: u32,
    previous: Option<usize>,
}

/// Cheapest route through `layers` layers for a caller in `zone`.
///
/// None where the stages leave a gap.
pub fn cheapest_route<K: Copy>(
    stages: &[Stage<K>],
    layers: u32,
    zone: u16,
    costs: &HopCosts,
) -> Option<Vec<Hop<K>>> {
    let borders = borders(stages, layers);
    let mut steps: Vec<Step> = Vec::new();
    // Steps that end at each border, one for each stage that can end there.
    let mut ending: Vec<Vec<usize>> = vec![Vec::new(); borders.len()];
    for at in 0..borders.len().saturating_sub(1) {
        for (i, stage) in stages.iter().enumerate() {
            let from = borders[at];
            if stage.layers.from() > from || stage.layers.to() <= from {
                continue;
            }
            let Some((cost, previous)) =
                entry(stages, &steps, &ending[at], stage, zone, from, costs)
            else {
                continue;
            };
            let reached = borders.iter().enumerate().skip(at + 1);
            for (end, to) in reached.take_while(|(_, to)| **to <= stage.layers.to()) {
                let step = Step {
                    cost: cost + f64::from(to - from) * stage.layer_cost,
                    stage: i,
                    entered: from,
                    previous,
                };
                keep_cheapest(&mut steps, &mut ending[end], step);
            }
        }
    }
    let last = ending.last()?.iter().copied();
    let best = last.min_by(|a, b| steps[*a].cost.total_cmp(&steps[*b].cost))?;
    Some(unwind(stages, &steps, best, layers))
}

/// Borders at which a route may change engines, in order.
fn borders<K>(stages: &[Stage<K>], layers: u32) -> Vec<u32> {
    let ends = stages
        .iter()
        .flat_map(|stage| [stage.layers.from(), stage.layers.to()]);
    let mut out: Vec<_> = ends.chain([0, layers]).filter(|at| *at <= layers).collect();
    out.sort_unstable();
    out.dedup();
    out
}

/// Cost of entering `stage` at a border, and the step that leads there.
fn entry<K>(
    stages: &[Stage<K>],
    steps: &[Step],
    ending: &[usize],
    stage: &Stage<K>,
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
    let arrivals = ending.iter().map(|id| {
        let step = &steps[*id];
        let hop = if stages[step.stage].zone == stage.zone {
            costs.same_zone
        } else {
            costs.other_zone
        };
        (step.cost + hop + stage.entry_cost, Some(*id))
    });
    arrivals.min_by(|a, b| a.0.total_cmp(&b.0))
}

/// Adds a step unless the same stage already ends there at a lower cost.
fn keep_cheapest(steps: &mut Vec<Step>, ending: &mut Vec<usize>, step: Step) {
    let known = ending.iter().position(|id| steps[*id].stage == step.stage);
    let id = steps.len();
    match known {
        Some(i) if steps[ending[i]].cost <= step.cost => return,
        // The old step stays in place: later steps may already lead back to it.
        Some(i) => ending[i] = id,
        None => ending.push(id),
    }
    steps.push(step);
}

fn unwind<K: Copy>(stages: &[Stage<K>], steps: &[Step], last: usize, layers: u32) -> Vec<Hop<K>> {
    let mut parts = Vec::new();
    let (mut at, mut to) = (Some(last), layers);
    while let Some(id) = at {
        let step = &steps[id];
        parts.push((step.stage, step.entered, to));
        to = step.entered;
        at = step.previous;
    }
    parts.reverse();
    // An engine that is entered twice holds everything in between and can run it, too.
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
        layers: LayerRange::new(from, to).expect("a step runs at least one layer"),
    });
    hops.collect()
}
