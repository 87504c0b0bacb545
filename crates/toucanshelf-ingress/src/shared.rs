//! State that all parts of an ingress share.

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

/// Time after which a lower count of ingresses is believed, in milliseconds.
// A control instance that has just started counts only those that have linked again.
const FEWER_INGRESSES_MS: u64 = 20_000;

/// Highest recent count of ingresses, and when it was heard.
#[derive(Clone, Copy, Debug, Default)]
struct IngressCount {
    all: u32,
    /// Those of the own zone.
    own_zone: u32,
    heard: u64,
}

/// State that all parts of an ingress share.
#[derive(Debug)]
pub struct Shared {
    /// Checked settings.
    pub settings: IngressSettings,
    /// Manner of speaking of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Links to control instances.
    pub control: ControlLinks,
    /// Connections to targets.
    pub pool: Pool,
    /// Reports of engines.
    pub reports: Reports,
    /// Counters for the metrics endpoint.
    pub metrics: Metrics,
    table: RwLock<Option<Arc<RouteTable>>>,
    limits: watch::Sender<ConnectionLimits>,
    targets: Mutex<Targets>,
    budgets: Mutex<BTreeMap<Box<str>, RepeatBudget>>,
    /// Ingress instances of the whole system, as control counts them.
    ingresses: Mutex<IngressCount>,
    failures: watch::Sender<u64>,
    started: Instant,
    stopping: AtomicBool,
    under_way: InFlightCounter,
}

impl Shared {
    /// Creates the state of an ingress that knows nothing yet.
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

    /// Deployment in force; none before the first.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().expect("no writer panics").clone()
    }

    /// Version of the deployment in force.
    pub fn version(&self) -> Option<u64> {
        let table = self.table.read().expect("no writer panics");
        table.as_ref().map(|table| table.deployment().version)
    }

    /// Puts a checked deployment in force if it is newer; returns whether it was.
    pub fn take_deployment(&self, deployment: Deployment) -> bool {
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

    /// Receiver of the bounds on callers' connections.
    pub fn connection_limits(&self) -> watch::Receiver<ConnectionLimits> {
        self.limits.subscribe()
    }

    /// Targets and what is known of their health.
    pub fn targets(&self) -> MutexGuard<'_, Targets> {
        self.targets.lock().expect("no holder panics")
    }

    /// Counts a request for `service`.
    pub fn count_request(&self, service: &str) {
        let now = self.now();
        self.with_budget(service, |budget| budget.count_request(now));
    }

    /// Takes one repeated send to `service` from the budget, if there is one left.
    pub fn take_repeat(&self, service: &str) -> bool {
        let now = self.now();
        let instances = self.ingresses.lock().expect("no holder panics").all;
        self.with_budget(service, |budget| budget.take_repeat(now, instances))
    }

    /// Whether the budget has a repeated send to `service` left.
    pub fn has_repeat(&self, service: &str) -> bool {
        let now = self.now();
        let instances = self.ingresses.lock().expect("no holder panics").all;
        self.with_budget(service, |budget| budget.has_repeat(now, instances))
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RepeatBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().expect("no holder panics");
        if !budgets.contains_key(service) {
            let budget = RepeatBudget::new(self.settings.budget_limits());
            budgets.insert(service.into(), budget);
        }
        act(budgets.get_mut(service).expect("it was just inserted"))
    }

    /// Notes the zones of the ingress instances that a control instance counts.
    pub fn note_ingresses(&self, zones: &[Box<str>]) {
        let own = zones.iter().filter(|zone| **zone == self.settings.zone);
        let count = IngressCount {
            all: zones.len() as u32,
            own_zone: own.count() as u32,
            heard: self.now(),
        };
        let mut known = self.ingresses.lock().expect("no holder panics");
        if count.all >= known.all || count.heard >= known.heard + FEWER_INGRESSES_MS {
            *known = count;
            self.targets().set_sharers(count.own_zone);
        }
    }

    /// Receiver that changes whenever a target is found to have failed.
    pub fn failures(&self) -> watch::Receiver<u64> {
        self.failures.subscribe()
    }

    /// Wakes the streams, because a target was found to have failed.
    pub fn announce_failure(&self) {
        self.failures.send_modify(|count| *count += 1);
    }

    /// Whether the ingress takes new requests.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.version().is_some()
    }

    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Requests that are under way.
    pub fn under_way(&self) -> &InFlightCounter {
        &self.under_way
    }
}
