//! Plays a trace.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use toucanshelf_gate::settings::PlannerKind;

use crate::bound;
use crate::caller::{Call, Caller, Sighting};
use crate::deployment::{Deployment, number};
use crate::results::Results;
use crate::trace::{FaultKind, FaultSpec, LoadKind, LoadSpec, Trace};

/// Share of a timed run that is left out at its start and end when throughput is measured.
const WINDOW_MARGIN: f64 = 0.2;
/// Time that engines have at the end to notice that nobody reads any more.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Plays a trace with the given planner.
pub fn replay(trace: &Trace, planner: PlannerKind) -> Results {
    let mut deployment = Deployment::start(trace, planner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the system can start threads");
    let started = Instant::now();
    let (tx, rx) = mpsc::unbounded_channel();
    let caller = Arc::new(Caller::new(deployment.gate_addresses()));
    for load in &trace.loads {
        runtime.spawn(play_load(
            load.clone(),
            Arc::clone(&caller),
            started,
            tx.clone(),
        ));
    }
    drop(tx);
    let collector = runtime.spawn(collect(rx));
    let mut crashes: Vec<_> = deployment
        .engines()
        .filter_map(|engine| Some((engine.name().into(), engine.take_crash_receiver()?)))
        .collect();
    let mut faults = trace.faults.clone();
    faults.sort_by_key(|fault| fault.at_ms);
    let mut faults = faults.into_iter().peekable();
    let mut engines_down = 0;
    while !collector.is_finished() || faults.peek().is_some() {
        engines_down += take_crashes(&mut deployment, &mut crashes);
        let at = started.elapsed().as_millis() as u64;
        while let Some(fault) = faults.next_if(|fault| fault.at_ms <= at) {
            cause(&mut deployment, &fault);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    let sightings = runtime
        .block_on(collector)
        .expect("the collector does not panic");
    if trace.expect.left_running.is_some() {
        std::thread::sleep(SETTLE);
    }
    summarise(
        trace,
        planner,
        &deployment,
        &sightings,
        started,
        engines_down,
    )
}

fn summarise(
    trace: &Trace,
    planner: PlannerKind,
    deployment: &Deployment,
    sightings: &[Sighting],
    started: Instant,
    crashed: usize,
) -> Results {
    let bookings = deployment.bookings_run();
    let mut distinct = bookings.clone();
    distinct.sort_unstable();
    distinct.dedup();
    let mut results = Results {
        name: trace.name.clone(),
        planner: format!("{planner:?}").to_lowercase().into(),
        bound_tokens_per_s: remaining_bound(trace),
        bookings_run: bookings.len(),
        duplicated: bookings.len() - distinct.len(),
        engines_crashed: crashed,
        left_running: deployment.running_at_engines(),
        gate_cpu_s: deployment.gate_cpu_s(),
        ..Results::default()
    };
    results.collect(sightings, started, window(trace));
    results
}

/// Bound of the engines that stay up over the whole run.
fn remaining_bound(trace: &Trace) -> f64 {
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
    bound::tokens_per_s(trace, |name| {
        let index = number(name.trim_start_matches("engine-")) - 1;
        !killed(name) && !zone_killed(&zones[index])
    })
}

/// Part of the run over which throughput is measured: the middle, and after the last fault.
fn window(trace: &Trace) -> [Duration; 2] {
    let longest = trace
        .loads
        .iter()
        .map(|load| load.at_ms + load.duration_ms)
        .max()
        .unwrap_or(0);
    let faults = trace.faults.iter().map(|fault| fault.at_ms);
    let start = (longest as f64 * WINDOW_MARGIN) as u64;
    let start = faults.fold(start, |start, at| start.max(at + longest / 10));
    let end = ((longest as f64) * (1.0 - WINDOW_MARGIN / 2.0)) as u64;
    [
        Duration::from_millis(start),
        Duration::from_millis(end.max(start)),
    ]
}

async fn collect(mut rx: mpsc::UnboundedReceiver<Sighting>) -> Vec<Sighting> {
    let mut out = Vec::new();
    while let Some(sighting) = rx.recv().await {
        out.push(sighting);
    }
    out
}

async fn play_load(
    load: LoadSpec,
    caller: Arc<Caller>,
    started: Instant,
    tx: mpsc::UnboundedSender<Sighting>,
) {
    let start = started + Duration::from_millis(load.at_ms);
    tokio::time::sleep_until(start.into()).await;
    if load.clients > 0 {
        let end = start + Duration::from_millis(load.duration_ms);
        for client in 0..load.clients {
            tokio::spawn(play_client(
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
        tokio::spawn(play_request(load.clone(), caller.clone(), n, tx.clone()));
    }
}

async fn play_client(
    load: LoadSpec,
    caller: Arc<Caller>,
    client: usize,
    end: Instant,
    tx: mpsc::UnboundedSender<Sighting>,
) {
    for n in 0..load.count {
        if Instant::now() >= end {
            return;
        }
        play_request(
            load.clone(),
            caller.clone(),
            client * load.count + n,
            tx.clone(),
        )
        .await;
    }
}

async fn play_request(
    load: LoadSpec,
    caller: Arc<Caller>,
    n: usize,
    tx: mpsc::UnboundedSender<Sighting>,
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

type Crashes = Vec<(Box<str>, mpsc::Receiver<()>)>;

/// Crashes the engines whose prompt asked for it; returns how many.
fn take_crashes(deployment: &mut Deployment, crashes: &mut Crashes) -> usize {
    let before = crashes.len();
    crashes.retain_mut(|(name, crashed)| {
        let crashes = crashed.try_recv().is_ok();
        if crashes {
            deployment.engine(name).kill();
        }
        !crashes
    });
    before - crashes.len()
}

fn cause(deployment: &mut Deployment, fault: &FaultSpec) {
    let what = &*fault.what;
    tracing::info!(event = "TS9101", kind = ?fault.kind, what, "fault");
    match fault.kind {
        FaultKind::KillEngine => deployment.engine(what).kill(),
        FaultKind::FreezeEngine => deployment.engine(what).set_frozen(true),
        FaultKind::ThawEngine => deployment.engine(what).set_frozen(false),
        FaultKind::DrainEngine => deployment.engine(what).drain(),
        FaultKind::RestartEngine => deployment.restart_engine(what),
        FaultKind::KillZone => deployment.kill_zone(what),
        FaultKind::KillService => deployment.kill_service(what),
        FaultKind::KillGate => deployment.kill_gate(number(what)),
        FaultKind::StopGate => deployment.stop_gate(number(what)),
        FaultKind::RestartGate => deployment.restart_gate(number(what)),
        FaultKind::KillControl => {
            let index = match what {
                "leader" => deployment
                    .leading_control()
                    .expect("a control instance leads"),
                other => number(other),
            };
            deployment.kill_control(index);
        }
        FaultKind::RestartControl => deployment.restart_control(number(what)),
    }
}
