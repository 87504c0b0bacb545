//! Control instances, gates and stand-in targets of a trace, inside this process.
//!
//! They communicate over loopback. The first numbered configuration change, ticket 1, configures
//! the deployment. The plain service accepts non-idempotent `POST` requests and runs no model.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tempfile::TempDir;
use tokio::runtime::Runtime;
use toucanshelf_control::Control;
use toucanshelf_control::settings::ControlSettings;
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_core::ticket::{Ticket, Verdict};
use toucanshelf_gate::Gate;
use toucanshelf_gate::settings::{GateSettings, PlannerKind};
use toucanshelf_link::frame::SubmitError;
use toucanshelf_standin::engine::StandinEngine;
use toucanshelf_standin::service::{ServiceSettings, StandinService};
use toucanshelf_standin::settings::EngineSettings;

use crate::layout::{
    Addresses, LinkAddresses, MODEL, SERVICE, TARGET_TOKEN, control_settings, gate_settings, ticket,
};
use crate::trace::Trace;

/// Maximum time for each step of starting a deployment.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
/// Name of the gates' threads, by which their processor time is found.
const GATE_THREAD_NAME: &str = "gate";
/// Clock ticks per second, the unit of processor times under `/proc`.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// Time between two checks while waiting for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn new_runtime(name: &str) -> Runtime {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(name)
        .enable_all()
        .build();
    runtime.expect("threads can be started")
}

/// A control instance, which may have been stopped.
#[derive(Debug)]
struct ControlNode {
    settings: ControlSettings,
    running: Option<(Runtime, Control)>,
}

impl ControlNode {
    fn start(&mut self) {
        let runtime = new_runtime("control");
        let startup_deadline = Instant::now() + STARTUP_TIMEOUT;
        let control = loop {
            // After a crash, the lock of the data folder and the ports are released with a delay.
            match runtime.block_on(Control::start(self.settings.clone())) {
                Ok(control) => break control,
                Err(e) if Instant::now() > startup_deadline => {
                    panic!("a control instance can't be started: {e}")
                }
                Err(_) => std::thread::sleep(POLL_INTERVAL),
            }
        };
        self.running = Some((runtime, control));
    }

    fn kill(&mut self) {
        if let Some((runtime, control)) = self.running.take() {
            control.shared().driver.stop();
            runtime.shutdown_background();
        }
    }
}

/// A gate, which may have been stopped.
#[derive(Debug)]
struct GateNode {
    settings: GateSettings,
    running: Option<(Runtime, Gate)>,
}

impl GateNode {
    fn start(&mut self) {
        let runtime = new_runtime(GATE_THREAD_NAME);
        let startup_deadline = Instant::now() + STARTUP_TIMEOUT;
        let gate = loop {
            match runtime.block_on(Gate::start(self.settings.clone())) {
                Ok(gate) => break gate,
                Err(e) if Instant::now() > startup_deadline => {
                    panic!("a gate can't be started: {e}")
                }
                Err(_) => std::thread::sleep(POLL_INTERVAL),
            }
        };
        self.running = Some((runtime, gate));
    }
}

/// A deployment with its control instances, gates and stand-in targets.
#[derive(Debug)]
pub struct Deployment {
    controls: Vec<ControlNode>,
    gates: Vec<GateNode>,
    engines: BTreeMap<Box<str>, StandinEngine>,
    engine_settings: BTreeMap<Box<str>, EngineSettings>,
    services: Vec<StandinService>,
    stopping_gates: Vec<std::thread::JoinHandle<()>>,
    _folder: TempDir,
}

impl Deployment {
    /// Starts the deployment of `trace` and waits until it is ready.
    ///
    /// Every gate must have received the first numbered configuration change, ticket 1, and must
    /// see every target as ready.
    pub fn start(trace: &Trace, planner: PlannerKind) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let zones = trace.zones();
        let mut addresses = Addresses::new();
        let links = LinkAddresses {
            controls: addresses.allocate_many(trace.controls),
            gates: addresses.allocate_many(trace.gates),
        };
        let mut controls: Vec<_> = (0..trace.controls)
            .map(|n| ControlNode {
                settings: control_settings(
                    n,
                    &zones,
                    &links.controls,
                    addresses.allocate(),
                    &folder,
                ),
                running: None,
            })
            .collect();
        let mut gates: Vec<_> = (0..trace.gates)
            .map(|n| GateNode {
                settings: gate_settings(trace, n, planner, &zones, addresses.allocate(), &links),
                running: None,
            })
            .collect();
        drop(addresses);
        for control in &mut controls {
            control.start();
        }
        for gate in &mut gates {
            gate.start();
        }
        let mut out = Self {
            controls,
            gates,
            engines: BTreeMap::new(),
            engine_settings: BTreeMap::new(),
            services: Vec::new(),
            stopping_gates: Vec::new(),
            _folder: folder,
        };
        out.wait_for_voters(trace.controls);
        out.apply_ticket(&ticket(trace));
        out.start_targets(trace);
        out.wait_until_ready(trace);
        out
    }

    /// Waits until every control instance counts towards the quorum.
    ///
    /// Until then, the crash of one control instance may cost the others the quorum.
    fn wait_for_voters(&self, voters: usize) {
        let startup_deadline = Instant::now() + STARTUP_TIMEOUT;
        for node in &self.controls {
            let (_, control) = node
                .running
                .as_ref()
                .expect("control instances run during startup");
            while control.shared().driver.status().membership.voters.len() < voters {
                assert!(
                    Instant::now() < startup_deadline,
                    "not all control instances became voters in time"
                );
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }

    /// Submits a ticket repeatedly until it is applied.
    fn apply_ticket(&self, ticket: &Ticket) {
        let startup_deadline = Instant::now() + STARTUP_TIMEOUT;
        loop {
            let body = CommandBody::Ticket(Box::new(ticket.clone()));
            let (runtime, control) = self.controls[0]
                .running
                .as_ref()
                .expect("control instances run during startup");
            match runtime.block_on(control.shared().submit(body, true)) {
                Ok(Reply::Verdict(Verdict::Applied { .. })) => return,
                other if Instant::now() > startup_deadline => {
                    panic!("the ticket was not applied in time: {other:?}")
                }
                _ => std::thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// Starts the stand-in engines and services of a trace.
    fn start_targets(&mut self, trace: &Trace) {
        let gates = self.gate_addresses();
        let mut engine_number = 0;
        for spec in &trace.engines {
            for _ in 0..spec.count {
                engine_number += 1;
                let mut settings = EngineSettings::new(
                    format!("engine-{engine_number}"),
                    spec.zone.clone(),
                    MODEL,
                    spec.layers,
                    gates.clone(),
                    TARGET_TOKEN,
                );
                settings.tokens_per_s = spec.tokens_per_s;
                settings.token_interval_ms = spec.token_interval_ms;
                settings.slots = spec.slots;
                settings.poison.clone_from(&spec.poison);
                self.start_engine(settings);
            }
        }
        for spec in &trace.services {
            for _ in 0..spec.count {
                let name = format!("service-{}", self.services.len() + 1);
                let zone = spec.zone.clone();
                let mut settings =
                    ServiceSettings::new(name, SERVICE, zone, gates.clone(), TARGET_TOKEN);
                settings.delay_ms = spec.delay_ms;
                self.services.push(
                    StandinService::start(settings).expect("a stand-in service can be started"),
                );
            }
        }
    }

    fn start_engine(&mut self, settings: EngineSettings) {
        let name = settings.name.clone();
        let engine =
            StandinEngine::start(settings.clone()).expect("a stand-in engine can be started");
        self.engines.insert(name.clone(), engine);
        self.engine_settings.insert(name, settings);
    }

    /// Waits until every gate is configured and sees every target as ready.
    ///
    /// A gate is configured once it has received the first numbered configuration change, ticket 1.
    fn wait_until_ready(&self, trace: &Trace) {
        let engines: usize = trace.engines.iter().map(|spec| spec.count).sum();
        let targets = engines + self.services.len();
        let startup_deadline = Instant::now() + STARTUP_TIMEOUT;
        for gate in self.running_gates() {
            loop {
                let view = gate.shared().view();
                let ready = view
                    .records()
                    .filter(|r| r.condition.accepts_work())
                    .count();
                drop(view);
                if ready == targets && gate.shared().revision().is_some_and(|r| r.0 > 0) {
                    break;
                }
                assert!(
                    Instant::now() < startup_deadline,
                    "only {ready} of {targets} targets became ready in time"
                );
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }

    fn running_gates(&self) -> impl Iterator<Item = &Gate> {
        self.gates
            .iter()
            .filter_map(|node| node.running.as_ref().map(|(_, gate)| gate))
    }

    /// Returns the gates' addresses for callers, which stay the same across restarts.
    pub fn gate_addresses(&self) -> Vec<SocketAddr> {
        self.gates.iter().map(|node| node.settings.listen).collect()
    }

    /// Returns the engine with the given name.
    ///
    /// # Panics
    ///
    /// Panics if the trace has no such engine.
    pub fn engine(&mut self, name: &str) -> &mut StandinEngine {
        self.engines
            .get_mut(name)
            .unwrap_or_else(|| panic!("the trace has no engine `{name}`"))
    }

    /// Returns all engines, ordered by name.
    pub fn engines(&mut self) -> impl Iterator<Item = &mut StandinEngine> {
        self.engines.values_mut()
    }

    /// Crashes all engines in an availability zone.
    pub fn kill_zone(&mut self, zone: &str) {
        for (name, settings) in &self.engine_settings {
            if &*settings.zone == zone
                && let Some(engine) = self.engines.get_mut(name)
            {
                engine.kill();
            }
        }
    }

    /// Restarts a crashed engine under the same name.
    pub fn restart_engine(&mut self, name: &str) {
        let settings = self.engine_settings[name].clone();
        self.start_engine(settings);
    }

    /// Crashes the target of the plain service with the given name.
    pub fn kill_service(&mut self, name: &str) {
        let index: usize = parse_number(name.trim_start_matches("service-"));
        self.services[index - 1].kill();
    }

    /// Returns the bodies of all requests that the plain service has executed.
    pub fn bookings_run(&self) -> Vec<Box<str>> {
        let runs = self.services.iter().flat_map(StandinService::runs);
        runs.map(|run| run.body).collect()
    }

    /// Returns the processor time used by the live threads of all gates, in seconds.
    ///
    /// The time of threads that have ended, as those of a crashed gate, is not included. The result
    /// is 0 on systems without `/proc`.
    pub fn gate_cpu_s(&self) -> f64 {
        let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
            return 0.0;
        };
        let stats = tasks
            .flatten()
            .filter_map(|task| std::fs::read_to_string(task.path().join("stat")).ok());
        let ticks = stats.filter_map(|stat| {
            let (head, tail) = stat.rsplit_once(") ")?;
            let fields: Vec<&str> = tail.split(' ').collect();
            let cpu_ticks =
                fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
            head.ends_with(&format!("({GATE_THREAD_NAME}"))
                .then_some(cpu_ticks)
        });
        ticks.sum::<u64>() as f64 / CLOCK_TICKS_PER_S
    }

    /// Returns the number of requests in flight at all engines.
    pub fn running_at_engines(&self) -> u32 {
        self.engines.values().map(StandinEngine::in_flight).sum()
    }

    /// Crashes a gate, which breaks all its connections at once.
    pub fn kill_gate(&mut self, index: usize) {
        if let Some((runtime, gate)) = self.gates[index].running.take() {
            runtime.shutdown_background();
            drop(gate);
        }
    }

    /// Starts the graceful shutdown of a gate, which continues in the background.
    pub fn stop_gate(&mut self, index: usize) {
        if let Some((runtime, gate)) = self.gates[index].running.take() {
            self.stopping_gates.push(std::thread::spawn(move || {
                runtime.block_on(gate.stop());
                runtime.shutdown_background();
            }));
        }
    }

    /// Restarts a crashed or stopped gate.
    pub fn restart_gate(&mut self, index: usize) {
        self.gates[index].start();
    }

    /// Crashes a control instance.
    pub fn kill_control(&mut self, index: usize) {
        self.controls[index].kill();
    }

    /// Restarts a crashed control instance with its existing data folder.
    pub fn restart_control(&mut self, index: usize) {
        self.controls[index].start();
    }

    /// Returns the index of the leading control instance, if there is a leader.
    pub fn leading_control(&self) -> Option<usize> {
        self.controls.iter().position(|node| {
            node.running.as_ref().is_some_and(|(_, control)| {
                let driver = &control.shared().driver;
                driver.leader() == Some(driver.replica())
            })
        })
    }

    /// Submits a command to one control instance and waits until it is committed.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`toucanshelf_control::Shared::submit`], and
    /// [`SubmitError::NotTaken`] if the control instance isn't running.
    pub fn submit(&self, control: usize, body: CommandBody) -> Result<Reply, SubmitError> {
        match &self.controls[control].running {
            Some((runtime, control)) => runtime.block_on(control.shared().submit(body, true)),
            None => Err(SubmitError::NotTaken("the instance does not run".into())),
        }
    }

    /// Returns the control instance with the given index if it is running.
    pub fn control(&self, index: usize) -> Option<&Control> {
        self.controls[index]
            .running
            .as_ref()
            .map(|(_, control)| control)
    }

    /// Returns the gate with the given index if it is running.
    pub fn gate(&self, index: usize) -> Option<&Gate> {
        self.gates[index].running.as_ref().map(|(_, gate)| gate)
    }

    /// Deletes the data folder of a control instance that isn't running.
    pub fn remove_control_data(&mut self, index: usize) {
        let folder = &self.controls[index].settings.data_folder;
        std::fs::remove_dir_all(folder).expect("the data folder can be deleted");
    }

    /// Returns the first running gate.
    ///
    /// # Panics
    ///
    /// Panics if no gate is running.
    pub fn first_gate(&self) -> &Gate {
        self.running_gates()
            .next()
            .expect("at least one gate is running")
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for handle in std::mem::take(&mut self.stopping_gates) {
            let _ = handle.join();
        }
        for node in &mut self.gates {
            if let Some((runtime, gate)) = node.running.take() {
                runtime.shutdown_background();
                drop(gate);
            }
        }
        for node in &mut self.controls {
            node.kill();
        }
    }
}

/// Parses the number of a gate, control instance or target in a trace.
///
/// # Panics
///
/// Panics if `text` isn't a number.
pub fn parse_number(text: &str) -> usize {
    text.parse()
        .unwrap_or_else(|_| panic!("`{text}` is not a number"))
}
