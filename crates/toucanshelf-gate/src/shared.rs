//! State that the modules of a gate share.
//!
//! The control instances replicate the configuration in a log, in which each version has a number,
//! its revision. A membership record states whether a target is available. A fleet is the set of
//! engines that serve one model.

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
use toucanshelf_runtime::body::BodyMemory;
use toucanshelf_runtime::in_flight::InFlightCounter;

use crate::control_link::ControlLink;
use crate::fleets::Fleets;
use crate::gossip::Gossip;
use crate::metrics::Metrics;
use crate::policy::Policy;
use crate::settings::GateSettings;

/// Active configuration, with the replicated log that it comes from.
#[derive(Debug, Default)]
pub struct ActiveConfiguration {
    log: Option<LogId>,
    configuration: Configuration,
}

impl ActiveConfiguration {
    /// Returns the active configuration, without the id of its replicated log.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the id of the replicated log that the configuration comes from.
    ///
    /// It is `None` before the first configuration.
    pub fn log(&self) -> Option<LogId> {
        self.log
    }
}

/// State that the modules of a gate share.
#[derive(Debug)]
pub struct Shared {
    /// Validated settings of the gate.
    pub settings: GateSettings,
    /// Client for calls to engines.
    pub engines: Arc<dyn EngineClient>,
    /// Client for calls to plain services, which run no model.
    pub services: Arc<dyn ServiceClient>,
    /// Link to one of the control instances.
    pub control: ControlLink,
    /// Links to the other gates.
    pub gossip: Gossip,
    /// Memory of the bodies of all requests.
    pub bodies: Arc<BodyMemory>,
    /// Metrics that the metrics endpoint exposes.
    pub metrics: Metrics,
    active: RwLock<ActiveConfiguration>,
    revision: watch::Sender<Option<Revision>>,
    view: Mutex<View<Announcement>>,
    fleets: Mutex<Fleets>,
    policy: Mutex<Policy>,
    started: Instant,
    stopping: AtomicBool,
    requests_in_flight: InFlightCounter,
    stopped: watch::Sender<bool>,
}

impl Shared {
    /// Creates the state of a gate without configuration, targets or links.
    pub fn new(settings: GateSettings) -> Self {
        Self {
            engines: Arc::new(HttpEngineClient::new()),
            services: Arc::new(HttpServiceClient::new()),
            control: ControlLink::new(),
            gossip: Gossip::new(),
            metrics: Metrics::new(),
            active: RwLock::default(),
            revision: watch::Sender::new(None),
            view: Mutex::new(View::new(settings.name.clone(), settings.lease_ms)),
            fleets: Mutex::new(Fleets::new(&settings)),
            policy: Mutex::new(Policy::new()),
            started: Instant::now(),
            stopping: AtomicBool::new(false),
            requests_in_flight: InFlightCounter::new(),
            stopped: watch::Sender::new(false),
            bodies: BodyMemory::new(settings.memory_limits()),
            settings,
        }
    }

    /// Returns the time since this state was created, in milliseconds.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns the active configuration, locked for reading.
    pub fn active_configuration(&self) -> RwLockReadGuard<'_, ActiveConfiguration> {
        self.active.read().expect("lock is not poisoned")
    }

    /// Returns a receiver that is notified of each new active revision.
    ///
    /// The revision is `None` before the first configuration.
    pub fn revisions(&self) -> watch::Receiver<Option<Revision>> {
        self.revision.subscribe()
    }

    /// Returns the active revision, or `None` before the first configuration.
    pub fn revision(&self) -> Option<Revision> {
        *self.revision.borrow()
    }

    /// Returns the membership records of all targets, locked.
    pub fn view(&self) -> MutexGuard<'_, View<Announcement>> {
        self.view.lock().expect("lock is not poisoned")
    }

    /// Returns the engines of all models and the targets of all services, locked.
    pub fn fleets(&self) -> MutexGuard<'_, Fleets> {
        self.fleets.lock().expect("lock is not poisoned")
    }

    /// Locks and returns the admission control, retry budget and quarantine.
    ///
    /// The quarantine isolates or refuses requests that are suspected of crashing targets.
    pub fn policy(&self) -> MutexGuard<'_, Policy> {
        self.policy.lock().expect("lock is not poisoned")
    }

    /// Activates a complete configuration if it is newer than the active one.
    ///
    /// Returns whether it was activated. Once a configuration is active, one from a different log
    /// is rejected, because a control instance that lost its disk must not reset gates to an empty
    /// configuration.
    pub fn apply_snapshot(&self, log: LogId, snapshot: Snapshot) -> bool {
        {
            let mut active = self.active.write().expect("lock is not poisoned");
            let is_newer = match active.log {
                None => true,
                Some(own) => own == log && snapshot.revision > active.configuration.revision(),
            };
            if !is_newer {
                if active.log.is_some_and(|own| own != log) {
                    tracing::error!(
                        event = "TS3101",
                        "rejected configuration from a different log"
                    );
                }
                return false;
            }
            active.log = Some(log);
            active.configuration = Configuration::with_snapshot(snapshot);
        }
        self.activate();
        true
    }

    /// Applies changes to the active configuration and returns whether this succeeded.
    ///
    /// It fails if the changes come from a different log or do not continue the active revision.
    pub fn apply_deltas(&self, log: LogId, deltas: &[Delta]) -> bool {
        {
            let mut active = self.active.write().expect("lock is not poisoned");
            if active.log != Some(log) {
                return false;
            }
            let own = active.configuration.revision();
            // Changes up to the active revision are skipped. A gap between revisions is an error.
            for delta in deltas.iter().filter(|delta| delta.revision > own) {
                if active.configuration.apply(delta).is_err() {
                    return false;
                }
            }
        }
        self.activate();
        true
    }

    /// Regroups the targets for the new configuration and notifies the receivers of revisions.
    fn activate(&self) {
        let revision = self.active_configuration().configuration().revision();
        self.sync_fleets();
        self.revision.send_replace(Some(revision));
        tracing::info!(
            event = "TS3102",
            revision = revision.0,
            "configuration activated"
        );
    }

    /// Regroups all known targets by model or service after a configuration change.
    fn sync_fleets(&self) {
        let view = self.view();
        let active = self.active_configuration();
        let mut fleets = self.fleets();
        for record in view.records() {
            fleets.sync(active.configuration(), record);
        }
    }

    /// Returns whether the gate accepts new requests.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.revision().is_some()
    }

    /// Returns whether the gate is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Makes the gate refuse new requests from now on.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Ends the tasks that run until the gate has stopped.
    pub(crate) fn mark_stopped(&self) {
        self.stopped.send_replace(true);
    }

    /// Waits until the gate has stopped.
    pub async fn stopped(&self) {
        // Waiting fails only if the sender was dropped, which also means that the gate has stopped.
        let _ = self.stopped.subscribe().wait_for(|stopped| *stopped).await;
    }

    /// Returns the counter of the requests in flight.
    pub fn requests_in_flight(&self) -> &InFlightCounter {
        &self.requests_in_flight
    }
}
