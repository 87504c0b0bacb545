//! Deployment: the routes, services and organisations that operators replace as a whole.
//!
//! A deployment is independent of the objects that tickets change. It has its own version, and
//! the highest version is in effect. The document is stored exactly as the operator sent it.

use std::collections::BTreeSet;
use std::time::Duration;

/// Kind of a request, which decides whether it may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another target can continue the stream after the last delivered event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether the request may run again after a failure.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// Weighted share of a route's requests that a service receives.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Name of the service.
    pub service: Box<str>,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Route for the requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route in logs.
    pub name: Box<str>,
    /// Host that the caller requests.
    pub host: Box<str>,
    /// Path prefix, which begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Maximum time that a caller waits for a response.
    pub timeout: Duration,
    /// Latency objective: time until the answer, or until the first event of a stream.
    ///
    /// A response that takes longer is of less value to the caller.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time, if the route states one.
    pub gap_objective: Option<Duration>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services among which the requests are divided.
    pub shares: Vec<Share>,
    /// Maximum number of attempts in which targets may run a request.
    ///
    /// Attempts in which the request certainly did not run are not counted.
    pub max_attempts: u32,
    /// Whether callers may send requests without an API key.
    pub public: bool,
}

/// A kind of accelerator that a service's engines may have.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// Name of the kind, as engines announce it.
    pub name: Box<str>,
    /// Memory for model weights and requests, in megabytes.
    pub memory_mb: f64,
    /// Factor by which the time of a decoding step is multiplied on this accelerator.
    pub step_factor: f64,
    /// Factor by which the time to process a prompt is multiplied on this accelerator.
    pub read_factor: f64,
}

/// Size and speed of the model that a service's engines run.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Number of layers of the model.
    pub layers: u32,
    /// Memory for the weights of one layer, in megabytes.
    pub layer_mb: f64,
    /// Memory for one token of a request over all layers, in bytes.
    pub token_bytes: f64,
    /// Number of concurrent requests that an engine accepts as a pipeline's first engine.
    pub slots: u32,
    /// Time of one decoding step through all layers, in milliseconds.
    pub step_ms: f64,
    /// Additional step time for each decoding request, in milliseconds.
    pub per_request_ms: f64,
    /// Prompt tokens processed per second through all layers.
    pub read_per_s: f64,
    /// Time that an engine takes to load all layers, in seconds.
    pub load_s: f64,
    /// Mean number of prompt tokens of a request.
    pub mean_prompt_tokens: f64,
    /// Mean number of generated tokens of a request.
    pub mean_answer_tokens: f64,
    /// Kinds of accelerator that the engines may have.
    pub accelerators: Vec<Accelerator>,
}

impl ModelSpec {
    /// Returns the memory for one token in one layer, in megabytes.
    pub fn token_layer_mb(&self) -> f64 {
        self.token_bytes / f64::from(self.layers.max(1)) / 1e6
    }

    /// Returns the kind of accelerator with this name, if the model lists it.
    pub fn accelerator(&self, name: &str) -> Option<&Accelerator> {
        self.accelerators.iter().find(|kind| &*kind.name == name)
    }
}

/// A service and the properties that its targets share.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Box<str>,
    /// Maximum number of connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Model that the targets run, if they are engines.
    pub model: Option<ModelSpec>,
}

/// Size and time limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time that a caller may take to send a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// An organisation and the API keys of its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationKeys {
    /// Name of the organisation.
    pub name: Box<str>,
    /// API keys that the callers may send.
    pub keys: Vec<Box<str>>,
    /// Priority of the organisation's requests; 0 is the most urgent.
    ///
    /// It is compared before the priority of the route. `None` counts as the least urgent priority
    /// that any organisation states.
    pub priority: Option<u8>,
}

/// Routes, services, limits and organisations that operators replace as one document.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Version of the deployment; the one with the highest version is in effect.
    pub version: u64,
    /// Routes of all hosts.
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    pub services: Vec<ServiceSpec>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
    /// Organisations; if the list is empty, no API key is required.
    pub organisations: Vec<OrganisationKeys>,
}

/// Error from reading or checking a deployment.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DeploymentError {
    /// The deployment document cannot be decoded.
    #[error("reading the deployment: {0}")]
    Unreadable(Box<str>),
    /// A route refers to a service that is not defined.
    #[error("route `{route}` names the unknown service `{service}`")]
    UnknownService {
        /// Name of the route.
        route: Box<str>,
        /// Name of the missing service.
        service: Box<str>,
    },
    /// Two routes have the same host and path prefix.
    #[error("two routes share the host `{host}` and the prefix `{path_prefix}`")]
    DuplicateRoute {
        /// Host of both routes.
        host: Box<str>,
        /// Path prefix of both routes.
        path_prefix: Box<str>,
    },
    /// All share weights of a route are 0.
    #[error("the weights of route `{0}` add up to 0")]
    ZeroWeight(Box<str>),
    /// A route's timeout is 0.
    #[error("the timeout of route `{0}` is 0")]
    ZeroTimeout(Box<str>),
    /// Two organisations have the same API key.
    #[error("the organisations `{0}` and another one share a key")]
    DuplicateKey(Box<str>),
}

impl Deployment {
    /// Checks the rules that the format of the deployment document does not enforce.
    ///
    /// # Errors
    ///
    /// Fails with the first rule that is violated.
    pub fn check(&self) -> Result<(), DeploymentError> {
        let services: BTreeSet<_> = self.services.iter().map(|spec| &*spec.name).collect();
        let mut seen_prefixes = BTreeSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            // Hosts are matched without regard to case.
            let host = route.host.to_ascii_lowercase();
            if !seen_prefixes.insert((host, &route.path_prefix)) {
                return Err(DeploymentError::DuplicateRoute {
                    host: route.host.clone(),
                    path_prefix: route.path_prefix.clone(),
                });
            }
        }
        let mut seen_keys = BTreeSet::new();
        for organisation in &self.organisations {
            // The same key may appear twice within one organisation.
            let unique_keys: BTreeSet<_> = organisation.keys.iter().collect();
            if unique_keys.iter().any(|key| !seen_keys.insert(*key)) {
                return Err(DeploymentError::DuplicateKey(organisation.name.clone()));
            }
        }
        Ok(())
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|spec| &*spec.name == name)
    }

    /// Returns the names of all services.
    pub fn service_names(&self) -> impl Iterator<Item = Box<str>> {
        self.services.iter().map(|service| service.name.clone())
    }

    /// Returns the services whose engines run a model, with these models.
    pub fn models(&self) -> impl Iterator<Item = (&ServiceSpec, &ModelSpec)> {
        let models = self.services.iter();
        models.filter_map(|spec| spec.model.as_ref().map(|model| (spec, model)))
    }
}

fn check_route(route: &Route, services: &BTreeSet<&str>) -> Result<(), DeploymentError> {
    let unknown = route
        .shares
        .iter()
        .find(|share| !services.contains(&*share.service));
    if let Some(share) = unknown {
        return Err(DeploymentError::UnknownService {
            route: route.name.clone(),
            service: share.service.clone(),
        });
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        return Err(DeploymentError::ZeroWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(DeploymentError::ZeroTimeout(route.name.clone()));
    }
    Ok(())
}
