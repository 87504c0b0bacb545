//! Code that all toucanshelf daemons share: options, settings, logs, metrics and HTTP errors.
//!
//! A program calls [`program::run`] with its name and a function that starts it with validated
//! settings. Options such as `--help` and `--check`, logs, traces, signals and exit codes behave
//! the same in every program.
//!
//! ```
//! use toucanshelf_runtime::settings;
//!
//! #[derive(Debug, serde::Deserialize)]
//! #[serde(deny_unknown_fields, rename_all = "kebab-case")]
//! struct Settings {
//!     zone: Box<str>,
//! }
//! let error = settings::parse::<Settings>("gate.toml", "zone = 3").unwrap_err();
//! assert!(error.to_string().starts_with("gate.toml:1:8: "));
//! ```

pub mod api;
pub mod body;
pub mod connection_table;
pub mod connections;
pub mod credentials;
pub mod http;
pub mod in_flight;
pub mod listen;
pub mod log_throttle;
pub mod logs;
pub mod memory_budget;
pub mod metrics;
pub mod program;
pub mod segments;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod trace;
