//! Baselines against which the flow planner is measured.

use rand::{Rng, RngExt as _};

use super::graph::{Step, StepGraph};
use super::{Ask, NoRoute, Planner};
use crate::fleet::Fleet;
use crate::route::{Route, Stage};
use toucanshelf_core::layers::LayerRange;

/// Picks any engine that leads on.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomPlanner;

impl RandomPlanner {
    /// Creates the planner.
    pub fn new() -> Self {
        Self
    }
}

impl Planner for RandomPlanner {
    fn name(&self) -> &'static str {
        "random"
    }

    fn choose(&mut self, fleet: &Fleet, ask: &Ask, rng: &mut dyn Rng) -> Result<Route, NoRoute> {
        walk(fleet, ask, |steps| steps[rng.random_range(0..steps.len())])
    }
}

/// Picks the engine with the fewest of this gate's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoadedPlanner;

impl LeastLoadedPlanner {
    /// Creates the planner.
    pub fn new() -> Self {
        Self
    }
}

impl Planner for LeastLoadedPlanner {
    fn name(&self) -> &'static str {
        "least-loaded"
    }

    fn choose(&mut self, fleet: &Fleet, ask: &Ask, rng: &mut dyn Rng) -> Result<Route, NoRoute> {
        walk(fleet, ask, |steps| {
            let load = |step: &Step| fleet.get(step.engine).map_or(u32::MAX, |e| e.in_flight);
            let least = steps.iter().map(load).min().expect("there is a step");
            let ties: Vec<_> = steps.iter().filter(|step| load(step) == least).collect();
            *ties[rng.random_range(0..ties.len())]
        })
    }
}

fn walk(fleet: &Fleet, ask: &Ask, mut pick: impl FnMut(&[Step]) -> Step) -> Result<Route, NoRoute> {
    let graph = StepGraph::new(fleet, ask);
    graph.check(fleet)?;
    let mut stages = Vec::new();
    let mut at = 0;
    while at + 1 < graph.boundaries.len() {
        let steps: Vec<_> = graph.useful_steps(at).collect();
        let step = pick(&steps);
        let (from, to) = (graph.boundaries[at], graph.boundaries[step.furthest]);
        let layers = LayerRange::new(from, to).expect("boundaries ascend");
        stages.push(Stage {
            engine: step.engine,
            layers,
        });
        at = step.furthest;
    }
    Ok(Route::tile(fleet.layers(), stages).expect("steps follow each other to the last layer"))
}
