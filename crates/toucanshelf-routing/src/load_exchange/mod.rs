//! Exchange of the load of engines between ingresses.
//!
//! Each ingress reports its requests at the engines of a zone to the zone's [`LoadCollector`], which
//! adds up the reports and answers each with the sums. [`KnownLoads`] subtracts the part of the
//! ingress itself from the sums, and [`AssumedLoad`] is what decisions are based on. Messages carry a
//! [`LoadPage`], which states the loads of all engines of the zone or, if there are many, of some of
//! them in turn.

mod assumed;
mod collector;
mod known;
mod page;

use std::ops::AddAssign;

use toucanshelf_core::ids::CrashId;

pub use assumed::AssumedLoad;
pub use collector::{LoadCollector, LoadSums};
pub use known::KnownLoads;
pub use page::{LoadPage, LoadPageError, MAX_ENTRIES};

/// Age from which reports and sums don't count, in milliseconds.
pub const MAX_AGE_MS: u64 = 1_500;

/// Identifies one incarnation of an engine among those of its zone.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EngineTag(pub u32);

impl From<CrashId> for EngineTag {
    /// Takes the first bytes of the digest from which the identifier is made.
    fn from(id: CrashId) -> Self {
        Self(id.0 as u32)
    }
}

/// Load of an engine by the requests of one or more ingresses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests that have the engine as the first of their route.
    pub first_requests: u32,
    /// Requests that use the engine.
    pub requests: u32,
    /// Tokens of each request times the layers that the engine runs for it.
    pub token_layers: f64,
}

impl AddAssign for EngineLoad {
    fn add_assign(&mut self, other: Self) {
        self.first_requests = self.first_requests.saturating_add(other.first_requests);
        self.requests = self.requests.saturating_add(other.requests);
        self.token_layers += other.token_layers;
    }
}

impl EngineLoad {
    /// Returns this load without a part of it; nothing becomes negative.
    fn without(self, part: Self) -> Self {
        Self {
            first_requests: self.first_requests.saturating_sub(part.first_requests),
            requests: self.requests.saturating_sub(part.requests),
            token_layers: (self.token_layers - part.token_layers).max(0.0),
        }
    }
}

/// Load of an engine by all other ingresses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OthersLoad {
    /// Sum over the other ingresses.
    pub load: EngineLoad,
    /// Load by this ingress at the same time.
    pub own: EngineLoad,
    /// Time since this ingress sent the report that was answered with the sum, in milliseconds.
    ///
    /// The sum was made later than that, from the latest reports of the other ingresses.
    pub age_ms: u64,
}

/// Report of one ingress about its requests at the engines of a zone.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// Number of the report among those of the ingress for the zone, counted from 1.
    pub sequence: u32,
    /// Loads by the requests of the ingress.
    pub page: LoadPage,
}
