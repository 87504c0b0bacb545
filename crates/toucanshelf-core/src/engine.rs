//! Messages sent to engines and between engines.
//!
//! A gate sends a request to the first engine of a pipeline route, which is a sequence of engines
//! that together run all layers of a model. It receives the generated tokens back.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{Attempt, Incarnation};
use crate::layers::LayerRange;

/// One engine of a pipeline route and the layers that it runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hop {
    /// Name of the engine.
    pub engine: Box<str>,
    /// Incarnation of the engine as known to the gate.
    ///
    /// The engine refuses the request if it has been restarted as a later incarnation.
    pub incarnation: Incarnation,
    /// Address at which the engine accepts requests.
    pub address: SocketAddr,
    /// Layers to run on this engine.
    pub layers: LayerRange,
}

/// Body of `POST /v1/pipeline/run`, which starts one attempt of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunRequest {
    /// Id of the request, repeated in every token frame.
    pub request: Box<str>,
    /// Number of the attempt, repeated in every token frame.
    pub attempt: Attempt,
    /// Model that the request is for.
    pub model: Box<str>,
    /// Text of the prompt.
    pub prompt: Box<str>,
    /// Tokens already delivered to the caller by earlier attempts.
    pub delivered: Vec<Box<str>>,
    /// Maximum number of tokens in the whole answer, including `delivered`.
    pub max_tokens: u32,
    /// Priority of the request; larger values run first.
    pub priority: u8,
    /// Engines in layer order; the first one receives this message.
    pub route: Vec<Hop>,
}

/// One generated token, sent as a line of JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TokenFrame {
    /// Id of the request that the token belongs to.
    pub request: Box<str>,
    /// Number of the attempt that generated the token.
    pub attempt: Attempt,
    /// Zero-based position of the token in the answer.
    pub position: u32,
    /// Layer ranges that have processed the token, in order.
    pub layers: Vec<LayerRange>,
    /// Text of the token.
    pub token: Box<str>,
    /// Whether this is the last token of the answer.
    pub last: bool,
}

/// One line of an engine's streamed response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineLine {
    /// The engine has accepted the request; tokens follow.
    Accepted,
    /// A generated token.
    Token(TokenFrame),
    /// An engine of the route failed.
    Broken {
        /// Name of the failed engine.
        engine: Box<str>,
        /// Cause of the failure.
        reason: Box<str>,
        /// Whether the engine refused before it ran any part of the request.
        not_run: bool,
    },
}

/// Body of `POST /v1/pipeline/cancel`, which stops the attempts of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CancelRequest {
    /// Id of the request to stop.
    pub request: Box<str>,
    /// Highest attempt to stop; all attempts up to this number are stopped.
    pub attempt: Attempt,
}

/// Body of `POST /v1/orders`, which changes the layers that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EngineOrder {
    /// Fencing token, which increases with every order.
    ///
    /// With it an engine can recognise an order that was overtaken by a newer one.
    pub fence: Fence,
    /// Model to load.
    pub model: Box<str>,
    /// Version of the model weights.
    pub version: Box<str>,
    /// Layers to load.
    pub layers: LayerRange,
}

/// Fencing token of an order to load layers, compared by term and then sequence.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fence {
    /// Election term of the control leader that sent the order.
    pub term: u64,
    /// Number of the order within the term.
    pub sequence: u64,
}
