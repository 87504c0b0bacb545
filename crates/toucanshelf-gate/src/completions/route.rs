//! Planned routes with the room they take up in the fleet.

use std::sync::Arc;

use toucanshelf_core::engine::Hop;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_routing::planner::{NoRoute, RouteRequest};
use toucanshelf_routing::route::{EngineKey, Route};

use super::pipeline::Job;
use crate::fleets::ModelFleet;
use crate::shared::Shared;

/// A route whose engines count the request as in flight until it is dropped.
#[derive(Debug)]
pub struct PlannedRoute {
    shared: Arc<Shared>,
    model: Box<str>,
    route: Route,
    /// Engines from the first layer to the last.
    pub hops: Vec<Hop>,
    /// Whether no other suspect may use these engines.
    alone: bool,
}

impl PlannedRoute {
    /// Layers of each engine, in order.
    pub fn layers(&self) -> Vec<LayerRange> {
        self.route.layers()
    }

    /// Text for logs and spans.
    pub fn describe(&self) -> String {
        let hops = self
            .hops
            .iter()
            .map(|hop| format!("{}{}", hop.engine, hop.layers));
        hops.collect::<Vec<_>>().join(" -> ")
    }
}

impl Drop for PlannedRoute {
    fn drop(&mut self) {
        let mut fleets = self.shared.fleets();
        let Some(model) = fleets.model(&self.model) else {
            return;
        };
        for stage in self.route.stages() {
            model.fleet.finish(stage.engine);
        }
        if self.alone {
            for hop in &self.hops {
                model.engines_with_suspects.remove(&hop.engine);
            }
        }
    }
}

/// Chooses a route, going without the least needful precautions where there is no other.
fn choose(
    shared: &Shared,
    model: &mut ModelFleet,
    ask: &RouteRequest,
    alone: bool,
) -> Result<Route, NoRoute> {
    let mut precautions = vec![
        model.engines_in_outage(ask.now),
        model.stalled_engines(ask.now),
    ];
    if alone {
        let (rank, gates) = shared.gossip.rank(&shared.settings.name);
        precautions.push(model.engines_of_other_gates(rank, gates));
    }
    while !precautions.is_empty() {
        let extra = precautions.iter().flatten().copied();
        let avoid: Vec<_> = ask.excluded.iter().copied().chain(extra).collect();
        precautions.pop();
        if avoid.len() == ask.excluded.len() {
            continue;
        }
        let careful = ask.clone().with_excluded(avoid);
        if let Ok(route) = model
            .planner
            .choose(&model.fleet, &careful, &mut rand::rng())
        {
            return Ok(route);
        }
    }
    if let Ok(route) = model.planner.choose(&model.fleet, ask, &mut rand::rng()) {
        return Ok(route);
    }
    // Better an engine that failed another request a moment ago than none.
    let desperate = ask.clone().with_now(u64::MAX);
    model
        .planner
        .choose(&model.fleet, &desperate, &mut rand::rng())
}

/// Chooses a route for `job` around the engines called `avoid`.
pub fn plan(
    shared: &Arc<Shared>,
    job: &Job,
    avoid: &[Box<str>],
    alone: bool,
) -> Result<PlannedRoute, NoRoute> {
    let mut fleets = shared.fleets();
    let Some(model) = fleets.model(&job.model) else {
        return Err(NoRoute {
            missing: job.all_layers(shared),
        });
    };
    let mut avoid: Vec<EngineKey> = avoid.iter().filter_map(|name| model.key(name)).collect();
    if alone {
        avoid.extend(
            model
                .engines_with_suspects
                .iter()
                .filter_map(|name| model.fleet.key(name)),
        );
    }
    let now = shared.now();
    let ask = RouteRequest::new(shared.settings.zone.clone())
        .with_excluded(avoid)
        .with_now(now)
        .with_prefix(job.prefix);
    let route = choose(shared, model, &ask, alone)?;
    let mut hops = Vec::new();
    for stage in route.stages() {
        model.fleet.start(stage.engine);
        let engine = model
            .fleet
            .get(stage.engine)
            .expect("a planned engine is in the fleet");
        hops.push(Hop {
            engine: engine.info.name.clone(),
            incarnation: engine.info.incarnation,
            address: engine.info.address,
            layers: stage.layers,
        });
    }
    if alone {
        model
            .engines_with_suspects
            .extend(hops.iter().map(|hop| hop.engine.clone()));
    }
    let (shared, model) = (Arc::clone(shared), job.model.clone());
    Ok(PlannedRoute {
        shared,
        model,
        route,
        hops,
        alone,
    })
}
