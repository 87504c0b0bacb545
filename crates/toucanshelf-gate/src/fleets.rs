//! Engines grouped by model, and targets of plain services grouped by service.
//!
//! A plain service runs no model. A fleet is the set of engines that serve one model. An engine
//! stalls if it has requests in flight but delivers no token in time. It is lost if it crashes or
//! the connection to it breaks. A zone has an outage if several of its engines are lost within a
//! short time.
//!
//! A suspected request is one that may have crashed engines. It runs in isolation, which means on
//! engines that run no other suspected request of this gate.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use toucanshelf_coordination::membership::Condition;
use toucanshelf_core::configuration::Configuration;
use toucanshelf_core::document::{Object, ObjectKey, ObjectKind};
use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::target::{Announcement, TargetRole};
use toucanshelf_link::frame::TargetRecord;
use toucanshelf_routing::fleet::{EngineInfo, Fleet};
use toucanshelf_routing::planner::{FlowPlanner, LeastLoadedPlanner, Planner, RandomPlanner};
use toucanshelf_routing::route::EngineKey;

use toucanshelf_routing::retry::FirstTokenTimer;

use crate::settings::{GateSettings, LinkSettings, PlannerKind};

/// Engines of one model, with the planner that selects routes over them.
#[derive(Debug)]
pub struct ModelFleet {
    /// Engines and the links between their zones.
    pub fleet: Fleet,
    /// Planner that selects the routes of requests.
    pub planner: Box<dyn Planner>,
    /// Names of the engines that run a request suspected of crashing engines.
    ///
    /// Other suspected requests of this gate are not run on them.
    pub engines_with_suspects: BTreeSet<Box<str>>,
    /// Time of each engine's last token, in milliseconds of the gate's clock.
    pub last_token_at: BTreeMap<Box<str>, u64>,
    /// Number of stalls of each engine since its last token.
    pub consecutive_stalls: BTreeMap<Box<str>, u32>,
    /// Timeout for the first token of an attempt, adapted to recent attempts.
    pub first_token_timer: FirstTokenTimer,
    /// Recent losses of engines, at most one for each engine.
    ///
    /// A new loss removes those older than [`OUTAGE_WINDOW_MS`].
    losses: Vec<Loss>,
}

/// Record of an engine that crashed or whose connection broke.
#[derive(Clone, Debug)]
struct Loss {
    /// Time of the crash or disconnection, in milliseconds of the gate's clock.
    at: u64,
    engine: Box<str>,
    zone: Box<str>,
}

/// Time without a token after which a busy engine counts as stalled, in milliseconds.
const STALL_TIMEOUT_MS: u64 = 400;
/// Number of consecutive stalls after which an engine's avoidance time stops growing.
const MAX_BACKOFF_STALLS: u32 = 5;
/// Time window in which engine losses count towards one outage, in milliseconds.
const OUTAGE_WINDOW_MS: u64 = 1_000;
/// Number of recently lost engines at which their zone counts as having an outage.
const ZONE_OUTAGE_ENGINES: usize = 2;

/// A target of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceTarget {
    /// Name that the target announced.
    pub name: Box<str>,
    /// Availability zone of the target.
    pub zone: Box<str>,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    /// Whether the target accepts new calls.
    pub ready: bool,
}

/// Engines of all models and targets of all plain services.
#[derive(Debug)]
pub struct Fleets {
    /// Kind of the planner that selects routes for every model.
    kind: PlannerKind,
    /// Network links between zones whose properties differ from the default.
    links: Vec<LinkSettings>,
    /// Engines of each model, by the canonical id of the model.
    models: BTreeMap<Box<str>, ModelFleet>,
    /// Targets of plain services, by the announced service and the target's name.
    services: BTreeMap<Box<str>, BTreeMap<Box<str>, ServiceTarget>>,
    /// Model of each engine, by the name that the engine announced.
    engines: BTreeMap<Box<str>, Box<str>>,
}

impl Fleets {
    /// Creates the collection for a gate that knows no engines or targets yet.
    pub fn new(settings: &GateSettings) -> Self {
        Self {
            kind: settings.planner,
            links: settings.links.clone(),
            models: BTreeMap::new(),
            services: BTreeMap::new(),
            engines: BTreeMap::new(),
        }
    }

    /// Returns the engines and the planner of the model with this canonical id.
    pub fn model(&mut self, id: &str) -> Option<&mut ModelFleet> {
        self.models.get_mut(id)
    }

    /// Returns the ready targets of the service with this canonical id.
    pub fn service(&self, id: &str) -> Vec<ServiceTarget> {
        let targets = self.services.get(id).into_iter().flat_map(BTreeMap::values);
        targets.filter(|target| target.ready).cloned().collect()
    }

    /// Updates, moves or removes one target according to its membership record.
    pub fn sync(&mut self, configuration: &Configuration, record: &TargetRecord) {
        match &record.payload.role {
            TargetRole::Service { service } => self.sync_service(service, record),
            TargetRole::Engine { model, .. } => {
                let model = configuration.resolve(ObjectKind::Model, model).ok();
                let model = model.filter(|_| !record.condition.is_gone());
                self.remove_from_previous_model(&record.name, model.as_deref());
                if let Some(model) = model {
                    self.sync_engine(configuration, model, record);
                }
            }
        }
    }

    /// Removes an engine from its previous model's engines if its model has changed.
    ///
    /// Its model is now the one with the canonical id `next`, or none.
    fn remove_from_previous_model(&mut self, engine: &str, next: Option<&str>) {
        if self.engines.get(engine).map(AsRef::as_ref) == next {
            return;
        }
        let old = self.engines.remove(engine);
        if let Some(model) = old.and_then(|old| self.models.get_mut(&old)) {
            model.fleet.remove(engine);
            model.last_token_at.remove(engine);
        }
    }

    fn sync_service(&mut self, service: &str, record: &TargetRecord) {
        let targets = self.services.entry(service.into()).or_default();
        if record.condition.is_gone() {
            targets.remove(&record.name);
            return;
        }
        let target = ServiceTarget {
            name: record.name.clone(),
            zone: record.payload.zone.clone(),
            address: record.payload.address,
            ready: record.condition.accepts_work(),
        };
        targets.insert(record.name.clone(), target);
    }

    fn sync_engine(
        &mut self,
        configuration: &Configuration,
        model: Box<str>,
        record: &TargetRecord,
    ) {
        let key = ObjectKey::new(ObjectKind::Model, model.clone());
        let Some(Object::Model(object)) = configuration.get(&key) else {
            return;
        };
        let (kind, links) = (self.kind, &self.links);
        let entry = self.models.entry(model.clone());
        let model_fleet = entry.or_insert_with(|| new_model_fleet(kind, links, object.layers));
        if model_fleet.fleet.layers() != object.layers {
            *model_fleet = new_model_fleet(kind, links, object.layers);
        }
        if let Some(info) = engine_info(configuration, &model, object.layers, record) {
            model_fleet.fleet.upsert(info);
            self.engines.insert(record.name.clone(), model);
        }
    }
}

impl ModelFleet {
    /// Records a stall of an engine and avoids the engine for a while.
    ///
    /// The engine is avoided for `avoid_ms` milliseconds after a first stall. The time doubles with
    /// each consecutive stall, up to `MAX_BACKOFF_STALLS` stalls.
    pub fn record_stall(&mut self, engine: &str, now: u64, avoid_ms: u64) {
        let Some(key) = self.fleet.key(engine) else {
            return;
        };
        // Several requests in flight can report the same stall, which must count only once.
        let avoided = self
            .fleet
            .get(key)
            .is_some_and(|state| state.avoid_until > now);
        let consecutive_stalls = self.consecutive_stalls.entry(engine.into()).or_default();
        if !avoided {
            *consecutive_stalls = (*consecutive_stalls + 1).min(MAX_BACKOFF_STALLS);
        }
        let factor = 1 << consecutive_stalls.saturating_sub(1);
        self.fleet.avoid(key, now + avoid_ms * factor);
    }

    /// Records the loss of an engine, for the detection of zone outages.
    pub fn record_loss(&mut self, engine: &str, now: u64) {
        self.losses.retain(|loss| now < loss.at + OUTAGE_WINDOW_MS);
        let state = self.fleet.key(engine).and_then(|key| self.fleet.get(key));
        let Some(zone) = state.map(|state| state.info.zone.clone()) else {
            return;
        };
        if self.losses.iter().all(|loss| &*loss.engine != engine) {
            self.losses.push(Loss {
                at: now,
                engine: engine.into(),
                zone,
            });
        }
    }

    /// Returns addresses of other ready engines in the zones of `engines`.
    ///
    /// The result has at most `max_count` addresses.
    pub fn zone_peers(&self, engines: &[Box<str>], max_count: usize) -> Vec<SocketAddr> {
        let states = engines
            .iter()
            .filter_map(|name| self.fleet.get(self.fleet.key(name)?));
        let zones: BTreeSet<_> = states.map(|state| &state.info.zone).collect();
        let others = self
            .fleet
            .engines()
            .map(|(_, engine)| &engine.info)
            .filter(|info| {
                info.ready && zones.contains(&info.zone) && !engines.contains(&info.name)
            });
        others.map(|info| info.address).take(max_count).collect()
    }

    /// Returns the engines on which other gates prefer to run suspected requests.
    ///
    /// A suspected request is one that may have crashed engines. The engines are divided evenly
    /// among `gates` gates by rank, so that suspected requests of different gates rarely share an
    /// engine. This gate has the rank `rank`.
    pub fn engines_of_other_gates(&self, rank: usize, gates: usize) -> Vec<EngineKey> {
        let mut engines: Vec<_> = self
            .fleet
            .engines()
            .map(|(key, engine)| (&engine.info.name, key))
            .collect();
        engines.sort_unstable_by_key(|(name, _)| *name);
        let others = engines
            .into_iter()
            .enumerate()
            .filter(|(i, _)| i % gates != rank);
        others.map(|(_, (_, key))| key).collect()
    }

    /// Returns whether a token has passed through an engine after `since`, in milliseconds.
    pub fn has_token_since(&self, engine: &str, since: u64) -> bool {
        self.last_token_at.get(engine).is_some_and(|at| *at > since)
    }

    /// Returns the engines that run requests of this gate but deliver no tokens.
    ///
    /// The last token of these engines is more than `STALL_TIMEOUT_MS` milliseconds old.
    pub fn stalled_engines(&self, now: u64) -> Vec<EngineKey> {
        let stalled = self.fleet.engines().filter(|(_, engine)| {
            let last_token_at = self.last_token_at.get(&engine.info.name);
            engine.in_flight > 0 && last_token_at.is_some_and(|at| now > at + STALL_TIMEOUT_MS)
        });
        stalled.map(|(key, _)| key).collect()
    }

    /// Returns all engines in zones that appear to be failing as a whole.
    ///
    /// These are zones with at least `ZONE_OUTAGE_ENGINES` recent losses.
    pub fn engines_in_outage(&self, now: u64) -> Vec<EngineKey> {
        let recent = self
            .losses
            .iter()
            .filter(|loss| now < loss.at + OUTAGE_WINDOW_MS);
        let mut by_zone: BTreeMap<&str, usize> = BTreeMap::new();
        for loss in recent {
            *by_zone.entry(&loss.zone).or_default() += 1;
        }
        by_zone.retain(|_, lost| *lost >= ZONE_OUTAGE_ENGINES);
        if by_zone.is_empty() {
            return Vec::new();
        }
        let engines = self.fleet.engines();
        let failing = engines.filter(|(_, engine)| by_zone.contains_key(&*engine.info.zone));
        failing.map(|(key, _)| key).collect()
    }

    /// Returns the planner's key for the engine called `name`.
    pub fn key(&self, name: &str) -> Option<EngineKey> {
        self.fleet.key(name)
    }
}

fn new_model_fleet(kind: PlannerKind, links: &[LinkSettings], layers: u32) -> ModelFleet {
    let mut fleet = Fleet::new(layers);
    for link in links {
        fleet = fleet.with_link(&link.zones[0], &link.zones[1], link.info());
    }
    let planner: Box<dyn Planner> = match kind {
        PlannerKind::Flow => Box::new(FlowPlanner::new()),
        PlannerKind::LeastLoaded => Box::new(LeastLoadedPlanner::new()),
        PlannerKind::Random => Box::new(RandomPlanner::new()),
    };
    let (engines_with_suspects, last_token_at) = (BTreeSet::new(), BTreeMap::new());
    let consecutive_stalls = BTreeMap::new();
    let first_token_timer = FirstTokenTimer::new();
    let losses = Vec::new();
    ModelFleet {
        fleet,
        planner,
        engines_with_suspects,
        last_token_at,
        consecutive_stalls,
        first_token_timer,
        losses,
    }
}

/// Returns the canonical id of an engine.
///
/// An engine that the configuration does not name keeps the name that it announced.
pub fn canonical_name(configuration: &Configuration, announced: &str) -> Box<str> {
    let resolved = configuration.resolve(ObjectKind::Engine, announced);
    resolved.unwrap_or_else(|_| announced.into())
}

fn engine_info(
    configuration: &Configuration,
    model: &str,
    model_layers: u32,
    record: &TargetRecord,
) -> Option<EngineInfo> {
    let Announcement {
        zone,
        address,
        slots,
        role,
        ..
    } = &record.payload;
    let TargetRole::Engine {
        layers,
        tokens_per_s,
        ..
    } = role
    else {
        return None;
    };
    let canonical = canonical_name(configuration, &record.name);
    Some(EngineInfo {
        name: record.name.clone(),
        incarnation: Incarnation(record.incarnation),
        zone: zone.clone(),
        address: *address,
        layers: *layers,
        usable: usable_layers(configuration, model, model_layers, &canonical, *layers),
        tokens_per_s: *tokens_per_s,
        slots: *slots,
        ready: record.condition == Condition::Ready,
    })
}

/// Returns the layers in `held` that the engine is permitted to run.
///
/// A permission lists the engines that may run a range of a model's layers. A layer that no
/// permission covers may be run by every engine that holds it.
pub fn usable_layers(
    configuration: &Configuration,
    model: &str,
    model_layers: u32,
    engine: &str,
    held: LayerRange,
) -> Vec<LayerRange> {
    let permissions: Vec<_> = configuration
        .objects(ObjectKind::Permission)
        .filter_map(|object| match object {
            Object::Permission(x) if &*x.model == model => Some(x),
            _ => None,
        })
        .collect();
    let may_run = |layer: u32| {
        let mut covering = permissions
            .iter()
            .filter(|x| x.layers.from() <= layer && layer < x.layers.to())
            .peekable();
        covering.peek().is_none() || covering.any(|x| x.engines.iter().any(|id| &**id == engine))
    };
    let mut out: Vec<LayerRange> = Vec::new();
    for layer in held.from()..held.to().min(model_layers) {
        if !may_run(layer) {
            continue;
        }
        match out.last_mut() {
            Some(last) if last.to() == layer => {
                *last = LayerRange::new(last.from(), layer + 1).expect("range is not empty");
            }
            _ => out.push(LayerRange::new(layer, layer + 1).expect("range is not empty")),
        }
    }
    out
}
