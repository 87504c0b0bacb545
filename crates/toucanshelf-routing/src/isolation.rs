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
    /// Targets can be reached again.
    Reconnected {
        /// Time of the first failure that led to the isolation, in milliseconds.
        ///
        /// Failures since then say nothing about the targets.
        first_failure: u64,
    },
}

/// Evidence on whether an instance can open connections to targets.
#[derive(Debug, Default)]
pub struct IsolationDetector {
    /// Targets that have failed since a connection was last opened.
    failed: BTreeSet<SocketAddr>,
    /// Time of the first failure in `failed`, in milliseconds.
    first_failure: Option<u64>,
    /// Whether no target can be reached.
    isolated: bool,
}

impl IsolationDetector {
    /// Creates a detector for an instance that reaches its targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no target can be reached.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Returns the targets that have failed since a connection was last opened.
    pub fn failed_targets(&self) -> &BTreeSet<SocketAddr> {
        &self.failed
    }

    /// Records that a target doesn't accept a connection or has fallen silent.
    ///
    /// `now` is in milliseconds. Returns whether other targets should be probed.
    pub fn record_failure(&mut self, target: SocketAddr, now: u64) -> bool {
        let is_new = self.failed.insert(target);
        self.first_failure.get_or_insert(now);
        is_new && self.failed.len() >= SUSPECT_FAILURES && !self.is_isolated()
    }

    /// Returns whether other targets should be probed before a request is refused.
    ///
    /// This is so if no target was usable and at least one has failed.
    pub fn suspects_at_refusal(&self) -> bool {
        !self.failed.is_empty() && !self.isolated
    }

    /// Records that a target has accepted a new connection.
    ///
    /// The isolation itself starts and ends with probes only.
    pub fn record_connection(&mut self) {
        if !self.isolated {
            self.failed.clear();
            self.first_failure = None;
        }
    }

    /// Records the result of a probe at the time `now`, in milliseconds.
    ///
    /// `connected` tells whether any target has accepted a connection.
    pub fn record_probe(&mut self, connected: bool, now: u64) -> Option<Transition> {
        if !connected {
            let was_isolated = std::mem::replace(&mut self.isolated, true);
            return (!was_isolated).then_some(Transition::Isolated);
        }
        self.failed.clear();
        let first_failure = self.first_failure.take().unwrap_or(now);
        let was_isolated = std::mem::replace(&mut self.isolated, false);
        was_isolated.then_some(Transition::Reconnected { first_failure })
    }
}
