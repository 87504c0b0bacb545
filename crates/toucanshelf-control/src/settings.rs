//! Settings of a control instance.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use toucanshelf_core::digest::Digest;
use toucanshelf_core::target::check_text;
use toucanshelf_link::handshake::SharedKey;
use toucanshelf_runtime::program::DaemonSettings;
use toucanshelf_runtime::settings::LogSettings;

/// Settings of a control instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ControlSettings {
    /// Name of the instance, unique among control instances.
    pub name: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Listen address of the operators' API.
    pub listen: SocketAddr,
    /// Listen address for links of gates, ingress instances and other control instances.
    pub link_listen: SocketAddr,
    /// Secret key that authenticates links between all processes of the system.
    pub link_key: Box<str>,
    /// Folder for persistent data.
    pub data_folder: PathBuf,
    /// Link addresses of the other control instances.
    #[serde(default)]
    pub replicas: Vec<SocketAddr>,
    /// Whether this instance creates the log, once all others have reported empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// SHA-256 digests of the operators' bearer tokens.
    pub operator_token_digests: Vec<Digest>,
    /// Settings for a platform whose operators replace the deployment as a whole.
    pub deployment: Option<DeploymentSettings>,
    /// Settings of logs and traces.
    #[serde(default)]
    pub log: LogSettings,
}

/// Settings for serving a platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DeploymentSettings {
    /// Listen address of the API for the platform's operators and targets.
    pub listen: SocketAddr,
    /// Addresses of instances through which the others are discovered.
    ///
    /// Each is the `listen` address of an instance; its link has the port of `link_listen`.
    pub seeds: Vec<SocketAddr>,
    /// Whether the instances in `seeds` create a new log as its initial voters.
    #[serde(default)]
    pub bootstrap: bool,
    /// Number of instances that may fail at the same time without data loss.
    #[serde(default = "default_losses")]
    pub tolerated_losses: usize,
    /// Interval between heartbeats of a target, in milliseconds.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_ms: u64,
}

fn default_losses() -> usize {
    1
}

fn default_heartbeat() -> u64 {
    1_200
}

impl ControlSettings {
    /// Returns the key that authenticates links.
    ///
    /// # Errors
    ///
    /// Fails when the key is too short.
    pub fn shared_key(&self) -> Result<SharedKey, Box<str>> {
        SharedKey::new(self.link_key.clone()).map_err(|e| format!("link-key: {e}").into())
    }

    /// Returns the names of the initial voters of a new log.
    ///
    /// On a platform, instances are named by their IP addresses. The list is empty if the
    /// instance joins an existing log.
    pub fn initial_voters(&self) -> Vec<Box<str>> {
        let deployment = self.deployment.as_ref();
        let seeds = deployment.filter(|deployment| deployment.bootstrap);
        let seeds = seeds.into_iter().flat_map(|deployment| &deployment.seeds);
        seeds.map(|seed| seed.ip().to_string().into()).collect()
    }

    /// Returns the link addresses of the other instances in the settings.
    pub fn known_links(&self) -> Vec<SocketAddr> {
        let deployment = self.deployment.iter();
        let seeds = deployment.flat_map(|deployment| &deployment.seeds);
        let port = self.link_listen.port();
        let links = seeds.map(|seed| SocketAddr::new(seed.ip(), port));
        let links = links.filter(|link| *link != self.link_listen);
        self.replicas.iter().copied().chain(links).collect()
    }

    /// Returns whether the settings name no other replicas.
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
        if self.replicas.len() > 4 {
            return Err("replicas: at most 4 other control instances".into());
        }
        Ok(())
    }

    fn log(&self) -> &LogSettings {
        &self.log
    }
}
