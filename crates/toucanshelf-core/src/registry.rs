//! Latest word of every target, whatever the order of its arrival.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::Incarnation;
use crate::registration::{Readiness, Registration};

/// Time for which a target that has left is remembered, in milliseconds.
// Longer than a heartbeat can be held up by a network partition.
const GONE_KEPT_MS: u64 = 120_000;

/// What a word changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing: it was known, or older than what is known.
    Stale,
    /// Only the time of the last word.
    Refreshed,
    /// Something that routing depends on.
    Changed,
}

/// A target and when it was last heard.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Latest word.
    pub record: Registration,
    /// Time of the first word of this incarnation, in milliseconds.
    pub first_heard: u64,
    /// Time of the latest word, in milliseconds.
    pub heard: u64,
}

/// Targets by identity.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Box<str>, Entry>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a word that arrived at `now`.
    pub fn apply(&mut self, record: Registration, now: u64) -> Change {
        if self.is_outdated_at_address(&record) {
            return Change::Stale;
        }
        if record.readiness != Readiness::Gone {
            self.retire_predecessors(&record, now);
        }
        let known = self.entries.get_mut(&record.id);
        let Some(entry) = known else {
            let entry = Entry {
                first_heard: now,
                heard: now,
                record,
            };
            self.entries.insert(entry.record.id.clone(), entry);
            return Change::Changed;
        };
        if !record.supersedes(&entry.record) {
            return Change::Stale;
        }
        let old = std::mem::replace(&mut entry.record, record);
        entry.heard = now;
        if old.incarnation != entry.record.incarnation {
            entry.first_heard = now;
        }
        let same = Registration {
            sequence: entry.record.sequence,
            ..old
        };
        if same == entry.record {
            Change::Refreshed
        } else {
            Change::Changed
        }
    }

    /// Marks a target as gone; returns its record where that is news.
    ///
    /// A target that has started anew since `incarnation` stays.
    pub fn leave(
        &mut self,
        id: &str,
        incarnation: Option<Incarnation>,
        now: u64,
    ) -> Option<Registration> {
        let entry = self.entries.get_mut(id)?;
        let known = entry.record.incarnation;
        if entry.record.readiness == Readiness::Gone || incarnation.is_some_and(|i| i < known) {
            return None;
        }
        entry.record.readiness = Readiness::Gone;
        entry.heard = now;
        Some(entry.record.clone())
    }

    /// All targets, those that have left included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Target of that identity.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Forgets targets that left long before `now`.
    pub fn prune(&mut self, now: u64) {
        self.entries.retain(|_, entry| {
            entry.record.readiness != Readiness::Gone || now < entry.heard + GONE_KEPT_MS
        });
    }

    fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &Entry> {
        let entries = self.entries.values();
        entries.filter(move |entry| entry.record.address == address)
    }

    fn is_outdated_at_address(&self, record: &Registration) -> bool {
        self.at_address(record.address).any(|entry| {
            entry.record.id != record.id && entry.record.incarnation > record.incarnation
        })
    }

    fn retire_predecessors(&mut self, record: &Registration, now: u64) {
        for entry in self.entries.values_mut() {
            let old = &mut entry.record;
            let replaced = old.address == record.address
                && old.id != record.id
                && old.incarnation < record.incarnation;
            if replaced && old.readiness != Readiness::Gone {
                old.readiness = Readiness::Gone;
                entry.heard = now;
            }
        }
    }
}
