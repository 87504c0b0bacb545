//! State that all parts of a gate share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock, RwLockReadGuard};
use std::time::Instant;

use tokio::sync::watch;
use toucanshelf_coordination::membership::View;
use toucanshelf_core::configuration::{Configuration, Delta, Snapshot};
use toucanshelf_core::ids::Revision;
use toucanshelf_core::target::Announcement;
use toucanshelf_link::engine::{EngineClient, HttpEngineClient};
use toucanshelf_link::frame::LogId;
use toucanshelf_link::service::{HttpServiceClient, ServiceClient};
use toucanshelf_runtime::in_flight::InFlightCounter;

use crate::control_link::ControlLink;
use crate::fleets::Fleets;
use crate::gossip::Gossip;
use crate::metrics::Metrics;
use crate::policy::Policy;
use crate::settings::GateSettings;

/// Configuration in force, with the log that it comes from.
#[derive(Debug, Default)]
pub struct InForce {
    log: Option<LogId>,
    configuration: Configuration,
}

impl InForce {
    /// Configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Log that the configuration comes from; none before the first one.
    pub fn log(&self) -> Option<LogId> {
        self.log
    }
}

/// State that all parts of a gate share.
#[derive(Debug)]
pub struct Shared {
    /// Checked settings.
    pub settings: GateSettings,
    /// Border towards engines.
    pub engines: Arc<dyn EngineClient>,
    /// Border towards plain services.
    pub services: Arc<dyn ServiceClient>,
    /// Link to the control instances.
    pub control: ControlLink,
    /// Links to the other gates.
    pub gossip: Gossip,
    /// Counters for the metrics endpoint.
    pub metrics: Metrics,
    in_force: RwLock<InForce>,
    revision: watch::Sender<Option<Revision>>,
    view: Mutex<View<Announcement>>,
    fleets: Mutex<Fleets>,
    policy: Mutex<Policy>,
    started: Instant,
    stopping: AtomicBool,
    under_way: InFlightCounter,
    ended: watch::Sender<bool>,
}

impl Shared {
    /// Creates the state of a gate that knows nothing yet.
    pub fn new(settings: GateSettings) -> Self {
        Self {
            engines: Arc::new(HttpEngineClient::new()),
            services: Arc::new(HttpServiceClient::new()),
            control: ControlLink::new(),
            gossip: Gossip::new(),
            metrics: Metrics::new(),
            in_force: RwLock::default(),
            revision: watch::Sender::new(None),
            view: Mutex::new(View::new(settings.name.clone(), settings.lease_ms)),
            fleets: Mutex::new(Fleets::new(&settings)),
            policy: Mutex::new(Policy::new()),
            started: Instant::now(),
            stopping: AtomicBool::new(false),
            under_way: InFlightCounter::new(),
            ended: watch::Sender::new(false),
            settings,
        }
    }

    /// Milliseconds since the gate started.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Configuration in force.
    pub fn in_force(&self) -> RwLockReadGuard<'_, InForce> {
        self.in_force.read().expect("no writer panics")
    }

    /// Receiver of the revision in force; none before the first configuration.
    pub fn revisions(&self) -> watch::Receiver<Option<Revision>> {
        self.revision.subscribe()
    }

    /// Revision in force; none before the first configuration.
    pub fn revision(&self) -> Option<Revision> {
        *self.revision.borrow()
    }

    /// Records of all targets.
    pub fn view(&self) -> MutexGuard<'_, View<Announcement>> {
        self.view.lock().expect("no holder panics")
    }

    /// Engines and plain services by model and service.
    pub fn fleets(&self) -> MutexGuard<'_, Fleets> {
        self.fleets.lock().expect("no holder panics")
    }

    /// Admission, retry budget and quarantine.
    pub fn policy(&self) -> MutexGuard<'_, Policy> {
        self.policy.lock().expect("no holder panics")
    }

    /// Takes a whole configuration if it is newer; returns whether it was.
    ///
    /// A configuration of another log is refused once one is in force: a control instance that
    /// lost its disk must not take gates back to an empty state.
    pub fn take_snapshot(&self, log: LogId, snapshot: Snapshot) -> bool {
        {
            let mut in_force = self.in_force.write().expect("no writer panics");
            let newer = match in_force.log {
                None => true,
                Some(own) => own == log && snapshot.revision > in_force.configuration.revision(),
            };
            if !newer {
                if in_force.log.is_some_and(|own| own != log) {
                    tracing::error!(event = "TS3101", "configuration of another log refused");
                }
                return false;
            }
            in_force.log = Some(log);
            in_force.configuration = Configuration::with_snapshot(snapshot);
        }
        self.publish();
        true
    }

    /// Takes the next changes; returns whether they followed the revision in force.
    pub fn take_deltas(&self, log: LogId, deltas: &[Delta]) -> bool {
        {
            let mut in_force = self.in_force.write().expect("no writer panics");
            if in_force.log != Some(log) {
                return false;
            }
            let own = in_force.configuration.revision();
            // Deltas that are in force already are skipped; a gap is an error.
            for delta in deltas.iter().filter(|delta| delta.revision > own) {
                if in_force.configuration.apply(delta).is_err() {
                    return false;
                }
            }
        }
        self.publish();
        true
    }

    fn publish(&self) {
        let revision = self.in_force().configuration().revision();
        self.sync_fleets();
        self.revision.send_replace(Some(revision));
        tracing::info!(
            event = "TS3102",
            revision = revision.0,
            "configuration in force"
        );
    }

    /// Rebuilds the fleets from all records, after a change of the configuration.
    fn sync_fleets(&self) {
        let view = self.view();
        let in_force = self.in_force();
        let mut fleets = self.fleets();
        for record in view.records() {
            fleets.sync(in_force.configuration(), record);
        }
    }

    /// Whether the gate takes new requests.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.revision().is_some()
    }

    /// Whether the gate is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn end(&self) {
        self.ended.send_replace(true);
    }

    /// Waits until the gate has ended.
    pub async fn ended(&self) {
        // Fails only when `self` is gone, which also is the end.
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }

    /// Requests that are under way.
    pub fn under_way(&self) -> &InFlightCounter {
        &self.under_way
    }
}
