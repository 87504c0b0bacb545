//! A caller's request, read in full and matched to a route.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;
use toucanshelf_core::deployment::RequestKind;
use toucanshelf_link::dialect::RequestMetadata;

use crate::shared::Shared;
use crate::targets::TargetKey;

/// Margin before a deadline at which the caller gets the final answer.
// The answer must reach the caller before it gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Tokens that a request is taken to need where it does not say.
const DEFAULT_TOKENS: f64 = 1_000.0;

/// A caller's request.
#[derive(Debug)]
pub struct CallerRequest {
    /// What the head says beyond plain HTTP.
    pub facts: RequestMetadata,
    /// Method.
    pub method: Method,
    /// Path and query, as they came.
    pub uri: Uri,
    /// Headers without those that concern only one connection.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Name of the route.
    pub route: Box<str>,
    /// How the request may be repeated.
    pub kind: RequestKind,
    /// Time within which an answer earns its full worth.
    pub objective: Duration,
    /// Most targets on which the request may run.
    pub max_attempts: u32,
    /// Service that it goes to.
    pub service: Box<str>,
    /// Organisation of the caller.
    pub organisation: Option<Box<str>>,
    /// Version of the deployment that allowed it.
    pub version: u64,
    /// When its head was read.
    pub started: Instant,
    /// When the caller must have the final answer.
    pub deadline: Instant,
}

impl CallerRequest {
    /// Identifier, for logs.
    pub fn id(&self) -> &str {
        self.facts.id.as_deref().unwrap_or("-")
    }

    /// Time that is left for a target, in milliseconds; none when it has run out.
    pub fn left_ms(&self) -> Option<u64> {
        let left = self.deadline.checked_duration_since(Instant::now())?;
        let left = left.as_millis() as u64;
        (left > 0).then_some(left)
    }

    /// When the caller gets a final answer of our own.
    pub fn answer_due(&self) -> Instant {
        self.deadline
            .checked_sub(ANSWER_MARGIN)
            .unwrap_or(self.deadline)
    }

    /// Tokens that the request is expected to hold at its end.
    pub fn expected_tokens(&self) -> f64 {
        let facts = &self.facts;
        let Some(prompt) = facts.prompt_tokens else {
            return DEFAULT_TOKENS;
        };
        let answer = facts
            .expected_output_tokens
            .or(facts.max_output_tokens)
            .unwrap_or(0);
        f64::from(prompt) + f64::from(answer)
    }

    /// Milliseconds since the request began.
    pub fn age_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Counts a request at its targets until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
    /// Targets, the first of the route first, with the tokens times layers that the request takes there.
    targets: Vec<(TargetKey, f64)>,
}

impl InFlight {
    /// Counts a request at `targets`.
    pub fn new(shared: &Arc<Shared>, targets: Vec<(TargetKey, f64)>) -> Self {
        {
            let mut table = shared.targets();
            for (i, (key, token_layers)) in targets.iter().enumerate() {
                table.begin(*key, *token_layers, i == 0);
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
            table.end(*key, *token_layers, i == 0);
        }
    }
}
