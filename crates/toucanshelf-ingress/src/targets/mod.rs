//! Targets, what is known of their health, and the choice among them.
//!
//! What this ingress has seen itself goes before what control tells: a target that fails here is
//! left alone for a while and then tried again, whatever its registration says.

mod stages;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use toucanshelf_core::arena::{Arena, Key};
use toucanshelf_core::deployment::{Deployment, ModelSpec};
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_core::registry::{Registry, RegistryChange};
use toucanshelf_routing::hops::{CandidateStage, HopCosts, cheapest_route};

use stages::stage;

/// Shortest time for which a failed target is left alone, in milliseconds.
// An engine that was started anew or emptied registers sooner, as another incarnation.
const DOWN_MIN_MS: u64 = 2_500;
/// Longest time for which a failed target is left alone, in milliseconds.
const DOWN_MAX_MS: u64 = 10_000;
/// Time for which a target that has refused a request is avoided, in milliseconds.
const REFUSAL_MS: u64 = 250;
/// Time for which an engine that lacked its layers is left out unless it registers anew, in
/// milliseconds.
// A little more than the time between two heartbeats.
const MISPLACED_MS: u64 = 1_500;
/// Cost of a target that is tried again or was just refused, in milliseconds a token.
const TRIAL_COST: f64 = 20.0;
/// Weight of the newest outcome in a target's error rate.
const ERROR_WEIGHT: f64 = 0.15;
/// How much an error rate of 1 counts against a target, in requests under way.
const ERROR_COST: f64 = 8.0;
/// How much another availability zone counts against a target, in requests under way.
const OTHER_ZONE_COST: f64 = 3.0;
/// Costs of going from engine to engine, in milliseconds a token.
// A hop to another zone takes the pipe between zones, which all transfers share.
const HOP_COSTS: HopCosts = HopCosts {
    same_zone: 0.1,
    other_zone: 20.0,
    remote_entry: 30.0,
};

/// Key of a target.
pub type TargetKey = Key<Target>;

/// A target and its health as seen from here.
#[derive(Clone, Debug)]
pub struct Target {
    record: Registration,
    zone: u16,
    under_way: u32,
    /// Requests under way that entered the system here.
    entered: u32,
    /// Tokens times layers of the requests under way.
    reserved: f64,
    failures: u32,
    down_until: u64,
    refused_until: u64,
    misplaced_until: u64,
    error_rate: f64,
}

impl Target {
    fn new(record: Registration, zone: u16) -> Self {
        Self {
            record,
            zone,
            under_way: 0,
            entered: 0,
            reserved: 0.0,
            failures: 0,
            down_until: 0,
            refused_until: 0,
            misplaced_until: 0,
            error_rate: 0.0,
        }
    }

    fn is_usable(&self, now: u64) -> bool {
        self.record.readiness == Readiness::Ready && now >= self.down_until
    }

    fn is_on_trial(&self, now: u64) -> bool {
        self.failures > 0 || now < self.refused_until
    }
}

/// A target that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Key.
    pub key: TargetKey,
    /// Identity.
    pub id: Box<str>,
    /// Address.
    pub address: SocketAddr,
}

/// One engine of a route.
#[derive(Clone, Copy, Debug)]
pub struct RouteHop {
    /// Key.
    pub key: TargetKey,
    /// Address.
    pub address: SocketAddr,
    /// Layers that it runs.
    pub layers: LayerRange,
}

/// Targets of all services.
#[derive(Debug)]
pub struct Targets {
    registry: Registry,
    arena: Arena<Target>,
    by_id: HashMap<Box<str>, TargetKey>,
    zones: Vec<Box<str>>,
    models: BTreeMap<Box<str>, ModelSpec>,
    /// Ingress instances of the own zone, which share its engines.
    sharers: u32,
}

impl Targets {
    /// Creates an empty table for an ingress in `zone`.
    pub fn new(zone: &str) -> Self {
        Self {
            registry: Registry::new(),
            arena: Arena::new(),
            by_id: HashMap::new(),
            // The own zone comes first.
            zones: vec![zone.into()],
            models: BTreeMap::new(),
            sharers: 1,
        }
    }

    /// Takes the models of a deployment.
    pub fn set_models(&mut self, deployment: &Deployment) {
        let models = deployment.models();
        self.models = models
            .map(|(service, model)| (service.name.clone(), model.clone()))
            .collect();
    }

    /// Notes the number of ingress instances of the own zone.
    pub fn set_sharers(&mut self, count: u32) {
        self.sharers = count.max(1);
    }

    /// Whether the targets of `service` are engines that hold layers.
    pub fn has_model(&self, service: &str) -> bool {
        self.models.contains_key(service)
    }

    /// Takes the latest word of a target.
    pub fn apply(&mut self, record: Registration, now: u64) {
        let (id, address) = (record.id.clone(), record.address);
        if self.registry.apply(record, now) != RegistryChange::Changed {
            return;
        }
        // A word may also have retired another target at the same address.
        let affected: Vec<Registration> = self
            .registry
            .entries()
            .map(|entry| &entry.record)
            .filter(|record| record.id == id || record.address == address)
            .cloned()
            .collect();
        for record in affected {
            self.sync(record);
        }
        self.registry.prune(now);
    }

    fn sync(&mut self, record: Registration) {
        let known = self.by_id.get(&record.id).copied();
        if record.readiness == Readiness::Gone {
            if let Some(key) = known {
                self.arena.remove(key);
                self.by_id.remove(&record.id);
            }
            return;
        }
        let zone = self.zone_number(&record.zone);
        let target = known.and_then(|key| self.arena.get_mut(key));
        match target {
            Some(target) if target.record.incarnation == record.incarnation => {
                if target.record.layers != record.layers {
                    target.misplaced_until = 0;
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

    fn zone_number(&mut self, zone: &str) -> u16 {
        let known = self.zones.iter().position(|known| &**known == zone);
        let number = known.unwrap_or_else(|| {
            self.zones.push(zone.into());
            self.zones.len() - 1
        });
        number as u16
    }

    /// Least loaded target of a plain service, the own zone first.
    pub fn choose(&self, service: &str, excluded: &[TargetKey], now: u64) -> Option<Choice> {
        let cost = |target: &Target| {
            let zone = if target.zone == 0 {
                0.0
            } else {
                OTHER_ZONE_COST
            };
            let trial = if target.is_on_trial(now) {
                TRIAL_COST
            } else {
                0.0
            };
            f64::from(target.under_way) + zone + trial + ERROR_COST * target.error_rate
        };
        let usable = self.arena.iter().filter(|(key, target)| {
            &*target.record.service == service && target.is_usable(now) && !excluded.contains(key)
        });
        let (key, target) = usable.min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)))?;
        Some(Choice {
            key,
            id: target.record.id.clone(),
            address: target.record.address,
        })
    }

    /// Cheapest route over the engines of `service`, without those that are excluded.
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
            .filter_map(|(key, target)| stage(model, key, target, now, f64::from(self.sharers)))
            .collect();
        let hops = cheapest_route(&stages, model.layers, 0, &HOP_COSTS)?;
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

    /// Replaces the failed parts of a route by other engines; the first part stays.
    ///
    /// None where the first engine has failed, or nobody else holds what is missing.
    pub fn mend_route(
        &self,
        service: &str,
        route: &[RouteHop],
        excluded: &[TargetKey],
        now: u64,
    ) -> Option<Vec<RouteHop>> {
        let model = self.models.get(service)?;
        let failed = |hop: &RouteHop| self.has_failed(hop.key, now) || excluded.contains(&hop.key);
        if failed(route.first()?) {
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
            .filter_map(|(key, target)| stage(model, key, target, now, f64::from(self.sharers)))
            .collect();
        let mut mended = Vec::new();
        for part in route.chunk_by(|a, b| failed(a) == failed(b)) {
            if !failed(&part[0]) {
                mended.extend_from_slice(part);
                continue;
            }
            let from = part[0].layers.from();
            let to = part[part.len() - 1].layers.to();
            let hops = self.fill(&stages, from, to)?;
            stages.retain(|stage| hops.iter().all(|hop| hop.key != stage.key));
            mended.extend(hops);
        }
        Some(mended)
    }

    /// Cheapest way to run the layers `from..to` over `stages`.
    fn fill(
        &self,
        stages: &[CandidateStage<TargetKey>],
        from: u32,
        to: u32,
    ) -> Option<Vec<RouteHop>> {
        let clipped = stages.iter().filter_map(|stage| {
            let (start, end) = (stage.layers.from().max(from), stage.layers.to().min(to));
            let layers = LayerRange::new(start - from, end.checked_sub(from)?).ok()?;
            Some(CandidateStage { layers, ..*stage })
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

    /// Identity of a target, unless it has left.
    pub fn id(&self, key: TargetKey) -> Option<Box<str>> {
        self.arena.get(key).map(|target| target.record.id.clone())
    }

    /// Engines of a route in other zones than this ingress and the route's first engine.
    pub fn remote(&self, route: &[RouteHop]) -> Vec<TargetKey> {
        let zone = |hop: &RouteHop| self.arena.get(hop.key).map(|target| target.zone);
        let first = route.first().and_then(zone);
        let remote = route.iter().filter(|hop| zone(hop) != first);
        remote.map(|hop| hop.key).collect()
    }

    /// Number of times that a route changes zones, its start from here included.
    pub fn crossings(&self, route: &[RouteHop]) -> usize {
        let zones = route.iter().filter_map(|hop| self.arena.get(hop.key));
        let zones: Vec<_> = [0]
            .into_iter()
            .chain(zones.map(|target| target.zone))
            .collect();
        zones.windows(2).filter(|pair| pair[0] != pair[1]).count()
    }

    /// Whether a target was tried again after a failure and has not served since.
    pub fn is_on_trial(&self, key: TargetKey) -> bool {
        self.arena
            .get(key)
            .is_some_and(|target| target.failures > 0)
    }

    /// Whether a target has failed or left.
    pub fn has_failed(&self, key: TargetKey, now: u64) -> bool {
        self.arena
            .get(key)
            .is_none_or(|target| now < target.down_until)
    }

    /// Counts a request at the target behind `key`, which may be the first of its route.
    pub fn begin(&mut self, key: TargetKey, token_layers: f64, is_first: bool) {
        if let Some(target) = self.arena.get_mut(key) {
            target.under_way += 1;
            target.entered += u32::from(is_first);
            target.reserved += token_layers;
        }
    }

    /// Counts a request as ended.
    pub fn end(&mut self, key: TargetKey, token_layers: f64, is_first: bool) {
        if let Some(target) = self.arena.get_mut(key) {
            target.entered = target.entered.saturating_sub(u32::from(is_first));
            target.under_way = target.under_way.saturating_sub(1);
            target.reserved = (target.reserved - token_layers).max(0.0);
        }
    }

    /// Notes an answer of a target: whether it served the request.
    pub fn note_answer(&mut self, key: TargetKey, served: bool) {
        if let Some(target) = self.arena.get_mut(key) {
            let newest = if served { 0.0 } else { 1.0 };
            target.error_rate += ERROR_WEIGHT * (newest - target.error_rate);
            if served {
                target.failures = 0;
            }
        }
    }

    /// Leaves a failed target alone for a while; returns whether that is news.
    pub fn note_down(&mut self, key: TargetKey, now: u64) -> bool {
        let Some(target) = self.arena.get_mut(key) else {
            return false;
        };
        if now < target.down_until {
            return false;
        }
        let time = DOWN_MIN_MS << target.failures.min(4);
        target.failures += 1;
        target.down_until = now + time.min(DOWN_MAX_MS);
        true
    }

    /// Avoids a target that has refused a request for want of room.
    pub fn note_refusal(&mut self, key: TargetKey, now: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            target.refused_until = now + REFUSAL_MS;
        }
    }

    /// Leaves out an engine that does not hold the layers that it registered.
    pub fn note_misplaced(&mut self, key: TargetKey, now: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            target.misplaced_until = now + MISPLACED_MS;
        }
    }

    /// Target that now has `address`.
    pub fn at_address(&self, address: SocketAddr) -> Option<TargetKey> {
        let mut targets = self.arena.iter();
        let found = targets.find(|(_, target)| target.record.address == address);
        found.map(|(key, _)| key)
    }
}
