//! Settings file of a control instance.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Deserializer};
use toucanshelf_core::digest::Digest;
use toucanshelf_core::target::check_text;
use toucanshelf_link::handshake::SharedKey;
use toucanshelf_runtime::memory_budget::{MIN_BODY_RATE, MemoryLimits};
use toucanshelf_runtime::program::DaemonSettings;
use toucanshelf_runtime::settings::{LogSettings, SettingsFile, milliseconds};

/// Upper limit of the setting `entry-weight`.
///
/// Above it, placement would give up memory of later layers for slots that no request could use.
const MAX_ENTRY_WEIGHT: f64 = 100.0;

/// Smallest value of the setting `body-memory-bytes`, in bytes.
///
/// The largest body of a call is held twice while its parts are joined.
const MIN_BODY_MEMORY_BYTES: usize = 12 * 1024 * 1024;
/// Share of the open files that is for connections from targets and operators.
const CALLERS_SHARE: f64 = 0.75;

/// Settings of a control instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ControlSettings {
    /// Name of the control instance, unique among control instances.
    pub name: Box<str>,
    /// Availability zone of the control instance.
    pub zone: Box<str>,
    /// Listen address of the operators' API.
    pub listen: SocketAddr,
    /// Listen address for links from gates, ingress instances and other control instances.
    pub link_listen: SocketAddr,
    /// Secret key that authenticates links between all processes of the system.
    pub link_key: Box<str>,
    /// Folder in which the instance stores its replica of the log.
    pub data_folder: PathBuf,
    /// Link addresses of the other control instances.
    #[serde(default)]
    pub replicas: Vec<SocketAddr>,
    /// Whether this instance creates the replicated log when no other instance has one.
    ///
    /// It waits until every other known instance has reported that it has no log.
    #[serde(default)]
    pub bootstrap: bool,
    /// SHA-256 digests of the operators' bearer tokens.
    pub operator_token_digests: Vec<Digest>,
    /// Memory for the bodies of all calls, in bytes.
    #[serde(default = "default_body_memory")]
    pub body_memory_bytes: usize,
    /// Settings for the platform's API and deployment.
    ///
    /// Without them, the instance does not run the platform's API, the registry of targets or the
    /// placement of layers.
    pub deployment: Option<DeploymentSettings>,
    /// Settings for log lines and the export of traces.
    #[serde(default)]
    pub log: LogSettings,
    /// File from which the seeds are read again, if there is one.
    #[serde(skip)]
    pub file: Option<SettingsFile>,
}

/// Settings for serving a platform whose operators replace the deployment as a whole.
///
/// The deployment is a versioned document with the platform's routes, services and organisations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DeploymentSettings {
    /// Listen address of the HTTP API for the platform's operators and targets.
    pub listen: SocketAddr,
    /// Addresses of control instances that tell this one the addresses of all others.
    ///
    /// Each is the `listen` address in the [`DeploymentSettings`] of an instance. Links to it use
    /// the same IP address and the port of [`ControlSettings::link_listen`].
    pub seeds: Vec<SocketAddr>,
    /// Whether the control instances in `seeds` create a new replicated log.
    ///
    /// They are then the initial voters of that log.
    #[serde(default)]
    pub bootstrap: bool,
    /// Number of control instances that may fail at the same time without data loss.
    #[serde(default = "default_losses")]
    pub tolerated_losses: usize,
    /// Time after which a new control instance has caught up, in milliseconds, if the platform states it.
    ///
    /// The platform may let another instance fail from then on. A silent voter is replaced in time.
    #[serde(default, deserialize_with = "some_milliseconds")]
    pub catch_up_ms: Option<u64>,
    /// Interval at which every target sends heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat", deserialize_with = "milliseconds")]
    pub heartbeat_ms: u64,
    /// Maximum number of open files and sockets of the process, if it is limited.
    ///
    /// A platform may state it as a fraction.
    pub max_open_files: Option<f64>,
    /// Weight of a shortage of slots on the first engines of routes when layers are placed.
    ///
    /// It is relative to a shortage of memory on the other engines.
    #[serde(default = "default_entry_weight")]
    pub entry_weight: f64,
}

// See "Bounds of a control instance" in docs/CAPACITY.md.
fn default_body_memory() -> usize {
    MIN_BODY_MEMORY_BYTES
}

fn default_entry_weight() -> f64 {
    1.0
}

fn default_losses() -> usize {
    1
}

fn default_heartbeat() -> u64 {
    1_200
}

fn some_milliseconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    milliseconds(deserializer).map(Some)
}

impl DeploymentSettings {
    /// Returns the number of connections from targets and operators above which idle ones close.
    ///
    /// The other quarter of the open files is left to links, outgoing calls and the store.
    pub fn max_connections(&self) -> usize {
        self.max_open_files
            .map_or(usize::MAX, |limit| (limit * CALLERS_SHARE) as usize)
    }
}

impl ControlSettings {
    /// Returns the limits on the memory of bodies.
    pub fn memory_limits(&self) -> MemoryLimits {
        MemoryLimits {
            max_bytes: self.body_memory_bytes,
            min_rate: MIN_BODY_RATE,
        }
    }

    /// Returns the validated key that authenticates links between processes.
    ///
    /// # Errors
    ///
    /// Fails when the key has fewer than 16 bytes.
    pub fn shared_key(&self) -> Result<SharedKey, Box<str>> {
        SharedKey::new(self.link_key.clone()).map_err(|e| format!("link-key: {e}").into())
    }

    /// Returns the names of the initial voters of a new replicated log.
    ///
    /// These are the IP addresses of the seeds, because the instances of a platform are named by
    /// their IP addresses. The list is empty unless the seeds create a new log.
    pub fn initial_voters(&self) -> Vec<Box<str>> {
        let deployment = self.deployment.as_ref();
        let seeds = deployment.filter(|deployment| deployment.bootstrap);
        let seeds = seeds.into_iter().flat_map(|deployment| &deployment.seeds);
        seeds.map(|seed| seed.ip().to_string().into()).collect()
    }

    /// Returns the link addresses of the other control instances in the settings.
    pub fn known_links(&self) -> Vec<SocketAddr> {
        let deployment = self.deployment.iter();
        let seeds = deployment.flat_map(|deployment| &deployment.seeds);
        let port = self.link_listen.port();
        let links = seeds.map(|seed| SocketAddr::new(seed.ip(), port));
        let links = links.filter(|link| *link != self.link_listen);
        self.replicas.iter().copied().chain(links).collect()
    }

    /// Returns whether [`ControlSettings::replicas`] lists no other control instances.
    pub fn is_alone(&self) -> bool {
        self.replicas.is_empty()
    }
}

impl DaemonSettings for ControlSettings {
    fn check(&self) -> Result<(), Box<str>> {
        check_text("name", &self.name)?;
        check_text("zone", &self.zone)?;
        self.shared_key()?;
        if self.operator_token_digests.is_empty() {
            return Err("operator-token-digests: at least one digest is needed".into());
        }
        let weight = self.deployment.as_ref().map(|cfg| cfg.entry_weight);
        if weight.is_some_and(|weight| !(1.0..=MAX_ENTRY_WEIGHT).contains(&weight)) {
            return Err("deployment.entry-weight: must lie in 1..=100".into());
        }
        if self.body_memory_bytes < MIN_BODY_MEMORY_BYTES {
            return Err("body-memory-bytes: must be at least 12582912".into());
        }
        if self.replicas.len() > 4 {
            return Err("replicas: at most 4 other control instances".into());
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
