//! Errors that end an attempt to run a request.

/// Error that ended an attempt.
///
/// The error messages are part of the refusals that callers receive.
#[derive(Clone, Debug, thiserror::Error)]
pub enum AttemptError {
    /// An engine refused the request before running any part of it.
    #[error("{engine} refused: {reason}")]
    Refused {
        /// Name that the engine announced.
        engine: Box<str>,
        /// Reason that the engine gave for the refusal.
        reason: Box<str>,
    },
    /// A connection to the engine could not be opened.
    #[error("{engine} can't be reached: {reason}")]
    Unreachable {
        /// Name that the engine announced.
        engine: Box<str>,
        /// Description of the failed connection.
        reason: Box<str>,
    },
    /// The connection to an engine broke; the engine may have crashed.
    #[error("{engine} was lost: {reason}")]
    Lost {
        /// Name that the engine announced.
        engine: Box<str>,
        /// Description of the broken connection.
        reason: Box<str>,
    },
    /// The first engine did not accept the attempt, or no token arrived, in time.
    #[error("no token came in time")]
    Stalled,
    /// An engine violated the protocol.
    #[error("{engine} broke the protocol: {reason}")]
    Protocol {
        /// Name that the engine announced.
        engine: Box<str>,
        /// Description of how the engine violated the protocol.
        reason: Box<str>,
    },
    /// The deadline of the request passed.
    #[error("the deadline passed")]
    DeadlinePassed,
}
