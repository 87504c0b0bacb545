//! Outcomes of requests and stable error codes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Final outcome of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was answered completely.
    Complete,
    /// No target ran any part of the request.
    NotRun,
    /// An idempotent request could not be finished.
    Failed,
    /// A non-idempotent request may or may not have taken effect.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Complete => "complete",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        })
    }
}

/// A rejected or failed request, with a stable error code.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize, thiserror::Error)]
#[error("{code}: {message}")]
pub struct Refusal {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Stable error code of the refusal.
    pub code: Code,
    /// Description of the failed operation and its cause, for human readers.
    pub message: Box<str>,
    /// Names that the caller could use instead of an ambiguous one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<Box<str>>,
    /// Recommended delay before a retry, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(code: Code, message: impl Into<Box<str>>) -> Self {
        Self::new(Outcome::NotRun, code, message)
    }

    /// Creates a refusal with the given outcome.
    pub fn new(outcome: Outcome, code: Code, message: impl Into<Box<str>>) -> Self {
        let retry_after_s = None;
        Self {
            outcome,
            code,
            message: message.into(),
            candidates: Vec::new(),
            retry_after_s,
        }
    }

    /// Adds the names that the caller could use instead of an ambiguous one.
    #[must_use]
    pub fn with_candidates(mut self, candidates: Vec<Box<str>>) -> Self {
        self.candidates = candidates;
        self
    }

    /// Adds the recommended delay before a retry, in seconds.
    #[must_use]
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident $text:literal $status:literal;)*) => {
        /// Stable error code of a refusal.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Code { $($(#[$doc])* $name,)* }

        impl Code {
            /// All error codes.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Returns the code as it is written in responses.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the HTTP status for the code.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }
        }
    };
}

codes! {
    /// The caller's credentials are missing or unknown.
    Unauthorized "unauthorized" 401;
    /// The caller's credentials do not permit the request.
    Forbidden "forbidden" 403;
    /// The request body or a header is malformed.
    BadRequest "bad_request" 400;
    /// The request body exceeds the size limit.
    TooLarge "too_large" 413;
    /// The request body stopped before its end.
    BodyStopped "body_stopped" 408;
    /// The bodies of other requests take the memory.
    NoMemory "no_memory" 503;
    /// The path exists, but not with this method.
    MethodNotAllowed "method_not_allowed" 405;
    /// The request names an object that does not exist.
    UnknownName "unknown_name" 404;
    /// A name given without a naming scheme denotes several objects.
    AmbiguousName "ambiguous_name" 409;
    /// No set of targets covers all layers of the model.
    NoRoute "no_route" 503;
    /// No target of the service is ready.
    NoTarget "no_target" 503;
    /// The call requires an `Idempotency-Key` header.
    KeyMissing "key_missing" 400;
    /// The idempotency key was used before for a different request.
    KeyReused "key_reused" 422;
    /// The call with this idempotency key is still running.
    InProgress "in_progress" 409;
    /// The call with this idempotency key may have run.
    MayHaveRun "may_have_run" 409;
    /// The answer for this idempotency key is no longer stored.
    KeySpent "key_spent" 409;
    /// The deadline of the request has passed.
    DeadlinePassed "deadline_passed" 408;
    /// The organisation or the gate has too many requests.
    Overloaded "overloaded" 429;
    /// No quorum of control instances is reachable.
    NoQuorum "no_quorum" 503;
    /// The gate has no configuration yet or is stopping, or the engine is draining.
    NotReady "not_ready" 503;
    /// Targets failed more often than the retry limit allows.
    RetriesExhausted "retries_exhausted" 502;
    /// An answer from a target or another program violates the protocol.
    ProtocolBroken "protocol_broken" 502;
    /// The connection to the target was lost during the call.
    TargetLost "target_lost" 502;
    /// The request is suspected of crashing targets.
    Quarantined "quarantined" 422;
    /// Different content was committed under the ticket number, or a fencing token is outdated.
    Conflict "conflict" 409;
    /// A newer ticket has changed some of the same objects.
    Superseded "superseded" 409;
    /// The ticket would make the configuration invalid.
    Invalid "invalid" 422;
    /// No verdict is stored for the ticket number.
    UnknownTicket "unknown_ticket" 404;
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
