//! Callers' requests, read in full and matched to a route.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;
use toucanshelf_core::deployment::RequestKind;
use toucanshelf_link::dialect::RequestMetadata;

use crate::shared::Shared;
use crate::targets::TargetKey;

/// Time before the deadline at which the caller gets the final response.
// The response must reach the caller before its deadline passes.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// Expected tokens of a request that doesn't state its prompt length.
const DEFAULT_EXPECTED_TOKENS: f64 = 1_000.0;

/// A caller's request.
#[derive(Debug)]
pub struct CallerRequest {
    /// Platform-specific information from the request head.
    pub facts: RequestMetadata,
    /// HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// Headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Name of the matching route.
    pub route: Box<str>,
    /// Kind of the request, which decides whether it may be repeated.
    pub kind: RequestKind,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Maximum number of targets on which the request may run.
    pub max_attempts: u32,
    /// Name of the service that handles the request.
    pub service: Box<str>,
    /// Organisation of the caller, if keys are in use.
    pub organisation: Option<Box<str>>,
    /// Version of the deployment that matched the request.
    pub version: u64,
    /// Time at which the request head was read.
    pub started: Instant,
    /// Time by which the caller must have the final response.
    pub deadline: Instant,
}

impl CallerRequest {
    /// Identifier for logs; `-` if the request has none.
    pub fn id(&self) -> &str {
        self.facts.id.as_deref().unwrap_or("-")
    }

    /// Time left until the deadline, in milliseconds; `None` once it has passed.
    pub fn remaining_ms(&self) -> Option<u64> {
        let left = self.deadline.checked_duration_since(Instant::now())?;
        let left = left.as_millis() as u64;
        (left > 0).then_some(left)
    }

    /// Time by which the ingress must send the final response.
    pub fn response_due(&self) -> Instant {
        self.deadline
            .checked_sub(RESPONSE_MARGIN)
            .unwrap_or(self.deadline)
    }

    /// Expected number of tokens of prompt and completion together.
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

/// Guard that counts a request towards its targets' load until dropped.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
    /// Targets in the order of the route.
    ///
    /// The second value is the number of tokens times the number of layers at the target.
    targets: Vec<(TargetKey, f64)>,
}

impl InFlight {
    /// Adds a request to the load of `targets`, in the order of the route.
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
