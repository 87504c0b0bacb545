//! Client for the state reports of a platform's engines.
//!
//! After an engine has ended, another one may listen at its address, and an engine may start again
//! under the identity that it had. The report of either says nothing of the engine that was asked.

use std::time::Duration;

use crate::dialect::{DecodeError, Dialect, EngineInstance, EngineReport};
use crate::exchange::{ExchangeError, exchange};

/// Reason why there is no report of an engine.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ReportError {
    /// The engine has sent no response.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The response could not be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// A later incarnation of the engine has answered.
    #[error("the engine has restarted")]
    Restarted,
}

impl ReportError {
    /// Returns whether the incarnation that was asked has ended.
    pub fn has_ended(&self) -> bool {
        let misdirected = matches!(self, Self::Exchange(ExchangeError::Misdirected { .. }));
        misdirected || matches!(self, Self::Restarted)
    }
}

/// Asks an engine for its state; only the report of this very incarnation is returned.
///
/// # Errors
///
/// Fails when the engine does not answer within `time_limit`, its report cannot be decoded, or
/// another engine or incarnation answers.
pub async fn fetch_report(
    dialect: &dyn Dialect,
    engine: &EngineInstance,
    time_limit: Duration,
) -> Result<EngineReport, ReportError> {
    let call = dialect.report_call(&engine.id);
    let response = exchange(engine.address, call, time_limit).await?;
    let report = dialect.report(response.body())?;
    if report
        .incarnation
        .is_some_and(|it| it != engine.incarnation)
    {
        return Err(ReportError::Restarted);
    }
    Ok(report)
}
