//! Decides whether an instance has lost its connections to all targets.
//!
//! Single targets fail all the time. If several fail in a row and no new connection succeeds in
//! between, the cause may be the instance's own network. The caller then probes targets in all
//! zones and reports the result.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of different failed targets from which on others are probed.
const SUSPECT_FAILURES: usize = 2;

/// Change that the result of a probe brings about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// No target can be reached any more.
    Isolated,
    /// Targets can be reached again, after the given time in milliseconds.
    Reconnected {
        /// Time for which no target could be reached, in milliseconds.
        after_ms: u64,
    },
}

/// Evidence on whether an instance can open connections to targets.
#[derive(Debug, Default)]
pub struct IsolationDetector {
    /// Targets that have failed since a connection was last opened.
    failed: BTreeSet<SocketAddr>,
    /// Time since which no target can be reached, in milliseconds; `None` if some can.
    isolated_since: Option<u64>,
}

impl IsolationDetector {
    /// Creates a detector for an instance that reaches its targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no target can be reached.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Records that a target doesn't accept a connection or has fallen silent.
    ///
    /// Returns whether other targets should be probed.
    pub fn record_failure(&mut self, target: SocketAddr) -> bool {
        let is_new = self.failed.insert(target);
        is_new && self.failed.len() >= SUSPECT_FAILURES && !self.is_isolated()
    }

    /// Records that a target has accepted a new connection.
    ///
    /// The isolation itself ends with a probe only, so that it starts and ends in one place.
    pub fn record_connection(&mut self) {
        self.failed.clear();
    }

    /// Records the result of a probe at the time `now`, in milliseconds.
    ///
    /// `connected` tells whether any target has accepted a connection.
    pub fn record_probe(&mut self, connected: bool, now: u64) -> Option<Transition> {
        if connected {
            self.failed.clear();
            let since = self.isolated_since.take()?;
            let after_ms = now.saturating_sub(since);
            return Some(Transition::Reconnected { after_ms });
        }
        if self.is_isolated() {
            return None;
        }
        self.isolated_since = Some(now);
        Some(Transition::Isolated)
    }
}
