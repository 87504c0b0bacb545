//! State shared by all parts of an ingress.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Instant;

use tokio::sync::watch;
use toucanshelf_core::deployment::Deployment;
use toucanshelf_link::dialect::Dialect;
use toucanshelf_routing::budget::RepeatBudget;
use toucanshelf_routing::matcher::RouteTable;
use toucanshelf_runtime::in_flight::InFlightCounter;
use toucanshelf_runtime::serve::ConnectionLimits;

use crate::control::ControlLinks;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::reports::Reports;
use crate::settings::IngressSettings;
use crate::targets::Targets;

/// Time for which a lower count of ingresses is ignored, in milliseconds.
// A control instance that has just started counts only the ingresses that have reconnected.
const INGRESS_COUNT_HOLD_MS: u64 = 20_000;

/// Highest recent count of ingress instances.
#[derive(Clone, Copy, Debug, Default)]
struct IngressCount {
    /// Ingress instances in all zones.
    total: u32,
    /// Ingress instances in the zone of this ingress.
    own_zone: u32,
    /// Time of the count, in milliseconds since this ingress started.
    updated_ms: u64,
}

/// State shared by all parts of an ingress.
#[derive(Debug)]
pub struct Shared {
    /// Validated settings.
    pub settings: IngressSettings,
    /// Message formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Links to control instances.
    pub control: ControlLinks,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Cached reports of engines.
    pub reports: Reports,
    /// Metrics for the metrics endpoint.
    pub metrics: Metrics,
    table: RwLock<Option<Arc<RouteTable>>>,
    limits: watch::Sender<ConnectionLimits>,
    targets: Mutex<Targets>,
    /// Budgets of repeated sends by service.
    budgets: Mutex<BTreeMap<Box<str>, RepeatBudget>>,
    /// Number of ingress instances, as counted by control.
    ingresses: Mutex<IngressCount>,
    /// Number of times that streams were told to check for failed targets.
    failures: watch::Sender<u64>,
    started: Instant,
    stopping: AtomicBool,
    under_way: InFlightCounter,
}

impl Shared {
    /// Creates the state of an ingress without deployment or targets.
    pub fn new(settings: IngressSettings, dialect: Arc<dyn Dialect>) -> Self {
        Self {
            control: ControlLinks::new(),
            pool: Pool::new(),
            reports: Reports::new(),
            metrics: Metrics::new(),
            table: RwLock::default(),
            limits: watch::Sender::new(ConnectionLimits::default()),
            targets: Mutex::new(Targets::new(&settings.zone)),
            budgets: Mutex::default(),
            ingresses: Mutex::default(),
            failures: watch::Sender::new(0),
            started: Instant::now(),
            stopping: AtomicBool::new(false),
            under_way: InFlightCounter::new(),
            settings,
            dialect,
        }
    }

    /// Milliseconds since the ingress started.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Route table of the active deployment; `None` before the first one.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().expect("no writer panics").clone()
    }

    /// Version of the active deployment.
    pub fn version(&self) -> Option<u64> {
        let table = self.table.read().expect("no writer panics");
        table.as_ref().map(|table| table.deployment().version)
    }

    /// Activates a validated deployment if it is newer; returns whether it was.
    pub fn install_deployment(&self, deployment: Deployment) -> bool {
        let version = deployment.version;
        let limits = ConnectionLimits {
            max_head_bytes: deployment.limits.max_head_bytes,
            idle_timeout: deployment.limits.idle_timeout,
        };
        {
            let mut table = self.table.write().expect("no writer panics");
            let known = table.as_ref().map(|table| table.deployment().version);
            if known.is_some_and(|known| known >= version) {
                return false;
            }
            self.targets().set_models(&deployment);
            *table = Some(Arc::new(RouteTable::new(deployment)));
        }
        self.limits.send_replace(limits);
        true
    }

    /// Returns a receiver of the limits on callers' connections.
    pub fn connection_limits(&self) -> watch::Receiver<ConnectionLimits> {
        self.limits.subscribe()
    }

    /// Locks the table of targets and their health.
    pub fn targets(&self) -> MutexGuard<'_, Targets> {
        self.targets.lock().expect("no holder panics")
    }

    /// Counts a request for `service` towards its repeat budget.
    pub fn count_request(&self, service: &str) {
        let now = self.now();
        self.with_budget(service, |budget| budget.count_request(now));
    }

    /// Takes one repeated send to `service` from the budget, if one is left.
    pub fn take_repeat(&self, service: &str) -> bool {
        let now = self.now();
        let instances = self.ingresses.lock().expect("no holder panics").total;
        self.with_budget(service, |budget| budget.take_repeat(now, instances))
    }

    /// Whether the budget of `service` has a repeated send left.
    pub fn has_repeat(&self, service: &str) -> bool {
        let now = self.now();
        let instances = self.ingresses.lock().expect("no holder panics").total;
        self.with_budget(service, |budget| budget.has_repeat(now, instances))
    }

    /// Runs an operation on the repeat budget of a service.
    ///
    /// The budget is created if the service has none yet.
    fn with_budget<T>(&self, service: &str, operation: impl FnOnce(&mut RepeatBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().expect("no holder panics");
        if !budgets.contains_key(service) {
            let budget = RepeatBudget::new(self.settings.budget_limits());
            budgets.insert(service.into(), budget);
        }
        operation(budgets.get_mut(service).expect("it was just inserted"))
    }

    /// Updates the count of ingress instances from their zones.
    ///
    /// A lower count replaces a higher one only after `INGRESS_COUNT_HOLD_MS`.
    pub fn record_ingresses(&self, zones: &[Box<str>]) {
        let own = zones.iter().filter(|zone| **zone == self.settings.zone);
        let count = IngressCount {
            total: zones.len() as u32,
            own_zone: own.count() as u32,
            updated_ms: self.now(),
        };
        let mut known = self.ingresses.lock().expect("no holder panics");
        if count.total >= known.total
            || count.updated_ms >= known.updated_ms + INGRESS_COUNT_HOLD_MS
        {
            *known = count;
            self.targets().set_zone_ingresses(count.own_zone);
        }
    }

    /// Returns a receiver that changes whenever a target may have failed.
    ///
    /// This is the case when a target is marked down or registrations arrive.
    pub fn failures(&self) -> watch::Receiver<u64> {
        self.failures.subscribe()
    }

    /// Wakes all streams to check their routes for failed targets.
    pub fn notify_failure(&self) {
        self.failures.send_modify(|count| *count += 1);
    }

    /// Whether the ingress reports itself as ready for new requests.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.version().is_some()
    }

    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Counter of the requests in flight.
    pub fn under_way(&self) -> &InFlightCounter {
        &self.under_way
    }
}
