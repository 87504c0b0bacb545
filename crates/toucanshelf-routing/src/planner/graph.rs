//! Graph of the layer boundaries and the engines between them.

use crate::fleet::Fleet;
use crate::planner::{NoRoute, RouteRequest};
use crate::route::EngineKey;

/// An engine that can be entered at a boundary.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Key of the engine.
    pub engine: EngineKey,
    /// Index of the last boundary that the engine can run to.
    pub furthest: usize,
}

/// Steps from each layer boundary to later ones.
#[derive(Clone, Debug)]
pub struct StepGraph {
    /// Layer of each boundary.
    pub boundaries: Vec<u32>,
    /// Steps that start at each boundary.
    pub steps: Vec<Vec<Step>>,
    /// Whether the last layer can be reached from each boundary.
    pub reaches_end: Vec<bool>,
}

impl StepGraph {
    /// Collects the steps over engines that are ready, not excluded and not avoided.
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

    /// Returns the steps from `boundary` that can be part of a complete route.
    ///
    /// Each returned step ends at the furthest boundary that its engine can run to and from which
    /// the last layer can be reached.
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

    /// Checks that the last layer can be reached from the first.
    ///
    /// # Errors
    ///
    /// Fails with the missing layers when it cannot.
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

/// Computes from which boundaries the last layer can be reached.
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
