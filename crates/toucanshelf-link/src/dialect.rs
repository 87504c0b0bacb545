//! Border towards a platform's own manner of speaking.
//!
//! A [`Dialect`] decodes what callers, targets and operators send into the project's types, and
//! encodes what they get. It decides nothing. The programs choose the dialect; everything else
//! knows only this trait.

use std::fmt;
use std::net::SocketAddr;

use http::{HeaderMap, Method};
use toucanshelf_core::deployment::{Deployment, DeploymentError};
use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::registration::Registration;

/// A call to a control instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlCall {
    /// Replaces the deployment.
    PutDeployment,
    /// Reads the deployment in force.
    GetDeployment,
    /// A target's heartbeat.
    Renew {
        /// Identity of the target.
        id: Box<str>,
    },
    /// A target leaves.
    Leave {
        /// Identity of the target.
        id: Box<str>,
    },
}

/// What a caller's head says beyond plain HTTP.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFacts {
    /// Identifier of the request.
    pub id: Option<Box<str>>,
    /// Time for which the caller will wait, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Key of the caller's organisation.
    pub key: Option<Box<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// Most tokens that the answer may have.
    pub answer_limit: Option<u32>,
    /// Caller's estimate of the tokens in the answer.
    pub answer_hint: Option<u32>,
    /// Last event that the caller already has.
    pub last_event: Option<u64>,
}

/// What is set on a request for a target.
#[derive(Clone, Debug)]
pub struct TargetHead<'a> {
    /// Identity of the target that is meant.
    pub target: &'a str,
    /// Time that is left, in milliseconds.
    pub deadline_ms: u64,
    /// Organisation of the caller, where keys are in use.
    pub organisation: Option<&'a str>,
    /// Engines that the request passes, in order; empty for a plain service.
    pub hops: &'a [(SocketAddr, LayerRange)],
    /// Event after which a resumed stream goes on.
    pub last_event: Option<u64>,
}

/// What a target's answer says beyond plain HTTP.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFacts {
    /// Identifier of the request that is answered.
    pub request_id: Option<Box<str>>,
    /// Whether the target has signed the answer.
    pub sealed: bool,
    /// Whether the target states that the request has not run.
    pub not_run: bool,
    /// Engine that is the cause of a refusal.
    pub at_fault: Option<SocketAddr>,
}

/// State of an engine, a little late.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Number of orders that the engine has begun since its start.
    pub orders_begun: u64,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Layers held.
    pub layers: Option<LayerRange>,
    /// Engines on which requests wait, with the requests' identifiers.
    pub stalled: Vec<StalledRequest>,
}

/// A request that waits for an engine further on.
#[derive(Clone, Debug, PartialEq)]
pub struct StalledRequest {
    /// Identifier of the request.
    pub request_id: Box<str>,
    /// Engine that does not go on.
    pub address: SocketAddr,
}

/// An encoded call to an engine.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'static str,
    /// JSON body; empty where there is none.
    pub body: Vec<u8>,
}

/// A message that can't be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("reading {what}: {cause}")]
pub struct DecodeError {
    /// What was read.
    pub what: &'static str,
    /// Cause.
    pub cause: Box<str>,
}

/// A platform's manner of speaking.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// What a call to control asks for; none where the path is unknown.
    fn control_call(&self, method: &Method, path: &str) -> Option<ControlCall>;

    /// Reads a whole deployment; it is not checked yet.
    ///
    /// # Errors
    ///
    /// Fails when any part can't be read.
    fn deployment(&self, body: &[u8]) -> Result<Deployment, DeploymentError>;

    /// Reads a target's heartbeat.
    ///
    /// # Errors
    ///
    /// Fails when a field is missing or of another type.
    fn registration(&self, id: &str, body: &[u8]) -> Result<Registration, DecodeError>;

    /// Start of the target that leaves, where the call names it.
    fn leaving_incarnation(&self, body: &[u8]) -> Option<Incarnation>;

    /// Whether a path asks if the instance takes requests.
    fn is_readiness_probe(&self, path: &str) -> bool;

    /// Reads a caller's head.
    fn request_facts(&self, headers: &HeaderMap) -> RequestFacts;

    /// Turns a caller's headers into those of a request for a target.
    fn target_headers(&self, headers: &mut HeaderMap, head: &TargetHead<'_>);

    /// Reads the head of a target's answer.
    fn answer_facts(&self, headers: &HeaderMap) -> AnswerFacts;

    /// Name under which an own answer repeats the request's identifier.
    fn request_id_header(&self) -> http::HeaderName;

    /// Call that asks an engine for its state.
    fn report_call(&self) -> EngineCall;

    /// Reads the answer to [`Dialect::report_call`].
    ///
    /// # Errors
    ///
    /// Fails when a field is of another type.
    fn report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Call that moves a request under way to the route over `hops`, at its first engine.
    fn reroute_call(&self, request_id: &str, hops: &[(SocketAddr, LayerRange)]) -> EngineCall;

    /// Engine that is the cause of a refused order, where the answer names one.
    fn refused_at(&self, body: &[u8]) -> Option<SocketAddr>;

    /// Call that orders an engine to hold `layers`, if it has begun `orders_begun` orders.
    fn place_call(&self, layers: LayerRange, orders_begun: Option<u64>) -> EngineCall;
}
