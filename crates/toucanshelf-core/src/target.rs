//! Announcements of targets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;
use crate::layers::LayerRange;

/// What a target says about itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Announcement {
    /// Name in any of the naming schemes.
    pub name: Box<str>,
    /// Number that grows with each start under this name.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: Box<str>,
    /// Address that takes calls.
    pub address: SocketAddr,
    /// Model engine or plain service.
    pub role: TargetRole,
    /// Whether the target takes new work.
    #[serde(default)]
    pub phase: TargetPhase,
    /// Requests that the target runs at once.
    pub slots: u32,
}

/// What a target does.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum TargetRole {
    /// A model engine that holds a range of layers.
    #[serde(rename_all = "kebab-case")]
    Engine {
        /// Model, by any of its names.
        model: Box<str>,
        /// Version of the model's weights.
        version: Box<str>,
        /// Layers that the engine holds.
        layers: LayerRange,
        /// Kind of accelerator.
        accelerator: Box<str>,
        /// Tokens per second over all requests, for the held layers.
        tokens_per_s: f64,
        /// Whether the engine refuses orders with an old fencing number.
        #[serde(default)]
        keeps_fence: bool,
    },
    /// A plain service.
    Service {
        /// Service that the target belongs to.
        service: Box<str>,
    },
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetPhase {
    /// Takes new work.
    #[default]
    Ready,
    /// Finishes its work and takes nothing new.
    Draining,
    /// Has gone.
    Left,
}

/// Longest name, zone or other text in an announcement, in bytes.
pub const MAX_TEXT_BYTES: usize = 128;
/// Most layers that a model can have.
pub const MAX_LAYERS: u32 = 4_096;
/// Most slots that a target can announce.
pub const MAX_SLOTS: u32 = 65_536;

impl Announcement {
    /// Checks every bound that does not depend on the configuration.
    ///
    /// # Errors
    ///
    /// Returns the first bound that is not met.
    pub fn check(&self) -> Result<(), Box<str>> {
        check_text("name", &self.name)?;
        check_text("zone", &self.zone)?;
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return Err(format!("slots must lie in 1..={MAX_SLOTS}, not {}", self.slots).into());
        }
        match &self.role {
            TargetRole::Service { service } => check_text("service", service),
            TargetRole::Engine {
                model,
                version,
                layers,
                accelerator,
                tokens_per_s,
                ..
            } => {
                check_text("model", model)?;
                check_text("version", version)?;
                check_text("accelerator", accelerator)?;
                if layers.to() > MAX_LAYERS {
                    return Err(format!("layers {layers} exceed {MAX_LAYERS}").into());
                }
                if !(tokens_per_s.is_finite() && *tokens_per_s > 0.0) {
                    return Err("tokens-per-s must be greater than 0".into());
                }
                Ok(())
            }
        }
    }
}

/// Checks that a text is neither empty nor too long and has no control characters.
///
/// # Errors
///
/// Returns what is wrong, naming `field`.
pub fn check_text(field: &str, text: &str) -> Result<(), Box<str>> {
    if text.is_empty() || text.len() > MAX_TEXT_BYTES {
        return Err(format!("{field} must have 1 to {MAX_TEXT_BYTES} bytes").into());
    }
    if text.chars().any(char::is_control) {
        return Err(format!("{field} must not have control characters").into());
    }
    Ok(())
}
