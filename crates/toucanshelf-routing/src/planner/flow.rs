//! Route planner based on the maximum flow through the engines.
//!
//! A boundary is a layer at which the range of some engine starts or ends. The flow graph has a
//! node for each boundary in each zone. Engines are edges along the layers, with their tokens per
//! second as capacity. Links are edges between zones, with the tokens per second that they can
//! carry as capacity. The maximum flow from the first layer to the last is the throughput bound of
//! the hardware, and the flow through each engine is the share of traffic that it should get. A
//! segment is a range of layers that one engine can run, from one boundary to a later one, with the
//! part of the engine's flow that takes this range.

use rand::{Rng, RngExt as _};
use toucanshelf_core::layers::LayerRange;

use super::graph::StepGraph;
use super::{NoRoute, Planner, RouteRequest};
use crate::fleet::Fleet;
use crate::flow::{Edge, FlowGraph, Node, UNLIMITED};
use crate::route::{EngineKey, Route, Stage};

/// Units of flow for one token per second.
///
/// The flow graph counts in integers, so this sets the smallest rate that it can represent.
const FLOW_UNITS_PER_TOKEN_PER_S: f64 = 1_000.0;
/// Link delay, in milliseconds, that doubles the score of a candidate engine.
///
/// The planner chooses the engine with the lowest score, so a delay makes an engine less likely to
/// be chosen.
const DELAY_SCALE_MS: f64 = 2.0;
/// Requests subtracted from an engine's load if hashing assigns it the prompt prefix.
///
/// All prompts with this prefix prefer the engine, so it may have the results for it in its cache.
const PREFIX_LOAD_CREDIT: f64 = 0.5;
/// Minimum throughput assumed for a layer range, as a share of its engine's throughput.
///
/// It lets an engine that got no flow take over when the others have failed or are busy.
const MIN_CAPACITY_SHARE: f64 = 0.02;

/// A range of layers that one engine can run, with its planned throughput.
#[derive(Clone, Copy, Debug)]
struct Segment {
    engine: EngineKey,
    zone: usize,
    /// Index of the boundary at which this range of layers ends.
    end: usize,
    tokens_per_s: f64,
}

/// Layer ranges that engines can run, with their planned throughput.
///
/// The plan is valid for one [`Fleet::generation`].
#[derive(Clone, Debug)]
struct Plan {
    generation: u64,
    /// Time in milliseconds from which the plan must be computed anew.
    ///
    /// At this time, the first of the avoided engines becomes usable again.
    valid_until: u64,
    boundaries: Vec<u32>,
    zones: Vec<Box<str>>,
    /// Layer ranges that start at each boundary, by the index of the boundary.
    segments: Vec<Vec<Segment>>,
    /// Delay of the link from one zone to another, in milliseconds.
    ///
    /// Rows and columns are indices of `zones`.
    delay_ms: Vec<Vec<f64>>,
    /// Maximum throughput of all engines together, in tokens per second.
    throughput_bound: f64,
}

/// Chooses routes by the engines' shares of the maximum flow and their load.
#[derive(Clone, Debug, Default)]
pub struct FlowPlanner {
    plan: Option<Plan>,
}

impl FlowPlanner {
    /// Creates a planner that has not computed a maximum flow yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Maximum throughput of the fleet, in tokens per second.
    ///
    /// Engines that are avoided at the time `now`, in milliseconds, don't count.
    pub fn throughput_bound(&mut self, fleet: &Fleet, now: u64) -> f64 {
        self.plan(fleet, now).throughput_bound
    }

    /// Name of each engine and the throughput it should get, in tokens per second.
    ///
    /// `now` is the current time in milliseconds.
    pub fn shares(&mut self, fleet: &Fleet, now: u64) -> Vec<(Box<str>, f64)> {
        let plan = self.plan(fleet, now);
        let share = |key: EngineKey| {
            let segments = plan
                .segments
                .iter()
                .flatten()
                .filter(|segment| segment.engine == key);
            segments.map(|segment| segment.tokens_per_s).sum()
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
            .is_some_and(|plan| plan.generation == fleet.generation() && now < plan.valid_until);
        if !current {
            self.plan = Some(Plan::new(fleet, now));
        }
        self.plan.as_ref().expect("the plan was stored above")
    }
}

impl Planner for FlowPlanner {
    fn name(&self) -> &'static str {
        "flow"
    }

    fn choose(
        &mut self,
        fleet: &Fleet,
        request: &RouteRequest,
        rng: &mut dyn Rng,
    ) -> Result<Route, NoRoute> {
        let plan = self.plan(fleet, request.now);
        // Every layer range of the plan can be continued to the last layer by other engines. If the
        // request excludes engines, the graph tells for which ranges this is still possible.
        let graph = if request.excluded.is_empty() {
            None
        } else {
            Some(StepGraph::new(fleet, request))
        };
        if let Some(graph) = &graph {
            graph.check(fleet)?;
        }
        let mut stages = Vec::new();
        let mut start = 0;
        let mut zone = plan.zones.iter().position(|zone| *zone == request.zone);
        while start + 1 < plan.boundaries.len() {
            let Some(segment) = plan.best_segment(fleet, request, graph.as_ref(), start, zone, rng)
            else {
                return Err(NoRoute {
                    missing: fleet.missing_layers(),
                });
            };
            let (from, to) = (plan.boundaries[start], plan.boundaries[segment.end]);
            let layers = LayerRange::new(from, to).expect("segments end after they start");
            stages.push(Stage {
                engine: segment.engine,
                layers,
            });
            start = segment.end;
            zone = Some(segment.zone);
        }
        Ok(Route::from_stages(fleet.layers(), stages)
            .expect("the segments cover all layers in order"))
    }
}

impl Plan {
    fn new(fleet: &Fleet, now: u64) -> Self {
        let request = RouteRequest::new("").with_now(now);
        let graph = StepGraph::new(fleet, &request);
        let mut zones: Vec<_> = fleet.engines().map(|(_, e)| e.info.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        let (segments, throughput_bound) = solve_flow(fleet, &graph, &zones);
        let delay = |a: &str, b: &str| fleet.link(a, b).delay_ms;
        let row = |a: &str| zones.iter().map(|b| delay(a, b)).collect();
        let delay_ms = zones.iter().map(|zone| row(zone)).collect();
        let avoidance_ends = fleet.engines().map(|(_, engine)| engine.avoid_until);
        let valid_until = avoidance_ends
            .filter(|until| *until > now)
            .min()
            .unwrap_or(u64::MAX);
        let generation = fleet.generation();
        Self {
            generation,
            valid_until,
            boundaries: graph.boundaries,
            zones,
            segments,
            delay_ms,
            throughput_bound,
        }
    }

    /// Returns the layer range with the lowest score among those from boundary `start`.
    ///
    /// The score is the number of this gate's requests on the engine, plus one, divided by the
    /// planned throughput of the range. The delay of the link from `zone` raises the score. If the
    /// engine has probably cached the prompt prefix, the score is lower.
    fn best_segment(
        &self,
        fleet: &Fleet,
        request: &RouteRequest,
        graph: Option<&StepGraph>,
        start: usize,
        zone: Option<usize>,
        rng: &mut dyn Rng,
    ) -> Option<Segment> {
        let mut best: Option<(f64, Segment)> = None;
        for segment in &self.segments[start] {
            if request.excluded.contains(&segment.engine)
                || graph.is_some_and(|g| !g.reaches_end[segment.end])
            {
                continue;
            }
            let Some(engine) = fleet.get(segment.engine) else {
                continue;
            };
            let mut load = f64::from(engine.in_flight) + 1.0;
            if start == 0
                && request.prefix != 0
                && owns_prefix(segment.engine, &self.segments[0], request.prefix)
            {
                load -= PREFIX_LOAD_CREDIT;
            }
            let delay = zone.map_or(0.0, |zone| self.delay_ms[zone][segment.zone]);
            // Without random noise, gates that know the same state would all choose one engine.
            let noise = rng.random_range(0.99..1.01);
            let score = load / segment.tokens_per_s * (1.0 + delay / DELAY_SCALE_MS) * noise;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, *segment));
            }
        }
        best.map(|(_, segment)| segment)
    }
}

/// Whether rendezvous hashing assigns the prompt prefix to `engine`.
///
/// The hashing chooses among the engines of `segments`.
fn owns_prefix(engine: EngineKey, segments: &[Segment], prefix: u64) -> bool {
    use std::hash::{BuildHasher as _, BuildHasherDefault, DefaultHasher};
    let hasher = BuildHasherDefault::<DefaultHasher>::new();
    let weight = |key: EngineKey| hasher.hash_one((key, prefix));
    let owner = segments.iter().max_by_key(|segment| weight(segment.engine));
    owner.is_some_and(|segment| segment.engine == engine)
}

/// Edges that represent one engine in the flow graph.
struct EngineEdges {
    key: EngineKey,
    zone: usize,
    /// Edge whose capacity is the throughput of the engine.
    throughput: Edge,
    /// Boundaries at which the engine can start, with the edges into the engine.
    ///
    /// Each boundary is given by its index.
    entries: Vec<(usize, Edge)>,
    /// Boundaries at which the engine can end, with the edges out of the engine.
    ///
    /// Each boundary is given by its index.
    exits: Vec<(usize, Edge)>,
}

/// Computes the maximum flow through the layers and divides it among layer ranges.
///
/// Returns the ranges that each engine can run, grouped by the boundary at which they start, and
/// the throughput bound in tokens per second. The flow is first maximised without edges between
/// zones and then with them, so that paths within one zone are preferred.
fn solve_flow(fleet: &Fleet, graph: &StepGraph, zones: &[Box<str>]) -> (Vec<Vec<Segment>>, f64) {
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
        let capacity = (engine.info.tokens_per_s * FLOW_UNITS_PER_TOKEN_PER_S) as u64;
        let (entry, exit) = (flow.add_node(), flow.add_node());
        let throughput = flow.add_edge(entry, exit, capacity);
        let mut edges = EngineEdges {
            key,
            zone,
            throughput,
            entries: Vec::new(),
            exits: Vec::new(),
        };
        for (first, end) in ranges {
            for (index, boundary) in nodes.iter().enumerate().take(end + 1).skip(first) {
                if index < end {
                    let edge = flow.add_edge(boundary[zone], entry, UNLIMITED);
                    edges.entries.push((index, edge));
                }
                if index > first {
                    let edge = flow.add_edge(exit, boundary[zone], UNLIMITED);
                    edges.exits.push((index, edge));
                }
            }
        }
        engines.push(edges);
    }
    let mut throughput_bound = flow.maximise(source, sink);
    for boundary in nodes.iter().take(last).skip(1) {
        for (a, from) in boundary.iter().enumerate() {
            for (b, to) in boundary.iter().enumerate().filter(|(b, _)| *b != a) {
                let link = fleet.link(&zones[a], &zones[b]);
                let capacity =
                    (link.tokens_per_s * FLOW_UNITS_PER_TOKEN_PER_S).min(UNLIMITED as f64) as u64;
                flow.add_edge(*from, *to, capacity);
            }
        }
    }
    throughput_bound += flow.maximise(source, sink);
    let mut segments = vec![Vec::new(); last + 1];
    for edges in &engines {
        add_segments(fleet, graph, &flow, edges, &mut segments);
    }
    (
        segments,
        throughput_bound as f64 / FLOW_UNITS_PER_TOKEN_PER_S,
    )
}

/// Returns the ranges of layers that an engine can run.
///
/// Each range is given by the indices of its first and last boundary.
fn ranges_of(graph: &StepGraph, key: EngineKey) -> Vec<(usize, usize)> {
    let mut out: Vec<(usize, usize)> = Vec::new();
    for (index, steps) in graph.steps.iter().enumerate() {
        for step in steps.iter().filter(|step| step.engine == key) {
            if out.iter().all(|(_, end)| *end != step.furthest) {
                out.push((index, step.furthest));
            }
        }
    }
    out
}

/// Adds all layer ranges that one engine can run to `segments`.
///
/// Each range gets the part of the engine's flow that enters and leaves at its two boundaries.
fn add_segments(
    fleet: &Fleet,
    graph: &StepGraph,
    flow: &FlowGraph,
    edges: &EngineEdges,
    segments: &mut [Vec<Segment>],
) {
    let total = flow.flow(edges.throughput) as f64 / FLOW_UNITS_PER_TOKEN_PER_S;
    let capacity = fleet
        .get(edges.key)
        .map_or(0.0, |engine| engine.info.tokens_per_s);
    let min_tokens_per_s = capacity * MIN_CAPACITY_SHARE;
    for (start, entry) in &edges.entries {
        let entering = flow.flow(*entry) as f64 / FLOW_UNITS_PER_TOKEN_PER_S;
        let ends = edges
            .exits
            .iter()
            .filter(|(end, _)| end > start && graph.reaches_end[*end]);
        let same_range = ends.filter(|(end, _)| {
            graph.steps[*start]
                .iter()
                .any(|s| s.engine == edges.key && *end <= s.furthest)
        });
        for (end, exit) in same_range {
            let leaving = flow.flow(*exit) as f64 / FLOW_UNITS_PER_TOKEN_PER_S;
            let share = if total > 0.0 {
                entering * leaving / total
            } else {
                0.0
            };
            let tokens_per_s = share.max(min_tokens_per_s);
            let (engine, zone, end) = (edges.key, edges.zone, *end);
            segments[*start].push(Segment {
                engine,
                zone,
                end,
                tokens_per_s,
            });
        }
    }
}
