//! What all programs of toucanshelf share: options, settings, logs, traces, metrics and HTTP errors.
//!
//! A program calls [`program::run`] with its name and a function that starts it from checked
//! settings; the rest (`--help`, `--check`, logs, signals, exit codes) is the same everywhere.
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

pub mod credentials;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod program;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod trace;
pub mod under_way;
