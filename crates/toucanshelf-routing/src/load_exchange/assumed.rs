//! What an ingress assumes of an engine's load at the time of a decision.

use super::{EngineLoad, OthersLoad};

/// Load of an engine by all ingresses, as assumed by one of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AssumedLoad {
    /// Requests that have the engine as the first of their route.
    pub first_requests: f64,
    /// Requests that use the engine.
    pub requests: f64,
    /// Tokens of each request times the layers that the engine runs for it.
    pub token_layers: f64,
    /// Age of what is known of other ingresses, in milliseconds; `None` if it is guessed.
    pub age_ms: Option<u64>,
}

impl AssumedLoad {
    /// Estimates the load from that by this ingress, and the last known load by the others.
    ///
    /// All ingresses see an engine with little load at the same time, so that each of the others is
    /// assumed to have begun and ended there as many requests since then as this one. If nothing is known
    /// of the others, each is assumed to have the load of this one. `ingresses` is the number of
    /// ingresses, this one included.
    pub fn new(own: EngineLoad, others: Option<OthersLoad>, ingresses: u32) -> Self {
        let (known, own_then, age_ms) = match others {
            Some(others) => (others.load, others.own, Some(others.age_ms)),
            None => (EngineLoad::default(), EngineLoad::default(), None),
        };
        let each_other = f64::from(ingresses.saturating_sub(1));
        let estimate = |own: f64, known: f64, own_then: f64| {
            let others = known + each_other * (own - own_then);
            own + others.max(0.0)
        };
        let count = |own: u32, known: u32, own_then: u32| {
            estimate(f64::from(own), f64::from(known), f64::from(own_then))
        };
        Self {
            first_requests: count(
                own.first_requests,
                known.first_requests,
                own_then.first_requests,
            ),
            requests: count(own.requests, known.requests, own_then.requests),
            token_layers: estimate(own.token_layers, known.token_layers, own_then.token_layers),
            age_ms,
        }
    }
}
