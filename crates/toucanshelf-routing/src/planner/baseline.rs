//! Simple planners that serve as baselines for the flow planner.

use rand::{Rng, RngExt as _};

use super::graph::{Step, StepGraph};
use super::{NoRoute, Planner, RouteRequest};
use crate::fleet::Fleet;
use crate::route::{Route, Stage};
use toucanshelf_core::layers::LayerRange;

/// Chooses uniformly among the engines that can continue the route.
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

    fn choose(
        &mut self,
        fleet: &Fleet,
        request: &RouteRequest,
        rng: &mut dyn Rng,
    ) -> Result<Route, NoRoute> {
        build_route(fleet, request, |steps| {
            steps[rng.random_range(0..steps.len())]
        })
    }
}

/// Chooses the engine with the fewest requests in flight from this gate.
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

    fn choose(
        &mut self,
        fleet: &Fleet,
        request: &RouteRequest,
        rng: &mut dyn Rng,
    ) -> Result<Route, NoRoute> {
        build_route(fleet, request, |steps| {
            let load = |step: &Step| fleet.get(step.engine).map_or(u32::MAX, |e| e.in_flight);
            let least = steps
                .iter()
                .map(load)
                .min()
                .expect("a boundary that reaches the end has a step");
            let ties: Vec<_> = steps.iter().filter(|step| load(step) == least).collect();
            *ties[rng.random_range(0..ties.len())]
        })
    }
}

/// Builds a route by selecting one engine after another from the first layer.
fn build_route(
    fleet: &Fleet,
    request: &RouteRequest,
    mut select: impl FnMut(&[Step]) -> Step,
) -> Result<Route, NoRoute> {
    let graph = StepGraph::new(fleet, request);
    graph.check(fleet)?;
    let mut stages = Vec::new();
    let mut boundary = 0;
    while boundary + 1 < graph.boundaries.len() {
        let steps: Vec<_> = graph.viable_steps(boundary).collect();
        let step = select(&steps);
        let (from, to) = (graph.boundaries[boundary], graph.boundaries[step.furthest]);
        let layers = LayerRange::new(from, to).expect("boundaries are in ascending order");
        stages.push(Stage {
            engine: step.engine,
            layers,
        });
        boundary = step.furthest;
    }
    Ok(Route::from_stages(fleet.layers(), stages).expect("the stages cover all layers in order"))
}
