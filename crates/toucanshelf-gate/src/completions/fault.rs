//! What can go wrong in an attempt.

/// What went wrong in an attempt.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Fault {
    /// An engine refused before running anything.
    #[error("{engine} refused: {reason}")]
    Refused {
        /// Name that the engine announced.
        engine: Box<str>,
        /// What it said.
        reason: Box<str>,
    },
    /// An engine does not accept connections.
    #[error("{engine} can't be reached: {reason}")]
    Unreachable {
        /// Name that the engine announced.
        engine: Box<str>,
        /// What happened.
        reason: Box<str>,
    },
    /// An engine's connection broke; it may have crashed.
    #[error("{engine} was lost: {reason}")]
    Lost {
        /// Name that the engine announced.
        engine: Box<str>,
        /// What happened.
        reason: Box<str>,
    },
    /// Nothing came for too long.
    #[error("no token came in time")]
    Silent,
    /// An engine broke the protocol.
    #[error("{engine} broke the protocol: {reason}")]
    Protocol {
        /// Name that the engine announced.
        engine: Box<str>,
        /// What happened.
        reason: Box<str>,
    },
    /// The deadline has passed.
    #[error("the deadline passed")]
    Deadline,
}
