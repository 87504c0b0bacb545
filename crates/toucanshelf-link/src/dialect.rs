//! Interface to the HTTP protocol of a particular platform.
//!
//! A [`Dialect`] decodes messages from callers, targets and operators into the project's types and
//! encodes the messages that are sent to them. It makes no routing decisions. Each program selects
//! its dialect at start-up; all other code depends on this trait only.
//!
//! A deployment is a versioned document with the platform's routes, services and organisations. A
//! registration is the state that a target reports with each heartbeat, and an incarnation is one
//! run of a target. An order tells an engine which layers of a model to hold. A route is the list
//! of engines that a request passes through.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, Method};
use toucanshelf_core::deployment::{Deployment, DeploymentError};
use toucanshelf_core::ids::{Incarnation, PromptPart};
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::rank::Rank;
use toucanshelf_core::registration::Registration;

/// A call to the platform's API on a control instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlCall {
    /// An operator replaces the current deployment.
    PutDeployment,
    /// A client reads the current deployment.
    GetDeployment,
    /// A target sends a heartbeat, which renews its registration.
    Renew {
        /// Identity of the target that sends the heartbeat.
        id: Box<str>,
    },
    /// A target reports that it leaves and must receive no further requests.
    Leave {
        /// Identity of the target that leaves.
        id: Box<str>,
    },
}

/// Values that a [`Dialect`] reads from the headers of a caller's request.
///
/// A value is `None` if the caller did not state it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Identifier that the caller gave to the request.
    pub id: Option<Box<str>>,
    /// Time limit that the caller set for the response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// API key of the caller's organisation.
    pub key: Option<Box<str>>,
    /// Number of tokens in the prompt, as stated by the caller.
    pub prompt_tokens: Option<u32>,
    /// Maximum number of tokens that the response may have.
    pub max_output_tokens: Option<u32>,
    /// Number of tokens that the caller expects in the response.
    pub expected_output_tokens: Option<u32>,
    /// Number of the last event that the caller received of a resumed stream.
    pub last_event: Option<u64>,
    /// Parts that the prompt shares with those of other requests, in order.
    pub shared_parts: Box<[PromptPart]>,
}

/// Values that a [`Dialect`] writes to the headers of a request to a target.
#[derive(Clone, Debug)]
pub struct TargetRequestMetadata<'a> {
    /// Identity of the target that the request is addressed to.
    pub target: &'a str,
    /// Time that remains until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Organisation of the caller, if API keys are in use.
    pub organisation: Option<&'a str>,
    /// Rank among the requests of the same service.
    ///
    /// With `None`, the service's requests have no ranks, and the headers by which the caller may
    /// have stated a priority are forwarded.
    pub rank: Option<Rank>,
    /// Engines of the route in order, each with the layers that it runs.
    ///
    /// Empty if the target is a plain service.
    pub hops: &'a [(SocketAddr, LayerRange)],
    /// Number of the event after which a resumed stream continues.
    ///
    /// `None` for a new stream.
    pub last_event: Option<u64>,
}

/// Values that a [`Dialect`] reads from the headers of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the request that the response belongs to.
    pub request_id: Option<Box<str>>,
    /// Whether the response carries a signature header; the signature is not verified.
    pub signed: bool,
    /// Whether the target states that it has not run the request.
    pub not_run: bool,
    /// Address of the engine that made the target refuse the request.
    ///
    /// It is one of the engines on the request's route.
    pub failed_engine: Option<SocketAddr>,
    /// Requests a second that the target accepts from all instances together, while it needs relief.
    pub request_rate_limit: Option<f64>,
    /// Time for which the target wants no requests from this instance.
    ///
    /// It counts only with a refusal.
    pub retry_after: Option<Duration>,
    /// Whether the target leaves and should get no more requests.
    pub leaving: bool,
}

/// State that an engine reports on request; it may have changed since.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Number of orders that the engine has started since its own start.
    pub orders_begun: u64,
    /// Whether the engine is executing an order.
    pub busy: bool,
    /// Layers that the engine has loaded.
    pub layers: Option<LayerRange>,
    /// Requests at this engine that wait for a later engine on their route.
    pub stalled: Vec<StalledRequest>,
    /// Incarnation of the engine that reports; `None` if the report doesn't state it.
    pub incarnation: Option<Incarnation>,
}

/// A request that waits for a later engine on its route.
#[derive(Clone, Debug, PartialEq)]
pub struct StalledRequest {
    /// Identifier that the caller gave to the request that waits.
    pub request_id: Box<str>,
    /// Address of the later engine, which makes no progress.
    pub address: SocketAddr,
}

/// An HTTP request to an engine, encoded by a [`Dialect`].
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// HTTP method of the request.
    pub method: Method,
    /// Path of the request.
    pub path: &'static str,
    /// Headers of the request, which name the engine that it is for.
    ///
    /// Any other engine answers status 421 and does nothing.
    pub headers: HeaderMap,
    /// JSON body of the request; empty if the request has no body.
    pub body: Vec<u8>,
}

/// One incarnation of an engine, and the address where it was last known to be.
///
/// After the engine has ended, another one may listen at the address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineInstance {
    /// Identity under which the engine has registered.
    pub id: Box<str>,
    /// Run of the engine that is meant.
    pub incarnation: Incarnation,
    /// Address that the engine has registered.
    pub address: SocketAddr,
}

/// Error for a platform's message that a [`Dialect`] could not decode.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("reading {what}: {cause}")]
pub struct DecodeError {
    /// Kind of message that could not be decoded.
    pub what: &'static str,
    /// Description of the problem in the message.
    pub cause: Box<str>,
}

/// Encoder and decoder for the HTTP protocol of a platform.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Decodes a call to a control instance from the HTTP method and path.
    ///
    /// Returns `None` if they belong to no call.
    fn control_call(&self, method: &Method, path: &str) -> Option<ControlCall>;

    /// Decodes a deployment document without checking whether its contents are consistent.
    ///
    /// # Errors
    ///
    /// Fails when any part of the deployment document cannot be decoded.
    fn deployment(&self, body: &[u8]) -> Result<Deployment, DeploymentError>;

    /// Decodes the body of a heartbeat from target `id` into its registration.
    ///
    /// # Errors
    ///
    /// Fails when a field of the heartbeat is missing or has the wrong type.
    fn registration(&self, id: &str, body: &[u8]) -> Result<Registration, DecodeError>;

    /// Decodes the body of a leaving target's call into its incarnation, if the call states it.
    ///
    /// # Errors
    ///
    /// Fails when the body cannot be decoded.
    fn leaving_incarnation(&self, body: &[u8]) -> Result<Option<Incarnation>, DecodeError>;

    /// Returns whether `path` is where the platform probes the readiness of an instance.
    fn is_readiness_probe(&self, path: &str) -> bool;

    /// Reads the platform's metadata from the headers of a caller's request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Replaces a caller's request headers with those for a target.
    ///
    /// `headers` is changed in place, and the values of `metadata` are written to it.
    fn target_headers(&self, headers: &mut HeaderMap, metadata: &TargetRequestMetadata<'_>);

    /// Replaces a caller's request headers with those for another ingress.
    ///
    /// `deadline_ms` is the time left until the caller's deadline, in milliseconds. `last_event` is
    /// the number of the last event that the caller has, if this ingress has sent any.
    fn relay_headers(&self, headers: &mut HeaderMap, deadline_ms: u64, last_event: Option<u64>);

    /// Reads the platform's metadata from the headers of a target's response.
    fn response_metadata(&self, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the name of the response header that repeats the caller's request identifier.
    fn request_id_header(&self) -> http::HeaderName;

    /// Encodes the request that asks the engine `target` for its state.
    fn report_call(&self, target: &str) -> EngineCall;

    /// Decodes the response to [`Dialect::report_call`].
    ///
    /// # Errors
    ///
    /// Fails when a field of the engine's report has the wrong type.
    fn report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Encodes the call that moves a running request to another route of engines.
    ///
    /// `hops` is the new route, and the call is sent to its first engine, `target`.
    fn reroute_call(
        &self,
        target: &str,
        request_id: &str,
        hops: &[(SocketAddr, LayerRange)],
    ) -> EngineCall;

    /// Returns the engine that a refusing response names as the cause, if any.
    ///
    /// `body` is the body of that response.
    fn refusing_engine(&self, body: &[u8]) -> Option<SocketAddr>;

    /// Encodes the order that tells the engine `target` to hold `layers`.
    ///
    /// If `orders_begun` is given, the engine executes the order only if that is the number of
    /// orders that it has started so far.
    fn place_call(&self, target: &str, layers: LayerRange, orders_begun: Option<u64>)
    -> EngineCall;
}
