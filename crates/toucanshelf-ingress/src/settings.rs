//! Settings of an ingress, read from its settings file.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde::Deserialize;
use toucanshelf_core::target::check_text;
use toucanshelf_link::handshake::SharedKey;
use toucanshelf_routing::budget::BudgetLimits;
use toucanshelf_runtime::connections::share_of_descriptors;
use toucanshelf_runtime::memory_budget::{MIN_BODY_RATE, MemoryLimits};
use toucanshelf_runtime::program::DaemonSettings;
use toucanshelf_runtime::settings::{LogSettings, SettingsFile, milliseconds};

/// Range of the setting `load_exchange_ms`.
///
/// Loads that are older than 1,500 ms don't count, so that a longer interval would leave gaps.
const LOAD_EXCHANGE_MS: RangeInclusive<u64> = 100..=1_000;
/// Smallest value of the setting `body-memory-bytes`, in bytes.
const MIN_BODY_MEMORY_BYTES: usize = 1024 * 1024;

/// Default maximum of connections of callers.
// See "Bounds of an ingress" in docs/CAPACITY.md.
const MAX_CONNECTIONS: usize = 512;
/// Connections of callers for each one of another ingress.
const RELAY_CONNECTIONS_DIVISOR: usize = 8;

/// Settings of an ingress, which stay the same while it runs, except that seeds may be added.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct IngressSettings {
    /// Name of the ingress, unique among all ingresses.
    pub name: Box<str>,
    /// Availability zone of the ingress.
    pub zone: Box<str>,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address on which the platform's readiness probes are served.
    pub ready_listen: SocketAddr,
    /// Address on which metrics are served.
    pub metrics_listen: SocketAddr,
    /// Address on which requests of other ingresses are served, which reach no target themselves.
    ///
    /// Links are accepted there, too. Without it, this ingress serves no requests of others, but still
    /// sends its own to them.
    #[serde(default)]
    pub relay_listen: Option<SocketAddr>,
    /// Address on which links of control instances and other ingresses are accepted.
    ///
    /// Without it, they are accepted at `relay_listen`. Through links, this ingress learns which control
    /// instances run if it has lost all it knows.
    #[serde(default)]
    pub link_listen: Option<SocketAddr>,
    /// Secret key shared by all processes of the system to authenticate their connections.
    pub link_key: Box<str>,
    /// Addresses of the control instances to which the ingress connects first.
    ///
    /// These announce the addresses of the other control instances.
    ///
    /// Only the host is used; the port is `link_port`.
    pub seeds: Vec<SocketAddr>,
    /// Port on which control instances accept connections from ingresses.
    pub link_port: u16,
    /// Maximum duration of a graceful stop, in milliseconds.
    #[serde(default = "default_stop_timeout")]
    pub stop_timeout_ms: u64,
    /// Number of repeated sends to a service allowed per request in the window.
    ///
    /// A repeated send is any attempt to send a request after its first one. The window is the time
    /// of `repeat_window_ms` up to now.
    #[serde(default = "default_repeat_ratio")]
    pub repeat_ratio: f64,
    /// Number of repeated sends to a service allowed in the window regardless of requests.
    ///
    /// They add to those that `repeat_ratio` allows and are shared evenly among all ingresses.
    #[serde(default = "default_repeat_slack")]
    pub repeat_slack: f64,
    /// Time from the start of the ingress after which `repeat_slack` applies, in milliseconds.
    ///
    /// With the length of the window, an ingress that restarts doesn't spend its share twice.
    #[serde(default, deserialize_with = "milliseconds")]
    pub repeat_slack_after_ms: u64,
    /// Length of the sliding window in which repeated sends are counted, in milliseconds.
    #[serde(default = "default_repeat_window", deserialize_with = "milliseconds")]
    pub repeat_window_ms: u64,
    /// Interval between reports of this ingress's requests at engines, in milliseconds.
    ///
    /// The control instances add up the reports of all ingresses. Without it, this ingress reports
    /// nothing and guesses the load of engines from its own requests.
    #[serde(default)]
    pub load_exchange_ms: Option<u64>,
    /// Share of the engines' room that the least urgent requests leave free, from 0 to 1.
    ///
    /// It applies to services whose requests have ranks, while the loads of their engines are known
    /// (`load-exchange-ms`). Without it, no request is refused for lack of room.
    #[serde(default)]
    pub reserved_share: Option<f64>,
    /// Memory for the bodies of callers' requests, in bytes.
    #[serde(default = "default_body_memory")]
    pub body_memory_bytes: usize,
    /// Rate below which bodies are ended first while that memory is short, in bytes a second.
    #[serde(default = "default_min_body_rate")]
    pub min_body_rate: usize,
    /// Maximum number of connections of callers.
    ///
    /// Without it, callers may use a quarter of the descriptors of the process, but no more than 512.
    #[serde(default)]
    pub max_connections: Option<usize>,
    /// Maximum number of connections on which other ingresses relay requests.
    ///
    /// Without it, an eighth of `max_connections`.
    #[serde(default)]
    pub max_relay_connections: Option<usize>,
    /// Settings of logs and traces.
    #[serde(default)]
    pub log: LogSettings,
    /// File from which `seeds` is read again, if there is one.
    #[serde(skip)]
    pub file: Option<SettingsFile>,
}

fn default_stop_timeout() -> u64 {
    7_500
}

fn default_repeat_ratio() -> f64 {
    0.1
}

fn default_repeat_slack() -> f64 {
    20.0
}

fn default_repeat_window() -> u64 {
    10_000
}

// See "Bounds of an ingress" in docs/CAPACITY.md.
fn default_body_memory() -> usize {
    16 * 1024 * 1024
}

fn default_min_body_rate() -> usize {
    MIN_BODY_RATE
}

impl IngressSettings {
    /// Returns the setting `link_key` as a key for connections to control instances.
    ///
    /// # Errors
    ///
    /// Fails if the key is too short.
    pub fn shared_key(&self) -> Result<SharedKey, Box<str>> {
        SharedKey::new(self.link_key.clone()).map_err(|e| format!("link-key: {e}").into())
    }

    /// Returns the addresses at which the control instances in `seeds` accept links.
    pub fn seed_links(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| SocketAddr::new(seed.ip(), self.link_port))
            .collect()
    }

    /// Returns the limits on the memory of request bodies.
    pub fn memory_limits(&self) -> MemoryLimits {
        MemoryLimits {
            max_bytes: self.body_memory_bytes,
            min_rate: self.min_body_rate,
        }
    }

    /// Returns the maximum number of connections of callers.
    pub fn max_connections(&self) -> usize {
        // A request that is being served needs another descriptor for the connection to its target.
        let quarter = || share_of_descriptors(4, MAX_CONNECTIONS);
        self.max_connections.unwrap_or_else(quarter)
    }

    /// Returns the maximum number of connections on which other ingresses relay requests.
    pub fn max_relay_connections(&self) -> usize {
        let eighth = || self.max_connections().div_ceil(RELAY_CONNECTIONS_DIVISOR);
        self.max_relay_connections.unwrap_or_else(eighth)
    }

    /// Returns the limits on repeated sends, from the settings `repeat_*`.
    pub fn budget_limits(&self) -> BudgetLimits {
        BudgetLimits {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window_ms: self.repeat_window_ms,
        }
    }
}

impl DaemonSettings for IngressSettings {
    fn check(&self) -> Result<(), Box<str>> {
        check_text("name", &self.name)?;
        check_text("zone", &self.zone)?;
        self.shared_key()?;
        if self.seeds.is_empty() {
            return Err("seeds: at least one address is needed".into());
        }
        if !(self.repeat_ratio.is_finite() && self.repeat_ratio >= 0.0) {
            return Err("repeat-ratio: must not be negative".into());
        }
        if !(self.repeat_slack.is_finite() && self.repeat_slack >= 0.0) {
            return Err("repeat-slack: must not be negative".into());
        }
        if self
            .reserved_share
            .is_some_and(|share| !(0.0..1.0).contains(&share))
        {
            return Err("reserved-share: must lie in 0..1".into());
        }
        if !(1_000..=600_000).contains(&self.repeat_window_ms) {
            return Err("repeat-window-ms: must lie in 1000..=600000".into());
        }
        let exchange = self.load_exchange_ms;
        if exchange.is_some_and(|interval_ms| !LOAD_EXCHANGE_MS.contains(&interval_ms)) {
            return Err("load-exchange-ms: must lie in 100..=1000".into());
        }
        if self.body_memory_bytes < MIN_BODY_MEMORY_BYTES {
            return Err("body-memory-bytes: must be at least 1048576".into());
        }
        if self.max_connections == Some(0) {
            return Err("max-connections: must be at least 1".into());
        }
        if self.max_relay_connections == Some(0) {
            return Err("max-relay-connections: must be at least 1".into());
        }
        Ok(())
    }

    fn log(&self) -> &LogSettings {
        &self.log
    }

    fn set_file(&mut self, file: SettingsFile) {
        self.file = Some(file);
    }
}
