//! Replays a trace with its load and faults.
//!
//! Throughput is measured only during a part of the replay, the measurement window. A booking is a
//! request that must not be executed twice.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use toucanshelf_gate::settings::PlannerKind;

use crate::bound;
use crate::caller::{Call, Caller, Observation};
use crate::deployment::{Deployment, parse_number};
use crate::results::Results;
use crate::trace::{FaultKind, FaultSpec, LoadKind, LoadSpec, Trace};

/// Fraction of the load's duration that passes before the measurement window.
///
/// Half of this fraction is left after the window.
const WINDOW_MARGIN_FRACTION: f64 = 0.2;
/// Time that engines get after the replay to notice that callers have disconnected.
const CANCELLATION_GRACE: Duration = Duration::from_millis(1_500);

/// Replays a trace with the given planner and returns the results.
pub fn replay(trace: &Trace, planner: PlannerKind) -> Results {
    let mut deployment = Deployment::start(trace, planner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("threads can be started");
    let started = Instant::now();
    let (tx, rx) = mpsc::unbounded_channel();
    let caller = Arc::new(Caller::new(deployment.gate_addresses()));
    for load in &trace.loads {
        runtime.spawn(replay_load(
            load.clone(),
            Arc::clone(&caller),
            started,
            tx.clone(),
        ));
    }
    drop(tx);
    let collector = runtime.spawn(collect_observations(rx));
    let mut crash_signals: Vec<_> = deployment
        .engines()
        .filter_map(|engine| Some((engine.name().into(), engine.take_crash_receiver()?)))
        .collect();
    let mut faults = trace.faults.clone();
    faults.sort_by_key(|fault| fault.at_ms);
    let mut faults = faults.into_iter().peekable();
    let mut engines_crashed = 0;
    while !collector.is_finished() || faults.peek().is_some() {
        engines_crashed += kill_crashed_engines(&mut deployment, &mut crash_signals);
        let elapsed_ms = started.elapsed().as_millis() as u64;
        while let Some(fault) = faults.next_if(|fault| fault.at_ms <= elapsed_ms) {
            inject_fault(&mut deployment, &fault);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    let observations = runtime
        .block_on(collector)
        .expect("the collector does not panic");
    if trace.expect.left_running.is_some() {
        std::thread::sleep(CANCELLATION_GRACE);
    }
    summarise(
        trace,
        planner,
        &deployment,
        &observations,
        started,
        engines_crashed,
    )
}

/// Computes the results from the callers' observations and the state of the deployment.
fn summarise(
    trace: &Trace,
    planner: PlannerKind,
    deployment: &Deployment,
    observations: &[Observation],
    started: Instant,
    engines_crashed: usize,
) -> Results {
    let bookings = deployment.bookings_run();
    let mut distinct = bookings.clone();
    distinct.sort_unstable();
    distinct.dedup();
    let mut results = Results {
        name: trace.name.clone(),
        planner: format!("{planner:?}").to_lowercase().into(),
        bound_tokens_per_s: surviving_throughput_bound(trace),
        bookings_run: bookings.len(),
        duplicated: bookings.len() - distinct.len(),
        engines_crashed,
        left_running: deployment.running_at_engines(),
        gate_cpu_s: deployment.gate_cpu_s(),
        ..Results::default()
    };
    results.aggregate(observations, started, measurement_window(trace));
    results
}

/// Returns the throughput bound of the engines that no fault crashes, in tokens per second.
fn surviving_throughput_bound(trace: &Trace) -> f64 {
    let killed = |name: &str| {
        trace
            .faults
            .iter()
            .any(|fault| fault.kind == FaultKind::KillEngine && &*fault.what == name)
    };
    let zone_killed = |zone: &str| {
        trace
            .faults
            .iter()
            .any(|fault| fault.kind == FaultKind::KillZone && &*fault.what == zone)
    };
    let mut zones = Vec::new();
    for spec in &trace.engines {
        zones.extend((0..spec.count).map(|_| spec.zone.clone()));
    }
    bound::throughput_bound(trace, |name| {
        let index = parse_number(name.trim_start_matches("engine-")) - 1;
        !killed(name) && !zone_killed(&zones[index])
    })
}

/// Returns the measurement window as times since the start of the replay.
///
/// The window lies in the middle of the load. It starts after the last fault, with a delay of at
/// least a tenth of the load's duration.
fn measurement_window(trace: &Trace) -> [Duration; 2] {
    let load_end_ms = trace
        .loads
        .iter()
        .map(|load| load.at_ms + load.duration_ms)
        .max()
        .unwrap_or(0);
    let fault_times_ms = trace.faults.iter().map(|fault| fault.at_ms);
    let start_ms = (load_end_ms as f64 * WINDOW_MARGIN_FRACTION) as u64;
    let start_ms = fault_times_ms.fold(start_ms, |start_ms, fault_ms| {
        start_ms.max(fault_ms + load_end_ms / 10)
    });
    let end_ms = ((load_end_ms as f64) * (1.0 - WINDOW_MARGIN_FRACTION / 2.0)) as u64;
    [
        Duration::from_millis(start_ms),
        Duration::from_millis(end_ms.max(start_ms)),
    ]
}

/// Receives observations until all callers have finished.
async fn collect_observations(mut rx: mpsc::UnboundedReceiver<Observation>) -> Vec<Observation> {
    let mut out = Vec::new();
    while let Some(observation) = rx.recv().await {
        out.push(observation);
    }
    out
}

/// Sends the requests of one load, on a schedule or from concurrent clients.
async fn replay_load(
    load: LoadSpec,
    caller: Arc<Caller>,
    started: Instant,
    tx: mpsc::UnboundedSender<Observation>,
) {
    let start = started + Duration::from_millis(load.at_ms);
    tokio::time::sleep_until(start.into()).await;
    if load.clients > 0 {
        let end = start + Duration::from_millis(load.duration_ms);
        for client in 0..load.clients {
            tokio::spawn(replay_client(
                load.clone(),
                caller.clone(),
                client,
                end,
                tx.clone(),
            ));
        }
        return;
    }
    for n in 0..load.count {
        let due = start + Duration::from_millis(load.every_ms * n as u64);
        tokio::time::sleep_until(due.into()).await;
        tokio::spawn(replay_request(load.clone(), caller.clone(), n, tx.clone()));
    }
}

/// Sends requests one after another, each after the response to the last.
///
/// It stops at `end`, or earlier after `load.count` requests.
async fn replay_client(
    load: LoadSpec,
    caller: Arc<Caller>,
    client: usize,
    end: Instant,
    tx: mpsc::UnboundedSender<Observation>,
) {
    for n in 0..load.count {
        if Instant::now() >= end {
            return;
        }
        replay_request(
            load.clone(),
            caller.clone(),
            client * load.count + n,
            tx.clone(),
        )
        .await;
    }
}

/// Sends one chat completion, or one non-idempotent `POST` as often as `load.sends` says.
async fn replay_request(
    load: LoadSpec,
    caller: Arc<Caller>,
    n: usize,
    tx: mpsc::UnboundedSender<Observation>,
) {
    let number = n.to_string();
    let call = Call {
        organisation: load.organisation.clone(),
        text: load.prompt.replace("{n}", &number).into(),
        max_tokens: load.max_tokens,
        key: load.key.replace("{n}", &number).into(),
        hang_up_after: load.hang_up_after,
    };
    let gate = load.gate.unwrap_or(n);
    match load.kind {
        LoadKind::Chat => drop(tx.send(caller.chat(&call, gate).await)),
        LoadKind::Booking => {
            for send in 0..load.sends {
                if send > 0 {
                    tokio::time::sleep(Duration::from_millis(load.resend_after_ms)).await;
                }
                drop(tx.send(caller.book(&call, gate + send).await));
            }
        }
    }
}

/// Engines that a prompt can crash, with the channels that signal such a crash.
type CrashSignals = Vec<(Box<str>, mpsc::Receiver<()>)>;

/// Shuts down the engines that a prompt has crashed and returns their number.
///
/// Such an engine only signals the crash; this function then kills it.
fn kill_crashed_engines(deployment: &mut Deployment, crash_signals: &mut CrashSignals) -> usize {
    let before = crash_signals.len();
    crash_signals.retain_mut(|(name, crash_rx)| {
        let has_crashed = crash_rx.try_recv().is_ok();
        if has_crashed {
            deployment.engine(name).kill();
        }
        !has_crashed
    });
    before - crash_signals.len()
}

/// Injects a fault into the deployment.
fn inject_fault(deployment: &mut Deployment, fault: &FaultSpec) {
    let what = &*fault.what;
    tracing::info!(event = "TS9101", kind = ?fault.kind, what, "injecting a fault");
    match fault.kind {
        FaultKind::KillEngine => deployment.engine(what).kill(),
        FaultKind::FreezeEngine => deployment.engine(what).set_frozen(true),
        FaultKind::ThawEngine => deployment.engine(what).set_frozen(false),
        FaultKind::DrainEngine => deployment.engine(what).drain(),
        FaultKind::RestartEngine => deployment.restart_engine(what),
        FaultKind::KillZone => deployment.kill_zone(what),
        FaultKind::KillService => deployment.kill_service(what),
        FaultKind::KillGate => deployment.kill_gate(parse_number(what)),
        FaultKind::StopGate => deployment.stop_gate(parse_number(what)),
        FaultKind::RestartGate => deployment.restart_gate(parse_number(what)),
        FaultKind::KillControl => {
            let index = match what {
                "leader" => deployment
                    .leading_control()
                    .expect("the control instances have a leader"),
                other => parse_number(other),
            };
            deployment.kill_control(index);
        }
        FaultKind::RestartControl => deployment.restart_control(parse_number(what)),
    }
}
