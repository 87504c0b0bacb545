//! What a target says of itself, as control and gates pass it on.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;
use crate::layers::LayerRange;

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Readiness {
    /// Takes requests.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Has left.
    Gone,
}

/// Latest word of one start of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Registration {
    /// Identity that the target chose; a restarted target may keep it.
    pub id: Box<str>,
    /// Time of the target's start, which orders its incarnations.
    pub incarnation: Incarnation,
    /// Grows with each word of one incarnation.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: Box<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Box<str>,
    /// Whether it takes requests.
    pub readiness: Readiness,
    /// Accelerator, where it is an engine.
    pub accelerator: Option<Box<str>>,
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
}

impl Registration {
    /// Whether this word is newer than `other` about the same target or address.
    ///
    /// A target that has left stays gone until it starts anew, whatever arrives late.
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
