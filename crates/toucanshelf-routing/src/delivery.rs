//! Validation of token frames on their way to the caller.
//!
//! A frame is an engine's message with one token of an answer. An attempt is one run of a request
//! over one route; after a failure, a new attempt continues the answer. A stage is an engine of the
//! route with the layers that it runs.

use std::sync::LazyLock;

use toucanshelf_chart::{Chart, Machine};
use toucanshelf_core::engine::TokenFrame;
use toucanshelf_core::ids::Attempt;
use toucanshelf_core::layers::LayerRange;

static ATTEMPT_CHART: LazyLock<Chart> = LazyLock::new(|| {
    let text = include_str!("../../../charts/attempt.toml");
    Chart::parse(text).expect("charts/attempt.toml is valid")
});

/// Reason why a frame must not be delivered to the caller.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The frame belongs to another request.
    #[error("frame of request {0}")]
    OtherRequest(Box<str>),
    /// The frame belongs to another attempt than the current one.
    #[error("frame of attempt {found}, not {expected}")]
    OtherAttempt {
        /// Number of the request's current attempt.
        expected: Attempt,
        /// Number of the attempt that the frame belongs to.
        found: Attempt,
    },
    /// The frame's token is not the next one of the answer.
    #[error("frame at position {found}, not {expected}")]
    WrongPosition {
        /// Position of the next token to deliver, counted from 0.
        expected: u32,
        /// Position of the frame's token, counted from 0.
        found: u32,
    },
    /// The token has not passed through the layers of the route's stages in order.
    #[error("frame that has passed other layers than the route's")]
    WrongLayers,
    /// The attempt is in a state that accepts no frames.
    #[error("frame after the attempt has ended")]
    NotExpected,
}

/// Accepts each token of a request's answer once and in order, over all attempts.
#[derive(Clone, Debug)]
pub struct Delivery {
    request: Box<str>,
    attempt: Attempt,
    machine: Machine<'static>,
    layers: Vec<LayerRange>,
    delivered: Vec<Box<str>>,
}

impl Delivery {
    /// Creates a delivery for a request that has had no attempt yet.
    pub fn new(request: impl Into<Box<str>>) -> Self {
        Self {
            request: request.into(),
            attempt: Attempt(0),
            machine: Machine::new(&ATTEMPT_CHART),
            layers: Vec::new(),
            delivered: Vec::new(),
        }
    }

    /// Starts a new attempt over a route whose stages run `layers`.
    ///
    /// Returns the new attempt's number. Frames of earlier attempts are rejected from now on.
    pub fn start_attempt(&mut self, layers: Vec<LayerRange>) -> Attempt {
        self.attempt = Attempt(self.attempt.0 + 1);
        self.machine = Machine::new(&ATTEMPT_CHART);
        self.fire("send");
        self.layers = layers;
        self.attempt
    }

    /// Ends the current attempt with an event of `charts/attempt.toml`.
    ///
    /// The event is `break`, `refuse` or `cancel`.
    pub fn end_attempt(&mut self, event: &str) {
        self.fire(event);
    }

    /// Fires an event of the attempt's state machine.
    fn fire(&mut self, event: &str) {
        // An event that the current state doesn't accept, such as any after the end, is ignored.
        let _ = self.machine.fire(event);
    }

    /// Number of the current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Tokens of all accepted frames, in order.
    pub fn delivered(&self) -> &[Box<str>] {
        &self.delivered
    }

    /// Whether the answer's last token has been accepted.
    pub fn is_finished(&self) -> bool {
        self.machine.state() == "finished"
    }

    /// Accepts a frame and appends its token to [`Self::delivered`].
    ///
    /// # Errors
    ///
    /// Fails without any change if the frame is not the next one of the current attempt.
    pub fn accept(&mut self, frame: &TokenFrame) -> Result<(), FrameError> {
        if frame.request != self.request {
            return Err(FrameError::OtherRequest(frame.request.clone()));
        }
        if frame.attempt != self.attempt {
            let (expected, found) = (self.attempt, frame.attempt);
            return Err(FrameError::OtherAttempt { expected, found });
        }
        let expected = self.delivered.len() as u32;
        if frame.position != expected {
            return Err(FrameError::WrongPosition {
                expected,
                found: frame.position,
            });
        }
        if frame.layers != self.layers {
            return Err(FrameError::WrongLayers);
        }
        self.machine
            .fire("frame")
            .map_err(|_| FrameError::NotExpected)?;
        self.delivered.push(frame.token.clone());
        if frame.last {
            self.fire("finish");
        }
        Ok(())
    }
}
