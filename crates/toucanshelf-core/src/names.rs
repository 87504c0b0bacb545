//! Resolution of object names across several naming schemes.
//!
//! A naming scheme is a namespace that operators define; within it, objects of the same kind have
//! different names. Independently of the schemes, every object has a canonical id, which is unique
//! among the objects of its kind.

use std::collections::BTreeMap;

use crate::document::{Object, ObjectKey, ObjectKind};

/// Built-in scheme in which the name of an object is its canonical id.
pub const CANONICAL_SCHEME: &str = "id";

/// Error from resolving the name of an object to its canonical id.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NameError {
    /// No object of the kind has this name in any scheme.
    #[error("no {kind} is named `{name}` in any scheme")]
    Unknown {
        /// Kind of object that was looked up.
        kind: ObjectKind,
        /// Name that was looked up.
        name: Box<str>,
    },
    /// Several objects have this name in different schemes.
    #[error("`{name}` names several objects of kind {kind}: {}", candidates.join(", "))]
    Ambiguous {
        /// Kind of object that was looked up.
        kind: ObjectKind,
        /// Name that was looked up.
        name: Box<str>,
        /// Names prefixed with a scheme (`scheme:name`), each of which identifies one object.
        candidates: Vec<Box<str>>,
    },
}

impl NameError {
    /// Returns the alternatives to an ambiguous name, each prefixed with its scheme.
    ///
    /// The list is empty for an unknown name.
    pub fn candidates(&self) -> Vec<Box<str>> {
        match self {
            Self::Unknown { .. } => Vec::new(),
            Self::Ambiguous { candidates, .. } => candidates.clone(),
        }
    }
}

/// Canonical ids of the objects that share one name, by scheme.
type IdsByScheme = BTreeMap<Box<str>, Box<str>>;

/// Index from object kinds and names to canonical ids.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    by_name: BTreeMap<(ObjectKind, Box<str>), IdsByScheme>,
}

impl NameIndex {
    /// Adds all names of `object` to the index, including its canonical id.
    pub fn insert(&mut self, object: &Object) {
        let key = object.key();
        for (scheme, name) in qualified_names(object) {
            let ids_by_scheme = self.by_name.entry((key.kind, name)).or_default();
            ids_by_scheme.insert(scheme, key.id.clone());
        }
    }

    /// Removes all names of `object` from the index, including its canonical id.
    pub fn remove(&mut self, object: &Object) {
        let kind = object.key().kind;
        for (scheme, name) in qualified_names(object) {
            let key = (kind, name);
            if let Some(ids_by_scheme) = self.by_name.get_mut(&key) {
                ids_by_scheme.remove(&scheme);
                if ids_by_scheme.is_empty() {
                    self.by_name.remove(&key);
                }
            }
        }
    }

    /// Returns the key of the object that has `name` in `scheme`, if any.
    pub fn holder(&self, kind: ObjectKind, scheme: &str, name: &str) -> Option<ObjectKey> {
        let id = self.by_name.get(&(kind, name.into()))?.get(scheme)?;
        Some(ObjectKey::new(kind, id.clone()))
    }

    /// Resolves `scheme:name`, or a name without a scheme, to a canonical id.
    ///
    /// # Errors
    ///
    /// Fails if the name is unknown. A name without a scheme also fails if it denotes different
    /// objects in different schemes.
    pub fn resolve(&self, kind: ObjectKind, query: &str) -> Result<Box<str>, NameError> {
        if let Some((scheme, name)) = query.split_once(':')
            && let Some(key) = self.holder(kind, scheme, name)
        {
            return Ok(key.id);
        }
        let Some(ids_by_scheme) = self.by_name.get(&(kind, query.into())) else {
            return Err(NameError::Unknown {
                kind,
                name: query.into(),
            });
        };
        let first = ids_by_scheme
            .values()
            .next()
            .expect("the index has no empty entries");
        if ids_by_scheme.values().all(|id| id == first) {
            return Ok(first.clone());
        }
        let candidates = ids_by_scheme
            .keys()
            .map(|scheme| format!("{scheme}:{query}").into())
            .collect();
        Err(NameError::Ambiguous {
            kind,
            name: query.into(),
            candidates,
        })
    }
}

fn qualified_names(object: &Object) -> impl Iterator<Item = (Box<str>, Box<str>)> {
    let canonical = (CANONICAL_SCHEME.into(), object.key().id);
    let names = object.names().into_iter().flatten();
    std::iter::once(canonical).chain(names.map(|(scheme, name)| (scheme.clone(), name.clone())))
}
