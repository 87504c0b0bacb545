//! Throughput bound of the engines in a trace.
//!
//! The bound is the highest rate at which tokens can pass through all layers of the model.

use toucanshelf_routing::fleet::{EngineInfo, Fleet};
use toucanshelf_routing::planner::FlowPlanner;

use crate::trace::Trace;

/// Returns the throughput bound of a trace's engines, in tokens per second.
///
/// The bound is the maximum flow over the layers of the model. Only engines for whose name `is_up`
/// returns `true` contribute to it.
pub fn throughput_bound(trace: &Trace, is_up: impl Fn(&str) -> bool) -> f64 {
    let mut fleet = Fleet::new(trace.model.layers);
    let mut engine_number = 0;
    for spec in &trace.engines {
        for _ in 0..spec.count {
            engine_number += 1;
            let name = format!("engine-{engine_number}");
            if is_up(&name) {
                let zone = spec.zone.clone();
                fleet.upsert(EngineInfo::new(name, zone, spec.layers, spec.tokens_per_s));
            }
        }
    }
    FlowPlanner::new().throughput_bound(&fleet, 0)
}
