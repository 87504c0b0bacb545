//! Replays recorded traces against stated outcomes.
//!
//! A [`trace::Trace`] says what is deployed, who calls when, what fails when and what must come
//! out. [`run::replay`] starts everything on loopback inside this process, plays the trace and
//! returns [`results::Results`]. Tests replay the traces under `tests/traces/`; the program
//! `toucanshelf-replay` measures with the same code.
//!
//! ```
//! let trace = toucanshelf_replay::trace::Trace::parse(
//!     "example.toml",
//!     r#"
//!     name = "one request"
//!     [model]
//!     layers = 4
//!     [[engine]]
//!     zone = "a"
//!     layers = [0, 4]
//!     [[load]]
//!     organisation = "skippers"
//!     kind = "chat"
//!     count = 1
//!     [expect]
//!     complete = 1
//!     "#,
//! )
//! .unwrap();
//! assert_eq!(trace.name.as_ref(), "one request");
//! ```

pub mod bound;
pub mod caller;
pub mod deployment;
pub mod latency;
pub mod layout;
pub mod program;
pub mod report;
pub mod results;
pub mod run;
pub mod trace;
