//! Outcomes of requests and the stable codes of refusals.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Answered completely.
    Complete,
    /// No target ran any part of it.
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

/// A refusal or failure with a stable code.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize, thiserror::Error)]
#[error("{code}: {message}")]
pub struct Refusal {
    /// What became of the request.
    pub outcome: Outcome,
    /// Stable code.
    pub code: Code,
    /// What was being done, then the cause.
    pub message: Box<str>,
    /// Names the caller could have meant.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<Box<str>>,
    /// Seconds after which a new try makes sense.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(code: Code, message: impl Into<Box<str>>) -> Self {
        Self::new(Outcome::NotRun, code, message)
    }

    /// A refusal with the given outcome.
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

    /// Adds the names the caller could have meant.
    #[must_use]
    pub fn with_candidates(mut self, candidates: Vec<Box<str>>) -> Self {
        self.candidates = candidates;
        self
    }

    /// Adds the time after which a new try makes sense.
    #[must_use]
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident $text:literal $status:literal;)*) => {
        /// Stable code of a refusal.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Code { $($(#[$doc])* $name,)* }

        impl Code {
            /// All codes.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Text of the code, as it stands in answers.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// HTTP status that goes with the code.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }
        }
    };
}

codes! {
    /// No credentials, or unknown ones.
    Unauthorized "unauthorized" 401;
    /// The credentials don't allow the call.
    Forbidden "forbidden" 403;
    /// The body or a header is malformed.
    BadRequest "bad_request" 400;
    /// The body exceeds the limit.
    TooLarge "too_large" 413;
    /// A name means nothing.
    UnknownName "unknown_name" 404;
    /// A bare name means several things.
    AmbiguousName "ambiguous_name" 409;
    /// No set of targets covers all layers of the model.
    NoRoute "no_route" 503;
    /// No target of the service is ready.
    NoTarget "no_target" 503;
    /// The call needs an `Idempotency-Key`.
    KeyMissing "key_missing" 400;
    /// The key was used with another body.
    KeyReused "key_reused" 422;
    /// The call under this key is still running.
    InProgress "in_progress" 409;
    /// The call under this key may have run.
    MayHaveRun "may_have_run" 409;
    /// The recorded answer under this key is no longer kept.
    KeySpent "key_spent" 409;
    /// The deadline has passed.
    DeadlinePassed "deadline_passed" 408;
    /// The organisation or the gate has too much work.
    Overloaded "overloaded" 429;
    /// No quorum of control instances can be reached.
    NoQuorum "no_quorum" 503;
    /// The gate has no configuration yet, or is stopping.
    NotReady "not_ready" 503;
    /// Targets failed more often than the retry limit allows.
    RetriesExhausted "retries_exhausted" 502;
    /// A target answered in a way that breaks the protocol.
    ProtocolBroken "protocol_broken" 502;
    /// The target's connection broke during the call.
    TargetLost "target_lost" 502;
    /// The request is suspected of crashing targets.
    Quarantined "quarantined" 422;
    /// The ticket number already has another content.
    Conflict "conflict" 409;
    /// A newer ticket has touched the same objects.
    Superseded "superseded" 409;
    /// The ticket does not fit the configuration.
    Invalid "invalid" 422;
    /// The ticket number has no verdict.
    UnknownTicket "unknown_ticket" 404;
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
