//! Loading of settings files, and the settings for logging.

use std::marker::PhantomData;
use std::path::{Path, PathBuf};

use serde::de::{DeserializeOwned, Error as _};
use serde::{Deserialize, Deserializer};

use crate::program::DaemonSettings;

/// Reason why a settings file was rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The settings file could not be read.
    #[error("cannot read settings file `{file}`: {cause}")]
    Unreadable {
        /// Path of the settings file.
        file: Box<str>,
        /// Description of the I/O error that occurred while the file was read.
        cause: Box<str>,
    },
    /// The TOML syntax is invalid, or a key or value is invalid or missing.
    #[error("{file}:{line}:{column}: {message}")]
    Invalid {
        /// Path of the settings file.
        file: Box<str>,
        /// Line number of the error, starting at 1.
        line: usize,
        /// Column number of the error in characters, starting at 1.
        column: usize,
        /// Description of the problem, which names the key on the line of the error.
        ///
        /// The key is the text before `=`.
        message: Box<str>,
    },
}

/// Largest number of milliseconds that a setting may have; all up to it are exact as floats.
const MAX_MS: f64 = 9.0e15;

/// Deserializes a number of milliseconds, whole or not; a fraction is rounded up.
///
/// For use with `#[serde(deserialize_with)]`.
///
/// # Errors
///
/// Fails unless the value is a number that is not negative and at most 9e15.
pub fn milliseconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let ms = f64::deserialize(deserializer)?;
    if (0.0..=MAX_MS).contains(&ms) {
        Ok(ms.ceil() as u64)
    } else {
        Err(D::Error::custom(format!(
            "{ms} is no number of milliseconds"
        )))
    }
}

/// Settings file of a running daemon, which may change meanwhile.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    path: PathBuf,
}

impl SettingsFile {
    /// Creates a handle to the file at `path`.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into() }
    }

    /// Reads and checks the settings as they are now.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or its settings are invalid.
    pub fn load<S: DaemonSettings>(&self) -> Result<S, Box<str>> {
        let settings: S = load(&self.path).map_err(|e| e.to_string())?;
        let checked = settings.check();
        checked.map_err(|message| format!("{}: {message}", self.path.display()))?;
        Ok(settings)
    }
}

/// Reads the settings of a running daemon again, and logs each error once.
#[derive(Debug)]
pub struct SettingsReader<S> {
    file: Option<SettingsFile>,
    /// Error of the last attempt.
    error: Option<Box<str>>,
    settings: PhantomData<fn() -> S>,
}

impl<S: DaemonSettings + Send + 'static> SettingsReader<S> {
    /// Creates a reader of `file`, or one that finds nothing without a file.
    pub fn new(file: Option<SettingsFile>) -> Self {
        Self {
            file,
            error: None,
            settings: PhantomData,
        }
    }

    /// Returns the settings as they are now, or `None` if they can't be read.
    pub async fn read(&mut self) -> Option<S> {
        let file = self.file.clone()?;
        let loaded = tokio::task::spawn_blocking(move || file.load()).await;
        match loaded.unwrap_or_else(|e| Err(e.to_string().into())) {
            Ok(settings) => {
                self.error = None;
                Some(settings)
            }
            Err(cause) => {
                if self.error.as_ref() != Some(&cause) {
                    tracing::warn!(event = "TS1402", %cause, "settings can't be read again");
                    self.error = Some(cause);
                }
                None
            }
        }
    }
}

/// Reads and parses a settings file in TOML.
///
/// # Errors
///
/// Fails when the file cannot be read, is not valid TOML or contains an invalid key or value.
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

/// Parses settings in TOML; `file` is the file name for error messages.
///
/// # Errors
///
/// Fails when the text is not valid TOML or contains an invalid key or value.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    toml::from_str(text).map_err(|e| {
        let offset = e.span().map_or(0, |span| span.start).min(text.len());
        let prefix = &text[..offset];
        let line_start = prefix.rfind('\n').map_or(0, |i| i + 1);
        let line_text = text[line_start..].lines().next().unwrap_or("");
        let key = line_text.split('=').next().unwrap_or("").trim();
        let message = match key {
            "" => e.message().into(),
            key => format!("at `{key}`: {}", e.message()),
        };
        SettingsError::Invalid {
            file: file.into(),
            line: prefix.matches('\n').count() + 1,
            column: text[line_start..offset].chars().count() + 1,
            message: message.into(),
        }
    })
}

/// Settings for logging and tracing, which all daemons share.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogSettings {
    /// Format of log lines: text for people or JSON for programs.
    pub format: LogFormat,
    /// Filter for events and spans by level or module, such as `toucanshelf_gate=debug`.
    ///
    /// The default is `info`.
    pub filter: Option<Box<str>>,
    /// URL to which trace spans are exported with OTLP over HTTP.
    ///
    /// No spans are exported if it is not set.
    pub collector: Option<Box<str>>,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Each event is logged as one line of text.
    #[default]
    Text,
    /// Each event is logged as one JSON object.
    Json,
}
