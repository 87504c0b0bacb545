//! Stand-in engine and stand-in plain service for tests and the quick start.
//!
//! Both speak the protocol of `docs/PROTOCOLS.md` and announce themselves like real targets. Each
//! runs on threads of its own, so that [`engine::StandinEngine::kill`] drops every connection at
//! once, as a crash would. Answers are a function of the prompt alone ([`answer::tokens`]), so
//! that a test can tell whether a caller got the whole answer to its own request.
//!
//! ```
//! let tokens = toucanshelf_standin::answer::tokens("berth 4", 16);
//! assert_eq!(tokens, toucanshelf_standin::answer::tokens("berth 4", 16));
//! assert_ne!(tokens, toucanshelf_standin::answer::tokens("berth 5", 16));
//! ```

mod announce;
pub mod answer;
pub mod engine;
mod pace;
mod pipeline;
pub mod service;
pub mod settings;
