//! Objects that operators create by ticket.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::layers::LayerRange;

/// Names of one object, by scheme.
pub type SchemeNames = BTreeMap<Box<str>, Box<str>>;

/// Kind of an object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A naming scheme.
    Scheme,
    /// An organisation.
    Organisation,
    /// A service.
    Service,
    /// A model.
    Model,
    /// An engine.
    Engine,
    /// A model placement.
    Placement,
    /// A stage permission.
    Permission,
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Scheme => "scheme",
            Self::Organisation => "organisation",
            Self::Service => "service",
            Self::Model => "model",
            Self::Engine => "engine",
            Self::Placement => "placement",
            Self::Permission => "permission",
        })
    }
}

/// Kind and canonical id of an object.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Canonical id, unique among objects of the kind.
    pub id: Box<str>,
}

impl ObjectKey {
    /// Creates a key.
    pub fn new(kind: ObjectKind, id: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            id: id.into(),
        }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.id)
    }
}

/// A naming scheme.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scheme {
    /// Canonical id, the prefix in `scheme:name`.
    pub id: Box<str>,
    /// What the scheme is for.
    #[serde(default)]
    pub description: Box<str>,
}

/// An organisation whose callers use the system.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Organisation {
    /// Canonical id.
    pub id: Box<str>,
    /// Share of a busy system, relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// SHA-256 digests of the organisation's bearer tokens.
    pub token_digests: Vec<Digest>,
    /// Names by scheme.
    #[serde(default)]
    pub names: SchemeNames,
}

fn default_weight() -> u32 {
    1
}

/// A service that callers ask for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Canonical id.
    pub id: Box<str>,
    /// Model behind the service; none for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Box<str>>,
    /// Order in which waiting requests run.
    #[serde(default)]
    pub class: Class,
    /// Paths of a plain service whose `POST` may be repeated.
    #[serde(default)]
    pub repeatable_paths: Vec<Box<str>>,
}

/// Order in which waiting requests run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A person waits.
    #[default]
    Interactive,
    /// Must be done by a time.
    Deadline,
    /// Whenever there is room.
    Batch,
}

/// A model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Model {
    /// Canonical id.
    pub id: Box<str>,
    /// Number of layers.
    pub layers: u32,
    /// Names by scheme.
    #[serde(default)]
    pub names: SchemeNames,
}

/// An engine, known by its names before it announces itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Engine {
    /// Canonical id.
    pub id: Box<str>,
    /// Names by scheme.
    #[serde(default)]
    pub names: SchemeNames,
}

/// Which part of a model an engine shall hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Placement {
    /// Canonical id.
    pub id: Box<str>,
    /// Engine, by canonical id.
    pub engine: Box<str>,
    /// Model, by canonical id.
    pub model: Box<str>,
    /// Version of the weights.
    pub version: Box<str>,
    /// Layers to hold.
    pub layers: LayerRange,
}

/// Which engines may run a pipeline stage; layers without one are open to all engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Permission {
    /// Canonical id.
    pub id: Box<str>,
    /// Model, by canonical id.
    pub model: Box<str>,
    /// Layers of the stage.
    pub layers: LayerRange,
    /// Engines that may run any of these layers, by canonical id.
    pub engines: Vec<Box<str>>,
}

/// Any object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Object {
    /// A naming scheme.
    Scheme(Scheme),
    /// An organisation.
    Organisation(Organisation),
    /// A service.
    Service(Service),
    /// A model.
    Model(Model),
    /// An engine.
    Engine(Engine),
    /// A model placement.
    Placement(Placement),
    /// A stage permission.
    Permission(Permission),
}

impl Object {
    /// Kind and canonical id.
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Scheme(x) => ObjectKey::new(ObjectKind::Scheme, x.id.clone()),
            Self::Organisation(x) => ObjectKey::new(ObjectKind::Organisation, x.id.clone()),
            Self::Service(x) => ObjectKey::new(ObjectKind::Service, x.id.clone()),
            Self::Model(x) => ObjectKey::new(ObjectKind::Model, x.id.clone()),
            Self::Engine(x) => ObjectKey::new(ObjectKind::Engine, x.id.clone()),
            Self::Placement(x) => ObjectKey::new(ObjectKind::Placement, x.id.clone()),
            Self::Permission(x) => ObjectKey::new(ObjectKind::Permission, x.id.clone()),
        }
    }

    /// Names by scheme; none for kinds that have only a canonical id.
    pub fn names(&self) -> Option<&SchemeNames> {
        match self {
            Self::Organisation(x) => Some(&x.names),
            Self::Model(x) => Some(&x.names),
            Self::Engine(x) => Some(&x.names),
            _ => None,
        }
    }

    /// Objects that must exist for this one to make sense.
    pub fn references(&self) -> Vec<ObjectKey> {
        let schemes = self.names().into_iter().flat_map(|names| names.keys());
        let mut out: Vec<_> = schemes
            .map(|id| ObjectKey::new(ObjectKind::Scheme, id.clone()))
            .collect();
        match self {
            Self::Service(x) => {
                out.extend(
                    x.model
                        .iter()
                        .map(|id| ObjectKey::new(ObjectKind::Model, id.clone())),
                );
            }
            Self::Placement(x) => {
                out.push(ObjectKey::new(ObjectKind::Engine, x.engine.clone()));
                out.push(ObjectKey::new(ObjectKind::Model, x.model.clone()));
            }
            Self::Permission(x) => {
                out.push(ObjectKey::new(ObjectKind::Model, x.model.clone()));
                let engines = x.engines.iter();
                out.extend(engines.map(|id| ObjectKey::new(ObjectKind::Engine, id.clone())));
            }
            _ => {}
        }
        out
    }
}
