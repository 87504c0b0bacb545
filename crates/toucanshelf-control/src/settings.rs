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
    /// Availability zone.
    pub zone: Box<str>,
    /// Address for operators.
    pub listen: SocketAddr,
    /// Address for gates and other control instances.
    pub link_listen: SocketAddr,
    /// Key that all processes of the system share.
    pub link_key: Box<str>,
    /// Folder for everything that must survive.
    pub data_folder: PathBuf,
    /// Link addresses of the other control instances.
    #[serde(default)]
    pub replicas: Vec<SocketAddr>,
    /// Whether this instance founds the log, once all others have said that theirs is empty.
    #[serde(default)]
    pub bootstrap: bool,
    /// SHA-256 digests of the operators' tokens.
    pub operator_token_digests: Vec<Digest>,
    /// Deployment that a platform's operators replace as a whole.
    pub deployment: Option<DeploymentSettings>,
    /// Logs and traces.
    #[serde(default)]
    pub log: LogSettings,
}

/// Settings of the part that serves a platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DeploymentSettings {
    /// Address for the platform's operators and targets.
    pub listen: SocketAddr,
    /// Addresses, as in `listen`, of instances to find the others through.
    pub seeds: Vec<SocketAddr>,
    /// Whether the instances in `seeds` found a new log together.
    #[serde(default)]
    pub bootstrap: bool,
    /// Instances whose loss at the same time must lose nothing.
    #[serde(default = "default_losses")]
    pub tolerated_losses: usize,
    /// Time between heartbeats of a target, in milliseconds.
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
    /// Key that all processes share.
    ///
    /// # Errors
    ///
    /// Fails when the key is too short.
    pub fn shared_key(&self) -> Result<SharedKey, Box<str>> {
        SharedKey::new(self.link_key.clone()).map_err(|e| format!("link-key: {e}").into())
    }

    /// Names of the instances that found a new log together; empty to join an existing one.
    ///
    /// On a platform, instances are named by their addresses.
    pub fn founders(&self) -> Vec<Box<str>> {
        let deployment = self.deployment.as_ref();
        let seeds = deployment.filter(|deployment| deployment.bootstrap);
        let seeds = seeds.into_iter().flat_map(|deployment| &deployment.seeds);
        seeds.map(|seed| seed.ip().to_string().into()).collect()
    }

    /// Link addresses of the instances named in the settings.
    pub fn known_links(&self) -> Vec<SocketAddr> {
        let deployment = self.deployment.iter();
        let seeds = deployment.flat_map(|deployment| &deployment.seeds);
        let port = self.link_listen.port();
        let links = seeds.map(|seed| SocketAddr::new(seed.ip(), port));
        let links = links.filter(|link| *link != self.link_listen);
        self.replicas.iter().copied().chain(links).collect()
    }

    /// Whether this is the only control instance.
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
