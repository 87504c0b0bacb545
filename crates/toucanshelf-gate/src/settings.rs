//! Settings of a gate.
//!
//! A link is an authenticated connection between two gates, or between a gate and a control
//! instance. A network link is the network between two zones.

use std::net::SocketAddr;

use serde::Deserialize;
use toucanshelf_core::digest::Digest;
use toucanshelf_core::target::check_text;
use toucanshelf_link::handshake::SharedKey;
use toucanshelf_routing::fleet::LinkInfo;
use toucanshelf_runtime::connections::share_of_descriptors;
use toucanshelf_runtime::memory_budget::{MIN_BODY_RATE, MemoryLimits};
use toucanshelf_runtime::program::DaemonSettings;
use toucanshelf_runtime::settings::LogSettings;

/// Default memory for the bodies of all requests, in bytes.
const DEFAULT_BODY_MEMORY_BYTES: usize = 24 * 1024 * 1024;
/// Number of bodies of the largest size for which there is room.
// The largest body is held twice while its parts are joined.
const BODIES_IN_MEMORY: usize = 4;
/// Default maximum of connections.
const MAX_CONNECTIONS: usize = 1_280;

/// Settings of a gate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct GateSettings {
    /// Name of the gate, unique among all gates.
    pub name: Box<str>,
    /// Availability zone of the gate.
    pub zone: Box<str>,
    /// Listening address for callers and targets.
    pub listen: SocketAddr,
    /// Listening address for links from other gates.
    pub link_listen: SocketAddr,
    /// Key that authenticates links; all processes of the system share it.
    pub link_key: Box<str>,
    /// Link addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Link addresses of the other gates.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// SHA-256 digests of the targets' tokens.
    pub target_token_digests: Vec<Digest>,
    /// SHA-256 digests of the operators' tokens.
    pub operator_token_digests: Vec<Digest>,
    /// Time after which a target is lost unless it renews its lease, in milliseconds.
    #[serde(default = "default_lease")]
    pub lease_ms: u64,
    /// Time until the deadline of a request that specifies none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Maximum duration of a call to a plain service, in milliseconds.
    #[serde(default = "default_service_timeout")]
    pub service_timeout_ms: u64,
    /// Time for which a stopping gate waits for requests in flight, in milliseconds.
    #[serde(default = "default_stop_timeout")]
    pub stop_timeout_ms: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub max_body_bytes: usize,
    /// Memory for the bodies of all requests, in bytes.
    ///
    /// Without it, there is room for 24 MiB, or for four bodies of the largest size if that is more.
    #[serde(default)]
    pub body_memory_bytes: Option<usize>,
    /// Maximum number of connections of callers, targets and operators.
    ///
    /// Without it, they may use a third of the descriptors of the process, but no more than 1,280.
    #[serde(default)]
    pub max_connections: Option<usize>,
    /// Planner that selects the engines for each request.
    #[serde(default)]
    pub planner: PlannerKind,
    /// Network links between zones whose properties differ from the default.
    #[serde(default, rename = "link")]
    pub links: Vec<LinkSettings>,
    /// Settings of logs and traces.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_lease() -> u64 {
    3_000
}

fn default_deadline() -> u64 {
    60_000
}

fn default_service_timeout() -> u64 {
    10_000
}

fn default_stop_timeout() -> u64 {
    60_000
}

fn default_body_bytes() -> usize {
    1 << 20
}

/// Planner that selects routes.
///
/// A route is the list of engines that run a request, each with the layers that it runs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum PlannerKind {
    /// Selects routes by maximum flow.
    #[default]
    Flow,
    /// Selects the engines with the fewest requests in flight, as a baseline.
    LeastLoaded,
    /// Selects engines at random, as a baseline.
    Random,
}

/// Properties of the network link between two zones.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LinkSettings {
    /// Zones that the link connects.
    pub zones: [Box<str>; 2],
    /// One-way delay, in milliseconds.
    pub delay_ms: f64,
    /// Throughput for activations, in tokens per second.
    pub tokens_per_s: f64,
}

impl LinkSettings {
    /// Returns the delay and the throughput of the network link for the planners.
    pub fn info(&self) -> LinkInfo {
        LinkInfo {
            delay_ms: self.delay_ms,
            tokens_per_s: self.tokens_per_s,
        }
    }
}

impl GateSettings {
    /// Returns the limits on the memory of request bodies.
    pub fn memory_limits(&self) -> MemoryLimits {
        let largest = self.max_body_bytes.saturating_mul(BODIES_IN_MEMORY);
        let max_bytes = self.body_memory_bytes;
        MemoryLimits {
            max_bytes: max_bytes.unwrap_or_else(|| largest.max(DEFAULT_BODY_MEMORY_BYTES)),
            min_rate: MIN_BODY_RATE,
        }
    }

    /// Returns the maximum number of connections of callers, targets and operators.
    pub fn max_connections(&self) -> usize {
        // A request in progress needs another descriptor for the connection to its target.
        let third = || share_of_descriptors(3, MAX_CONNECTIONS);
        self.max_connections.unwrap_or_else(third)
    }

    /// Returns the key for links between processes.
    ///
    /// # Errors
    ///
    /// Fails if the key is too short.
    pub fn shared_key(&self) -> Result<SharedKey, Box<str>> {
        SharedKey::new(self.link_key.clone()).map_err(|e| format!("link-key: {e}").into())
    }
}

impl DaemonSettings for GateSettings {
    fn check(&self) -> Result<(), Box<str>> {
        check_text("name", &self.name)?;
        check_text("zone", &self.zone)?;
        self.shared_key()?;
        if self.control.is_empty() {
            return Err("control: at least one address is needed".into());
        }
        if !(500..=60_000).contains(&self.lease_ms) {
            return Err("lease-ms: must lie in 500..=60000".into());
        }
        if !(1..=3_600_000).contains(&self.deadline_ms) {
            return Err("deadline-ms: must lie in 1..=3600000".into());
        }
        let least = self.max_body_bytes.saturating_mul(BODIES_IN_MEMORY);
        if self.body_memory_bytes.is_some_and(|bytes| bytes < least) {
            return Err("body-memory-bytes: must be at least 4 times max-body-bytes".into());
        }
        if self.max_connections == Some(0) {
            return Err("max-connections: must be at least 1".into());
        }
        let numbers = self
            .links
            .iter()
            .flat_map(|link| [link.delay_ms, link.tokens_per_s]);
        if numbers
            .into_iter()
            .any(|number| !number.is_finite() || number < 0.0)
        {
            return Err("link: delay-ms and tokens-per-s must not be negative".into());
        }
        Ok(())
    }

    fn log(&self) -> &LogSettings {
        &self.log
    }
}
