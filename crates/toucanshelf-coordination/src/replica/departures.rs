//! Replicas that have announced that they stop.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

use super::Replica;
use super::entry::ReplicaId;

/// Time within which a replica ends after its announcement, in milliseconds.
///
/// One that still answers after it has stayed, for example because it has started again unnoticed.
const DEPARTURE_MS: u64 = 10_000;

/// Replicas that have announced that they stop, with the times of the announcements.
///
/// The announcements only guide the choice of voters. The leader that makes the choice commits it
/// like any other membership change.
#[derive(Debug, Default)]
pub struct Departures {
    announced: BTreeMap<ReplicaId, u64>,
}

impl Departures {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records at `now`, in milliseconds, that a replica is about to stop.
    ///
    /// Returns whether that is news.
    pub fn announce(&mut self, id: ReplicaId, now: u64) -> bool {
        let entry = self.announced.entry(id);
        let is_new = matches!(entry, Entry::Vacant(_));
        entry.or_insert(now);
        is_new
    }

    /// Forgets the announcement of a replica that has started again.
    pub fn cancel(&mut self, id: ReplicaId) {
        self.announced.remove(&id);
    }

    /// Returns the replicas that have announced that they stop, and have not stayed since.
    ///
    /// `leader` tells which ones still answer at `now`, in milliseconds.
    pub fn leaving(&mut self, leader: &Replica, now: u64) -> BTreeSet<ReplicaId> {
        self.announced
            .retain(|id, at| now < *at + DEPARTURE_MS || !leader.answers(*id));
        self.announced.keys().copied().collect()
    }
}
