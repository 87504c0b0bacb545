//! Table of targets with their health, and selection of targets for requests.
//!
//! A target is a back end that registers with the control instances. An engine is a target that
//! holds a range of a model's layers, and a route is a sequence of engines that together run all
//! layers. The targets of a plain service answer requests alone. A target that is marked down
//! receives no requests for a while; one on probation receives them only at an extra cost.
//!
//! Failures that this ingress observes take precedence over the registrations from control: a
//! target that fails here is marked down even if its registration says that it is ready. Only a
//! restart, after which the target registers as a new incarnation, ends this early.

mod limits;
mod loads;
mod marks;
mod notices;
mod probes;
mod stages;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use toucanshelf_core::arena::{Arena, Key};
use toucanshelf_core::deployment::{Deployment, ModelSpec};
use toucanshelf_core::digest::Digest;
use toucanshelf_core::ids::CrashId;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_core::registry::{Registry, RegistryChange};
use toucanshelf_link::dialect::EngineInstance;
use toucanshelf_routing::hops::{CandidateStage, HopCosts, cheapest_route};

pub use limits::LimitChange;
use limits::TargetLimit;
use loads::LoadExchange;
pub use marks::DownCause;
use stages::stage;

/// Time for which a target is on probation after refusing a request, in milliseconds.
const REFUSAL_AVOIDANCE_MS: u64 = 250;
/// Interval between removals of targets whose retention after leaving has ended, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 1_000;
/// Time for which an engine that lacks its registered layers is excluded, in milliseconds.
///
/// A registration with other layers ends the exclusion early.
// Slightly longer than the interval between two heartbeats, which carry the registered layers.
const MISSING_LAYERS_EXCLUSION_MS: u64 = 1_500;
/// Extra cost of a target on probation, which recently failed or refused a request.
///
/// The unit is milliseconds per token for an engine. For a target of a plain service, the cost
/// equals that of this many requests in flight at the target.
const PROBATION_COST: f64 = 20.0;
/// Weight of the latest request in the moving average of a target's error rate.
const ERROR_WEIGHT: f64 = 0.15;
/// Extra cost of a plain target whose error rate is 1.
///
/// The cost equals that of this many requests in flight at the target.
const ERROR_COST: f64 = 8.0;
/// Extra cost of a plain target in another zone than this ingress.
///
/// The cost equals that of this many requests in flight at the target.
const OTHER_ZONE_COST: f64 = 3.0;
/// Costs of passing a request between engines, in milliseconds per token.
///
/// `remote_entry` is the cost of a first engine outside the zone of this ingress.
// Passing to another zone costs much more, because all transfers between two zones share one
// connection.
const HOP_COSTS: HopCosts = HopCosts {
    same_zone: 0.1,
    other_zone: 20.0,
    remote_entry: 30.0,
};

/// Key of a target in the table [`Targets`].
pub type TargetKey = Key<Target>;

/// A target and its health as observed by this ingress.
#[derive(Clone, Debug)]
pub struct Target {
    record: Registration,
    /// Identifier of a crash of this incarnation.
    crash: CrashId,
    /// Index of the target's zone in [`Targets::zones`].
    zone: u16,
    in_flight_requests: u32,
    /// Requests in flight that have this target as the first of their route.
    first_hop_requests: u32,
    /// Load of the requests in flight, in tokens times layers.
    ///
    /// Each request adds its number of tokens times the number of layers that the target runs
    /// for it.
    reserved_token_layers: f64,
    /// Number of times that the target was marked down since it last recovered.
    ///
    /// It recovers when it serves a plain request or restarts.
    failures: u32,
    /// Time until which the target is marked down, in milliseconds since the ingress started.
    down_until: u64,
    /// Why the target was last marked down.
    down_cause: Option<DownCause>,
    /// Time at which the target was last marked down, in milliseconds since the ingress started.
    marked_down_at: u64,
    /// End of the probation after a refusal, in milliseconds since the ingress started.
    refused_until: u64,
    /// Time until which the target is excluded because it lacks its registered layers.
    ///
    /// In milliseconds since the ingress started.
    missing_layers_until: u64,
    /// Moving average of the share of plain requests that failed, from 0 to 1.
    error_rate: f64,
    /// Time until which the target wants no requests, in milliseconds since the ingress started.
    unwanted_until: u64,
    /// Whether the target has said in an answer that it leaves.
    leaving: bool,
    /// Whether the target has refused a connection and answered no request since.
    ended: bool,
    /// Limit that the target names in its answers, while it does.
    limit: Option<TargetLimit>,
}

impl Target {
    fn new(record: Registration, zone: u16) -> Self {
        let incarnation = format!("{}/{}", record.id, record.incarnation);
        Self {
            crash: CrashId(Digest::of(incarnation.as_bytes()).prefix()),
            record,
            zone,
            in_flight_requests: 0,
            first_hop_requests: 0,
            reserved_token_layers: 0.0,
            failures: 0,
            down_until: 0,
            down_cause: None,
            marked_down_at: 0,
            refused_until: 0,
            missing_layers_until: 0,
            error_rate: 0.0,
            unwanted_until: 0,
            leaving: false,
            ended: false,
            limit: None,
        }
    }

    /// Returns whether the target is registered as ready, doesn't leave and isn't marked down.
    fn is_usable(&self, now: u64) -> bool {
        self.record.readiness == Readiness::Ready && !self.leaving && now >= self.down_until
    }

    /// Returns the time until which no request is sent to the target, in milliseconds.
    ///
    /// It lacks a permit until then, or wants no requests. As a later engine of a route it may be
    /// used.
    fn deferred_until(&self) -> u64 {
        let permit = self.limit.map_or(0, |limit| limit.deferred_until);
        permit.max(self.unwanted_until)
    }

    /// Returns whether the target costs extra after a failure or a refusal.
    ///
    /// After a failure, this lasts until it serves a plain request or restarts.
    fn is_on_probation(&self, now: u64) -> bool {
        self.failures > 0 || now < self.refused_until
    }
}

/// A target selected for a request to a plain service.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    /// Key of the target in the table [`Targets`].
    pub key: TargetKey,
    /// Identity under which the target has registered with the control instances.
    pub id: Box<str>,
    /// Address to which requests are sent.
    pub address: SocketAddr,
}

/// One engine of a route, with the layers that it runs.
#[derive(Clone, Copy, Debug)]
pub struct RouteHop {
    /// Key of the engine in the table [`Targets`].
    pub key: TargetKey,
    /// Address at which the engine accepts requests.
    pub address: SocketAddr,
    /// Layers that the engine runs for the request.
    pub layers: LayerRange,
}

/// Table of the registered targets of all services, with their health.
#[derive(Debug)]
pub struct Targets {
    registry: Registry,
    arena: Arena<Target>,
    by_id: HashMap<Box<str>, TargetKey>,
    zones: Vec<Box<str>>,
    models: BTreeMap<Box<str>, ModelSpec>,
    /// Number of ingress instances in the zone of this ingress, itself included.
    zone_ingresses: u32,
    /// Loads of engines by other ingresses.
    loads: LoadExchange,
    /// Time when `registry` was last pruned, in milliseconds since the ingress started.
    pruned_ms: u64,
}

impl Targets {
    /// Creates an empty table for an ingress in `zone`.
    pub fn new(zone: &str) -> Self {
        Self {
            registry: Registry::without_deployment(),
            pruned_ms: 0,
            arena: Arena::new(),
            by_id: HashMap::new(),
            // The zone of this ingress has index 0.
            zones: vec![zone.into()],
            models: BTreeMap::new(),
            zone_ingresses: 1,
            loads: LoadExchange::default(),
        }
    }

    /// Replaces the services and their models by those of a deployment, at `now` in milliseconds.
    ///
    /// A deployment is the versioned configuration that the control instances distribute. Targets that
    /// registered before their service was deployed are used from now on.
    pub fn set_deployment(&mut self, deployment: &Deployment, now: u64) {
        let entered = self.registry.set_services(deployment.service_names(), now);
        for record in entered {
            self.update_targets(&record.id, record.address);
        }
        let models = deployment.models();
        self.models = models
            .map(|(service, model)| (service.name.clone(), model.clone()))
            .collect();
    }

    /// Sets the number of ingress instances in the zone of this ingress.
    pub fn set_zone_ingresses(&mut self, count: u32) {
        self.zone_ingresses = count.max(1);
    }

    /// Whether the targets of `service` are engines that hold layers of a model.
    pub fn has_model(&self, service: &str) -> bool {
        self.models.contains_key(service)
    }

    /// Updates the table with a registration, unless a newer one is known.
    ///
    /// `now` is in milliseconds since the ingress started.
    pub fn apply(&mut self, record: Registration, now: u64) {
        let (id, address) = (record.id.clone(), record.address);
        if self.registry.apply(record, now) != RegistryChange::Changed {
            return;
        }
        self.update_targets(&id, address);
        if now >= self.pruned_ms + PRUNE_INTERVAL_MS {
            self.registry.prune(now);
            self.pruned_ms = now;
        }
    }

    /// Updates all targets with this identity or address after a changed registration.
    ///
    /// The registration may have replaced that of another target at the same address.
    fn update_targets(&mut self, id: &str, address: SocketAddr) {
        let others = self.registry.at_address(address);
        let others = others.filter(|entry| &*entry.record.id != id);
        let own = self.registry.deployed(id);
        let affected: Vec<_> = own
            .into_iter()
            .chain(others)
            .map(|entry| entry.record.clone())
            .collect();
        for record in affected {
            self.update_target(record);
        }
    }

    /// Adds, updates, replaces or removes the target that a registration describes.
    ///
    /// A new incarnation, after a restart, replaces the target and thus resets its health. A target
    /// may deregister before it has answered all requests, so it is kept until its last one ends.
    fn update_target(&mut self, record: Registration) {
        let known = self.by_id.get(&record.id).copied();
        if record.readiness == Readiness::Gone {
            let Some(key) = known else { return };
            let replaced = self.registry.is_outdated_at_address(&record);
            if let Some(target) = self.arena.get_mut(key)
                && target.in_flight_requests > 0
                && !replaced
            {
                target.record = record;
            } else {
                self.remove(key);
            }
            return;
        }
        let zone = self.zone_index(&record.zone);
        let target = known.and_then(|key| self.arena.get_mut(key));
        match target {
            Some(target) if target.record.incarnation == record.incarnation => {
                if target.record.layers != record.layers {
                    target.missing_layers_until = 0;
                }
                target.record = record;
            }
            _ => {
                if let Some(key) = known {
                    self.arena.remove(key);
                }
                let id = record.id.clone();
                let key = self.arena.insert(Target::new(record, zone));
                self.by_id.insert(id, key);
            }
        }
    }

    /// Removes a target; its streams take it for failed.
    fn remove(&mut self, key: TargetKey) {
        if let Some(target) = self.arena.remove(key)
            && self.by_id.get(&target.record.id) == Some(&key)
        {
            self.by_id.remove(&target.record.id);
        }
    }

    /// Returns the index of a zone in [`Targets::zones`]; an unknown zone is added.
    fn zone_index(&mut self, zone: &str) -> u16 {
        let known = self.zones.iter().position(|known| &**known == zone);
        let index = known.unwrap_or_else(|| {
            self.zones.push(zone.into());
            self.zones.len() - 1
        });
        index as u16
    }

    /// Chooses the target of a plain service with the lowest cost.
    ///
    /// Requests in flight, errors, probation and another zone all add to the cost. Targets that are
    /// marked down or in `excluded` are never chosen.
    pub fn choose(&self, service: &str, excluded: &[TargetKey], now: u64) -> Option<ChosenTarget> {
        let cost = |target: &Target| {
            let zone = if target.zone == 0 {
                0.0
            } else {
                OTHER_ZONE_COST
            };
            let probation = if target.is_on_probation(now) {
                PROBATION_COST
            } else {
                0.0
            };
            f64::from(target.in_flight_requests) + zone + probation + ERROR_COST * target.error_rate
        };
        let usable = self.arena.iter().filter(|(key, target)| {
            &*target.record.service == service
                && target.is_usable(now)
                && now >= target.deferred_until()
                && !excluded.contains(key)
        });
        let (key, target) = usable.min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)))?;
        Some(ChosenTarget {
            key,
            id: target.record.id.clone(),
            address: target.record.address,
        })
    }

    /// Finds the cheapest route over the engines of `service`.
    ///
    /// Engines that are marked down or in `excluded` are not used.
    pub fn choose_route(
        &self,
        service: &str,
        excluded: &[TargetKey],
        now: u64,
    ) -> Option<Vec<RouteHop>> {
        let model = self.models.get(service)?;
        let usable = self.arena.iter().filter(|(key, target)| {
            &*target.record.service == service && target.is_usable(now) && !excluded.contains(key)
        });
        let stages: Vec<_> = usable
            .filter_map(|(key, target)| {
                stage(model, key, target, now, &self.assumed_load(target, now))
            })
            .collect();
        let hops = cheapest_route(&stages, model.layers, 0, &HOP_COSTS)?;
        self.observe_load_ages(hops.iter().map(|hop| hop.key), now);
        let hops = hops.into_iter().filter_map(|hop| {
            let target = self.arena.get(hop.key)?;
            Some(RouteHop {
                key: hop.key,
                address: target.record.address,
                layers: hop.layers,
            })
        });
        Some(hops.collect())
    }

    /// Replaces the failed engines of a route and keeps the others.
    ///
    /// An engine counts as failed if [`Targets::has_failed`] says so or it is in `excluded`. Returns
    /// `None` if the first engine has failed, or if no other engines hold the layers of the failed
    /// ones.
    pub fn repair_route(
        &self,
        service: &str,
        route: &[RouteHop],
        excluded: &[TargetKey],
        now: u64,
    ) -> Option<Vec<RouteHop>> {
        let model = self.models.get(service)?;
        let is_failed =
            |hop: &RouteHop| self.has_failed(hop.key, now) || excluded.contains(&hop.key);
        if is_failed(route.first()?) {
            return None;
        }
        let on_route = |key: &TargetKey| route.iter().any(|hop| hop.key == *key);
        let usable = self.arena.iter().filter(|(key, target)| {
            &*target.record.service == service
                && target.is_usable(now)
                && !excluded.contains(key)
                && !on_route(key)
        });
        let mut stages: Vec<_> = usable
            .filter_map(|(key, target)| {
                stage(model, key, target, now, &self.assumed_load(target, now))
            })
            .collect();
        let mut repaired = Vec::new();
        for part in route.chunk_by(|a, b| is_failed(a) == is_failed(b)) {
            if !is_failed(&part[0]) {
                repaired.extend_from_slice(part);
                continue;
            }
            let from = part[0].layers.from();
            let to = part[part.len() - 1].layers.to();
            let hops = self.cover_layers(&stages, from, to)?;
            stages.retain(|stage| hops.iter().all(|hop| hop.key != stage.key));
            repaired.extend(hops);
        }
        Some(repaired)
    }

    /// Finds the cheapest sequence of engines in `stages` that runs the layers `from..to`.
    fn cover_layers(
        &self,
        stages: &[CandidateStage<TargetKey>],
        from: u32,
        to: u32,
    ) -> Option<Vec<RouteHop>> {
        let clipped = stages.iter().filter_map(|stage| {
            let (start, end) = (stage.layers.from().max(from), stage.layers.to().min(to));
            let layers = LayerRange::new(start - from, end.checked_sub(from)?).ok()?;
            // The first engine of the whole route stays the same.
            Some(CandidateStage {
                layers,
                first_cost: Some(0.0),
                ..*stage
            })
        });
        let clipped: Vec<_> = clipped.collect();
        let hops = cheapest_route(&clipped, to - from, 0, &HOP_COSTS)?;
        let hops = hops.into_iter().filter_map(|hop| {
            let address = self.arena.get(hop.key)?.record.address;
            let layers = LayerRange::new(hop.layers.from() + from, hop.layers.to() + from).ok()?;
            Some(RouteHop {
                key: hop.key,
                address,
                layers,
            })
        });
        Some(hops.collect())
    }

    /// Returns the incarnation and the address of an engine, for calls that are for it only.
    ///
    /// Returns `None` if the engine has deregistered or was replaced by a new incarnation.
    pub fn instance(&self, key: TargetKey) -> Option<EngineInstance> {
        self.arena.get(key).map(|target| EngineInstance {
            id: target.record.id.clone(),
            incarnation: target.record.incarnation,
            address: target.record.address,
        })
    }

    /// Returns the identifier of a crash of a target's present incarnation.
    ///
    /// All ingresses use the same one. Returns `None` if the target has deregistered.
    pub fn crash_id(&self, key: TargetKey) -> Option<CrashId> {
        self.arena.get(key).map(|target| target.crash)
    }

    /// Returns the route's engines in other zones than its first engine.
    pub fn remote_engines(&self, route: &[RouteHop]) -> Vec<TargetKey> {
        let zone = |hop: &RouteHop| self.arena.get(hop.key).map(|target| target.zone);
        let first = route.first().and_then(zone);
        let remote = route.iter().filter(|hop| zone(hop) != first);
        remote.map(|hop| hop.key).collect()
    }

    /// Counts how often a route passes from one zone to another.
    ///
    /// The way from this ingress to the first engine is included.
    pub fn zone_crossings(&self, route: &[RouteHop]) -> usize {
        let zones = route.iter().filter_map(|hop| self.arena.get(hop.key));
        let zones: Vec<_> = [0]
            .into_iter()
            .chain(zones.map(|target| target.zone))
            .collect();
        zones.windows(2).filter(|pair| pair[0] != pair[1]).count()
    }

    /// Returns whether a target is marked down now, has restarted or isn't in the table any more.
    ///
    /// A target that has deregistered stays in the table until its last request has ended.
    pub fn has_failed(&self, key: TargetKey, now: u64) -> bool {
        self.arena
            .get(key)
            .is_none_or(|target| now < target.down_until)
    }

    /// Adds a request to the load of a target.
    ///
    /// `token_layers` is the request's tokens times the layers that it uses at the target.
    /// `is_first` tells whether the target is the first on the request's route.
    pub fn begin_request(&mut self, key: TargetKey, token_layers: f64, is_first: bool) {
        if let Some(target) = self.arena.get_mut(key) {
            target.in_flight_requests += 1;
            target.first_hop_requests += u32::from(is_first);
            target.reserved_token_layers += token_layers;
        }
    }

    /// Removes a request from the load of a target.
    ///
    /// The arguments are those with which [`Targets::begin_request`] added it.
    pub fn end_request(&mut self, key: TargetKey, token_layers: f64, is_first: bool) {
        if let Some(target) = self.arena.get_mut(key) {
            target.first_hop_requests = target
                .first_hop_requests
                .saturating_sub(u32::from(is_first));
            target.in_flight_requests = target.in_flight_requests.saturating_sub(1);
            target.reserved_token_layers = (target.reserved_token_layers - token_layers).max(0.0);
            if target.record.readiness == Readiness::Gone && target.in_flight_requests == 0 {
                self.remove(key);
            }
        }
    }

    /// Updates a target's error rate with the outcome of a request.
    ///
    /// If the target served the request, this also ends its probation after a failure.
    pub fn record_outcome(&mut self, key: TargetKey, served: bool) {
        if let Some(target) = self.arena.get_mut(key) {
            let newest = if served { 0.0 } else { 1.0 };
            target.error_rate += ERROR_WEIGHT * (newest - target.error_rate);
            if served {
                target.failures = 0;
            }
        }
    }

    /// Puts a target on probation for `REFUSAL_AVOIDANCE_MS` after it refused a request.
    pub fn record_refusal(&mut self, key: TargetKey, now: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            target.refused_until = now + REFUSAL_AVOIDANCE_MS;
        }
    }

    /// Excludes an engine from new routes because it lacks the layers that it registered.
    ///
    /// The exclusion lasts for `MISSING_LAYERS_EXCLUSION_MS`.
    pub fn record_missing_layers(&mut self, key: TargetKey, now: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            target.missing_layers_until = now + MISSING_LAYERS_EXCLUSION_MS;
        }
    }

    /// Returns the key of a target that is registered at `address`.
    pub fn at_address(&self, address: SocketAddr) -> Option<TargetKey> {
        let mut targets = self.arena.iter();
        let found = targets.find(|(_, target)| target.record.address == address);
        found.map(|(key, _)| key)
    }
}
