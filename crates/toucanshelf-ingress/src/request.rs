//! Callers' requests, read in full and matched to a route of the deployment.
//!
//! A deployment is a version of the configuration; its routes map hosts and paths to services. The
//! targets of a service are its back ends. On a service with a model, a request runs on a sequence
//! of targets, each of which runs some of the model's layers.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, Version};
use http_body_util::Full;
use tokio::time::Instant;
use toucanshelf_core::deployment::RequestKind;
use toucanshelf_core::rank::Rank;
use toucanshelf_link::dialect::RequestMetadata;

use crate::shared::Shared;
use crate::targets::TargetKey;

/// Time before the caller's deadline by which the ingress sends the final response.
// The response must reach the caller before the deadline passes.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// Expected number of tokens of a request that doesn't state its prompt length.
const DEFAULT_EXPECTED_TOKENS: f64 = 1_000.0;

/// A caller's complete request with the properties of its route.
#[derive(Debug)]
pub struct CallerRequest {
    /// Information from the request's headers, such as its identifier and token counts.
    pub facts: RequestMetadata,
    /// HTTP method.
    pub method: Method,
    /// URI of the request as received.
    pub uri: Uri,
    /// Headers of the request, without those that apply only to the caller's connection.
    pub headers: HeaderMap,
    /// Body of the request, read in full.
    pub body: Bytes,
    /// Name of the deployment's route that matches the request.
    pub route: Box<str>,
    /// Kind of the request, which decides whether it may run again after a failure.
    pub kind: RequestKind,
    /// Latency objective of the route.
    ///
    /// It applies to the response or, on streams, to the first event.
    pub objective: Duration,
    /// Maximum number of times that the request may run, including retries.
    ///
    /// A stream's run doesn't count if the engine that received the request has failed.
    pub max_attempts: u32,
    /// Name of the service that handles the request.
    pub service: Box<str>,
    /// Rank among the service's requests, the same in all attempts; `None` if they have no ranks.
    pub rank: Option<Rank>,
    /// Number of ranks of the service's requests, or 0 if they have none.
    pub ranks: usize,
    /// Organisation (customer) of the caller.
    ///
    /// `None` on public routes or if no organisation is configured.
    pub organisation: Option<Box<str>>,
    /// Version of the deployment that matched the request.
    pub version: u64,
    /// Longest time that the route allows for the response.
    pub allowed: Duration,
    /// Time at which the request head was read.
    pub started: Instant,
    /// Time by which the caller must have the final response.
    pub deadline: Instant,
    /// Whether another ingress has sent the request, for its caller.
    pub relayed: bool,
    /// Number of runs that another ingress has counted before it relayed the request.
    ///
    /// `None` if no target can have run it.
    pub earlier_runs: Option<u32>,
}

impl CallerRequest {
    /// Builds a request with the caller's method, path, headers and body.
    pub fn to_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = origin_form(&self.uri);
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.headers.clone();
        request
    }

    /// Returns the request's identifier for logs, or `-` if it has none.
    pub fn id(&self) -> &str {
        self.facts.id.as_deref().unwrap_or("-")
    }

    /// Returns the shared parts of the prompt for logs, in hexadecimal, joined by commas.
    pub fn shared_parts(&self) -> String {
        let parts = self.facts.shared_parts.iter();
        let parts: Vec<_> = parts.map(|part| format!("{:x}", part.0)).collect();
        parts.join(",")
    }

    /// Returns the time until the deadline, in milliseconds.
    ///
    /// Returns `None` if less than 1 ms is left.
    pub fn remaining_ms(&self) -> Option<u64> {
        let left = self.deadline.checked_duration_since(Instant::now())?;
        let left = left.as_millis() as u64;
        (left > 0).then_some(left)
    }

    /// Returns the time by which the ingress must send the final response.
    ///
    /// It is shortly before the deadline, so that the response arrives in time.
    pub fn response_due(&self) -> Instant {
        self.deadline
            .checked_sub(RESPONSE_MARGIN)
            .unwrap_or(self.deadline)
    }

    /// Returns the expected number of tokens in the prompt and the response together.
    pub fn expected_tokens(&self) -> f64 {
        let facts = &self.facts;
        let Some(prompt) = facts.prompt_tokens else {
            return DEFAULT_EXPECTED_TOKENS;
        };
        let completion = facts
            .expected_output_tokens
            .or(facts.max_output_tokens)
            .unwrap_or(0);
        f64::from(prompt) + f64::from(completion)
    }

    /// Time since the request head was read, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Returns the path and query of a request line, as they are sent to a target.
///
/// In a request line such as `GET http://host?query`, the path is empty, which stands for `/`.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let path: Cow<'_, str> = match path.chars().next() {
        None | Some('?') => format!("/{path}").into(),
        Some(_) => path.into(),
    };
    Uri::try_from(&*path).expect("the path was parsed as part of a URI")
}

/// Guard that counts a request towards its targets' load until dropped.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
    /// Targets that process the request, in this order, each with its load.
    ///
    /// The load is the request's number of tokens times the number of layers that the target runs
    /// for it.
    targets: Vec<(TargetKey, f64)>,
}

impl InFlight {
    /// Adds a request to the load of the targets that process it.
    ///
    /// `targets` are in the order in which they process it, each with the request's tokens times
    /// the layers that it uses there.
    pub fn new(shared: &Arc<Shared>, targets: Vec<(TargetKey, f64)>) -> Self {
        {
            let mut table = shared.targets();
            for (i, (key, token_layers)) in targets.iter().enumerate() {
                table.begin_request(*key, *token_layers, i == 0);
            }
        }
        Self {
            shared: Arc::clone(shared),
            targets,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut table = self.shared.targets();
        for (i, (key, token_layers)) in self.targets.iter().enumerate() {
            table.end_request(*key, *token_layers, i == 0);
        }
    }
}
