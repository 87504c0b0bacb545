//! Objects that operators create and change by ticket.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::layers::LayerRange;

/// Names of one object by scheme.
pub type SchemeNames = BTreeMap<Box<str>, Box<str>>;

/// Kind of a configured object.
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

/// Unique key of an object: its kind and canonical id.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectKey {
    /// Object kind.
    pub kind: ObjectKind,
    /// Canonical id, unique among objects of the kind.
    pub id: Box<str>,
}

impl ObjectKey {
    /// Creates a key from a kind and a canonical id.
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

/// A naming scheme; within it, objects of the same kind have different names.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scheme {
    /// Canonical id, used as the prefix in `scheme:name`.
    pub id: Box<str>,
    /// Purpose of the scheme.
    #[serde(default)]
    pub description: Box<str>,
}

/// An organisation whose callers send requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Organisation {
    /// Canonical id.
    pub id: Box<str>,
    /// Share of the capacity under load, relative to other organisations.
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

/// A service that callers send requests to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Canonical id of the service.
    pub id: Box<str>,
    /// Canonical id of the model that the service runs; `None` for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Box<str>>,
    /// Scheduling class of the service's requests.
    #[serde(default)]
    pub class: Class,
    /// Paths of a plain service to which a `POST` may be retried.
    #[serde(default)]
    pub repeatable_paths: Vec<Box<str>>,
}

/// Scheduling class of queued requests, from the most urgent to the least.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A person is waiting for the answer.
    #[default]
    Interactive,
    /// The request must finish by a deadline.
    Deadline,
    /// The request runs when capacity is available.
    Batch,
}

/// A model, which engines run layer by layer.
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

/// An engine, configured with its names before it announces itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Engine {
    /// Canonical id.
    pub id: Box<str>,
    /// Names by scheme.
    #[serde(default)]
    pub names: SchemeNames,
}

/// Assignment of a range of model layers to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Placement {
    /// Canonical id.
    pub id: Box<str>,
    /// Canonical id of the engine.
    pub engine: Box<str>,
    /// Canonical id of the model.
    pub model: Box<str>,
    /// Version of the model weights.
    pub version: Box<str>,
    /// Layers assigned to the engine.
    pub layers: LayerRange,
}

/// List of the engines that may run a pipeline stage.
///
/// All engines may run layers that no permission covers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Permission {
    /// Canonical id.
    pub id: Box<str>,
    /// Canonical id of the model.
    pub model: Box<str>,
    /// Layers that the stage consists of.
    pub layers: LayerRange,
    /// Canonical ids of the engines that may run any of these layers.
    pub engines: Vec<Box<str>>,
}

/// A configured object of any kind.
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
    /// Returns the key of the object.
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

    /// Returns the names by scheme, or `None` for kinds without names.
    pub fn names(&self) -> Option<&SchemeNames> {
        match self {
            Self::Organisation(x) => Some(&x.names),
            Self::Model(x) => Some(&x.names),
            Self::Engine(x) => Some(&x.names),
            _ => None,
        }
    }

    /// Returns the keys of the objects that this one refers to.
    ///
    /// All of them must exist in the configuration.
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
