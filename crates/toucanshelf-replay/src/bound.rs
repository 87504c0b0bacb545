//! Throughput that the hardware of a trace allows.

use toucanshelf_routing::fleet::{EngineInfo, Fleet};
use toucanshelf_routing::planner::FlowPlanner;

use crate::trace::Trace;

/// Tokens per second that the engines of a trace can make, as maximum flow over its layers.
pub fn tokens_per_s(trace: &Trace, is_up: impl Fn(&str) -> bool) -> f64 {
    let mut fleet = Fleet::new(trace.model.layers);
    let mut n = 0;
    for spec in &trace.engines {
        for _ in 0..spec.count {
            n += 1;
            let name = format!("engine-{n}");
            if is_up(&name) {
                let zone = spec.zone.clone();
                fleet.upsert(EngineInfo::new(name, zone, spec.layers, spec.tokens_per_s));
            }
        }
    }
    FlowPlanner::new().throughput_bound(&fleet, 0)
}
