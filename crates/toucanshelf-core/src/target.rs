//! Announcements that targets send to gates.
//!
//! A target is a model engine or a back end of a plain service, which runs no model.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;
use crate::layers::LayerRange;

/// Description that a target announces of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Announcement {
    /// Name of the target in any naming scheme.
    pub name: Box<str>,
    /// Number that increases each time a target starts under this name.
    pub incarnation: Incarnation,
    /// Availability zone of the target.
    pub zone: Box<str>,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Whether the target is a model engine or a plain service.
    pub role: TargetRole,
    /// Whether the target accepts new requests.
    #[serde(default)]
    pub phase: TargetPhase,
    /// Number of requests that the target states it can run at once.
    ///
    /// For each layer of a model, a gate adds up the slots of the engines that hold it. It runs no
    /// more requests for the model at once than the smallest of these sums. It does not limit the
    /// requests on a single target.
    pub slots: u32,
}

/// Role of a target, with the properties specific to it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum TargetRole {
    /// A model engine that holds a range of model layers.
    #[serde(rename_all = "kebab-case")]
    Engine {
        /// Name of the model in any naming scheme.
        model: Box<str>,
        /// Version of the model weights.
        version: Box<str>,
        /// Layers that the engine holds.
        layers: LayerRange,
        /// Kind of accelerator that the engine runs on.
        accelerator: Box<str>,
        /// Throughput of the held layers over all requests, in tokens per second.
        tokens_per_s: f64,
        /// Whether the engine checks the fencing tokens of orders to load layers.
        ///
        /// It then refuses an order whose token is outdated.
        #[serde(default)]
        keeps_fence: bool,
    },
    /// A target of a plain service.
    Service {
        /// Name of the service that the target belongs to.
        service: Box<str>,
    },
}

/// Phase of a target's life, which decides whether it accepts new requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetPhase {
    /// The target accepts new requests.
    #[default]
    Ready,
    /// The target finishes its requests and accepts no new ones.
    Draining,
    /// The target has left and serves no more requests in this incarnation.
    Left,
}

/// Maximum length of a name, zone, id or similar text, in bytes.
pub const MAX_TEXT_BYTES: usize = 128;
/// Maximum number of layers of a model.
pub const MAX_LAYERS: u32 = 4_096;
/// Maximum number of slots that a target can announce.
pub const MAX_SLOTS: u32 = 65_536;

impl Announcement {
    /// Checks those values that can be checked without the configuration.
    ///
    /// # Errors
    ///
    /// Fails with a description of the first invalid value.
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

/// Checks that a text has 1 to [`MAX_TEXT_BYTES`] bytes and no control characters.
///
/// # Errors
///
/// Fails with a description of the violated rule, which names `field`.
pub fn check_text(field: &str, text: &str) -> Result<(), Box<str>> {
    if text.is_empty() || text.len() > MAX_TEXT_BYTES {
        return Err(format!("{field} must have 1 to {MAX_TEXT_BYTES} bytes").into());
    }
    if text.chars().any(char::is_control) {
        return Err(format!("{field} must not have control characters").into());
    }
    Ok(())
}
