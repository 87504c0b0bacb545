//! Deployment: the routes, services and organisations that operators replace as a whole.
//!
//! A deployment stands beside the objects that tickets touch. It carries a version of its own,
//! and the highest version is in force. The document that operators sent is kept as it came.

use std::collections::BTreeSet;
use std::time::Duration;

/// How a request may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Answered by a stream of numbered events.
    Stream {
        /// Whether another target may go on after the last delivered event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether the request may run a second time.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// Share of a route's requests that a service gets.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Name of the service.
    pub service: Box<str>,
    /// Weight against the other shares of the route.
    pub weight: u32,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Box<str>,
    /// Host that the caller names.
    pub host: Box<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// How its requests may be repeated.
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event, earns its full worth.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests.
    pub shares: Vec<Share>,
    /// Most targets on which one request may run.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// Accelerator kind of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// Name, as engines announce it.
    pub name: Box<str>,
    /// Memory for layers and requests, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of a decoding step.
    pub step_factor: f64,
    /// Factor on the time to read a prompt.
    pub read_factor: f64,
}

/// Model that a service's engines run layer by layer.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Number of layers.
    pub layers: u32,
    /// Memory of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// Memory that one token of a request takes over all layers, in bytes.
    pub token_bytes: f64,
    /// Requests that an engine takes as the first of a route.
    pub slots: u32,
    /// Time of one decoding step through all layers, in milliseconds.
    pub step_ms: f64,
    /// Addition to a step for each request that decodes, in milliseconds.
    pub per_request_ms: f64,
    /// Prompt tokens read in a second through all layers.
    pub read_per_s: f64,
    /// Time to load all layers, in seconds.
    pub load_s: f64,
    /// Mean number of prompt tokens.
    pub usual_prompt: f64,
    /// Mean number of generated tokens.
    pub usual_answer: f64,
    /// Accelerators that engines may have.
    pub accelerators: Vec<Accelerator>,
}

impl ModelSpec {
    /// Memory that one token takes in one layer, in megabytes.
    pub fn token_layer_mb(&self) -> f64 {
        self.token_bytes / f64::from(self.layers.max(1)) / 1e6
    }

    /// Accelerator of that name.
    pub fn accelerator(&self, name: &str) -> Option<&Accelerator> {
        self.accelerators.iter().find(|kind| &*kind.name == name)
    }
}

/// A service and what its targets have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub name: Box<str>,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Model, where the targets are engines that hold layers.
    pub model: Option<ModelSpec>,
}

/// Bounds on what callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time to send a request head.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// An organisation and the keys that its callers send.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationKeys {
    /// Name.
    pub name: Box<str>,
    /// Keys.
    pub keys: Vec<Box<str>>,
}

/// A whole deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Version; the highest is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Organisations; where there are none, no key is asked for.
    pub organisations: Vec<OrganisationKeys>,
}

/// Why a deployment is invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DeploymentError {
    /// The document can't be read in full.
    #[error("reading the deployment: {0}")]
    Unreadable(Box<str>),
    /// A route names a service that is not there.
    #[error("route `{route}` names the unknown service `{service}`")]
    UnknownService {
        /// The route.
        route: Box<str>,
        /// The service.
        service: Box<str>,
    },
    /// Two routes have the same host and prefix.
    #[error("two routes share the host `{host}` and the prefix `{path_prefix}`")]
    SamePlace {
        /// The host.
        host: Box<str>,
        /// The prefix.
        path_prefix: Box<str>,
    },
    /// The weights of a route add up to 0.
    #[error("the weights of route `{0}` add up to 0")]
    NoWeight(Box<str>),
    /// A route's timeout is 0.
    #[error("the timeout of route `{0}` is 0")]
    NoTimeout(Box<str>),
    /// Two organisations share a key.
    #[error("the organisations `{0}` and another one share a key")]
    SharedKey(Box<str>),
}

impl Deployment {
    /// Checks what the format can't express.
    ///
    /// # Errors
    ///
    /// Fails with the first thing that is wrong.
    pub fn check(&self) -> Result<(), DeploymentError> {
        let services: BTreeSet<_> = self.services.iter().map(|spec| &*spec.name).collect();
        let mut places = BTreeSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !places.insert((&route.host, &route.path_prefix)) {
                return Err(DeploymentError::SamePlace {
                    host: route.host.clone(),
                    path_prefix: route.path_prefix.clone(),
                });
            }
        }
        let mut seen = BTreeSet::new();
        for organisation in &self.organisations {
            // A key that one organisation lists twice is harmless.
            let own: BTreeSet<_> = organisation.keys.iter().collect();
            if own.iter().any(|key| !seen.insert(*key)) {
                return Err(DeploymentError::SharedKey(organisation.name.clone()));
            }
        }
        Ok(())
    }

    /// Service of that name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|spec| &*spec.name == name)
    }

    /// The service whose engines hold layers, with its model.
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
        return Err(DeploymentError::NoWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(DeploymentError::NoTimeout(route.name.clone()));
    }
    Ok(())
}
