//! Settings of the stand-in engine.

use std::net::SocketAddr;

use serde::Deserialize;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_runtime::program::DaemonSettings;
use toucanshelf_runtime::settings::LogSettings;

/// Settings of a stand-in engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EngineSettings {
    /// Name of the engine, in any of the deployment's naming schemes.
    pub name: Box<str>,
    /// Availability zone of the engine.
    pub zone: Box<str>,
    /// Address to listen on; with port 0, the operating system chooses a port.
    pub listen: SocketAddr,
    /// Addresses of the gates to which the engine announces itself.
    pub gates: Vec<SocketAddr>,
    /// Bearer token that authorises announcements at the gates.
    pub target_token: Box<str>,
    /// Model that the engine serves, by any of its names.
    pub model: Box<str>,
    /// Version of the model's weights.
    #[serde(default = "default_version")]
    pub version: Box<str>,
    /// Layers of the model that the engine holds.
    pub layers: LayerRange,
    /// Largest token rate of the engine over all its requests, in tokens per second.
    #[serde(default = "default_rate")]
    pub tokens_per_s: f64,
    /// Time between two tokens of one request, in milliseconds.
    ///
    /// The time is longer when the engine reaches the rate `tokens_per_s`.
    #[serde(default = "default_interval")]
    pub token_interval_ms: u64,
    /// Number of requests that the engine runs at once; it refuses further ones.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Kind of accelerator to announce.
    #[serde(default = "default_accelerator")]
    pub accelerator: Box<str>,
    /// Whether the engine refuses outdated orders.
    ///
    /// An order tells the engine which layers to hold. It is outdated unless its fencing number is
    /// higher than that of every order accepted before.
    #[serde(default)]
    pub keeps_fence: bool,
    /// A prompt that contains this text crashes the engine.
    #[serde(default)]
    pub poison: Option<Box<str>>,
    /// Incarnation of the engine, a number that identifies one start of it.
    ///
    /// The default is the time of the start, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Settings of logs and traces.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_version() -> Box<str> {
    "v1".into()
}

fn default_rate() -> f64 {
    1_000.0
}

fn default_interval() -> u64 {
    10
}

fn default_slots() -> u32 {
    64
}

fn default_accelerator() -> Box<str> {
    "standin".into()
}

impl EngineSettings {
    /// Creates settings of an engine that listens on a free port of loopback.
    pub fn new(
        name: impl Into<Box<str>>,
        zone: impl Into<Box<str>>,
        model: impl Into<Box<str>>,
        layers: LayerRange,
        gates: Vec<SocketAddr>,
        target_token: impl Into<Box<str>>,
    ) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            gates,
            target_token: target_token.into(),
            model: model.into(),
            version: default_version(),
            layers,
            tokens_per_s: default_rate(),
            token_interval_ms: default_interval(),
            slots: default_slots(),
            accelerator: default_accelerator(),
            keeps_fence: false,
            poison: None,
            incarnation: None,
            log: LogSettings::default(),
        }
    }
}

impl DaemonSettings for EngineSettings {
    fn check(&self) -> Result<(), Box<str>> {
        if self.gates.is_empty() {
            return Err("gates: at least one address is needed".into());
        }
        if !(self.tokens_per_s.is_finite() && self.tokens_per_s > 0.0) {
            return Err("tokens-per-s: must be greater than 0".into());
        }
        Ok(())
    }

    fn log(&self) -> &LogSettings {
        &self.log
    }
}
