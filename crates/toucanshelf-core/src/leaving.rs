//! Record of the targets whose departure or drain is acknowledged.
//!
//! It is part of the replicated state, so that it outlasts all control instances. Its size is bounded,
//! and a target that starts again is never held back by it: each entry concerns one start.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::ids::LogTimeMs;
use crate::registration::{Readiness, Registration};
use crate::registry::GONE_RETENTION_MS;

/// Maximum number of targets in the record; the oldest entries make room for new ones.
pub const MAX_LEAVING_TARGETS: usize = 4_096;

/// Latest departures and drains of targets, in the order in which they were recorded.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LeavingTargets {
    /// Number of entries that were ever recorded.
    count: u64,
    /// Entries by their number, one for each target.
    entries: VecDeque<Entry>,
}

/// Registration of a target that leaves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Entry {
    /// Number of the entry, counted from 1.
    number: u64,
    /// Time at which it was recorded.
    at: LogTimeMs,
    record: Registration,
}

impl LeavingTargets {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the state of a target that leaves at the time `now` of the log.
    ///
    /// Has no effect if the target is ready, or if the record holds that state or a later one.
    pub fn record(&mut self, record: Registration, now: LogTimeMs) {
        let known = self.position(&record.id);
        let is_outdated =
            known.is_some_and(|known| !record.supersedes(&self.entries[known].record));
        if record.readiness == Readiness::Ready || is_outdated {
            return;
        }
        if let Some(known) = known {
            self.entries.remove(known);
        }
        self.count += 1;
        self.entries.push_back(Entry {
            number: self.count,
            at: now,
            record,
        });
        if self.entries.len() > MAX_LEAVING_TARGETS {
            self.entries.pop_front();
        }
    }

    /// Removes the entries that were recorded so long before `now` that no target of them runs any more.
    pub fn prune(&mut self, now: LogTimeMs) {
        let is_expired = |entry: &Entry| now.0 >= entry.at.0 + GONE_RETENTION_MS;
        while self.entries.front().is_some_and(is_expired) {
            self.entries.pop_front();
        }
    }

    /// Returns whether the record holds the state in `record`, or a later one of the target.
    pub fn holds(&self, record: &Registration) -> bool {
        let known = self.position(&record.id).map(|n| &self.entries[n].record);
        known.is_some_and(|known| {
            let is_reached =
                known.readiness == record.readiness || known.readiness == Readiness::Gone;
            known.incarnation > record.incarnation
                || (known.incarnation == record.incarnation && is_reached)
        })
    }

    /// Returns the number of entries that were ever recorded.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the entries after the first `count` ones that were ever recorded.
    pub fn after(&self, count: u64) -> impl Iterator<Item = &Registration> {
        let newer = self
            .entries
            .iter()
            .filter(move |entry| entry.number > count);
        newer.map(|entry| &entry.record)
    }

    fn position(&self, id: &str) -> Option<usize> {
        let mut entries = self.entries.iter();
        entries.position(|entry| *entry.record.id == *id)
    }
}
