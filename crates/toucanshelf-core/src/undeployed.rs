//! Registrations of services that the deployment doesn't name.
//!
//! A target may register before its service is deployed. Its registration may also come from
//! another writer, so until then it says nothing about any other registration.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Incarnation;
use crate::registration::{Readiness, Registration};
use crate::registry::{Entry, RegistryChange};

/// Registrations of services that aren't deployed, each kept apart from all others.
#[derive(Clone, Debug, Default)]
pub(crate) struct Undeployed {
    /// Latest registration of each target by service, by the target's id.
    targets: BTreeMap<Box<str>, BTreeMap<Box<str>, Entry>>,
}

impl Undeployed {
    /// Applies a registration that arrived at `now`, in milliseconds.
    pub(crate) fn apply(&mut self, record: Registration, now: u64) -> RegistryChange {
        let services = self.targets.entry(record.id.clone()).or_default();
        if let Some(entry) = services.get_mut(&record.service) {
            return entry.replace(record, now);
        }
        services.insert(record.service.clone(), Entry::new(record, now));
        RegistryChange::Changed
    }

    /// Removes and returns the registrations of the `services`.
    pub(crate) fn take(&mut self, services: &BTreeSet<Box<str>>) -> Vec<Entry> {
        let mut taken = Vec::new();
        self.targets.retain(|_, registered| {
            let named = registered.extract_if(.., |service, _| services.contains(service));
            taken.extend(named.map(|(_, entry)| entry));
            !registered.is_empty()
        });
        taken
    }

    /// Returns the registration of the same target and service as `record`.
    pub(crate) fn get(&self, record: &Registration) -> Option<&Entry> {
        self.targets.get(&record.id)?.get(&record.service)
    }

    /// Returns a registration of the target `id`, if there is one.
    pub(crate) fn first_of(&self, id: &str) -> Option<&Entry> {
        self.of_target(id).next()
    }

    /// Returns whether a start of the target up to `incarnation` is registered.
    pub(crate) fn knows_start(&self, id: &str, incarnation: Option<Incarnation>) -> bool {
        let mut starts = self.of_target(id).map(|entry| entry.record.incarnation);
        starts.any(|known| incarnation.is_none_or(|incarnation| known <= incarnation))
    }

    /// Returns whether the target of `record` has left since, whatever service it was registered for.
    pub(crate) fn has_left(&self, record: &Registration) -> bool {
        let mut entries = self.of_target(&record.id).map(|entry| &entry.record);
        entries.any(|known| {
            known.readiness == Readiness::Gone && record.incarnation <= known.incarnation
        })
    }

    /// Marks the target as gone in its registrations up to `incarnation`, at `now` in milliseconds.
    ///
    /// Returns one that it changed.
    pub(crate) fn mark_gone(
        &mut self,
        id: &str,
        incarnation: Option<Incarnation>,
        now: u64,
    ) -> Option<Registration> {
        let entries = self.targets.get_mut(id)?.values_mut();
        let departed = entries.filter_map(|entry| entry.mark_gone(incarnation, now));
        departed.last()
    }

    fn of_target(&self, id: &str) -> impl Iterator<Item = &Entry> {
        let services = self.targets.get(id).into_iter();
        services.flat_map(BTreeMap::values)
    }

    /// Returns all registrations, including those of targets that have left.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.targets.values().flat_map(BTreeMap::values)
    }

    /// Removes the targets whose retention after leaving has ended at `now`, in milliseconds.
    pub(crate) fn prune(&mut self, now: u64) {
        self.targets.retain(|_, registered| {
            registered.retain(|_, entry| !entry.is_expired(now));
            !registered.is_empty()
        });
    }
}
