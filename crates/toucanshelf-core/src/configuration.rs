//! Configuration in force and its changes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::{Object, ObjectKey, ObjectKind};
use crate::ids::{Revision, TicketNumber};
use crate::names::{NameError, NameIndex};
use crate::target::{MAX_LAYERS, check_text};
use crate::ticket::{NewerTouch, Ticket};

/// Change of one object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Object that changed.
    pub key: ObjectKey,
    /// New state; none where the object was removed.
    pub object: Option<Object>,
    /// Ticket that made the change.
    pub ticket: TicketNumber,
}

/// All changes that one ticket made.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Revision that the changes lead to, from the one before it.
    pub revision: Revision,
    /// The changes.
    pub changes: Vec<Change>,
}

/// Every object that was ever touched, for a copy of the whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Revision of the copy.
    pub revision: Revision,
    /// Objects and the marks of removed ones.
    pub entries: Vec<Change>,
}

/// Why a delta could not be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("delta to revision {delta} does not follow revision {current}")]
pub struct OutOfStep {
    /// Revision in force.
    pub current: Revision,
    /// Revision that the delta leads to.
    pub delta: Revision,
}

#[derive(Clone, Debug)]
struct Entry {
    object: Option<Object>,
    ticket: TicketNumber,
}

/// Configuration in force at one revision.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    revision: Revision,
    entries: BTreeMap<ObjectKey, Entry>,
    names: NameIndex,
}

impl Configuration {
    /// Creates the empty configuration at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Rebuilds a configuration from a snapshot.
    pub fn with_snapshot(snapshot: Snapshot) -> Self {
        let mut out = Self::new();
        for change in snapshot.entries {
            out.put(change);
        }
        out.revision = snapshot.revision;
        out
    }

    /// Copies the whole configuration.
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

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Object under `key`.
    pub fn get(&self, key: &ObjectKey) -> Option<&Object> {
        self.entries.get(key)?.object.as_ref()
    }

    /// All objects of one kind, in order of their ids.
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
    /// Fails when the name means nothing or several objects.
    pub fn resolve(&self, kind: ObjectKind, given: &str) -> Result<Box<str>, NameError> {
        self.names.resolve(kind, given)
    }

    /// Objects of `ticket` that a newer ticket has touched.
    pub fn newer_touches(&self, ticket: &Ticket) -> Vec<NewerTouch> {
        let touched = ticket.touched().into_iter();
        touched
            .filter_map(|object| {
                let newest = self.entries.get(&object)?.ticket;
                (newest > ticket.number).then_some(NewerTouch {
                    object,
                    ticket: newest,
                })
            })
            .collect()
    }

    /// Everything that keeps `ticket` from fitting the configuration.
    pub fn problems(&self, ticket: &Ticket) -> Vec<Box<str>> {
        let objects = ticket.objects();
        let set: BTreeMap<_, _> = objects.iter().map(|x| (x.key(), x)).collect();
        let removed: BTreeSet<_> = ticket.removals.iter().collect();
        let after = |key: &ObjectKey| match set.get(key) {
            Some(object) => Some(*object),
            None if removed.contains(key) => None,
            None => self.get(key),
        };
        let mut out = Vec::new();
        for (key, object) in &set {
            out.extend(self.object_problems(key, object, &after));
        }
        out.extend(duplicate_names(&objects));
        out.extend(self.dangling(&removed, &set));
        out
    }

    fn object_problems<'a>(
        &self,
        key: &ObjectKey,
        object: &Object,
        after: &impl Fn(&ObjectKey) -> Option<&'a Object>,
    ) -> Vec<Box<str>> {
        let mut out = Vec::new();
        for reference in object.references() {
            if after(&reference).is_none() {
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
            let still = holder.filter(|other| {
                let object = after(other).and_then(Object::names);
                object.and_then(|names| names.get(scheme)) == Some(name)
            });
            if let Some(other) = still {
                out.push(format!("{key}: name `{scheme}:{name}` belongs to {other}").into());
            }
        }
        out.extend(layer_problem(key, object, after));
        out
    }

    fn dangling(
        &self,
        removed: &BTreeSet<&ObjectKey>,
        set: &BTreeMap<ObjectKey, &Object>,
    ) -> Vec<Box<str>> {
        if removed.is_empty() {
            return Vec::new();
        }
        let kept = self
            .entries
            .iter()
            .filter(|(key, _)| !removed.contains(key) && !set.contains_key(*key));
        let mut out = Vec::new();
        for (key, entry) in kept {
            let references = entry.object.iter().flat_map(Object::references);
            for reference in references.filter(|reference| removed.contains(reference)) {
                out.push(format!("{reference} is still referred to by {key}").into());
            }
        }
        out
    }

    /// Puts a ticket in force that has no [`Self::problems`] and no [`Self::newer_touches`].
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
        self.take(&delta);
        delta
    }

    /// Takes the next delta.
    ///
    /// # Errors
    ///
    /// Fails, changing nothing, when the delta does not follow the revision in force.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), OutOfStep> {
        if delta.revision.0 != self.revision.0 + 1 {
            return Err(OutOfStep {
                current: self.revision,
                delta: delta.revision,
            });
        }
        self.take(delta);
        Ok(())
    }

    fn take(&mut self, delta: &Delta) {
        // Names move between objects within one ticket, so all old ones go first.
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
            self.put(change.clone());
        }
        self.revision = delta.revision;
    }

    fn put(&mut self, change: Change) {
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

fn duplicate_names(objects: &[Object]) -> Vec<Box<str>> {
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

fn layer_problem<'a>(
    key: &ObjectKey,
    object: &Object,
    after: &impl Fn(&ObjectKey) -> Option<&'a Object>,
) -> Option<Box<str>> {
    let (model, layers) = match object {
        Object::Model(x) if x.layers == 0 || x.layers > MAX_LAYERS => {
            return Some(format!("{key}: layers must lie in 1..={MAX_LAYERS}").into());
        }
        Object::Placement(x) => (&x.model, x.layers),
        Object::Permission(x) => (&x.model, x.layers),
        _ => return None,
    };
    match after(&ObjectKey::new(ObjectKind::Model, model.clone())) {
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
