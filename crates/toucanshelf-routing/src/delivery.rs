//! Check of token frames on their way to the caller.

use std::sync::LazyLock;

use toucanshelf_chart::{Chart, Machine};
use toucanshelf_core::engine::TokenFrame;
use toucanshelf_core::ids::Attempt;
use toucanshelf_core::layers::LayerRange;

static ATTEMPT_CHART: LazyLock<Chart> = LazyLock::new(|| {
    let text = include_str!("../../../charts/attempt.toml");
    Chart::parse(text).expect("charts/attempt.toml is checked")
});

/// Why a frame was dropped.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The frame belongs to another request.
    #[error("frame of request {0}")]
    OtherRequest(Box<str>),
    /// The frame belongs to an attempt that has been given up.
    #[error("frame of attempt {found}, not {expected}")]
    OtherAttempt {
        /// Current attempt.
        expected: Attempt,
        /// Attempt of the frame.
        found: Attempt,
    },
    /// A position was repeated or skipped.
    #[error("frame at position {found}, not {expected}")]
    WrongPosition {
        /// Position that comes next.
        expected: u32,
        /// Position of the frame.
        found: u32,
    },
    /// The token has not passed every layer once, in order.
    #[error("frame that has passed other layers than the route's")]
    WrongLayers,
    /// No frame is expected in the attempt's state.
    #[error("frame after the attempt has ended")]
    NotExpected,
}

/// Tokens of one request, delivered once each and in order over all its attempts.
#[derive(Clone, Debug)]
pub struct Delivery {
    request: Box<str>,
    attempt: Attempt,
    machine: Machine<'static>,
    layers: Vec<LayerRange>,
    delivered: Vec<Box<str>>,
}

impl Delivery {
    /// Starts the delivery of a request.
    pub fn new(request: impl Into<Box<str>>) -> Self {
        Self {
            request: request.into(),
            attempt: Attempt(0),
            machine: Machine::new(&ATTEMPT_CHART),
            layers: Vec::new(),
            delivered: Vec::new(),
        }
    }

    /// Starts a new attempt over a route with these layers; frames of older ones are refused.
    pub fn start_attempt(&mut self, layers: Vec<LayerRange>) -> Attempt {
        self.attempt = Attempt(self.attempt.0 + 1);
        self.machine = Machine::new(&ATTEMPT_CHART);
        self.fire("send");
        self.layers = layers;
        self.attempt
    }

    /// Ends the current attempt: `break`, `refuse` or `cancel` of `charts/attempt.toml`.
    pub fn end_attempt(&mut self, event: &str) {
        self.fire(event);
    }

    fn fire(&mut self, event: &str) {
        // An attempt that is over stays over.
        let _ = self.machine.fire(event);
    }

    /// Current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Tokens that the caller has.
    pub fn delivered(&self) -> &[Box<str>] {
        &self.delivered
    }

    /// Whether the last token has been delivered.
    pub fn is_finished(&self) -> bool {
        self.machine.state() == "finished"
    }

    /// Takes a frame; its token then goes to the caller.
    ///
    /// # Errors
    ///
    /// Fails, changing nothing, when the frame is not the next one of the current attempt.
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
