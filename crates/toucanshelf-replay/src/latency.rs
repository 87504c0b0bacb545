//! Measures the latency that a gate adds to the first token.
//!
//! A probe is a short request that is sent only for this measurement.

use std::time::Instant;

use futures_util::StreamExt as _;
use http::HeaderMap;
use toucanshelf_core::engine::{EngineLine, Hop, RunRequest};
use toucanshelf_core::ids::Attempt;
use toucanshelf_core::target::TargetRole;
use toucanshelf_gate::settings::PlannerKind;
use toucanshelf_link::engine::{EngineClient as _, HttpEngineClient};

use crate::caller::{Call, Caller};
use crate::deployment::Deployment;
use crate::layout::MODEL;
use crate::results::Distribution;
use crate::trace::Trace;

/// Number of tokens that each probe requests.
const PROBE_TOKENS: u32 = 1;

/// Measures the latency that a gate adds to the first token.
///
/// Each probe is sent directly to the engines and then to a gate. The result is the distribution
/// of the differences in the time to the first token, in milliseconds.
pub fn measure_added_first_token(trace: &Trace, probes: usize) -> Distribution {
    let deployment = Deployment::start(trace, PlannerKind::Flow);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("threads can be started");
    let route = announced_route(&deployment);
    let caller = Caller::new(deployment.gate_addresses());
    let client = HttpEngineClient::new();
    let organisation = trace.loads[0].organisation.clone();
    let mut samples = Vec::new();
    for n in 0..probes {
        let text: Box<str> = format!("probe {n}").into();
        let direct_ms = runtime.block_on(direct_probe(&client, &route, n));
        let call = Call {
            organisation: organisation.clone(),
            text,
            max_tokens: PROBE_TOKENS,
            key: "none".into(),
            hang_up_after: 0,
        };
        let observation = runtime.block_on(caller.chat(&call, 0));
        let via_gate = observation
            .token_times
            .first()
            .map(|arrival| arrival.duration_since(observation.started));
        if let (Some(direct_ms), Some(via_gate)) = (direct_ms, via_gate) {
            samples.push(via_gate.as_secs_f64() * 1_000.0 - direct_ms);
        }
    }
    Distribution::of(samples)
}

/// Builds a route that covers all layers from the engines announced at the first gate.
fn announced_route(deployment: &Deployment) -> Vec<Hop> {
    let gate = deployment.first_gate();
    let view = gate.shared().view();
    let mut hops = Vec::new();
    let mut next_layer = 0;
    while let Some(hop) = view
        .records()
        .find_map(|record| match &record.payload.role {
            TargetRole::Engine { layers, .. } if layers.from() == next_layer => Some(Hop {
                engine: record.name.clone(),
                incarnation: record.payload.incarnation,
                address: record.payload.address,
                layers: *layers,
            }),
            _ => None,
        })
    {
        next_layer = hop.layers.to();
        hops.push(hop);
    }
    hops
}

/// Sends a probe directly to the engines and returns its time to the first token.
///
/// The time is in milliseconds; a probe that yields no token returns `None`.
async fn direct_probe(client: &HttpEngineClient, route: &[Hop], n: usize) -> Option<f64> {
    let request = RunRequest {
        request: format!("direct-{n}").into(),
        attempt: Attempt(1),
        model: MODEL.into(),
        prompt: format!("user: probe {n}").into(),
        delivered: Vec::new(),
        max_tokens: PROBE_TOKENS,
        priority: 0,
        route: route.to_vec(),
    };
    let started = Instant::now();
    let mut lines = client
        .run(route[0].address, request, HeaderMap::new())
        .await
        .ok()?;
    while let Some(line) = lines.next().await {
        if matches!(line, Ok(EngineLine::Token(_))) {
            return Some(started.elapsed().as_secs_f64() * 1_000.0);
        }
    }
    None
}
