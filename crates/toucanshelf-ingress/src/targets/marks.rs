//! Marks on targets that have failed, which keep requests away from them for a while.

use std::fmt;

use super::{TargetKey, Targets};

/// Time for which a target is marked down after its first failure, in milliseconds.
///
/// Each further failure doubles the time, up to [`MAX_DOWN_MS`].
// An engine that restarts or loses its state registers as a new incarnation before this time ends,
// and is then usable at once.
const MIN_DOWN_MS: u64 = 2_500;
/// Maximum time for which a failed target is marked down, in milliseconds.
const MAX_DOWN_MS: u64 = 10_000;

/// Why a target is marked down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DownCause {
    /// It accepted no connection.
    ConnectionFailed,
    /// It sent no report although a stream waits for it.
    NoReport,
    /// Another target answers at its address, so that it has ended.
    Replaced,
    /// It refuses requests after an earlier failure.
    Refused,
    /// A stream waits for it as a later engine of its route.
    Stalled,
}

impl fmt::Display for DownCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ConnectionFailed => "connection failed",
            Self::NoReport => "the engine sent no report",
            Self::Replaced => "another engine answers at its address",
            Self::Refused => "the engine refuses requests",
            Self::Stalled => "the request stalls here",
        })
    }
}

impl Targets {
    /// Marks a target as down, so that it receives no requests for a while.
    ///
    /// Returns `false` if it was marked already or has deregistered.
    pub fn mark_down(&mut self, key: TargetKey, now: u64, cause: DownCause) -> bool {
        let Some(target) = self.arena.get_mut(key) else {
            return false;
        };
        if now < target.down_until {
            return false;
        }
        let time = MIN_DOWN_MS << target.failures.min(4);
        target.failures += 1;
        target.down_cause = Some(cause);
        target.marked_down_at = now;
        target.down_until = now + time.min(MAX_DOWN_MS);
        true
    }

    /// Records that a stream got data from a target; returns whether it was marked down for its silence.
    ///
    /// The mark is then taken back, and the failure doesn't count.
    pub fn record_data(&mut self, key: TargetKey, now: u64) -> bool {
        let Some(target) = self.arena.get_mut(key) else {
            return false;
        };
        let was_silent = now < target.down_until && target.down_cause == Some(DownCause::NoReport);
        if was_silent {
            target.down_until = 0;
            target.failures = target.failures.saturating_sub(1);
        }
        was_silent
    }

    /// Returns whether a target was marked down and hasn't recovered since.
    ///
    /// A target recovers when it serves a plain request or restarts.
    pub fn has_unrecovered_failure(&self, key: TargetKey) -> bool {
        self.arena
            .get(key)
            .is_some_and(|target| target.failures > 0)
    }
}
