//! Registry of the latest registration of every target.
//!
//! Registrations may arrive late or out of order; the registry ignores outdated ones. It holds those
//! of services that the deployment doesn't name apart, so that they neither replace nor outdate any
//! other registration.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::ids::Incarnation;
use crate::registration::{Readiness, Registration};
use crate::undeployed::Undeployed;

/// Time for which a target that has left stays in the registry, in milliseconds.
// The time must be longer than a network partition can delay a heartbeat. A delayed heartbeat that
// arrives after the target was removed from the registry would register it again.
pub(crate) const GONE_RETENTION_MS: u64 = 120_000;

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

impl Entry {
    pub(crate) fn new(record: Registration, now: u64) -> Self {
        Self {
            record,
            first_seen_ms: now,
            last_seen_ms: now,
        }
    }

    /// Replaces the registration by another one of the same target, unless it is outdated.
    pub(crate) fn replace(&mut self, record: Registration, now: u64) -> RegistryChange {
        if !record.supersedes(&self.record) {
            return RegistryChange::Stale;
        }
        let old = std::mem::replace(&mut self.record, record);
        self.last_seen_ms = now;
        if old.incarnation != self.record.incarnation {
            self.first_seen_ms = now;
        }
        let same = Registration {
            sequence: self.record.sequence,
            ..old
        };
        if same == self.record {
            RegistryChange::Refreshed
        } else {
            RegistryChange::Changed
        }
    }

    /// Marks the target as gone at `now`, in milliseconds.
    ///
    /// Returns the changed registration. `incarnation` is the start that has ended; `None` stands for
    /// the registered one. The call has no effect if that has ended already, or is newer.
    pub(crate) fn mark_gone(
        &mut self,
        incarnation: Option<Incarnation>,
        now: u64,
    ) -> Option<Registration> {
        let known = self.record.incarnation;
        let incarnation = incarnation.unwrap_or(known);
        let is_gone = self.record.readiness == Readiness::Gone;
        if incarnation < known || (is_gone && incarnation == known) {
            return None;
        }
        self.record.incarnation = incarnation;
        self.record.readiness = Readiness::Gone;
        self.last_seen_ms = now;
        Some(self.record.clone())
    }

    /// Returns whether the target left at least `GONE_RETENTION_MS` before `now`.
    pub(crate) fn is_expired(&self, now: u64) -> bool {
        self.record.readiness == Readiness::Gone && now >= self.last_seen_ms + GONE_RETENTION_MS
    }

    /// Returns whether the entry holds what `record` says, or a later state of the same start.
    fn holds(&self, record: &Registration) -> bool {
        let known = &self.record;
        let is_held = known.readiness == Readiness::Gone || known.sequence >= record.sequence;
        known.incarnation == record.incarnation
            && is_held
            && (record.readiness == Readiness::Ready || known.readiness != Readiness::Ready)
    }
}

/// All known targets by id.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Box<str>, Entry>,
    /// Services that the deployment names; `None` if all count as named.
    services: Option<BTreeSet<Box<str>>>,
    undeployed: Undeployed,
    /// Ids of the targets in `entries` by their latest address.
    ids: BTreeMap<SocketAddr, BTreeSet<Box<str>>>,
}

impl Registry {
    /// Creates an empty registry for which each service is deployed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty registry for which no service is deployed yet.
    pub fn without_deployment() -> Self {
        Self {
            services: Some(BTreeSet::new()),
            ..Self::default()
        }
    }

    /// Replaces the services that are deployed, at `now` in milliseconds.
    ///
    /// Targets that registered earlier for a service that is new are entered now, and returned.
    /// Those of a service that is no longer deployed stay until they leave.
    pub fn set_services(
        &mut self,
        services: impl IntoIterator<Item = Box<str>>,
        now: u64,
    ) -> Vec<Registration> {
        let services: BTreeSet<_> = services.into_iter().collect();
        let entries = self.undeployed.take(&services);
        self.services = Some(services);
        let entered = entries
            .into_iter()
            .filter_map(|entry| self.enter(entry, now));
        entered.collect()
    }

    /// Enters a target whose service is deployed now, with the times at which it registered.
    ///
    /// Returns its registration unless that is outdated.
    fn enter(&mut self, registered: Entry, now: u64) -> Option<Registration> {
        let record = registered.record;
        if self.apply(record.clone(), now) != RegistryChange::Changed {
            return None;
        }
        let entry = self.entries.get_mut(&record.id)?;
        entry.first_seen_ms = registered.first_seen_ms;
        entry.last_seen_ms = registered.last_seen_ms;
        Some(record)
    }

    /// Applies a registration that arrived at `now`, in milliseconds.
    pub fn apply(&mut self, record: Registration, now: u64) -> RegistryChange {
        if !self.is_deployed(&record) {
            return self.apply_undeployed(record, now);
        }
        if self.is_outdated_at_address(&record) || self.undeployed.has_left(&record) {
            return RegistryChange::Stale;
        }
        if record.readiness != Readiness::Gone {
            self.mark_predecessors_gone(&record, now);
        }
        let Some(entry) = self.entries.get_mut(&record.id) else {
            self.add_id(record.address, &record.id);
            let entry = Entry::new(record, now);
            self.entries.insert(entry.record.id.clone(), entry);
            return RegistryChange::Changed;
        };
        let (id, address) = (record.id.clone(), record.address);
        let old_address = entry.record.address;
        let change = entry.replace(record, now);
        if change == RegistryChange::Changed && old_address != address {
            remove_id(&mut self.ids, old_address, &id);
            self.add_id(address, &id);
        }
        change
    }

    /// Applies a registration of a service that the deployment doesn't name.
    ///
    /// Of the other registrations, it concerns only those of a target that has left by its word.
    fn apply_undeployed(&mut self, record: Registration, now: u64) -> RegistryChange {
        let left = (record.readiness == Readiness::Gone).then_some(record.incarnation);
        let entered = self.entries.get_mut(&record.id);
        let change = self.undeployed.apply(record, now);
        let departed = entered
            .zip(left)
            .and_then(|(entry, incarnation)| entry.mark_gone(Some(incarnation), now));
        departed.map_or(change, |_| RegistryChange::Changed)
    }

    /// Returns whether the deployment names the service of `record`, or did for this start of it.
    pub fn is_deployed(&self, record: &Registration) -> bool {
        let is_named = |services: &BTreeSet<_>| services.contains(&record.service);
        let is_entered = |entry: &Entry| {
            let known = &entry.record;
            (known.incarnation, &known.service) == (record.incarnation, &record.service)
        };
        self.services.as_ref().is_none_or(is_named)
            || self.entries.get(&record.id).is_some_and(is_entered)
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
        if self.is_deployed(record) {
            let entry = self.entries.get(&record.id);
            return entry.is_some_and(|entry| entry.holds(record));
        }
        let entry = self.undeployed.get(record);
        entry.is_some_and(|entry| entry.holds(record))
    }

    /// Marks a target as gone at `now`, in milliseconds.
    ///
    /// Returns the changed registration. The call has no effect and returns `None` if the target is
    /// unknown or already gone, or if its registered incarnation is newer than `incarnation`. If
    /// `incarnation` is newer, its heartbeats that arrive late are outdated from now on. A departure
    /// concerns the target whatever service it has registered for.
    pub fn mark_gone(
        &mut self,
        id: &str,
        incarnation: Option<Incarnation>,
        now: u64,
    ) -> Option<Registration> {
        let undeployed = self.undeployed.mark_gone(id, incarnation, now);
        let entered = self.entries.get_mut(id);
        let departed = entered.and_then(|entry| entry.mark_gone(incarnation, now));
        departed.or(undeployed)
    }

    /// Returns the entries of all targets of deployed services, including those that have left.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the entries of all targets whose services aren't deployed.
    pub fn undeployed(&self) -> impl Iterator<Item = &Entry> {
        self.undeployed.entries()
    }

    /// Returns the entry of the target with this id, if its service is deployed.
    pub fn deployed(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Returns the entry of the target with this id.
    ///
    /// If the target has registered for several services, one that is deployed comes first.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        let entry = self.entries.get(id);
        entry.or_else(|| self.undeployed.first_of(id))
    }

    /// Returns whether a departure of the target would be heard, since its start is known.
    ///
    /// Without an `incarnation`, any start of the target is meant.
    pub fn knows_start(&self, id: &str, incarnation: Option<Incarnation>) -> bool {
        self.entries.contains_key(id) || self.undeployed.knows_start(id, incarnation)
    }

    /// Removes the targets that left at least `GONE_RETENTION_MS` before `now`.
    ///
    /// `now` is in milliseconds.
    pub fn prune(&mut self, now: u64) {
        self.undeployed.prune(now);
        let ids = &mut self.ids;
        self.entries.retain(|id, entry| {
            let is_kept = !entry.is_expired(now);
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
