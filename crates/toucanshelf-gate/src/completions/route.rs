//! Planned routes and the engine slots that they reserve.
//!
//! A route lists the engines that run a request. A stage is one of these engines with the range of
//! layers that it runs. A slot is the capacity of an engine for one request.
//!
//! A suspected request is one that may have crashed engines. It runs in isolation, which means on
//! engines that run no other suspected request of this gate.

use std::sync::Arc;

use toucanshelf_core::engine::Hop;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_routing::planner::{NoRoute, RouteRequest};
use toucanshelf_routing::route::{EngineKey, Route};

use super::pipeline::Job;
use crate::fleets::ModelFleet;
use crate::shared::Shared;

/// A route with a reserved request slot on each engine.
///
/// The gate counts the request as in flight at these engines until the value is dropped.
#[derive(Debug)]
pub struct ReservedRoute {
    shared: Arc<Shared>,
    model: Box<str>,
    route: Route,
    /// Engines of the route with their layers, from the first layer to the last.
    pub hops: Vec<Hop>,
    /// Whether the request must not share engines with others suspected of crashing engines.
    ///
    /// This concerns only the suspected requests of the same gate.
    isolated: bool,
}

impl ReservedRoute {
    /// Returns the layers that each stage of the route runs, in order.
    pub fn layers(&self) -> Vec<LayerRange> {
        self.route.layers()
    }

    /// Returns the text form of the route for trace spans.
    pub fn describe(&self) -> String {
        let hops = self
            .hops
            .iter()
            .map(|hop| format!("{}{}", hop.engine, hop.layers));
        hops.collect::<Vec<_>>().join(" -> ")
    }
}

impl Drop for ReservedRoute {
    fn drop(&mut self) {
        let mut fleets = self.shared.fleets();
        let Some(model) = fleets.model(&self.model) else {
            return;
        };
        for stage in self.route.stages() {
            model.fleet.finish(stage.engine);
        }
        if self.isolated {
            for hop in &self.hops {
                model.engines_with_suspects.remove(&hop.engine);
            }
        }
    }
}

/// Chooses a route, if possible without engines that are likely to be unsuitable.
///
/// Three groups of engines are excluded at first: those in zones with an outage, stalled engines,
/// and, if `isolated` is set, those on which other gates prefer to run requests that may have
/// crashed engines. If no route is found, the groups are allowed again one at a time, the last one
/// first. If there is still no route, engines that recently failed other requests may be used too.
///
/// A stalled engine has requests in flight but has delivered no token for some time.
fn choose_route(
    shared: &Shared,
    model: &mut ModelFleet,
    route_request: &RouteRequest,
    isolated: bool,
) -> Result<Route, NoRoute> {
    let mut optional_exclusions = vec![
        model.engines_in_outage(route_request.now),
        model.stalled_engines(route_request.now),
    ];
    if isolated {
        let (rank, gates) = shared.gossip.rank(&shared.settings.name);
        optional_exclusions.push(model.engines_of_other_gates(rank, gates));
    }
    while !optional_exclusions.is_empty() {
        let extra = optional_exclusions.iter().flatten().copied();
        let excluded: Vec<_> = route_request
            .excluded
            .iter()
            .copied()
            .chain(extra)
            .collect();
        optional_exclusions.pop();
        if excluded.len() == route_request.excluded.len() {
            continue;
        }
        let restricted_request = route_request.clone().with_excluded(excluded);
        if let Ok(route) = model
            .planner
            .choose(&model.fleet, &restricted_request, &mut rand::rng())
        {
            return Ok(route);
        }
    }
    if let Ok(route) = model
        .planner
        .choose(&model.fleet, route_request, &mut rand::rng())
    {
        return Ok(route);
    }
    // With the latest possible time, every `avoid_until` is in the past, so the planner may use
    // engines that have just failed other requests. Such an engine is better than no route.
    let unrestricted_request = route_request.clone().with_now(u64::MAX);
    model
        .planner
        .choose(&model.fleet, &unrestricted_request, &mut rand::rng())
}

/// Plans a route for `job` and reserves a slot on each of its engines.
///
/// The route does not use `excluded_engines`. If `isolated` is set, because `job` may have crashed
/// engines, it does not use engines that run another such request of this gate either.
///
/// # Errors
///
/// Fails if the engines can't form a route. The error lists the layers that are missing.
pub fn plan_route(
    shared: &Arc<Shared>,
    job: &Job,
    excluded_engines: &[Box<str>],
    isolated: bool,
) -> Result<ReservedRoute, NoRoute> {
    let mut fleets = shared.fleets();
    let Some(model) = fleets.model(&job.model) else {
        return Err(NoRoute {
            missing: job.all_layers(shared),
        });
    };
    let mut excluded: Vec<EngineKey> = excluded_engines
        .iter()
        .filter_map(|name| model.key(name))
        .collect();
    if isolated {
        excluded.extend(
            model
                .engines_with_suspects
                .iter()
                .filter_map(|name| model.fleet.key(name)),
        );
    }
    let now = shared.now();
    let route_request = RouteRequest::new(shared.settings.zone.clone())
        .with_excluded(excluded)
        .with_now(now)
        .with_prefix(job.prefix_hash);
    let route = choose_route(shared, model, &route_request, isolated)?;
    let mut hops = Vec::new();
    for stage in route.stages() {
        model.fleet.start(stage.engine);
        let engine = model
            .fleet
            .get(stage.engine)
            .expect("the engines of a planned route are in the fleet");
        hops.push(Hop {
            engine: engine.info.name.clone(),
            incarnation: engine.info.incarnation,
            address: engine.info.address,
            layers: stage.layers,
        });
    }
    if isolated {
        model
            .engines_with_suspects
            .extend(hops.iter().map(|hop| hop.engine.clone()));
    }
    let (shared, model) = (Arc::clone(shared), job.model.clone());
    Ok(ReservedRoute {
        shared,
        model,
        route,
        hops,
        isolated,
    })
}
