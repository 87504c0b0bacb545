//! Resolution of names over several naming schemes.

use std::collections::BTreeMap;

use crate::document::{Object, ObjectKey, ObjectKind};

/// Pseudo-scheme under which an object is always known by its canonical id.
pub const CANONICAL_SCHEME: &str = "id";

/// Why a name could not be resolved.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NameError {
    /// The name means nothing.
    #[error("no {kind} is named `{name}` in any scheme")]
    Unknown {
        /// Kind that was looked for.
        kind: ObjectKind,
        /// Name as given.
        name: Box<str>,
    },
    /// The bare name means several objects.
    #[error("`{name}` names several objects of kind {kind}: {}", candidates.join(", "))]
    Ambiguous {
        /// Kind that was looked for.
        kind: ObjectKind,
        /// Name as given.
        name: Box<str>,
        /// Exact names that can be used in its place.
        candidates: Vec<Box<str>>,
    },
}

impl NameError {
    /// Exact names that the caller could have meant.
    pub fn candidates(&self) -> Vec<Box<str>> {
        match self {
            Self::Unknown { .. } => Vec::new(),
            Self::Ambiguous { candidates, .. } => candidates.clone(),
        }
    }
}

/// Objects known under one name, by scheme.
type Meanings = BTreeMap<Box<str>, Box<str>>;

/// Index from names to canonical ids.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    by_name: BTreeMap<(ObjectKind, Box<str>), Meanings>,
}

impl NameIndex {
    /// Adds every name of `object`.
    pub fn insert(&mut self, object: &Object) {
        let key = object.key();
        for (scheme, name) in names_of(object) {
            let meanings = self.by_name.entry((key.kind, name)).or_default();
            meanings.insert(scheme, key.id.clone());
        }
    }

    /// Removes every name of `object`.
    pub fn remove(&mut self, object: &Object) {
        let kind = object.key().kind;
        for (scheme, name) in names_of(object) {
            let slot = (kind, name);
            if let Some(meanings) = self.by_name.get_mut(&slot) {
                meanings.remove(&scheme);
                if meanings.is_empty() {
                    self.by_name.remove(&slot);
                }
            }
        }
    }

    /// Object that holds `name` in `scheme`.
    pub fn holder(&self, kind: ObjectKind, scheme: &str, name: &str) -> Option<ObjectKey> {
        let id = self.by_name.get(&(kind, name.into()))?.get(scheme)?;
        Some(ObjectKey::new(kind, id.clone()))
    }

    /// Resolves `scheme:name` exactly, and a bare name where it means one object only.
    ///
    /// # Errors
    ///
    /// Fails when the name means nothing or, across schemes, more than one object.
    pub fn resolve(&self, kind: ObjectKind, given: &str) -> Result<Box<str>, NameError> {
        if let Some((scheme, name)) = given.split_once(':')
            && let Some(key) = self.holder(kind, scheme, name)
        {
            return Ok(key.id);
        }
        let Some(meanings) = self.by_name.get(&(kind, given.into())) else {
            return Err(NameError::Unknown {
                kind,
                name: given.into(),
            });
        };
        let first = meanings
            .values()
            .next()
            .expect("a name without meaning is removed");
        if meanings.values().all(|id| id == first) {
            return Ok(first.clone());
        }
        let candidates = meanings
            .keys()
            .map(|scheme| format!("{scheme}:{given}").into())
            .collect();
        Err(NameError::Ambiguous {
            kind,
            name: given.into(),
            candidates,
        })
    }
}

fn names_of(object: &Object) -> impl Iterator<Item = (Box<str>, Box<str>)> {
    let canonical = (CANONICAL_SCHEME.into(), object.key().id);
    let names = object.names().into_iter().flatten();
    std::iter::once(canonical).chain(names.map(|(scheme, name)| (scheme.clone(), name.clone())))
}
