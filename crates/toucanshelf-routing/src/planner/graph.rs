//! Graph of the ways in which engines can run a model's layers.
//!
//! Its nodes are boundaries: the layers at which the range of some engine starts or ends, including
//! 0 and the number of layers. Its edges are steps: an engine runs the layers from one boundary to
//! a later one. A boundary reaches the end if steps lead from it to the end of the last layer.

use crate::fleet::Fleet;
use crate::planner::{NoRoute, RouteRequest};
use crate::route::EngineKey;

/// An engine that can run the layers that start at a boundary.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Key of the engine.
    pub engine: EngineKey,
    /// Index of the last boundary up to which the engine can run the layers.
    pub furthest: usize,
}

/// All boundaries of a fleet, with the steps from each of them.
#[derive(Clone, Debug)]
pub struct StepGraph {
    /// Layers that are boundaries, in ascending order.
    pub boundaries: Vec<u32>,
    /// Steps that start at each boundary, by its index.
    pub steps: Vec<Vec<Step>>,
    /// Whether engines can run all layers from each boundary to the last layer.
    ///
    /// The index is that of the boundary.
    pub reaches_end: Vec<bool>,
}

impl StepGraph {
    /// Builds the graph of the engines that are ready, not excluded and not avoided.
    pub fn new(fleet: &Fleet, request: &RouteRequest) -> Self {
        let boundaries = fleet.boundaries();
        let mut steps = vec![Vec::new(); boundaries.len()];
        for (key, engine) in fleet.engines() {
            let blocked = request.excluded.contains(&key) || engine.avoid_until > request.now;
            if !engine.info.ready || blocked {
                continue;
            }
            for range in &engine.info.usable {
                let index_of = |layer| boundaries.partition_point(|b| *b < layer);
                let (first, last) = (index_of(range.from()), index_of(range.to()));
                for boundary_steps in steps.iter_mut().take(last).skip(first) {
                    boundary_steps.push(Step {
                        engine: key,
                        furthest: last,
                    });
                }
            }
        }
        let reaches_end = reaches_end(&steps);
        Self {
            boundaries,
            steps,
            reaches_end,
        }
    }

    /// Returns the steps from `boundary` that can be continued to the last layer.
    ///
    /// `boundary` is an index. `furthest` of each returned step is lowered, if necessary, to the
    /// last boundary from which other engines can run the remaining layers.
    pub fn viable_steps(&self, boundary: usize) -> impl Iterator<Item = Step> + '_ {
        self.steps[boundary].iter().filter_map(move |step| {
            let mut ends = (boundary + 1..=step.furthest).rev();
            let furthest = ends.find(|end| self.reaches_end[*end])?;
            Some(Step {
                engine: step.engine,
                furthest,
            })
        })
    }

    /// Checks that engines can run all layers, from the first to the last.
    ///
    /// # Errors
    ///
    /// Fails if they can't. The error lists the layers that no ready engine of `fleet` may run.
    pub fn check(&self, fleet: &Fleet) -> Result<(), NoRoute> {
        if self.reaches_end[0] {
            Ok(())
        } else {
            Err(NoRoute {
                missing: fleet.missing_layers(),
            })
        }
    }
}

/// Computes whether engines can run all layers from each boundary to the last layer.
fn reaches_end(steps: &[Vec<Step>]) -> Vec<bool> {
    let last = steps.len() - 1;
    let mut out = vec![false; steps.len()];
    out[last] = true;
    for boundary in (0..last).rev() {
        out[boundary] = steps[boundary]
            .iter()
            .any(|step| (boundary + 1..=step.furthest).any(|end| out[end]));
    }
    out
}
