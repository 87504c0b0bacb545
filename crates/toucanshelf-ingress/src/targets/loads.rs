//! Load of engines by the requests of all ingresses.

use prometheus::Histogram;
use toucanshelf_routing::load_exchange::{
    AssumedLoad, EngineLoad, EngineTag, KnownLoads, LoadPage, LoadReport, OthersLoad,
};

use super::stages::capacity_token_layers;
use super::{RouteHop, Target, TargetKey, Targets};

/// Requests that may wait for a slot of a first engine, as a share of its slots.
// Slots become free at the rate at which streams end, some seconds after they began. The last of
// these requests begins after a tenth of that time, within usual objectives for the first event.
const QUEUE_SHARE: f64 = 0.1;

/// Loads of engines by other ingresses, and the reports of this one.
#[derive(Debug, Default)]
pub(super) struct LoadExchange {
    /// State by zone, in the order of [`Targets::zones`].
    zones: Vec<ZoneExchange>,
    /// Metric of the age of loads, in seconds.
    ages: Option<Histogram>,
}

#[derive(Debug, Default)]
struct ZoneExchange {
    known: KnownLoads,
    /// Whether the latest report named engines, so that another must follow.
    has_reported_load: bool,
}

impl Target {
    /// Returns the load by the requests of this ingress.
    fn own_load(&self) -> EngineLoad {
        EngineLoad {
            first_requests: self.first_hop_requests,
            requests: self.in_flight_requests,
            token_layers: self.reserved_token_layers,
        }
    }
}

impl Targets {
    /// Observes the age of the loads that routes are chosen by, in seconds.
    #[must_use]
    pub fn with_load_ages(mut self, ages: Histogram) -> Self {
        self.loads.ages = Some(ages);
        self
    }

    /// Makes the reports of this ingress about its requests at engines, with the zones of the engines.
    ///
    /// The zone of this ingress is always reported, so that its sums are received. Another one is if it
    /// has requests there, and once more after they have ended. `now` is in milliseconds.
    pub fn begin_load_reports(&mut self, now: u64) -> Vec<(Box<str>, LoadReport)> {
        let mut loads = vec![Vec::new(); self.zones.len()];
        let engines = self.arena.iter().map(|(_, target)| target);
        for engine in engines.filter(|target| target.record.layers.is_some()) {
            if engine.in_flight_requests > 0 {
                let tag = EngineTag::from(engine.crash);
                loads[usize::from(engine.zone)].push((tag, engine.own_load()));
            }
        }
        self.loads
            .zones
            .resize_with(self.zones.len(), ZoneExchange::default);
        let mut reports = Vec::new();
        let zones = self.zones.iter().zip(&mut self.loads.zones);
        for (i, ((zone, exchange), loads)) in zones.zip(loads).enumerate() {
            let has_load = !loads.is_empty();
            if i == 0 || has_load || exchange.has_reported_load {
                reports.push((zone.clone(), exchange.known.begin_report(now, loads)));
            }
            exchange.has_reported_load = has_load;
        }
        reports
    }

    /// Records the sums of a zone that contain the reports of this ingress up to `sequence`.
    ///
    /// Returns `false` if they are outdated.
    pub fn record_zone_loads(
        &mut self,
        zone: &str,
        now: u64,
        sequence: u32,
        page: &LoadPage,
    ) -> bool {
        let index = self.zones.iter().position(|known| **known == *zone);
        let exchange = index.and_then(|index| self.loads.zones.get_mut(index));
        exchange.is_some_and(|exchange| exchange.known.record_sums(now, sequence, page))
    }

    /// Returns whether the loads of all engines in the zone of this ingress are known and not outdated.
    pub fn knows_zone_loads(&self, now: u64) -> bool {
        let own = self.loads.zones.first();
        own.is_some_and(|exchange| exchange.known.is_fresh(now))
    }

    /// Returns the load of an engine by the other ingresses, or `None` if it is unknown or outdated.
    pub fn others_load(&self, key: TargetKey, now: u64) -> Option<OthersLoad> {
        self.others_load_of(self.arena.get(key)?, now)
    }

    fn others_load_of(&self, target: &Target, now: u64) -> Option<OthersLoad> {
        let exchange = self.loads.zones.get(usize::from(target.zone))?;
        exchange.known.others(target.crash.into(), now)
    }

    /// Returns the load of an engine by all ingresses, as far as it is known.
    pub(super) fn assumed_load(&self, target: &Target, now: u64) -> AssumedLoad {
        let others = self.others_load_of(target, now);
        AssumedLoad::new(target.own_load(), others, self.zone_ingresses)
    }

    /// Returns the share of room in use on the fullest engine of a route, where 1 stands for all of it.
    ///
    /// The room of an engine is its memory for requests, and on the first engine also its slots. Engines
    /// whose load by other ingresses is unknown don't count.
    pub fn room_in_use(&self, service: &str, route: &[RouteHop], now: u64) -> f64 {
        let Some(model) = self.models.get(service) else {
            return 0.0;
        };
        let shares = route.iter().enumerate().filter_map(|(i, hop)| {
            let target = self.arena.get(hop.key)?;
            let mut known = self.others_load_of(target, now)?.load;
            known += target.own_load();
            let accelerator = model.accelerator(target.record.accelerator.as_deref()?)?;
            let capacity = capacity_token_layers(model, accelerator, target.record.layers?);
            let memory_share = known.token_layers / capacity;
            if i > 0 {
                return Some(memory_share);
            }
            let slots = (1.0 + QUEUE_SHARE) * f64::from(model.slots.max(1));
            Some(memory_share.max(f64::from(known.first_requests) / slots))
        });
        shares.fold(0.0, f64::max)
    }

    /// Adds the ages of the known loads of chosen engines to the metric.
    pub(super) fn observe_load_ages(&self, keys: impl IntoIterator<Item = TargetKey>, now: u64) {
        let Some(ages) = &self.loads.ages else { return };
        for key in keys {
            if let Some(others) = self.others_load(key, now) {
                ages.observe(others.age_ms as f64 / 1_000.0);
            }
        }
    }
}
