//! Routes by maximum flow.
//!
//! The placement graph has a node for each layer boundary in each zone. Engines are edges along
//! the layers, limited by their tokens per second; links are edges between zones, limited by
//! what they can carry. The maximum flow from the first layer to the last is the throughput that
//! the hardware allows, and the flow over each engine is the share of traffic it should get.

use rand::{Rng, RngExt as _};
use toucanshelf_core::layers::LayerRange;

use super::graph::StepGraph;
use super::{Ask, NoRoute, Planner};
use crate::fleet::Fleet;
use crate::flow::{Edge, FlowGraph, Node, UNLIMITED};
use crate::route::{EngineKey, Route, Stage};

/// Milli-units in which capacities in tokens per second are counted.
const MILLI: f64 = 1_000.0;
/// Milliseconds of link delay that weigh as much as doubling an engine's load.
const DELAY_SCALE_MS: f64 = 2.0;
/// Load that a cached prefix makes up for, in requests.
const PREFIX_BONUS: f64 = 0.5;
/// Share of an engine's capacity that it counts with when the flow passes it by.
// Such an engine still takes over when the others have failed or are full.
const SPARE_SHARE: f64 = 0.02;

/// A way through one engine, with its flow.
#[derive(Clone, Copy, Debug)]
struct Lane {
    engine: EngineKey,
    zone: usize,
    end: usize,
    tokens_per_s: f64,
}

/// Shares of traffic for one generation of a fleet.
#[derive(Clone, Debug)]
struct Plan {
    generation: u64,
    avoid_ends: u64,
    boundaries: Vec<u32>,
    zones: Vec<Box<str>>,
    /// Lanes from each boundary.
    lanes: Vec<Vec<Lane>>,
    /// Link delay between zones, in milliseconds.
    delay_ms: Vec<Vec<f64>>,
    bound: f64,
}

/// Chooses routes by maximum flow, corrected by the requests in flight.
#[derive(Clone, Debug, Default)]
pub struct FlowPlanner {
    plan: Option<Plan>,
}

impl FlowPlanner {
    /// Creates the planner.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tokens per second that the hardware allows.
    pub fn bound(&mut self, fleet: &Fleet, now: u64) -> f64 {
        self.plan(fleet, now).bound
    }

    /// Tokens per second that each engine should get, by name.
    pub fn shares(&mut self, fleet: &Fleet, now: u64) -> Vec<(Box<str>, f64)> {
        let plan = self.plan(fleet, now);
        let share = |key: EngineKey| {
            let lanes = plan
                .lanes
                .iter()
                .flatten()
                .filter(|lane| lane.engine == key);
            lanes.map(|lane| lane.tokens_per_s).sum()
        };
        fleet
            .engines()
            .map(|(key, engine)| (engine.info.name.clone(), share(key)))
            .collect()
    }

    fn plan(&mut self, fleet: &Fleet, now: u64) -> &Plan {
        let current = self
            .plan
            .as_ref()
            .is_some_and(|plan| plan.generation == fleet.generation() && now < plan.avoid_ends);
        if !current {
            self.plan = Some(Plan::new(fleet, now));
        }
        self.plan.as_ref().expect("the plan has just been made")
    }
}

impl Planner for FlowPlanner {
    fn name(&self) -> &'static str {
        "flow"
    }

    fn choose(&mut self, fleet: &Fleet, ask: &Ask, rng: &mut dyn Rng) -> Result<Route, NoRoute> {
        let plan = self.plan(fleet, ask.now);
        // Without exclusions any lane leads on; with them the graph tells which still do.
        let graph = if ask.avoid.is_empty() {
            None
        } else {
            Some(StepGraph::new(fleet, ask))
        };
        if let Some(graph) = &graph {
            graph.check(fleet)?;
        }
        let mut stages = Vec::new();
        let mut at = 0;
        let mut zone = plan.zones.iter().position(|zone| *zone == ask.zone);
        while at + 1 < plan.boundaries.len() {
            let Some(lane) = plan.best_lane(fleet, ask, graph.as_ref(), at, zone, rng) else {
                return Err(NoRoute {
                    missing: fleet.missing_layers(),
                });
            };
            let (from, to) = (plan.boundaries[at], plan.boundaries[lane.end]);
            let layers = LayerRange::new(from, to).expect("lanes ascend");
            stages.push(Stage {
                engine: lane.engine,
                layers,
            });
            at = lane.end;
            zone = Some(lane.zone);
        }
        Ok(Route::tile(fleet.layers(), stages).expect("lanes follow each other to the last layer"))
    }
}

impl Plan {
    fn new(fleet: &Fleet, now: u64) -> Self {
        let ask = Ask::new("").with_now(now);
        let graph = StepGraph::new(fleet, &ask);
        let mut zones: Vec<_> = fleet.engines().map(|(_, e)| e.info.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        let (lanes, bound) = solve(fleet, &graph, &zones);
        let delay = |a: &str, b: &str| fleet.link(a, b).delay_ms;
        let row = |a: &str| zones.iter().map(|b| delay(a, b)).collect();
        let delay_ms = zones.iter().map(|zone| row(zone)).collect();
        let avoided = fleet.engines().map(|(_, engine)| engine.avoid_until);
        let avoid_ends = avoided
            .filter(|until| *until > now)
            .min()
            .unwrap_or(u64::MAX);
        let generation = fleet.generation();
        Self {
            generation,
            avoid_ends,
            boundaries: graph.boundaries,
            zones,
            lanes,
            delay_ms,
            bound,
        }
    }

    /// Lane with the least load for its share, where delay and a cached prefix count as load.
    fn best_lane(
        &self,
        fleet: &Fleet,
        ask: &Ask,
        graph: Option<&StepGraph>,
        at: usize,
        zone: Option<usize>,
        rng: &mut dyn Rng,
    ) -> Option<Lane> {
        let mut best: Option<(f64, Lane)> = None;
        for lane in &self.lanes[at] {
            if ask.avoid.contains(&lane.engine) || graph.is_some_and(|g| !g.leads_on[lane.end]) {
                continue;
            }
            let Some(engine) = fleet.get(lane.engine) else {
                continue;
            };
            let mut load = f64::from(engine.in_flight) + 1.0;
            if at == 0 && ask.prefix != 0 && prefers(lane.engine, &self.lanes[0], ask.prefix) {
                load -= PREFIX_BONUS;
            }
            let delay = zone.map_or(0.0, |zone| self.delay_ms[zone][lane.zone]);
            // A little noise keeps gates from moving in step.
            let noise = rng.random_range(0.99..1.01);
            let score = load / lane.tokens_per_s * (1.0 + delay / DELAY_SCALE_MS) * noise;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, *lane));
            }
        }
        best.map(|(_, lane)| lane)
    }
}

/// Whether rendezvous hashing puts the prefix on this engine.
fn prefers(engine: EngineKey, lanes: &[Lane], prefix: u64) -> bool {
    use std::hash::{BuildHasher as _, BuildHasherDefault, DefaultHasher};
    let hasher = BuildHasherDefault::<DefaultHasher>::new();
    let weight = |key: EngineKey| hasher.hash_one((key, prefix));
    let winner = lanes.iter().max_by_key(|lane| weight(lane.engine));
    winner.is_some_and(|lane| lane.engine == engine)
}

struct EngineEdges {
    key: EngineKey,
    zone: usize,
    limit: Edge,
    enter: Vec<(usize, Edge)>,
    leave: Vec<(usize, Edge)>,
}

/// Solves the flow, zone-local lanes first, and splits it into lanes.
fn solve(fleet: &Fleet, graph: &StepGraph, zones: &[Box<str>]) -> (Vec<Vec<Lane>>, f64) {
    let last = graph.boundaries.len() - 1;
    let mut flow = FlowGraph::new();
    let source = flow.add_node();
    let sink = flow.add_node();
    let nodes: Vec<Vec<Node>> = (0..=last)
        .map(|_| zones.iter().map(|_| flow.add_node()).collect())
        .collect();
    for (first, end) in nodes[0].iter().zip(&nodes[last]) {
        flow.add_edge(source, *first, UNLIMITED);
        flow.add_edge(*end, sink, UNLIMITED);
    }
    let mut engines = Vec::new();
    for (key, engine) in fleet.engines() {
        let ranges = ranges_of(graph, key);
        if ranges.is_empty() {
            continue;
        }
        let zone = zones.partition_point(|zone| *zone < engine.info.zone);
        let capacity = (engine.info.tokens_per_s * MILLI) as u64;
        let (inner, outer) = (flow.add_node(), flow.add_node());
        let limit = flow.add_edge(inner, outer, capacity);
        let mut edges = EngineEdges {
            key,
            zone,
            limit,
            enter: Vec::new(),
            leave: Vec::new(),
        };
        for (first, end) in ranges {
            for (at, boundary) in nodes.iter().enumerate().take(end + 1).skip(first) {
                if at < end {
                    let edge = flow.add_edge(boundary[zone], inner, UNLIMITED);
                    edges.enter.push((at, edge));
                }
                if at > first {
                    let edge = flow.add_edge(outer, boundary[zone], UNLIMITED);
                    edges.leave.push((at, edge));
                }
            }
        }
        engines.push(edges);
    }
    let mut bound = flow.maximise(source, sink);
    for boundary in nodes.iter().take(last).skip(1) {
        for (a, from) in boundary.iter().enumerate() {
            for (b, to) in boundary.iter().enumerate().filter(|(b, _)| *b != a) {
                let link = fleet.link(&zones[a], &zones[b]);
                let capacity = (link.tokens_per_s * MILLI).min(UNLIMITED as f64) as u64;
                flow.add_edge(*from, *to, capacity);
            }
        }
    }
    bound += flow.maximise(source, sink);
    let mut lanes = vec![Vec::new(); last + 1];
    for edges in &engines {
        add_lanes(fleet, graph, &flow, edges, &mut lanes);
    }
    (lanes, bound as f64 / MILLI)
}

/// Boundary ranges that an engine can run, as (first, last).
fn ranges_of(graph: &StepGraph, key: EngineKey) -> Vec<(usize, usize)> {
    let mut out: Vec<(usize, usize)> = Vec::new();
    for (at, steps) in graph.steps.iter().enumerate() {
        for step in steps.iter().filter(|step| step.engine == key) {
            if out.iter().all(|(_, end)| *end != step.furthest) {
                out.push((at, step.furthest));
            }
        }
    }
    out
}

fn add_lanes(
    fleet: &Fleet,
    graph: &StepGraph,
    flow: &FlowGraph,
    edges: &EngineEdges,
    lanes: &mut [Vec<Lane>],
) {
    let total = flow.flow(edges.limit) as f64 / MILLI;
    let capacity = fleet
        .get(edges.key)
        .map_or(0.0, |engine| engine.info.tokens_per_s);
    let least = capacity * SPARE_SHARE;
    for (at, enter) in &edges.enter {
        let entering = flow.flow(*enter) as f64 / MILLI;
        let ends = edges
            .leave
            .iter()
            .filter(|(end, _)| end > at && graph.leads_on[*end]);
        let same_range = ends.filter(|(end, _)| {
            graph.steps[*at]
                .iter()
                .any(|s| s.engine == edges.key && *end <= s.furthest)
        });
        for (end, leave) in same_range {
            let leaving = flow.flow(*leave) as f64 / MILLI;
            let share = if total > 0.0 {
                entering * leaving / total
            } else {
                0.0
            };
            let tokens_per_s = share.max(least);
            let (engine, zone, end) = (edges.key, edges.zone, *end);
            lanes[*at].push(Lane {
                engine,
                zone,
                end,
                tokens_per_s,
            });
        }
    }
}
