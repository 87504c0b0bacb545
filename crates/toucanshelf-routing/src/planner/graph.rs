//! Layer boundaries and the engines that lead from one to another.

use crate::fleet::Fleet;
use crate::planner::{Ask, NoRoute};
use crate::route::EngineKey;

/// An engine that can be entered at a boundary.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// The engine.
    pub engine: EngineKey,
    /// Index of the last boundary that it can run to.
    pub furthest: usize,
}

/// The steps from each boundary that can still lead to the last layer.
#[derive(Clone, Debug)]
pub struct StepGraph {
    /// Layer of each boundary.
    pub boundaries: Vec<u32>,
    /// Steps from each boundary.
    pub steps: Vec<Vec<Step>>,
    /// Whether the last layer can be reached from each boundary.
    pub leads_on: Vec<bool>,
}

impl StepGraph {
    /// Collects the steps over engines that are ready and not to be avoided.
    pub fn new(fleet: &Fleet, ask: &Ask) -> Self {
        let boundaries = fleet.boundaries();
        let mut steps = vec![Vec::new(); boundaries.len()];
        for (key, engine) in fleet.engines() {
            let blocked = ask.avoid.contains(&key) || engine.avoid_until > ask.now;
            if !engine.info.ready || blocked {
                continue;
            }
            for range in &engine.info.usable {
                let at = |layer| boundaries.partition_point(|b| *b < layer);
                let (first, last) = (at(range.from()), at(range.to()));
                for from in steps.iter_mut().take(last).skip(first) {
                    from.push(Step {
                        engine: key,
                        furthest: last,
                    });
                }
            }
        }
        let leads_on = leads_on(&steps);
        Self {
            boundaries,
            steps,
            leads_on,
        }
    }

    /// Steps from `boundary` that can still lead to the last layer, each with its best end.
    pub fn useful_steps(&self, boundary: usize) -> impl Iterator<Item = Step> + '_ {
        self.steps[boundary].iter().filter_map(move |step| {
            let mut ends = (boundary + 1..=step.furthest).rev();
            let furthest = ends.find(|end| self.leads_on[*end])?;
            Some(Step {
                engine: step.engine,
                furthest,
            })
        })
    }

    /// Fails when the last layer can't be reached.
    pub fn check(&self, fleet: &Fleet) -> Result<(), NoRoute> {
        if self.leads_on[0] {
            Ok(())
        } else {
            Err(NoRoute {
                missing: fleet.missing_layers(),
            })
        }
    }
}

fn leads_on(steps: &[Vec<Step>]) -> Vec<bool> {
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
