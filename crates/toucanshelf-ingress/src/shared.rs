//! State shared by all request handlers and connections of an ingress.
//!
//! A target is a back end, and an engine is a target that runs layers of a model. A deployment is a
//! version of the configuration, which the control instances distribute. A repeated send is any
//! attempt to send a request after its first one; a budget limits these for each service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use toucanshelf_core::deployment::Deployment;
use toucanshelf_link::dialect::Dialect;
use toucanshelf_routing::budget::RepeatBudget;
use toucanshelf_routing::matcher::RouteTable;
use toucanshelf_routing::permits::{Permit, permit_rate};
use toucanshelf_runtime::body::BodyMemory;
use toucanshelf_runtime::connections::Connections;
use toucanshelf_runtime::in_flight::InFlightCounter;
use toucanshelf_runtime::serve::ConnectionLimits;

use crate::content_guard::ContentGuard;
use crate::control::ControlLinks;
use crate::deployments::Deployments;
use crate::isolation::Isolation;
use crate::metrics::Metrics;
use crate::permits::PendingPermits;
use crate::pool::{Connector, Pool};
use crate::relay::Relays;
use crate::reports::Reports;
use crate::response_buffer::ResponseBuffers;
use crate::rooms::Rooms;
use crate::settings::IngressSettings;
use crate::targets::{TargetKey, Targets};

/// Time for which a lower count of ingress instances is ignored, in milliseconds.
// A control instance that has just started counts only the ingresses that have reconnected to it,
// so its count is too low at first.
const INGRESS_COUNT_HOLD_MS: u64 = 20_000;

/// Highest recent count of ingress instances.
#[derive(Clone, Copy, Debug, Default)]
struct IngressCount {
    /// Number of ingress instances in all zones.
    total: u32,
    /// Number of ingress instances in the zone of this ingress.
    own_zone: u32,
    /// Time at which the count was received, in milliseconds since this ingress started.
    updated_ms: u64,
}

/// State shared by all request handlers and connections of an ingress.
#[derive(Debug)]
pub struct Shared {
    /// Validated settings.
    pub settings: IngressSettings,
    /// Encoder and decoder for the platform's message formats.
    pub dialect: Arc<dyn Dialect>,
    /// Connections to the control instances.
    pub control: ControlLinks,
    /// Documents of the deployment, and the versions that control has announced.
    pub deployments: Deployments,
    /// Limits on requests whose content crashes targets.
    pub content: ContentGuard,
    /// Whether this ingress reaches any target.
    pub isolation: Isolation,
    /// Other ingresses that reach targets.
    pub relays: Relays,
    /// Requests for permits that are not answered yet.
    pub permits: PendingPermits,
    /// Memory of callers' request bodies.
    pub bodies: Arc<BodyMemory>,
    /// Connections of callers.
    pub connections: Arc<Connections>,
    /// Buffers for responses that are read in full.
    pub response_buffers: ResponseBuffers,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Cache of the state reports that engines send on request.
    pub reports: Reports,
    /// Admission of requests to services that are nearly full.
    pub rooms: Rooms,
    /// Metrics for the metrics endpoint.
    pub metrics: Metrics,
    table: RwLock<Option<Arc<RouteTable>>>,
    /// Whether there is a table.
    configured: watch::Sender<bool>,
    limits: watch::Sender<ConnectionLimits>,
    targets: Mutex<Targets>,
    /// Budget of repeated sends for each service, by the service's name.
    budgets: Mutex<BTreeMap<Box<str>, RepeatBudget>>,
    /// Count of ingress instances, as announced by the control instances.
    ingresses: Mutex<IngressCount>,
    /// Counter whose every change wakes the streams to check for failed targets.
    failures: watch::Sender<u64>,
    started: Instant,
    stopping: AtomicBool,
    under_way: InFlightCounter,
}

impl Shared {
    /// Creates the state of an ingress without deployment or targets.
    pub fn new(
        settings: IngressSettings,
        dialect: Arc<dyn Dialect>,
        connector: Arc<dyn Connector>,
    ) -> Self {
        let metrics = Metrics::new();
        let targets = Targets::new(&settings.zone).with_load_ages(metrics.load_age.clone());
        Self {
            control: ControlLinks::new(),
            deployments: Deployments::new(),
            content: ContentGuard::new(),
            bodies: BodyMemory::new(settings.memory_limits()),
            connections: Connections::new(settings.max_connections()),
            response_buffers: ResponseBuffers::default(),
            isolation: Isolation::new(),
            relays: Relays::default(),
            permits: PendingPermits::default(),
            pool: Pool::new(connector),
            reports: Reports::new(),
            rooms: Rooms::default(),
            metrics,
            table: RwLock::default(),
            configured: watch::Sender::new(false),
            limits: watch::Sender::new(ConnectionLimits::default()),
            targets: Mutex::new(targets),
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
        self.uptime().as_millis() as u64
    }

    /// Returns the time since the ingress started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the table of routes from hosts and paths to services.
    ///
    /// Returns `None` until the first deployment has arrived.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().expect("no writer panics").clone()
    }

    /// Returns the table of routes, once there is one; `None` if there is none by `due`.
    pub async fn wait_for_table(&self, due: tokio::time::Instant) -> Option<Arc<RouteTable>> {
        if let Some(table) = self.table() {
            return Some(table);
        }
        let mut configured = self.configured.subscribe();
        let is_configured = configured.wait_for(|configured| *configured);
        // The channel stays open, so that only the time can run out.
        let _ = tokio::time::timeout_at(due, is_configured).await;
        self.table()
    }

    /// Returns the version of the active deployment, or `None` before the first one.
    pub fn version(&self) -> Option<u64> {
        let table = self.table.read().expect("no writer panics");
        table.as_ref().map(|table| table.deployment().version)
    }

    /// Activates a validated deployment if it is newer than the active one.
    ///
    /// Returns whether it was activated.
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
            self.targets().set_deployment(&deployment, self.now());
            *table = Some(Arc::new(RouteTable::new(deployment)));
        }
        self.limits.send_replace(limits);
        self.configured.send_replace(true);
        true
    }

    /// Returns a watch receiver for the limits that apply to callers' connections.
    pub fn connection_limits(&self) -> watch::Receiver<ConnectionLimits> {
        self.limits.subscribe()
    }

    /// Locks the table of targets and their health.
    pub fn targets(&self) -> MutexGuard<'_, Targets> {
        self.targets.lock().expect("no holder panics")
    }

    /// Returns the highest recent number of ingress instances, as control announced it.
    pub fn known_ingresses(&self) -> u32 {
        self.ingresses.lock().expect("no holder panics").total
    }

    /// Issues a permit from this ingress's equal share of a target's limit, in requests a second.
    pub fn ask_own_share(&self, key: TargetKey, limit: f64) -> Permit {
        let now = self.now();
        let instances = self.known_ingresses();
        let rate = permit_rate(limit) / f64::from(instances.max(1));
        self.targets().ask_own_share(key, now, rate)
    }

    /// Counts a request to `service`, which raises the number of repeated sends allowed.
    pub fn count_request(&self, service: &str) {
        let now = self.now();
        self.with_budget(service, |budget| budget.count_request(now));
    }

    /// Takes one repeated send from the budget of `service`.
    ///
    /// Returns `false` if the budget is exhausted, and the request must then not be sent again.
    pub fn take_repeat(&self, service: &str) -> bool {
        let now = self.now();
        let instances = self.known_ingresses();
        let taken = self.with_budget(service, |budget| budget.take_repeat(now, instances));
        let result = if taken { "taken" } else { "denied" };
        let sends = &self.metrics.repeated_sends;
        sends.with_label_values(&[result]).inc();
        taken
    }

    /// Whether the budget of `service` has a repeated send left.
    pub fn has_repeat(&self, service: &str) -> bool {
        let now = self.now();
        let instances = self.known_ingresses();
        self.with_budget(service, |budget| budget.has_repeat(now, instances))
    }

    /// Calls `operation` with the budget that limits the repeated sends to `service`.
    ///
    /// If the service has no budget yet, one is created.
    fn with_budget<T>(&self, service: &str, operation: impl FnOnce(&mut RepeatBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().expect("no holder panics");
        if !budgets.contains_key(service) {
            let budget = RepeatBudget::new(self.settings.budget_limits())
                .with_slack_from(self.settings.repeat_slack_after_ms);
            budgets.insert(service.into(), budget);
        }
        operation(budgets.get_mut(service).expect("it was just inserted"))
    }

    /// Updates the count of ingress instances, in all zones and in that of this instance.
    ///
    /// A count lower than the stored one is ignored until 20 s (`INGRESS_COUNT_HOLD_MS`) after the
    /// stored count was last announced.
    pub fn record_ingresses(&self, total: u32, own_zone: u32) {
        let count = IngressCount {
            total,
            own_zone,
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
    /// This is the case when a stream marks an engine as down or when registrations arrive.
    pub fn failures(&self) -> watch::Receiver<u64> {
        self.failures.subscribe()
    }

    /// Wakes all streams, so that each checks whether engines that it uses have failed.
    pub fn notify_failure(&self) {
        self.failures.send_modify(|count| *count += 1);
    }

    /// Returns whether the ingress answers readiness probes as ready.
    ///
    /// It is ready once it has a deployment, until it begins to stop.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.version().is_some()
    }

    /// Returns the address for requests of other ingresses, and whether they may use it now.
    ///
    /// Returns `None` if this ingress accepts none.
    pub(crate) fn relay_status(&self) -> Option<(SocketAddr, bool)> {
        let stopping = self.stopping.load(Ordering::Relaxed);
        let available = !stopping && !self.isolation.is_isolated();
        Some((self.relays.own_address()?, available))
    }

    /// Tells control whether other ingresses may send their requests to this one.
    pub(crate) fn report_relay_status(&self) {
        if let Some((address, available)) = self.relay_status() {
            self.control.report_relay_status(address, available);
        }
    }

    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the counter of callers' requests in flight, for which a stop waits.
    pub fn under_way(&self) -> &InFlightCounter {
        &self.under_way
    }
}
