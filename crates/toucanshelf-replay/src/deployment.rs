//! A whole deployment on loopback, inside this process.

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
    Addresses, Links, MODEL, SERVICE, TARGET_TOKEN, control_settings, gate_settings, ticket,
};
use crate::trace::Trace;

/// Time within which a deployment must be up.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Name of the threads of gates.
const GATE_THREAD: &str = "gate";
/// Clock ticks a second in the process table.
const TICKS_PER_S: f64 = 100.0;
/// Time between looks at a condition.
const POLL: Duration = Duration::from_millis(10);

fn new_runtime(name: &str) -> Runtime {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(name)
        .enable_all()
        .build();
    runtime.expect("the system can start threads")
}

#[derive(Debug)]
struct ControlNode {
    settings: ControlSettings,
    running: Option<(Runtime, Control)>,
}

impl ControlNode {
    fn start(&mut self) {
        let runtime = new_runtime("control");
        let due = Instant::now() + START_TIMEOUT;
        let control = loop {
            // The folder's lock and the ports are free a moment after a crash.
            match runtime.block_on(Control::start(self.settings.clone())) {
                Ok(control) => break control,
                Err(e) if Instant::now() > due => panic!("starting control: {e}"),
                Err(_) => std::thread::sleep(POLL),
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

#[derive(Debug)]
struct GateNode {
    settings: GateSettings,
    running: Option<(Runtime, Gate)>,
}

impl GateNode {
    fn start(&mut self) {
        let runtime = new_runtime(GATE_THREAD);
        let due = Instant::now() + START_TIMEOUT;
        let gate = loop {
            match runtime.block_on(Gate::start(self.settings.clone())) {
                Ok(gate) => break gate,
                Err(e) if Instant::now() > due => panic!("starting a gate: {e}"),
                Err(_) => std::thread::sleep(POLL),
            }
        };
        self.running = Some((runtime, gate));
    }
}

/// A whole deployment.
#[derive(Debug)]
pub struct Deployment {
    controls: Vec<ControlNode>,
    gates: Vec<GateNode>,
    engines: BTreeMap<Box<str>, StandinEngine>,
    engine_settings: BTreeMap<Box<str>, EngineSettings>,
    services: Vec<StandinService>,
    stopping: Vec<std::thread::JoinHandle<()>>,
    _folder: TempDir,
}

impl Deployment {
    /// Starts what `trace` deploys and waits until requests can run.
    pub fn start(trace: &Trace, planner: PlannerKind) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be made");
        let zones = trace.zones();
        let mut addresses = Addresses::new();
        let links = Links {
            controls: addresses.take_many(trace.controls),
            gates: addresses.take_many(trace.gates),
        };
        let mut controls: Vec<_> = (0..trace.controls)
            .map(|n| ControlNode {
                settings: control_settings(n, &zones, &links.controls, addresses.take(), &folder),
                running: None,
            })
            .collect();
        let mut gates: Vec<_> = (0..trace.gates)
            .map(|n| GateNode {
                settings: gate_settings(trace, n, planner, &zones, addresses.take(), &links),
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
            stopping: Vec::new(),
            _folder: folder,
        };
        out.wait_for_voters(trace.controls);
        out.apply_ticket(&ticket(trace));
        out.start_targets(trace);
        out.wait_until_ready(trace);
        out
    }

    /// Waits until every control instance votes; until then one that dies may end the quorum.
    fn wait_for_voters(&self, voters: usize) {
        let due = Instant::now() + START_TIMEOUT;
        for node in &self.controls {
            let (_, control) = node.running.as_ref().expect("control runs");
            while control.shared().driver.status().membership.voters.len() < voters {
                assert!(Instant::now() < due, "not all control instances vote");
                std::thread::sleep(POLL);
            }
        }
    }

    fn apply_ticket(&self, ticket: &Ticket) {
        let due = Instant::now() + START_TIMEOUT;
        loop {
            let body = CommandBody::Ticket(Box::new(ticket.clone()));
            let (runtime, control) = self.controls[0].running.as_ref().expect("control runs");
            match runtime.block_on(control.shared().submit(body, true)) {
                Ok(Reply::Verdict(Verdict::Applied { .. })) => return,
                other if Instant::now() > due => panic!("applying the ticket: {other:?}"),
                _ => std::thread::sleep(POLL),
            }
        }
    }

    fn start_targets(&mut self, trace: &Trace) {
        let gates = self.gate_addresses();
        let mut n = 0;
        for spec in &trace.engines {
            for _ in 0..spec.count {
                n += 1;
                let mut settings = EngineSettings::new(
                    format!("engine-{n}"),
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
                self.services
                    .push(StandinService::start(settings).expect("a service starts"));
            }
        }
    }

    fn start_engine(&mut self, settings: EngineSettings) {
        let name = settings.name.clone();
        let engine = StandinEngine::start(settings.clone()).expect("an engine starts");
        self.engines.insert(name.clone(), engine);
        self.engine_settings.insert(name, settings);
    }

    fn wait_until_ready(&self, trace: &Trace) {
        let engines: usize = trace.engines.iter().map(|spec| spec.count).sum();
        let targets = engines + self.services.len();
        let due = Instant::now() + START_TIMEOUT;
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
                    Instant::now() < due,
                    "{ready} of {targets} targets are ready"
                );
                std::thread::sleep(POLL);
            }
        }
    }

    fn running_gates(&self) -> impl Iterator<Item = &Gate> {
        self.gates
            .iter()
            .filter_map(|node| node.running.as_ref().map(|(_, gate)| gate))
    }

    /// Addresses for callers, in order of the gates; they stay the same over restarts.
    pub fn gate_addresses(&self) -> Vec<SocketAddr> {
        self.gates.iter().map(|node| node.settings.listen).collect()
    }

    /// Engine called `name`.
    pub fn engine(&mut self, name: &str) -> &mut StandinEngine {
        self.engines
            .get_mut(name)
            .unwrap_or_else(|| panic!("the trace has no engine `{name}`"))
    }

    /// All engines.
    pub fn engines(&mut self) -> impl Iterator<Item = &mut StandinEngine> {
        self.engines.values_mut()
    }

    /// Crashes all engines of a zone.
    pub fn kill_zone(&mut self, zone: &str) {
        for (name, settings) in &self.engine_settings {
            if &*settings.zone == zone
                && let Some(engine) = self.engines.get_mut(name)
            {
                engine.kill();
            }
        }
    }

    /// Starts a crashed engine anew under its old name.
    pub fn restart_engine(&mut self, name: &str) {
        let settings = self.engine_settings[name].clone();
        self.start_engine(settings);
    }

    /// Crashes a target of the plain service.
    pub fn kill_service(&mut self, name: &str) {
        let index: usize = number(name.trim_start_matches("service-"));
        self.services[index - 1].kill();
    }

    /// Calls that the plain service has run.
    pub fn bookings_run(&self) -> Vec<Box<str>> {
        let runs = self.services.iter().flat_map(StandinService::runs);
        runs.map(|run| run.body).collect()
    }

    /// Processor time that the threads of all gates have taken, in seconds.
    ///
    /// 0 where the system has no process table under `/proc`.
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
            let time =
                fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
            head.ends_with(&format!("({GATE_THREAD}")).then_some(time)
        });
        ticks.sum::<u64>() as f64 / TICKS_PER_S
    }

    /// Requests still running at engines.
    pub fn running_at_engines(&self) -> u32 {
        self.engines.values().map(StandinEngine::in_flight).sum()
    }

    /// Crashes a gate: every connection breaks at once.
    pub fn kill_gate(&mut self, index: usize) {
        if let Some((runtime, gate)) = self.gates[index].running.take() {
            runtime.shutdown_background();
            drop(gate);
        }
    }

    /// Asks a gate to stop; it finishes in the background.
    pub fn stop_gate(&mut self, index: usize) {
        if let Some((runtime, gate)) = self.gates[index].running.take() {
            self.stopping.push(std::thread::spawn(move || {
                runtime.block_on(gate.stop());
                runtime.shutdown_background();
            }));
        }
    }

    /// Starts a gate anew.
    pub fn restart_gate(&mut self, index: usize) {
        self.gates[index].start();
    }

    /// Crashes a control instance.
    pub fn kill_control(&mut self, index: usize) {
        self.controls[index].kill();
    }

    /// Starts a control instance anew on its old disk.
    pub fn restart_control(&mut self, index: usize) {
        self.controls[index].start();
    }

    /// Number of the control instance that leads, once there is one.
    pub fn leading_control(&self) -> Option<usize> {
        self.controls.iter().position(|node| {
            node.running.as_ref().is_some_and(|(_, control)| {
                let driver = &control.shared().driver;
                driver.leader() == Some(driver.replica())
            })
        })
    }

    /// Commits a command through one control instance.
    ///
    /// # Errors
    ///
    /// Fails as [`toucanshelf_control::Shared::submit`] does, or when the instance does not run.
    pub fn submit(&self, control: usize, body: CommandBody) -> Result<Reply, SubmitError> {
        match &self.controls[control].running {
            Some((runtime, control)) => runtime.block_on(control.shared().submit(body, true)),
            None => Err(SubmitError::NotTaken("the instance does not run".into())),
        }
    }

    /// Control instance `index`, while it runs.
    pub fn control(&self, index: usize) -> Option<&Control> {
        self.controls[index]
            .running
            .as_ref()
            .map(|(_, control)| control)
    }

    /// Gate `index`, while it runs.
    pub fn gate(&self, index: usize) -> Option<&Gate> {
        self.gates[index].running.as_ref().map(|(_, gate)| gate)
    }

    /// Removes the data folder of a control instance that does not run.
    pub fn empty_control(&mut self, index: usize) {
        let folder = &self.controls[index].settings.data_folder;
        std::fs::remove_dir_all(folder).expect("a data folder can be removed");
    }

    /// First gate that runs.
    pub fn first_gate(&self) -> &Gate {
        self.running_gates().next().expect("a gate runs")
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for handle in std::mem::take(&mut self.stopping) {
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

/// Reads the number of a gate or control instance in a trace.
pub fn number(text: &str) -> usize {
    text.parse()
        .unwrap_or_else(|_| panic!("`{text}` is no number"))
}
