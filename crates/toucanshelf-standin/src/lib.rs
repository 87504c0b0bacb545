//! Stand-in engine and stand-in plain service, for tests and the quick start.
//!
//! Both implement the protocols of `docs/PROTOCOLS.md` and announce themselves like real targets.
//! Each runs on a tokio runtime of its own, so that [`engine::StandinEngine::kill`] breaks every
//! connection at once, as a crash would. An engine's answer depends on the prompt alone (see
//! [`answer::tokens`]), so that a test can check whether a caller received the complete answer to
//! its own request.
//!
//! ```
//! let tokens = toucanshelf_standin::answer::tokens("berth 4", 16);
//! assert_eq!(tokens, toucanshelf_standin::answer::tokens("berth 4", 16));
//! assert_ne!(tokens, toucanshelf_standin::answer::tokens("berth 5", 16));
//! ```

mod announce;
pub mod answer;
pub mod engine;
mod pipeline;
mod rate_limiter;
pub mod service;
pub mod settings;
