//! Choice of routes.

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

/// What a route is wanted for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Availability zone of the gate.
    pub zone: Box<str>,
    /// Engines that must not be used, because they failed this request.
    pub avoid: Vec<EngineKey>,
    /// Time in milliseconds, to skip engines that failed a moment ago.
    pub now: u64,
    /// Hash of the prompt's prefix, for engines that may have it cached.
    pub prefix: u64,
}

impl Ask {
    /// Asks for a route from a gate in `zone`.
    pub fn new(zone: impl Into<Box<str>>) -> Self {
        Self {
            zone: zone.into(),
            avoid: Vec::new(),
            now: 0,
            prefix: 0,
        }
    }

    /// Leaves out engines that failed this request.
    #[must_use]
    pub fn with_avoid(mut self, avoid: Vec<EngineKey>) -> Self {
        self.avoid = avoid;
        self
    }

    /// Sets the time, in milliseconds.
    #[must_use]
    pub fn with_now(mut self, now: u64) -> Self {
        self.now = now;
        self
    }

    /// Sets the hash of the prompt's prefix.
    #[must_use]
    pub fn with_prefix(mut self, prefix: u64) -> Self {
        self.prefix = prefix;
        self
    }
}

/// No set of engines covers all layers.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{}", self.describe())]
pub struct NoRoute {
    /// Layers that nobody may run; none where engines are there but must be avoided.
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

/// A way to choose routes.
///
/// A caller may rely on every returned route being a tiling of the fleet's layers by engines
/// that are ready and not in [`Ask::avoid`].
pub trait Planner: fmt::Debug + Send {
    /// Name for settings and reports.
    fn name(&self) -> &'static str;

    /// Chooses a route.
    ///
    /// # Errors
    ///
    /// Fails with the missing layers when no set of engines covers all layers.
    fn choose(&mut self, fleet: &Fleet, ask: &Ask, rng: &mut dyn Rng) -> Result<Route, NoRoute>;
}
