//! Engines by model and plain targets by service.

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

/// Engines of one model with the planner that chooses among them.
#[derive(Debug)]
pub struct ModelFleet {
    /// The engines.
    pub fleet: Fleet,
    /// The planner.
    pub planner: Box<dyn Planner>,
    /// Engines that run a suspected request.
    pub suspect_engines: BTreeSet<Box<str>>,
    /// Time of the last token that came through each engine.
    pub progress: BTreeMap<Box<str>, u64>,
    /// Times that each engine was found silent since its last token.
    pub strikes: BTreeMap<Box<str>, u32>,
    /// Time to the first token of recent attempts.
    pub first_tokens: FirstTokenTimer,
    /// Engines that were lost a moment ago.
    losses: Vec<Loss>,
}

/// An engine that was lost.
#[derive(Clone, Debug)]
struct Loss {
    at: u64,
    engine: Box<str>,
    zone: Box<str>,
}

/// Time without a token after which an engine with requests counts as stale, in milliseconds.
const STALE_MS: u64 = 400;
/// Strikes after which the time that an engine is avoided grows no more.
const MAX_STRIKES: u32 = 5;
/// Time within which losses count as one outage, in milliseconds.
const OUTAGE_MS: u64 = 1_000;
/// Engines lost in one zone that make an outage of the zone.
const ZONE_OUTAGE_ENGINES: usize = 2;

/// A target of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceTarget {
    /// Name of the target.
    pub name: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Address that takes calls.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub ready: bool,
}

/// Engines by model and plain targets by service.
#[derive(Debug)]
pub struct Fleets {
    kind: PlannerKind,
    links: Vec<LinkSettings>,
    models: BTreeMap<Box<str>, ModelFleet>,
    services: BTreeMap<Box<str>, BTreeMap<Box<str>, ServiceTarget>>,
    /// Model of each engine, by the name that it announced.
    engines: BTreeMap<Box<str>, Box<str>>,
}

impl Fleets {
    /// Creates empty fleets.
    pub fn new(settings: &GateSettings) -> Self {
        Self {
            kind: settings.planner,
            links: settings.links.clone(),
            models: BTreeMap::new(),
            services: BTreeMap::new(),
            engines: BTreeMap::new(),
        }
    }

    /// Engines of a model, by the model's canonical id.
    pub fn model(&mut self, id: &str) -> Option<&mut ModelFleet> {
        self.models.get_mut(id)
    }

    /// Ready targets of a service, by the service's canonical id.
    pub fn service(&self, id: &str) -> Vec<ServiceTarget> {
        let targets = self.services.get(id).into_iter().flat_map(BTreeMap::values);
        targets.filter(|target| target.ready).cloned().collect()
    }

    /// Brings one target in line with its record.
    pub fn sync(&mut self, configuration: &Configuration, record: &TargetRecord) {
        match &record.payload.role {
            TargetRole::Service { service } => self.sync_service(service, record),
            TargetRole::Engine { model, .. } => {
                let model = configuration.resolve(ObjectKind::Model, model).ok();
                let model = model.filter(|_| !record.condition.is_gone());
                self.leave_model(&record.name, model.as_deref());
                if let Some(model) = model {
                    self.sync_engine(configuration, model, record);
                }
            }
        }
    }

    /// Takes an engine from its old model, unless it stays.
    fn leave_model(&mut self, engine: &str, next: Option<&str>) {
        if self.engines.get(engine).map(AsRef::as_ref) == next {
            return;
        }
        let old = self.engines.remove(engine);
        if let Some(model) = old.and_then(|old| self.models.get_mut(&old)) {
            model.fleet.remove(engine);
            model.progress.remove(engine);
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
    /// Notes that an engine was silent; each time it is avoided twice as long as before.
    pub fn strike(&mut self, engine: &str, now: u64, avoid_ms: u64) {
        let Some(key) = self.fleet.key(engine) else {
            return;
        };
        // Requests that were under way together find the same silence; it counts once.
        let avoided = self
            .fleet
            .get(key)
            .is_some_and(|state| state.avoid_until > now);
        let strikes = self.strikes.entry(engine.into()).or_default();
        if !avoided {
            *strikes = (*strikes + 1).min(MAX_STRIKES);
        }
        let factor = 1 << strikes.saturating_sub(1);
        self.fleet.avoid(key, now + avoid_ms * factor);
    }

    /// Notes that an engine was lost.
    pub fn note_loss(&mut self, engine: &str, now: u64) {
        self.losses.retain(|loss| now < loss.at + OUTAGE_MS);
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

    /// Addresses of up to `most` other engines in the zones of these.
    pub fn neighbours(&self, engines: &[Box<str>], most: usize) -> Vec<SocketAddr> {
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
        others.map(|info| info.address).take(most).collect()
    }

    /// Engines that suspects of another gate may use, when `gates` share the engines out.
    pub fn engines_of_others(&self, rank: usize, gates: usize) -> Vec<EngineKey> {
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

    /// Whether a token has come through an engine after `since`.
    pub fn has_moved(&self, engine: &str, since: u64) -> bool {
        self.progress.get(engine).is_some_and(|at| *at > since)
    }

    /// Engines with requests of this gate through which no token has come for a while.
    pub fn stale_engines(&self, now: u64) -> Vec<EngineKey> {
        let stale = self.fleet.engines().filter(|(_, engine)| {
            let progress = self.progress.get(&engine.info.name);
            engine.in_flight > 0 && progress.is_some_and(|at| now > at + STALE_MS)
        });
        stale.map(|(key, _)| key).collect()
    }

    /// Engines of zones that seem to be failing as a whole.
    pub fn engines_in_outage(&self, now: u64) -> Vec<EngineKey> {
        let recent = self.losses.iter().filter(|loss| now < loss.at + OUTAGE_MS);
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

    /// Key of an engine by its name.
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
    let (suspect_engines, progress) = (BTreeSet::new(), BTreeMap::new());
    let strikes = BTreeMap::new();
    let first_tokens = FirstTokenTimer::new();
    let losses = Vec::new();
    ModelFleet {
        fleet,
        planner,
        suspect_engines,
        progress,
        strikes,
        first_tokens,
        losses,
    }
}

/// Canonical id of an engine; one that no ticket names keeps the name that it announced.
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

/// Parts of the held layers that the stage permissions leave to this engine.
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
                *last = LayerRange::new(last.from(), layer + 1).expect("layers ascend");
            }
            _ => out.push(LayerRange::new(layer, layer + 1).expect("layers ascend")),
        }
    }
    out
}
