//! Registrations: the states that targets report, as the programs exchange them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;
use crate::layers::LayerRange;

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Readiness {
    /// The target accepts new requests.
    Ready,
    /// The target finishes its requests and accepts no new ones.
    Draining,
    /// The target no longer serves requests.
    Gone,
}

/// State last reported by one incarnation of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Registration {
    /// Id chosen by the target, which it may keep across restarts.
    pub id: Box<str>,
    /// Start time of this run of the target, in milliseconds since the Unix epoch.
    ///
    /// Later runs have larger values.
    pub incarnation: Incarnation,
    /// Number that increases with each heartbeat of the target within an incarnation.
    pub sequence: u64,
    /// Name of the service that the target belongs to.
    pub service: Box<str>,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: Box<str>,
    /// Whether the target accepts new requests.
    pub readiness: Readiness,
    /// Kind of accelerator that an engine runs on; `None` for other targets.
    pub accelerator: Option<Box<str>>,
    /// Model layers that the target holds, if any.
    pub layers: Option<LayerRange>,
}

impl Registration {
    /// Returns whether this registration replaces `other` for the same target or address.
    ///
    /// A target that has left stays gone until its next incarnation, even if heartbeats arrive
    /// late.
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.incarnation != other.incarnation {
            return self.incarnation > other.incarnation;
        }
        if self.id != other.id || other.readiness == Readiness::Gone {
            return false;
        }
        self.readiness == Readiness::Gone || self.sequence > other.sequence
    }
}
