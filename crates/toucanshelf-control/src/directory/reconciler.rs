//! Keeps layers placed: compares what engines hold with the plan, and orders the difference.
//!
//! Only the leader of the log gives orders. Each order carries the number of orders that the
//! engine has begun, so that one that is carried out late does nothing after a newer one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::StatusCode;
use toucanshelf_core::deployment::{Deployment, ModelSpec};
use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::registration::Readiness;
use toucanshelf_core::registry::{Entry, Registry};
use toucanshelf_link::exchange::{ExchangeError, exchange};
use toucanshelf_routing::placement::{EngineProfile, ModelShape, Repartitioning, plan};

use crate::Parts;
use crate::directory::Directory;
use crate::directory::orders::{Fate, Order, Orders};

/// Time between comparisons.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time within which an engine must answer an order or a request for its report.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a new engine after which the first placement is made, in milliseconds.
const SETTLE_MS: u64 = 400;
/// Heartbeats that an engine may miss before its layers are given to others.
const MISSED_HEARTBEATS: f64 = 2.6;
/// Heartbeats that most engines of a zone have missed where the zone is cut off.
// Fewer than for a single engine, so that a cut is noticed before its first engine is given up.
const MISSED_IN_CUT: f64 = 1.3;
/// Heartbeats that a new leader waits for the word of all engines.
const HEARTBEATS_TO_LEAD: f64 = 1.4;
/// Age of a gap after which the borders of a whole zone may move, in milliseconds.
// Engines that crash are mostly back within some seconds, and moving borders costs many loads.
const RETILE_AFTER_MS: u64 = 4_000;

/// What the leader remembers between comparisons.
#[derive(Debug, Default)]
struct Memory {
    led_since: Option<u64>,
    /// Since when some zone lacks layers.
    gap_since: Option<u64>,
    /// Latest plan of each service, with the cards that it was made for.
    plans: BTreeMap<Box<str>, Plan>,
    orders: Arc<Mutex<Orders>>,
}

/// A plan and what it was made for.
#[derive(Debug)]
struct Plan {
    shape: ModelShape,
    retiling: Repartitioning,
    cards: Vec<EngineProfile>,
    wanted: Vec<Option<LayerRange>>,
}

/// One engine in a comparison.
struct Candidate {
    entry: Entry,
    card: EngineProfile,
}

/// Compares and orders for as long as the process runs.
pub(crate) async fn run(parts: Arc<Parts>) {
    let mut memory = Memory::default();
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(directory) = &parts.directory else {
            return;
        };
        let standing = parts.driver.standing();
        if !standing.current || standing.leader != Some(parts.driver.replica()) {
            memory = Memory::default();
            continue;
        }
        let document = parts.driver.state().deployment().cloned();
        let Some(deployment) = document.and_then(|document| directory.decode(&document)) else {
            continue;
        };
        let now = directory.now();
        if memory.led_since.is_none() {
            tracing::info!(event = "TS2520", "placement is led from here");
        }
        let led_since = *memory.led_since.get_or_insert(now);
        // The word of every engine must have had time to arrive.
        if now < led_since + heartbeats(directory, HEARTBEATS_TO_LEAD) {
            continue;
        }
        reconcile(&parts, directory, &deployment, &mut memory, now);
    }
}

fn heartbeats(directory: &Directory, count: f64) -> u64 {
    (directory.heartbeat_ms as f64 * count) as u64
}

fn reconcile(
    parts: &Arc<Parts>,
    directory: &Directory,
    deployment: &Deployment,
    memory: &mut Memory,
    now: u64,
) {
    for (service, model) in deployment.models() {
        let candidates = candidates(directory, &service.name, model, memory, now);
        if candidates.is_empty() || !may_place(&candidates, memory, now) {
            continue;
        }
        let cards: Vec<_> = candidates.iter().map(|candidate| candidate.card).collect();
        let shape = ModelShape {
            layers: model.layers,
            layer_mb: model.layer_mb,
            token_layer_mb: model.token_layer_mb(),
            slots: model.slots,
            typical_tokens: model.mean_prompt_tokens + model.mean_answer_tokens,
        };
        let wanted = memory.wanted(&service.name, shape, &cards, now);
        note_gap(memory, &cards, &wanted, model.layers, now);
        for (candidate, wanted) in candidates.iter().zip(wanted) {
            if let Some(wanted) = wanted {
                order(parts, memory, candidate, wanted, model, now);
            }
        }
    }
}

impl Memory {
    /// Layers that each card should hold; planned anew only where something has changed.
    fn wanted(
        &mut self,
        service: &str,
        shape: ModelShape,
        cards: &[EngineProfile],
        now: u64,
    ) -> Vec<Option<LayerRange>> {
        let gap_age = self.gap_since.map_or(0, |since| now.saturating_sub(since));
        let retiling = if gap_age >= RETILE_AFTER_MS {
            Repartitioning::Allowed
        } else {
            Repartitioning::Deferred
        };
        if let Some(known) = self.plans.get(service)
            && (known.shape, known.retiling) == (shape, retiling)
            && known.cards == cards
        {
            return known.wanted.clone();
        }
        let wanted = plan(&shape, cards, retiling);
        let known = Plan {
            shape,
            retiling,
            cards: cards.to_vec(),
            wanted: wanted.clone(),
        };
        self.plans.insert(service.into(), known);
        wanted
    }
}

/// Whether enough is known for a placement; the first one waits for all engines.
fn may_place(candidates: &[Candidate], memory: &Memory, now: u64) -> bool {
    let orders = memory.orders.lock().expect("no holder panics");
    let first = orders.is_empty()
        && candidates
            .iter()
            .all(|candidate| candidate.card.held.is_none());
    let newest = candidates
        .iter()
        .map(|candidate| candidate.entry.first_seen_ms)
        .max();
    !first || newest.is_some_and(|newest| now >= newest + SETTLE_MS)
}

/// Engines that can be given layers, with what they hold or will hold.
fn candidates(
    directory: &Directory,
    service: &str,
    model: &ModelSpec,
    memory: &Memory,
    now: u64,
) -> Vec<Candidate> {
    let registry = directory.registry();
    let mut orders = memory.orders.lock().expect("no holder panics");
    let mut zones: BTreeMap<Box<str>, u16> = BTreeMap::new();
    let cut = cut_zones(directory, &registry, now);
    // Nothing is known of engines that are cut off, so nothing is changed there.
    let alive = registry.entries().filter(|entry| {
        let record = &entry.record;
        &*record.service == service
            && !cut.contains(&record.zone)
            && is_alive(directory, entry, now)
    });
    let mut out = Vec::new();
    for entry in alive {
        let record = &entry.record;
        let accelerator = record.accelerator.as_deref();
        let Some(accelerator) = accelerator.and_then(|name| model.accelerator(name)) else {
            continue;
        };
        let next_zone = zones.len() as u16;
        let zone = *zones.entry(record.zone.clone()).or_insert(next_zone);
        let known = orders.engine(entry, memory.led_since.unwrap_or(now));
        known.note_held(record.layers);
        let held = known.expected(record.layers, now, load_ms(model, model.layers));
        let card = EngineProfile {
            zone,
            memory_mb: accelerator.memory_mb,
            step_factor: accelerator.step_factor,
            held,
            loading: held != record.layers,
        };
        out.push(Candidate {
            entry: entry.clone(),
            card,
        });
    }
    out
}

fn is_alive(directory: &Directory, entry: &Entry, now: u64) -> bool {
    entry.record.readiness == Readiness::Ready
        && !is_silent(directory, entry, now)
        && !is_suspected(directory, entry)
}

fn is_silent(directory: &Directory, entry: &Entry, now: u64) -> bool {
    now.saturating_sub(entry.last_seen_ms) > heartbeats(directory, MISSED_HEARTBEATS)
}

/// Whether an ingress saw an engine fail since its last word.
fn is_suspected(directory: &Directory, entry: &Entry) -> bool {
    let suspected = directory.suspected_at(entry.record.address);
    suspected.is_some_and(|at| at >= entry.last_seen_ms)
}

/// Zones most of whose engines are silent: cut off from here rather than lost.
fn cut_zones(directory: &Directory, registry: &Registry, now: u64) -> BTreeSet<Box<str>> {
    let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    let ready = registry.entries();
    for entry in ready.filter(|entry| entry.record.readiness == Readiness::Ready) {
        let (silent, all) = zones.entry(&entry.record.zone).or_default();
        let missed = now.saturating_sub(entry.last_seen_ms);
        *silent += usize::from(missed > heartbeats(directory, MISSED_IN_CUT));
        *all += 1;
    }
    let cut = zones
        .into_iter()
        .filter(|(_, (silent, all))| 2 * silent >= *all);
    cut.map(|(zone, _)| zone.into()).collect()
}

/// Time to load `layers` layers, in milliseconds.
fn load_ms(model: &ModelSpec, layers: u32) -> u64 {
    (model.load_s * 1e3 * f64::from(layers) / f64::from(model.layers.max(1))) as u64
}

/// Notes since when some zone that holds layers lacks others.
fn note_gap(
    memory: &mut Memory,
    cards: &[EngineProfile],
    wanted: &[Option<LayerRange>],
    layers: u32,
    now: u64,
) {
    let zones: BTreeSet<_> = cards.iter().map(|card| card.zone).collect();
    let lacks = |zone: u16| {
        let ranges = cards.iter().zip(wanted);
        let ranges: Vec<_> = ranges
            .filter(|(card, _)| card.zone == zone)
            .filter_map(|(_, wanted)| *wanted)
            .collect();
        let covered = |layer| {
            ranges
                .iter()
                .any(|range| range.from() <= layer && layer < range.to())
        };
        !ranges.is_empty() && !(0..layers).all(covered)
    };
    if !zones.into_iter().any(lacks) {
        memory.gap_since = None;
    } else if memory.gap_since.is_none() {
        tracing::warn!(
            event = "TS2521",
            "a zone lacks layers that no engine can be spared for"
        );
        memory.gap_since = Some(now);
    }
}

fn order(
    parts: &Arc<Parts>,
    memory: &Memory,
    candidate: &Candidate,
    wanted: LayerRange,
    model: &ModelSpec,
    now: u64,
) {
    let entry = &candidate.entry;
    if entry.record.layers == Some(wanted) {
        return;
    }
    let mut orders = memory.orders.lock().expect("no holder panics");
    let known = orders.engine(entry, memory.led_since.unwrap_or(now));
    if !known.may_order(now, load_ms(model, model.layers)) {
        return;
    }
    known.last = Some(Order {
        layers: wanted,
        sent: now,
        fate: Fate::Sent,
    });
    let begun = known.begun;
    let target = Target {
        id: entry.record.id.clone(),
        incarnation: entry.record.incarnation,
        address: entry.record.address,
    };
    tracing::info!(
        event = "TS2522",
        target_id = %target.id,
        address = %target.address,
        held = ?entry.record.layers,
        age_ms = now.saturating_sub(entry.last_seen_ms),
        %wanted,
        begun,
        "engine ordered"
    );
    let (parts, orders) = (Arc::clone(parts), Arc::clone(&memory.orders));
    tokio::spawn(async move { place(parts, orders, target, wanted, begun).await });
}

/// Engine that an order goes to.
struct Target {
    id: Box<str>,
    incarnation: Incarnation,
    address: SocketAddr,
}

async fn place(
    parts: Arc<Parts>,
    orders: Arc<Mutex<Orders>>,
    target: Target,
    wanted: LayerRange,
    begun: Option<u64>,
) {
    let Some(directory) = &parts.directory else {
        return;
    };
    let begun = match begun {
        Some(begun) => Some(begun),
        None => fetch_begun(directory, &orders, &target).await,
    };
    let call = directory.dialect.place_call(wanted, begun);
    let answer = exchange(target.address, call, CALL_TIMEOUT).await;
    let fate = match &answer {
        Ok(response) if response.status() == StatusCode::ACCEPTED => Fate::Begun,
        Ok(response) if response.status() == StatusCode::OK => Fate::Begun,
        Ok(_) | Err(ExchangeError::Refused { .. }) => Fate::Rejected,
        Err(_) => Fate::Unknown,
    };
    let status = answer.as_ref().map(|response| response.status().as_u16());
    tracing::info!(event = "TS2523", target_id = %target.id, %wanted, ?begun, ?status, ?fate, "order answered");
    let mut orders = orders.lock().expect("no holder panics");
    orders.settle(&target.id, target.incarnation, wanted, fate);
}

/// Asks an engine how many orders it has begun.
async fn fetch_begun(
    directory: &Directory,
    orders: &Mutex<Orders>,
    target: &Target,
) -> Option<u64> {
    let call = directory.dialect.report_call();
    let answer = exchange(target.address, call, CALL_TIMEOUT).await;
    let report = match answer {
        Ok(response) => directory.dialect.report(response.body()),
        Err(e) => {
            tracing::info!(event = "TS2524", target_id = %target.id, cause = %e, "no report");
            return None;
        }
    };
    match report {
        Ok(report) => {
            let begun = report.orders_begun;
            let mut orders = orders.lock().expect("no holder panics");
            orders.note_begun(&target.id, target.incarnation, begun);
            Some(begun)
        }
        Err(e) => {
            tracing::warn!(event = "TS2524", target_id = %target.id, cause = %e, "no report");
            None
        }
    }
}
