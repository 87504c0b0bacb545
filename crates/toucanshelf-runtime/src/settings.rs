//! Settings files.

use std::path::Path;

use serde::Deserialize;
use serde::de::DeserializeOwned;

/// Why a settings file was refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("reading settings `{file}`: {cause}")]
    Unreadable {
        /// Name of the file.
        file: Box<str>,
        /// Cause.
        cause: Box<str>,
    },
    /// A key is unknown, missing or has a wrong value.
    #[error("{file}:{line}:{column}: {message}")]
    Invalid {
        /// Name of the file.
        file: Box<str>,
        /// Line, counted from 1.
        line: usize,
        /// Column in characters, counted from 1.
        column: usize,
        /// What is wrong, naming the key.
        message: Box<str>,
    },
}

/// Reads settings from a file.
///
/// # Errors
///
/// Fails when the file can't be read or holds a wrong key or value.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(e) => Err(SettingsError::Unreadable {
            file: file.into(),
            cause: e.to_string().into(),
        }),
    }
}

/// Reads settings from text; `file` is named in errors.
///
/// # Errors
///
/// Fails when the text holds a wrong key or value.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    toml::from_str(text).map_err(|e| {
        let offset = e.span().map_or(0, |span| span.start).min(text.len());
        let before = &text[..offset];
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        let source = text[line_start..].lines().next().unwrap_or("");
        let key = source.split('=').next().unwrap_or("").trim();
        let message = match key {
            "" => e.message().into(),
            key => format!("at `{key}`: {}", e.message()),
        };
        SettingsError::Invalid {
            file: file.into(),
            line: before.matches('\n').count() + 1,
            column: text[line_start..offset].chars().count() + 1,
            message: message.into(),
        }
    })
}

/// Settings of logs and traces, the same for every program.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogSettings {
    /// Text for people or JSON for programs.
    pub format: LogFormat,
    /// Filter, for example `info` or `toucanshelf_gate=debug`.
    pub filter: Option<Box<str>>,
    /// URL to which spans are posted as OTLP over HTTP; none exports nothing.
    pub collector: Option<Box<str>>,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}
