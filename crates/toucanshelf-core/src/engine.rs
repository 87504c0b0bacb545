//! Messages between a gate and the engines of a route.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{Attempt, Incarnation};
use crate::layers::LayerRange;

/// One engine of a route with the layers it runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hop {
    /// Name of the engine.
    pub engine: Box<str>,
    /// Incarnation that the gate knows; an engine that has restarted since refuses the hop.
    pub incarnation: Incarnation,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Layers to run there.
    pub layers: LayerRange,
}

/// Order to run one attempt of a request: `POST /v1/pipeline/run`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunRequest {
    /// Request that the frames belong to.
    pub request: Box<str>,
    /// Attempt that the frames belong to.
    pub attempt: Attempt,
    /// Model to run.
    pub model: Box<str>,
    /// Text of the prompt.
    pub prompt: Box<str>,
    /// Tokens that the caller already has.
    pub delivered: Vec<Box<str>>,
    /// Position after which the answer ends, unless it ends by itself.
    pub max_tokens: u32,
    /// Larger goes first.
    pub priority: u8,
    /// Engines from the first layer to the last; the receiver is the first.
    pub route: Vec<Hop>,
}

/// One token that has passed every layer, as a line of JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TokenFrame {
    /// Request that the token belongs to.
    pub request: Box<str>,
    /// Attempt that the token belongs to.
    pub attempt: Attempt,
    /// Position in the answer, counted from 0.
    pub position: u32,
    /// Layers that the token has passed, in order.
    pub layers: Vec<LayerRange>,
    /// Text of the token.
    pub token: Box<str>,
    /// Whether the answer ends here.
    pub last: bool,
}

/// A line from an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineLine {
    /// The prompt has been taken; tokens follow.
    Accepted,
    /// A token.
    Token(TokenFrame),
    /// An engine of the route could not go on.
    Broken {
        /// Engine that failed.
        engine: Box<str>,
        /// What happened.
        reason: Box<str>,
        /// Whether it refused before running anything.
        not_run: bool,
    },
}

/// Order to stop an attempt: `POST /v1/pipeline/cancel`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CancelRequest {
    /// Request to stop.
    pub request: Box<str>,
    /// Attempts up to this number are stopped.
    pub attempt: Attempt,
}

/// Order to change what an engine holds: `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EngineOrder {
    /// Fencing number; grows with every order.
    pub fence: Fence,
    /// Model to hold.
    pub model: Box<str>,
    /// Version of the weights.
    pub version: Box<str>,
    /// Layers to hold.
    pub layers: LayerRange,
}

/// Fencing number of an order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fence {
    /// Term of the leader that gave the order.
    pub term: u64,
    /// Count of orders within the term.
    pub sequence: u64,
}
