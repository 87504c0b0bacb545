//! Replays traces and compares the results with the expected ones.
//!
//! A [`trace::Trace`] specifies a deployment, its load, the faults to inject and the expected
//! results. [`run::replay`] starts the deployment on loopback inside this process, replays the
//! trace and returns [`results::Results`]. The integration tests replay the traces under
//! `tests/traces/`; the program `toucanshelf-replay` runs benchmarks with the same code.
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
