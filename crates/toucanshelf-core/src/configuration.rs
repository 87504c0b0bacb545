//! Versioned configuration, with deltas and snapshots of it.
//!
//! Each ticket (a numbered set of changes by an operator) that takes effect creates the next
//! revision. A removed object leaves a tombstone: an entry without the object that keeps the number
//! of the ticket that removed it, so that an older ticket cannot set the object again.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::{Object, ObjectKey, ObjectKind};
use crate::ids::{Revision, TicketNumber};
use crate::names::{NameError, NameIndex};
use crate::target::{MAX_LAYERS, check_text};
use crate::ticket::{NewerChange, Ticket};

/// Change of one object by a ticket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Key of the changed object.
    pub key: ObjectKey,
    /// New state of the object, or `None` if it was removed.
    pub object: Option<Object>,
    /// Ticket that made the change.
    pub ticket: TicketNumber,
}

/// All changes made by one ticket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Revision that the changes create from the revision immediately before it.
    pub revision: Revision,
    /// Changes, one for each object that the ticket sets or removes.
    pub changes: Vec<Change>,
}

/// Copy of a whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Revision of the configuration.
    pub revision: Revision,
    /// All objects and the tombstones of removed ones.
    pub entries: Vec<Change>,
}

/// Error from applying a delta that does not directly follow the current revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("delta to revision {delta} does not follow revision {current}")]
pub struct RevisionMismatch {
    /// Current revision of the configuration.
    pub current: Revision,
    /// Revision that the delta would produce.
    pub delta: Revision,
}

/// A configured object or a tombstone, with the newest ticket that changed it.
#[derive(Clone, Debug)]
struct Entry {
    object: Option<Object>,
    ticket: TicketNumber,
}

/// All configured objects at one revision.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    revision: Revision,
    entries: BTreeMap<ObjectKey, Entry>,
    names: NameIndex,
}

impl Configuration {
    /// Creates an empty configuration at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Restores a configuration from a snapshot.
    pub fn with_snapshot(snapshot: Snapshot) -> Self {
        let mut out = Self::new();
        for change in snapshot.entries {
            out.insert_change(change);
        }
        out.revision = snapshot.revision;
        out
    }

    /// Returns a snapshot of the configuration.
    pub fn snapshot(&self) -> Snapshot {
        let entries = self.entries.iter().map(|(key, entry)| Change {
            key: key.clone(),
            object: entry.object.clone(),
            ticket: entry.ticket,
        });
        Snapshot {
            revision: self.revision,
            entries: entries.collect(),
        }
    }

    /// Returns the current revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the object with this key, unless it does not exist or was removed.
    pub fn get(&self, key: &ObjectKey) -> Option<&Object> {
        self.entries.get(key)?.object.as_ref()
    }

    /// Returns all objects of one kind, ordered by id.
    pub fn objects(&self, kind: ObjectKind) -> impl Iterator<Item = &Object> {
        let start = ObjectKey::new(kind, "");
        let entries = self
            .entries
            .range(start..)
            .take_while(move |(key, _)| key.kind == kind);
        entries.filter_map(|(_, entry)| entry.object.as_ref())
    }

    /// Resolves a name to a canonical id.
    ///
    /// # Errors
    ///
    /// Fails if the name is unknown or ambiguous.
    pub fn resolve(&self, kind: ObjectKind, query: &str) -> Result<Box<str>, NameError> {
        self.names.resolve(kind, query)
    }

    /// Returns the objects of `ticket` that a newer ticket has set or removed.
    pub fn newer_changes(&self, ticket: &Ticket) -> Vec<NewerChange> {
        let keys = ticket.changed_keys().into_iter();
        keys.filter_map(|object| {
            let newest = self.entries.get(&object)?.ticket;
            (newest > ticket.number).then_some(NewerChange {
                object,
                ticket: newest,
            })
        })
        .collect()
    }

    /// Validates `ticket` against the configuration and returns all errors.
    pub fn validation_errors(&self, ticket: &Ticket) -> Vec<Box<str>> {
        let objects = ticket.objects();
        let new_objects: BTreeMap<_, _> = objects.iter().map(|x| (x.key(), x)).collect();
        let removed: BTreeSet<_> = ticket.removals.iter().collect();
        let object_after = |key: &ObjectKey| match new_objects.get(key) {
            Some(object) => Some(*object),
            None if removed.contains(key) => None,
            None => self.get(key),
        };
        let mut out = Vec::new();
        for (key, object) in &new_objects {
            out.extend(self.object_errors(key, object, &object_after));
        }
        out.extend(duplicate_name_errors(&objects));
        out.extend(self.dangling_references(&removed, &new_objects));
        out
    }

    fn object_errors<'a>(
        &self,
        key: &ObjectKey,
        object: &Object,
        object_after: &impl Fn(&ObjectKey) -> Option<&'a Object>,
    ) -> Vec<Box<str>> {
        let mut out = Vec::new();
        for reference in object.references() {
            if object_after(&reference).is_none() {
                out.push(format!("{key} refers to {reference}, which does not exist").into());
            }
        }
        for (scheme, name) in object.names().into_iter().flatten() {
            if let Err(message) = check_text("name", name) {
                out.push(format!("{key}: {message}").into());
            }
            let holder = self
                .names
                .holder(key.kind, scheme, name)
                .filter(|other| other != key);
            let conflicting = holder.filter(|other| {
                let object = object_after(other).and_then(Object::names);
                object.and_then(|names| names.get(scheme)) == Some(name)
            });
            if let Some(other) = conflicting {
                out.push(format!("{key}: name `{scheme}:{name}` belongs to {other}").into());
            }
        }
        out.extend(layer_error(key, object, object_after));
        out
    }

    fn dangling_references(
        &self,
        removed: &BTreeSet<&ObjectKey>,
        new_objects: &BTreeMap<ObjectKey, &Object>,
    ) -> Vec<Box<str>> {
        if removed.is_empty() {
            return Vec::new();
        }
        let remaining = self
            .entries
            .iter()
            .filter(|(key, _)| !removed.contains(key) && !new_objects.contains_key(*key));
        let mut out = Vec::new();
        for (key, entry) in remaining {
            let references = entry.object.iter().flat_map(Object::references);
            for reference in references.filter(|reference| removed.contains(reference)) {
                out.push(format!("{reference} is still referred to by {key}").into());
            }
        }
        out
    }

    /// Applies a ticket without validation and returns the resulting delta.
    ///
    /// The caller must have checked that [`Self::validation_errors`] and [`Self::newer_changes`]
    /// are empty.
    pub fn commit(&mut self, ticket: &Ticket) -> Delta {
        let removals = ticket.removals.iter().map(|key| (key.clone(), None));
        let objects = ticket
            .objects()
            .into_iter()
            .map(|object| (object.key(), Some(object)));
        let changes: Vec<_> = objects
            .chain(removals)
            .map(|(key, object)| Change {
                key,
                object,
                ticket: ticket.number,
            })
            .collect();
        let delta = Delta {
            revision: Revision(self.revision.0 + 1),
            changes,
        };
        self.apply_unchecked(&delta);
        delta
    }

    /// Applies the delta that leads to the next revision.
    ///
    /// # Errors
    ///
    /// Fails without a change if the delta does not directly follow the current revision.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), RevisionMismatch> {
        if delta.revision.0 != self.revision.0 + 1 {
            return Err(RevisionMismatch {
                current: self.revision,
                delta: delta.revision,
            });
        }
        self.apply_unchecked(delta);
        Ok(())
    }

    fn apply_unchecked(&mut self, delta: &Delta) {
        // One ticket can move a name between objects, so all old names are removed from the index
        // first.
        for change in &delta.changes {
            if let Some(old) = self
                .entries
                .get(&change.key)
                .and_then(|e| e.object.as_ref())
            {
                self.names.remove(old);
            }
        }
        for change in &delta.changes {
            self.insert_change(change.clone());
        }
        self.revision = delta.revision;
    }

    fn insert_change(&mut self, change: Change) {
        if let Some(object) = &change.object {
            self.names.insert(object);
        }
        self.entries.insert(
            change.key,
            Entry {
                object: change.object,
                ticket: change.ticket,
            },
        );
    }
}

fn duplicate_name_errors(objects: &[Object]) -> Vec<Box<str>> {
    let mut seen = BTreeMap::new();
    let mut out = Vec::new();
    for object in objects {
        let key = object.key();
        for (scheme, name) in object.names().into_iter().flatten() {
            if let Some(other) = seen.insert((key.kind, scheme, name), key.clone()) {
                out.push(format!("`{scheme}:{name}` is given to {other} and to {key}").into());
            }
        }
    }
    out
}

fn layer_error<'a>(
    key: &ObjectKey,
    object: &Object,
    object_after: &impl Fn(&ObjectKey) -> Option<&'a Object>,
) -> Option<Box<str>> {
    let (model, layers) = match object {
        Object::Model(x) if x.layers == 0 || x.layers > MAX_LAYERS => {
            return Some(format!("{key}: layers must lie in 1..={MAX_LAYERS}").into());
        }
        Object::Placement(x) => (&x.model, x.layers),
        Object::Permission(x) => (&x.model, x.layers),
        _ => return None,
    };
    match object_after(&ObjectKey::new(ObjectKind::Model, model.clone())) {
        Some(Object::Model(x)) if layers.to() > x.layers => Some(
            format!(
                "{key}: layers {layers} exceed the {} layers of {model}",
                x.layers
            )
            .into(),
        ),
        _ => None,
    }
}
