//! Reconciles the layers that engines hold with the planned placement.
//!
//! A reconciliation plans which engine holds which layers of each model, and sends orders to the
//! engines that differ from the plan. An order tells an engine which layers to hold. Only the
//! leader of the replicated log sends orders. Each order carries the number of orders that the
//! engine has started, if it is known, so that the engine ignores an order that arrives after a
//! newer one.
//!
//! A coverage gap is a set of layers that no engine of a zone is assigned. A suspicion is an
//! ingress's report that requests to an engine fail or stall. Times are measured from the start of
//! this control instance.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::StatusCode;
use toucanshelf_core::deployment::{Deployment, ModelSpec};
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::registration::Readiness;
use toucanshelf_core::registry::{Entry, Registry};
use toucanshelf_link::dialect::EngineInstance;
use toucanshelf_link::engine_report::{ReportError, fetch_report};
use toucanshelf_link::exchange::{ExchangeError, exchange};
use toucanshelf_routing::placement::{EngineProfile, ModelShape, Repartitioning, plan};

use crate::Shared;
use crate::directory::Directory;
use crate::directory::orders::{Order, OrderState, Orders};
use crate::directory::warm_up::WarmUp;

/// Interval between comparisons of the engines' layers with the planned placement.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for an engine's response to an order or a state request.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a newly registered engine before a model's first placement, in milliseconds.
const INITIAL_PLACEMENT_DELAY_MS: u64 = 400;
/// Time without a heartbeat after which an engine's layers are reassigned.
///
/// Measured in heartbeat intervals.
const ENGINE_TIMEOUT_HEARTBEATS: f64 = 2.6;
/// Time without a heartbeat after which an engine counts as silent, in heartbeat intervals.
///
/// A zone in which at least half of the ready engines are silent counts as unreachable.
// Shorter than the timeout of a single engine, so that an unreachable zone is detected before the
// layers of any of its engines are reassigned.
const ZONE_TIMEOUT_HEARTBEATS: f64 = 1.3;
/// Age at which a coverage gap allows all layers to be reassigned, in milliseconds.
///
/// Until then, the plan may only move single engines to other layers.
// Most crashed engines return within seconds, and reassigning all layers makes many engines load
// layers.
const REPARTITION_DELAY_MS: u64 = 4_000;

/// State that the leader keeps from one reconciliation to the next.
#[derive(Debug, Default)]
struct ReconcilerState {
    /// Time when this replica became leader, in milliseconds.
    ///
    /// For a leader without a deployment, the time of its first deployment. `None` while another
    /// replica leads.
    leading_since_ms: Option<u64>,
    /// Wait for the reports of engines since then.
    warm_up: Option<WarmUp>,
    /// Time when the current coverage gap was first seen, in milliseconds.
    ///
    /// `None` if there is no gap.
    gap_since_ms: Option<u64>,
    /// Latest placement plan of each service that runs a model, by the service's name.
    plans: BTreeMap<Box<str>, CachedPlan>,
    orders: Arc<Mutex<Orders>>,
}

/// A placement plan and the inputs that it was computed from.
#[derive(Debug)]
struct CachedPlan {
    shape: ModelShape,
    repartitioning: Repartitioning,
    profiles: Vec<EngineProfile>,
    assignments: Vec<Option<LayerRange>>,
}

/// An engine that can be assigned layers, and its profile for planning.
struct Candidate {
    entry: Entry,
    profile: EngineProfile,
}

/// Runs the reconciliation loop until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut reconciler = ReconcilerState::default();
    let mut ticks = tokio::time::interval(RECONCILE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(directory) = &shared.directory else {
            return;
        };
        let status = shared.driver.status();
        if !status.current || status.leader != Some(shared.driver.replica()) {
            reconciler = ReconcilerState::default();
            continue;
        }
        let document = shared.driver.state().deployment().cloned();
        let Some(deployment) = document.and_then(|document| directory.decode(&document)) else {
            continue;
        };
        let now = directory.now();
        if reconciler.leading_since_ms.is_none() {
            tracing::info!(event = "TS2520", "this replica now controls placement");
        }
        let leading_since_ms = *reconciler.leading_since_ms.get_or_insert(now);
        let warm_up = reconciler
            .warm_up
            .get_or_insert_with(|| WarmUp::new(leading_since_ms, directory.heartbeat_ms));
        if !warm_up.is_over(&directory.registry(), now) {
            continue;
        }
        reconcile(&shared, directory, &deployment, &mut reconciler, now);
    }
}

/// Converts a number of heartbeat intervals to milliseconds.
fn heartbeats_to_ms(directory: &Directory, count: f64) -> u64 {
    (directory.heartbeat_ms as f64 * count) as u64
}

/// Plans which engine holds which layers, and sends orders to the engines.
///
/// Only an engine whose reported layers differ from the plan is sent an order.
fn reconcile(
    shared: &Arc<Shared>,
    directory: &Directory,
    deployment: &Deployment,
    reconciler: &mut ReconcilerState,
    now: u64,
) {
    for (service, model) in deployment.models() {
        let candidates = candidates(directory, &service.name, model, reconciler, now);
        if candidates.is_empty() || !can_place(&candidates, reconciler, now) {
            continue;
        }
        let profiles: Vec<_> = candidates
            .iter()
            .map(|candidate| candidate.profile)
            .collect();
        let shape = ModelShape {
            layers: model.layers,
            layer_mb: model.layer_mb,
            token_layer_mb: model.token_layer_mb(),
            slots: model.slots,
            typical_tokens: model.mean_prompt_tokens + model.mean_answer_tokens,
            entry_weight: directory.entry_weight,
        };
        let assignments = reconciler.assignments(&service.name, shape, &profiles, now);
        update_gap(reconciler, &profiles, &assignments, model.layers, now);
        for (candidate, assignment) in candidates.iter().zip(assignments) {
            if let Some(assignment) = assignment {
                send_order(shared, reconciler, candidate, assignment, model, now);
            }
        }
    }
}

impl ReconcilerState {
    /// Returns the layers that a service's plan assigns to each engine in `profiles`.
    ///
    /// The plan is computed again only if an input has changed. An engine without layers in the
    /// plan gets `None`.
    fn assignments(
        &mut self,
        service: &str,
        shape: ModelShape,
        profiles: &[EngineProfile],
        now: u64,
    ) -> Vec<Option<LayerRange>> {
        let gap_age = self
            .gap_since_ms
            .map_or(0, |since| now.saturating_sub(since));
        let repartitioning = if gap_age >= REPARTITION_DELAY_MS {
            Repartitioning::Allowed
        } else {
            Repartitioning::Deferred
        };
        if let Some(cached) = self.plans.get(service)
            && (cached.shape, cached.repartitioning) == (shape, repartitioning)
            && cached.profiles == profiles
        {
            return cached.assignments.clone();
        }
        let assignments = plan(&shape, profiles, repartitioning);
        let cached = CachedPlan {
            shape,
            repartitioning,
            profiles: profiles.to_vec(),
            assignments: assignments.clone(),
        };
        self.plans.insert(service.into(), cached);
        assignments
    }
}

/// Returns whether the layers of a model may be assigned to engines now.
///
/// `candidates` are the engines that can be assigned layers. The first assignment waits until no
/// new engine has registered for 400 milliseconds, so that it takes all engines into account.
fn can_place(candidates: &[Candidate], reconciler: &ReconcilerState, now: u64) -> bool {
    let orders = reconciler.orders.lock().expect("no lock holder panics");
    let is_first = orders.is_empty()
        && candidates
            .iter()
            .all(|candidate| candidate.profile.held.is_none());
    let newest = candidates
        .iter()
        .map(|candidate| candidate.entry.first_seen_ms)
        .max();
    !is_first || newest.is_some_and(|newest| now >= newest + INITIAL_PLACEMENT_DELAY_MS)
}

/// Returns the engines of a service that can be assigned layers of its model.
///
/// Each engine is returned with the layers that it holds, or will hold after a pending order.
fn candidates(
    directory: &Directory,
    service: &str,
    model: &ModelSpec,
    reconciler: &ReconcilerState,
    now: u64,
) -> Vec<Candidate> {
    let registry = directory.registry();
    let mut orders = reconciler.orders.lock().expect("no lock holder panics");
    let mut zones: BTreeMap<Box<str>, u16> = BTreeMap::new();
    let unreachable = unreachable_zones(directory, &registry, now);
    // The state of engines in unreachable zones is unknown, so their placement is left as it is.
    let available = registry.entries().filter(|entry| {
        let record = &entry.record;
        &*record.service == service
            && !unreachable.contains(&record.zone)
            && is_available(directory, entry, now)
    });
    let mut out = Vec::new();
    for entry in available {
        let record = &entry.record;
        let accelerator = record.accelerator.as_deref();
        let Some(accelerator) = accelerator.and_then(|name| model.accelerator(name)) else {
            continue;
        };
        let next_zone = zones.len() as u16;
        let zone = *zones.entry(record.zone.clone()).or_insert(next_zone);
        let engine_orders = orders.engine(entry, reconciler.leading_since_ms.unwrap_or(now));
        if engine_orders.has_ended() {
            continue;
        }
        engine_orders.record_held_layers(record.layers);
        let held =
            engine_orders.expected_layers(record.layers, now, load_time_ms(model, model.layers));
        let profile = EngineProfile {
            zone,
            memory_mb: accelerator.memory_mb,
            step_factor: accelerator.step_factor,
            held,
            loading: held != record.layers,
        };
        out.push(Candidate {
            entry: entry.clone(),
            profile,
        });
    }
    out
}

/// Returns whether an engine is ready, sends heartbeats and is not suspected.
fn is_available(directory: &Directory, entry: &Entry, now: u64) -> bool {
    entry.record.readiness == Readiness::Ready
        && !is_unresponsive(directory, entry, now)
        && !is_suspected(directory, entry)
}

fn is_unresponsive(directory: &Directory, entry: &Entry, now: u64) -> bool {
    now.saturating_sub(entry.last_seen_ms) > heartbeats_to_ms(directory, ENGINE_TIMEOUT_HEARTBEATS)
}

/// Returns whether an ingress has suspected an engine since the engine's last heartbeat.
fn is_suspected(directory: &Directory, entry: &Entry) -> bool {
    let suspected = directory.last_suspicion_ms(entry.record.address);
    suspected.is_some_and(|at| at >= entry.last_seen_ms)
}

/// Returns the zones where at least half of the ready engines are silent.
///
/// Such a zone is more likely to be unreachable from here than to have lost its engines.
fn unreachable_zones(directory: &Directory, registry: &Registry, now: u64) -> BTreeSet<Box<str>> {
    let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    let ready = registry.entries();
    for entry in ready.filter(|entry| entry.record.readiness == Readiness::Ready) {
        let (silent, all) = zones.entry(&entry.record.zone).or_default();
        let silence_ms = now.saturating_sub(entry.last_seen_ms);
        *silent += usize::from(silence_ms > heartbeats_to_ms(directory, ZONE_TIMEOUT_HEARTBEATS));
        *all += 1;
    }
    let unreachable = zones
        .into_iter()
        .filter(|(_, (silent, all))| 2 * silent >= *all);
    unreachable.map(|(zone, _)| zone.into()).collect()
}

/// Returns the time to load `layers` layers of a model, in milliseconds.
fn load_time_ms(model: &ModelSpec, layers: u32) -> u64 {
    (model.load_s * 1e3 * f64::from(layers) / f64::from(model.layers.max(1))) as u64
}

/// Records when a coverage gap appears, and clears the record when none exists.
///
/// A zone without any assigned layers does not count as a gap.
fn update_gap(
    reconciler: &mut ReconcilerState,
    profiles: &[EngineProfile],
    assignments: &[Option<LayerRange>],
    layers: u32,
    now: u64,
) {
    let zones: BTreeSet<_> = profiles.iter().map(|profile| profile.zone).collect();
    let has_gap = |zone: u16| {
        let ranges = profiles.iter().zip(assignments);
        let ranges: Vec<_> = ranges
            .filter(|(profile, _)| profile.zone == zone)
            .filter_map(|(_, assignment)| *assignment)
            .collect();
        let covered = |layer| {
            ranges
                .iter()
                .any(|range| range.from() <= layer && layer < range.to())
        };
        !ranges.is_empty() && !(0..layers).all(covered)
    };
    if !zones.into_iter().any(has_gap) {
        reconciler.gap_since_ms = None;
    } else if reconciler.gap_since_ms.is_none() {
        tracing::warn!(
            event = "TS2521",
            "a zone has a coverage gap: no engine can be assigned the missing layers"
        );
        reconciler.gap_since_ms = Some(now);
    }
}

/// Starts a task that orders an engine to hold the layers in `assignment`.
///
/// Does nothing if the engine already holds them or may not be sent an order now.
fn send_order(
    shared: &Arc<Shared>,
    reconciler: &ReconcilerState,
    candidate: &Candidate,
    assignment: LayerRange,
    model: &ModelSpec,
    now: u64,
) {
    let entry = &candidate.entry;
    if entry.record.layers == Some(assignment) {
        return;
    }
    let mut orders = reconciler.orders.lock().expect("no lock holder panics");
    let engine_orders = orders.engine(entry, reconciler.leading_since_ms.unwrap_or(now));
    if !engine_orders.can_send(now, load_time_ms(model, model.layers)) {
        return;
    }
    engine_orders.last = Some(Order {
        layers: assignment,
        sent_at_ms: now,
        state: OrderState::Sent,
    });
    let orders_begun = engine_orders.orders_begun;
    let target = EngineInstance {
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
        wanted = %assignment,
        begun = orders_begun,
        "sending order to engine"
    );
    let (shared, orders) = (Arc::clone(shared), Arc::clone(&reconciler.orders));
    tokio::spawn(
        async move { deliver_order(shared, orders, target, assignment, orders_begun).await },
    );
}

/// Orders an engine to hold the layers in `assignment` and records the order's result.
///
/// If `orders_begun` is `None`, the number of started orders is first requested from the engine.
async fn deliver_order(
    shared: Arc<Shared>,
    orders: Arc<Mutex<Orders>>,
    target: EngineInstance,
    assignment: LayerRange,
    orders_begun: Option<u64>,
) {
    let Some(directory) = &shared.directory else {
        return;
    };
    let orders_begun = match orders_begun {
        Some(orders_begun) => Some(orders_begun),
        None => match fetch_orders_begun(directory, &orders, &target).await {
            Err(e) if e.has_ended() => {
                let mut orders = orders.lock().expect("no lock holder panics");
                let state = OrderState::Misdirected;
                orders.update_state(&target.id, target.incarnation, assignment, state);
                return;
            }
            result => result.ok(),
        },
    };
    let dialect = &directory.dialect;
    let call = dialect.place_call(&target.id, assignment, orders_begun);
    let result = exchange(target.address, call, CALL_TIMEOUT).await;
    let state = match &result {
        Ok(response) if response.status() == StatusCode::ACCEPTED => OrderState::Begun,
        Ok(response) if response.status() == StatusCode::OK => OrderState::Begun,
        Err(ExchangeError::Misdirected { .. }) => OrderState::Misdirected,
        Ok(_) | Err(ExchangeError::Refused { .. }) => OrderState::Rejected,
        Err(_) => OrderState::Unknown,
    };
    let status = result.as_ref().map(|response| response.status().as_u16());
    tracing::info!(event = "TS2523", target_id = %target.id, wanted = %assignment, begun = ?orders_begun, ?status, fate = ?state, "order result");
    let mut orders = orders.lock().expect("no lock holder panics");
    orders.update_state(&target.id, target.incarnation, assignment, state);
}

/// Asks an engine how many orders it has started, and records the number.
///
/// Fails if there is no report of this incarnation of the engine.
async fn fetch_orders_begun(
    directory: &Directory,
    orders: &Mutex<Orders>,
    target: &EngineInstance,
) -> Result<u64, ReportError> {
    let report = fetch_report(&*directory.dialect, target, CALL_TIMEOUT).await;
    match &report {
        Ok(_) => {}
        Err(e @ ReportError::Decode(_)) => {
            tracing::warn!(event = "TS2524", target_id = %target.id, cause = %e, "engine report not available");
        }
        Err(e) => {
            tracing::info!(event = "TS2524", target_id = %target.id, cause = %e, "engine report not available");
        }
    }
    let orders_begun = report?.orders_begun;
    let mut orders = orders.lock().expect("no lock holder panics");
    orders.record_orders_begun(&target.id, target.incarnation, orders_begun);
    Ok(orders_begun)
}
