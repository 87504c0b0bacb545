//! Interface to the HTTP protocol of a particular platform.
//!
//! A [`Dialect`] decodes messages from callers, targets and operators into the project's types and
//! encodes the messages that are sent to them. It makes no routing decisions. Each program selects
//! its dialect at start-up; all other code depends on this trait only.

use std::fmt;
use std::net::SocketAddr;

use http::{HeaderMap, Method};
use toucanshelf_core::deployment::{Deployment, DeploymentError};
use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::registration::Registration;

/// An API call that a control instance receives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlCall {
    /// Replaces the current deployment.
    PutDeployment,
    /// Returns the current deployment.
    GetDeployment,
    /// Renews a target's registration; targets send this as their heartbeat.
    Renew {
        /// Identity of the target that sends the heartbeat.
        id: Box<str>,
    },
    /// Removes a target's registration when the target leaves.
    Leave {
        /// Identity of the target that leaves.
        id: Box<str>,
    },
}

/// Platform-specific metadata from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Identifier of the caller's request.
    pub id: Option<Box<str>>,
    /// Time for which the caller waits for the response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// API key of the caller's organisation.
    pub key: Option<Box<str>>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: Option<u32>,
    /// Maximum number of tokens in the response.
    pub max_output_tokens: Option<u32>,
    /// Number of tokens that the caller expects in the response.
    pub expected_output_tokens: Option<u32>,
    /// Number of the last stream event that the caller received.
    pub last_event: Option<u64>,
}

/// Metadata that is written to the headers of a request to a target.
#[derive(Clone, Debug)]
pub struct TargetRequestMetadata<'a> {
    /// Identity of the target that the request is addressed to.
    pub target: &'a str,
    /// Time that remains until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Organisation of the caller, if API keys are in use.
    pub organisation: Option<&'a str>,
    /// Engines on the route, in order, with their layers; empty for a plain service.
    pub hops: &'a [(SocketAddr, LayerRange)],
    /// Number of the event after which a resumed stream continues.
    pub last_event: Option<u64>,
}

/// Platform-specific metadata from the headers of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the request that the response belongs to.
    pub request_id: Option<Box<str>>,
    /// Whether the response carries a signature, which is not verified.
    pub signed: bool,
    /// Whether the target states that it has not run the request.
    pub not_run: bool,
    /// Engine that caused the target to refuse the request.
    pub failed_engine: Option<SocketAddr>,
}

/// State of an engine when it sent the report; it may since have changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Number of orders that the engine has started since its own start.
    pub orders_begun: u64,
    /// Whether the engine is executing an order.
    pub busy: bool,
    /// Layers that the engine has loaded.
    pub layers: Option<LayerRange>,
    /// Requests that wait for a later engine on their route.
    pub stalled: Vec<StalledRequest>,
}

/// A request that waits for a later engine on its route.
#[derive(Clone, Debug, PartialEq)]
pub struct StalledRequest {
    /// Identifier of the stalled request.
    pub request_id: Box<str>,
    /// Address of the engine that makes no progress.
    pub address: SocketAddr,
}

/// An encoded HTTP request to an engine.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// HTTP method of the request.
    pub method: Method,
    /// Path of the request.
    pub path: &'static str,
    /// JSON body; empty if the request has no body.
    pub body: Vec<u8>,
}

/// Error for a message that could not be decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("reading {what}: {cause}")]
pub struct DecodeError {
    /// Kind of message that was being decoded.
    pub what: &'static str,
    /// Description of the decoding failure.
    pub cause: Box<str>,
}

/// Encoder and decoder for the HTTP protocol of a platform.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Decodes an API call from its method and path.
    ///
    /// Returns `None` if the path is unknown.
    fn control_call(&self, method: &Method, path: &str) -> Option<ControlCall>;

    /// Decodes a complete deployment without validating it.
    ///
    /// # Errors
    ///
    /// Fails when any part of the body cannot be decoded.
    fn deployment(&self, body: &[u8]) -> Result<Deployment, DeploymentError>;

    /// Decodes the body of a target's heartbeat.
    ///
    /// # Errors
    ///
    /// Fails when a field is missing or has the wrong type.
    fn registration(&self, id: &str, body: &[u8]) -> Result<Registration, DecodeError>;

    /// Returns the incarnation of the leaving target, if the body contains it.
    fn leaving_incarnation(&self, body: &[u8]) -> Option<Incarnation>;

    /// Returns whether `path` is the path of the instance's readiness probe.
    fn is_readiness_probe(&self, path: &str) -> bool;

    /// Decodes the headers of a caller's request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Converts a caller's headers in place into headers for a target.
    fn target_headers(&self, headers: &mut HeaderMap, metadata: &TargetRequestMetadata<'_>);

    /// Decodes the headers of a target's response.
    fn response_metadata(&self, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the name of the response header that carries the request identifier.
    fn request_id_header(&self) -> http::HeaderName;

    /// Encodes the request that asks an engine for its state.
    fn report_call(&self) -> EngineCall;

    /// Decodes the response to [`Dialect::report_call`].
    ///
    /// # Errors
    ///
    /// Fails when a field has the wrong type.
    fn report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Encodes the call that moves an in-flight request to a new route.
    ///
    /// The call is sent to the first engine of `hops`, the new route.
    fn reroute_call(&self, request_id: &str, hops: &[(SocketAddr, LayerRange)]) -> EngineCall;

    /// Returns the engine that caused the refusal of an order, if any.
    ///
    /// The engine is taken from the body of the response.
    fn refusing_engine(&self, body: &[u8]) -> Option<SocketAddr>;

    /// Encodes the order that makes an engine load `layers`.
    ///
    /// If `orders_begun` is given, the engine executes the order only if that is the number of
    /// orders that it has started so far.
    fn place_call(&self, layers: LayerRange, orders_begun: Option<u64>) -> EngineCall;
}
