//! Configuration objects, which operators create, change and remove by ticket.
//!
//! A ticket is a numbered document that lists such changes. Every object has a canonical id, which
//! is unique among the objects of its kind. Organisations, models and engines also have names in
//! naming schemes, which are namespaces that operators define.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::layers::LayerRange;

/// Names of one object, by the canonical id of the naming scheme.
pub type SchemeNames = BTreeMap<Box<str>, Box<str>>;

/// Kind of a configured object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A naming scheme: a namespace for the names of objects.
    Scheme,
    /// An organisation: a customer whose callers send requests.
    Organisation,
    /// A service that callers send requests to.
    Service,
    /// A model, which engines run layer by layer.
    Model,
    /// An engine: a process that runs layers of a model.
    Engine,
    /// A placement: the layers of a model that one engine is to hold.
    Placement,
    /// A permission: the engines that may run certain layers of a model.
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
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Canonical id, unique among the objects of this kind.
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
    /// Purpose of the scheme, as a text for operators.
    #[serde(default)]
    pub description: Box<str>,
}

/// An organisation whose callers send requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Organisation {
    /// Canonical id of the organisation.
    pub id: Box<str>,
    /// Weight by which capacity is divided among organisations under load.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// SHA-256 digests of the organisation's bearer tokens.
    pub token_digests: Vec<Digest>,
    /// Names of the organisation, by naming scheme.
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
    /// Canonical id of the model that the service runs.
    ///
    /// It is `None` for a plain service, which runs no model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Box<str>>,
    /// Scheduling class of the service's requests.
    #[serde(default)]
    pub class: Class,
    /// Paths of a plain service at which a `POST` request may be retried.
    #[serde(default)]
    pub repeatable_paths: Vec<Box<str>>,
}

/// Scheduling class of queued requests, from the most urgent to the least.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// The request is interactive: a person is waiting for the answer.
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
    /// Canonical id of the model.
    pub id: Box<str>,
    /// Number of layers of the model.
    pub layers: u32,
    /// Names of the model, by naming scheme.
    #[serde(default)]
    pub names: SchemeNames,
}

/// An engine and its names, configured before the engine announces itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Engine {
    /// Canonical id of the engine.
    pub id: Box<str>,
    /// Names of the engine, by naming scheme.
    #[serde(default)]
    pub names: SchemeNames,
}

/// Assignment of a range of model layers to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Placement {
    /// Canonical id of the placement.
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

/// Engines that may run a stage, which is a range of model layers.
///
/// All engines may run layers that no permission covers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Permission {
    /// Canonical id of the permission.
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
    /// A naming scheme: a namespace for the names of objects.
    Scheme(Scheme),
    /// An organisation: a customer whose callers send requests.
    Organisation(Organisation),
    /// A service that callers send requests to.
    Service(Service),
    /// A model, which engines run layer by layer.
    Model(Model),
    /// An engine: a process that runs layers of a model.
    Engine(Engine),
    /// A placement: the layers of a model that one engine is to hold.
    Placement(Placement),
    /// A permission: the engines that may run certain layers of a model.
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

    /// Returns the object's names by naming scheme, or `None` for kinds without names.
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
