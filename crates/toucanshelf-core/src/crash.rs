//! Findings about request content that crashes the targets which run it.
//!
//! The ingresses make these findings and share them through the control instances.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{CrashId, PromptPart};

/// Position of [`Content::Request`], which is the most specific content of a request.
pub const WHOLE_REQUEST_POSITION: u8 = u8::MAX;

/// Content by which requests are compared when a target crashes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Content {
    /// A part that the prompts of several requests share.
    Part(PromptPart),
    /// A request as a whole, by a hash of its caller, method, path, shared prompt parts and body.
    Request(u64),
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part:{:x}", part.0),
            Self::Request(hash) => write!(f, "request:{hash:016x}"),
        }
    }
}

/// What happened to a request with some content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// A target crashed before it had answered the request to the end.
    Crashed {
        /// The crash, which other requests at the target report as well.
        crash: CrashId,
        /// Whether the request was a trial of the content.
        in_trial: bool,
    },
    /// A target answered the request to the end.
    Served {
        /// Crashes that were known by then, and that the content didn't cause.
        despite: Vec<CrashId>,
    },
    /// A request is sent as a trial, while others with the content wait.
    TrialStarted,
    /// A trial has ended without an answer and without a crash.
    TrialEnded,
}

impl Outcome {
    /// Returns whether a finding with this outcome tells of a trial that is under way.
    ///
    /// It is of no use to a process that receives it late.
    pub fn is_passing(&self) -> bool {
        matches!(self, Self::TrialStarted | Self::TrialEnded)
    }
}

/// A finding about one content of the requests to a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Service to which the request was sent.
    pub service: Box<str>,
    /// Content of the request that the finding is about.
    pub content: Content,
    /// Position of the content in the request; a later one is more specific.
    ///
    /// For a whole request it is [`WHOLE_REQUEST_POSITION`].
    pub position: u8,
    /// What happened to the request.
    pub outcome: Outcome,
}
