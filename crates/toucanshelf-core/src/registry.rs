//! Registry of the latest registration of every target.
//!
//! Registrations may arrive late or out of order; the registry ignores outdated ones.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::ids::Incarnation;
use crate::registration::{Readiness, Registration};

/// Time for which a target that has left stays in the registry, in milliseconds.
// The time must be longer than a network partition can delay a heartbeat. A delayed heartbeat that
// arrives after the target was removed from the registry would register it again.
const GONE_RETENTION_MS: u64 = 120_000;

/// Effect of a registration on the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistryChange {
    /// No effect, because the registration is already known or outdated.
    Stale,
    /// Only the sequence number and the time of the last registration changed.
    Refreshed,
    /// The registration changed data that routing depends on.
    Changed,
}

/// Latest registration of a target and its arrival times.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Latest registration of the target.
    pub record: Registration,
    /// Arrival of the first registration of this incarnation, in milliseconds.
    pub first_seen_ms: u64,
    /// Time of the latest registration's arrival or of the target's departure, in milliseconds.
    pub last_seen_ms: u64,
}

/// All known targets by id.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Box<str>, Entry>,
    /// Ids of the targets in `entries` by their latest address.
    ids: BTreeMap<SocketAddr, BTreeSet<Box<str>>>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a registration that arrived at `now`, in milliseconds.
    pub fn apply(&mut self, record: Registration, now: u64) -> RegistryChange {
        if self.is_outdated_at_address(&record) {
            return RegistryChange::Stale;
        }
        if record.readiness != Readiness::Gone {
            self.mark_predecessors_gone(&record, now);
        }
        let Some(entry) = self.entries.get_mut(&record.id) else {
            self.add_id(record.address, &record.id);
            let entry = Entry {
                first_seen_ms: now,
                last_seen_ms: now,
                record,
            };
            self.entries.insert(entry.record.id.clone(), entry);
            return RegistryChange::Changed;
        };
        if !record.supersedes(&entry.record) {
            return RegistryChange::Stale;
        }
        let address = record.address;
        let old = std::mem::replace(&mut entry.record, record);
        entry.last_seen_ms = now;
        if old.incarnation != entry.record.incarnation {
            entry.first_seen_ms = now;
        }
        let old_address = old.address;
        let same = Registration {
            sequence: entry.record.sequence,
            ..old
        };
        let change = if same == entry.record {
            RegistryChange::Refreshed
        } else {
            RegistryChange::Changed
        };
        if old_address != address {
            remove_id(&mut self.ids, old_address, &same.id);
            self.add_id(address, &same.id);
        }
        change
    }

    /// Returns whether `record` names another service, address or zone than the same start of the
    /// target does in the registry.
    ///
    /// They don't change while a target runs, so such a registration comes from another writer.
    /// Without a start time, the registration may belong to another start.
    pub fn contradicts(&self, record: &Registration) -> bool {
        self.entries.get(&record.id).is_some_and(|entry| {
            let known = &entry.record;
            known.incarnation == record.incarnation
                && known.incarnation != Incarnation(0)
                && (&known.service, known.address, &known.zone)
                    != (&record.service, record.address, &record.zone)
        })
    }

    /// Returns whether the registry holds what `record` says, or a later state of the same start.
    ///
    /// A target that drains or has left doesn't become ready again, so a drain is held only by an entry
    /// that isn't ready.
    pub fn holds(&self, record: &Registration) -> bool {
        self.entries.get(&record.id).is_some_and(|entry| {
            let known = &entry.record;
            let is_held = known.readiness == Readiness::Gone || known.sequence >= record.sequence;
            known.incarnation == record.incarnation
                && is_held
                && (record.readiness == Readiness::Ready || known.readiness != Readiness::Ready)
        })
    }

    /// Marks a target as gone at `now`, in milliseconds.
    ///
    /// Returns the changed registration. The call has no effect and returns `None` if the target is
    /// unknown or already gone, or if its registered incarnation is newer than `incarnation`. If
    /// `incarnation` is newer, its heartbeats that arrive late are outdated from now on.
    pub fn mark_gone(
        &mut self,
        id: &str,
        incarnation: Option<Incarnation>,
        now: u64,
    ) -> Option<Registration> {
        let entry = self.entries.get_mut(id)?;
        let known = entry.record.incarnation;
        let incarnation = incarnation.unwrap_or(known);
        let is_gone = entry.record.readiness == Readiness::Gone;
        if incarnation < known || (is_gone && incarnation == known) {
            return None;
        }
        entry.record.incarnation = incarnation;
        entry.record.readiness = Readiness::Gone;
        entry.last_seen_ms = now;
        Some(entry.record.clone())
    }

    /// Returns the entries of all targets, including those that have left.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the entry of the target with this id.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Removes the targets that left at least `GONE_RETENTION_MS` before `now`.
    ///
    /// `now` is in milliseconds.
    pub fn prune(&mut self, now: u64) {
        let ids = &mut self.ids;
        self.entries.retain(|id, entry| {
            let is_kept = entry.record.readiness != Readiness::Gone
                || now < entry.last_seen_ms + GONE_RETENTION_MS;
            if !is_kept {
                remove_id(ids, entry.record.address, id);
            }
            is_kept
        });
    }

    /// Returns the entries of all targets whose latest address is `address`.
    pub fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &Entry> {
        let ids = self.ids.get(&address).into_iter().flatten();
        ids.filter_map(|id| self.entries.get(id))
    }

    fn add_id(&mut self, address: SocketAddr, id: &str) {
        self.ids.entry(address).or_default().insert(id.into());
    }

    /// Returns whether another target has started later at the address of `record`.
    pub fn is_outdated_at_address(&self, record: &Registration) -> bool {
        self.at_address(record.address).any(|entry| {
            entry.record.id != record.id && entry.record.incarnation > record.incarnation
        })
    }

    fn mark_predecessors_gone(&mut self, record: &Registration, now: u64) {
        for id in self.ids.get(&record.address).into_iter().flatten() {
            let Some(entry) = self.entries.get_mut(id) else {
                continue;
            };
            let old = &mut entry.record;
            let replaced = old.id != record.id && old.incarnation < record.incarnation;
            if replaced && old.readiness != Readiness::Gone {
                old.readiness = Readiness::Gone;
                entry.last_seen_ms = now;
            }
        }
    }
}

/// Removes a target from the ids at `address`.
fn remove_id(ids: &mut BTreeMap<SocketAddr, BTreeSet<Box<str>>>, address: SocketAddr, id: &str) {
    let Some(here) = ids.get_mut(&address) else {
        return;
    };
    here.remove(id);
    if here.is_empty() {
        ids.remove(&address);
    }
}
