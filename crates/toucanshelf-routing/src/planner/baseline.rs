//! Simple planners that serve as baselines for the flow planner.
//!
//! Both build a route from the first layer on. At each layer they select one engine among those
//! from which the route can be completed, and let it run as many layers as possible.

use rand::{Rng, RngExt as _};

use super::graph::{Step, StepGraph};
use super::{NoRoute, Planner, RouteRequest};
use crate::fleet::Fleet;
use crate::route::{Route, Stage};
use toucanshelf_core::layers::LayerRange;

/// Continues the route at a random engine, each with equal probability.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomPlanner;

impl RandomPlanner {
    /// Creates a planner that selects engines at random.
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

/// Continues the route at the engine with the fewest requests of this gate.
///
/// Ties are resolved at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoadedPlanner;

impl LeastLoadedPlanner {
    /// Creates a planner that selects the engines with the fewest requests.
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

/// Builds a route from the first layer on, with engines chosen by `select`.
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
