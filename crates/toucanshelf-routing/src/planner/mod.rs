//! Planners that choose the route of a request over the engines of a model.

mod baseline;
mod flow;
mod graph;

use std::fmt;

use rand::Rng;
use toucanshelf_core::layers::LayerRange;

pub use baseline::{LeastLoadedPlanner, RandomPlanner};
pub use flow::FlowPlanner;

use crate::fleet::Fleet;
use crate::route::{EngineKey, Route};

/// Parameters for the choice of a route.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// Availability zone of the gate that asks for the route.
    pub zone: Box<str>,
    /// Engines that must not be used, for example because they failed this request.
    pub excluded: Vec<EngineKey>,
    /// Current time in milliseconds.
    ///
    /// Engines that the gate avoids at this time after a failure are skipped.
    pub now: u64,
    /// Hash of the start of the prompt, or 0 for none.
    ///
    /// The planner may use it to prefer an engine that has processed the same start before.
    pub prefix: u64,
}

impl RouteRequest {
    /// Creates a request for a route from a gate in `zone`.
    pub fn new(zone: impl Into<Box<str>>) -> Self {
        Self {
            zone: zone.into(),
            excluded: Vec::new(),
            now: 0,
            prefix: 0,
        }
    }

    /// Sets the engines that must not be used.
    #[must_use]
    pub fn with_excluded(mut self, excluded: Vec<EngineKey>) -> Self {
        self.excluded = excluded;
        self
    }

    /// Sets the current time, in milliseconds.
    #[must_use]
    pub fn with_now(mut self, now: u64) -> Self {
        self.now = now;
        self
    }

    /// Sets the hash of the start of the prompt.
    #[must_use]
    pub fn with_prefix(mut self, prefix: u64) -> Self {
        self.prefix = prefix;
        self
    }
}

/// Error for a request whose permitted engines do not cover all layers.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{}", self.describe())]
pub struct NoRoute {
    /// Layers that no ready engine may run.
    ///
    /// The list is empty if every layer has a ready engine that may run it. For some layers, all of
    /// these engines are then excluded or avoided.
    pub missing: Vec<LayerRange>,
}

impl NoRoute {
    fn describe(&self) -> String {
        if self.missing.is_empty() {
            return "every engine for some layers has just failed or is set aside".into();
        }
        let layers: Vec<_> = self.missing.iter().map(ToString::to_string).collect();
        format!("no engine may run layers {}", layers.join(", "))
    }
}

/// Strategy for choosing routes.
///
/// Every returned route runs each of the fleet's layers once and in order, on engines that are
/// ready and not in [`RouteRequest::excluded`].
pub trait Planner: fmt::Debug + Send {
    /// Name of the planner in settings and reports.
    fn name(&self) -> &'static str;

    /// Chooses a route for the request.
    ///
    /// # Errors
    ///
    /// Fails when the ready engines that are neither excluded nor avoided do not cover all layers.
    fn choose(
        &mut self,
        fleet: &Fleet,
        request: &RouteRequest,
        rng: &mut dyn Rng,
    ) -> Result<Route, NoRoute>;
}
