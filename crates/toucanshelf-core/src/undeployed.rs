//! Registrations of services that the deployment doesn't name.
//!
//! A target may register before its service is deployed. Its registration may also come from
//! another writer, so until then it says nothing about any other registration.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Incarnation;
use crate::registration::{Readiness, Registration};
use crate::registry::{Entry, GONE_RETENTION_MS, RegistryChange};

/// Registrations of services that aren't deployed, each kept apart from all others.
#[derive(Clone, Debug, Default)]
pub(crate) struct Undeployed {
    /// Latest registration by the target's id and its service.
    entries: BTreeMap<(Box<str>, Box<str>), Entry>,
}

impl Undeployed {
    /// Applies a registration that arrived at `now`, in milliseconds.
    pub(crate) fn apply(&mut self, record: Registration, now: u64) -> RegistryChange {
        let key = (record.id.clone(), record.service.clone());
        if let Some(entry) = self.entries.get_mut(&key) {
            return entry.replace(record, now);
        }
        self.entries.insert(key, Entry::new(record, now));
        RegistryChange::Changed
    }

    /// Removes and returns the registrations of the `services`.
    pub(crate) fn take(&mut self, services: &BTreeSet<Box<str>>) -> Vec<Entry> {
        let taken = self
            .entries
            .extract_if(.., |(_, service), _| services.contains(service));
        taken.map(|(_, entry)| entry).collect()
    }

    /// Returns the registration of the same target and service as `record`.
    pub(crate) fn get(&self, record: &Registration) -> Option<&Entry> {
        let key = (record.id.clone(), record.service.clone());
        self.entries.get(&key)
    }

    /// Returns a registration of the target `id`, if there is one.
    pub(crate) fn first_of(&self, id: &str) -> Option<&Entry> {
        self.of_target(id).next()
    }

    /// Returns whether a start of the target up to `incarnation` is registered.
    pub(crate) fn knows_start(&self, id: &str, incarnation: Option<Incarnation>) -> bool {
        self.of_target(id)
            .any(|entry| is_up_to(&entry.record, incarnation))
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
        let entries = self.entries.range_mut(first_key(id)..);
        let own = entries.take_while(|((known, _), _)| &**known == id);
        let mut departed = None;
        for (_, entry) in own.filter(|(_, entry)| is_up_to(&entry.record, incarnation)) {
            let incarnation = incarnation.unwrap_or(entry.record.incarnation);
            let is_known = (entry.record.readiness, entry.record.incarnation)
                == (Readiness::Gone, incarnation);
            if !is_known {
                entry.record.readiness = Readiness::Gone;
                entry.record.incarnation = incarnation;
                entry.last_seen_ms = now;
                departed = Some(entry.record.clone());
            }
        }
        departed
    }

    fn of_target<'a>(&'a self, id: &str) -> impl Iterator<Item = &'a Entry> {
        let id: Box<str> = id.into();
        let entries = self.entries.range(first_key(&id)..);
        entries
            .take_while(move |((known, _), _)| *known == id)
            .map(|(_, entry)| entry)
    }

    /// Returns all registrations, including those of targets that have left.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Removes the targets that left at least `GONE_RETENTION_MS` before `now`.
    pub(crate) fn prune(&mut self, now: u64) {
        self.entries.retain(|_, entry| {
            entry.record.readiness != Readiness::Gone
                || now < entry.last_seen_ms + GONE_RETENTION_MS
        });
    }
}

/// Returns the smallest key of the target `id`.
fn first_key(id: &str) -> (Box<str>, Box<str>) {
    (id.into(), Box::default())
}

fn is_up_to(record: &Registration, incarnation: Option<Incarnation>) -> bool {
    incarnation.is_none_or(|incarnation| record.incarnation <= incarnation)
}
