//! Runs a plan under load and checks the guarantees of the system afterwards.
//!
//! The load consists of streams and bookings. A stream is a chat completion whose tokens arrive one
//! by one, and a booking is a non-idempotent `POST` that is sent more than once under one
//! idempotency key. Meanwhile an operator applies tickets, which are numbered changes of the
//! configuration. A violation is a sentence that describes a guarantee that did not hold.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use toucanshelf_replay::caller::RequestOutcome;

use crate::deployment::{Deployment, ManagedProgram};
use crate::load::{self, Observations};
use crate::operator::Operator;
use crate::plan::{Fault, Plan, Step};
use crate::proxy;

/// Longest time to wait for a condition, such as the recovery from the faults.
// It is far longer than every recovery time that the project states as an objective.
const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);
/// Time between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Result of running one plan.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// All violations that were found; empty if the run passed.
    pub violations: Vec<Box<str>>,
    /// Number of streams that the callers sent.
    pub streams: usize,
    /// Number of non-idempotent `POST` calls of the callers, without repetitions.
    pub bookings: usize,
    /// Number of tickets that control acknowledged as applied.
    pub tickets: u64,
}

/// Runs a plan with the programs in the folder `programs`.
///
/// # Errors
///
/// Fails when a program can't be started or signalled. A violated guarantee is not an error but is
/// listed in the report.
pub async fn run(plan: &Plan, programs: &Path) -> io::Result<RunReport> {
    let deployment = Arc::new(Deployment::start(programs).await?);
    let operator = Operator::new(programs, &deployment);
    let mut report = RunReport::default();
    let applied = wait_until(|| operator.apply(1, &crate::deployment::first_ticket())).await?;
    if !applied {
        report
            .violations
            .push("the first ticket was not acknowledged in time".into());
        return Ok(report);
    }
    if let Some(violation) = wait_until_served(&deployment, "before the faults").await {
        report.violations.push(violation);
        return Ok(report);
    }

    let stop = Arc::new(AtomicBool::new(false));
    let operator_task = {
        let (operator, stop) = (operator.clone(), Arc::clone(&stop));
        tokio::task::spawn_blocking(move || operator.apply_sequence(2, &stop))
    };
    let callers_task = {
        let (deployment, stop) = (Arc::clone(&deployment), Arc::clone(&stop));
        tokio::spawn(async move { load::run_callers(&deployment, stop).await })
    };
    let unclean_stops = inject_all(&deployment, plan).await?;
    report.violations.extend(unclean_stops);

    report
        .violations
        .extend(wait_until_served(&deployment, "after the faults").await);
    stop.store(true, Ordering::Relaxed);
    let observations = callers_task.await.expect("the callers do not panic");
    let last = operator_task.await.expect("the operator does not panic")?;
    report.streams = observations.streams.len();
    report.bookings = observations.bookings.len();
    report.tickets = last;
    report
        .violations
        .extend(response_violations(&observations, plan));
    report
        .violations
        .extend(booking_violations(&observations, &deployment));
    report
        .violations
        .extend(ticket_violations(&operator, last).await?);
    Ok(report)
}

/// Injects all faults of a plan.
///
/// Returns a violation for each gate that was asked to stop and exited with a failure.
async fn inject_all(deployment: &Arc<Deployment>, plan: &Plan) -> io::Result<Vec<Box<str>>> {
    let mut running_faults = Vec::new();
    for step in &plan.steps {
        tokio::time::sleep(step.delay).await;
        let (deployment, step) = (Arc::clone(deployment), *step);
        running_faults.push(tokio::spawn(async move { inject(&deployment, step).await }));
    }
    let mut unclean_stops = Vec::new();
    for fault in running_faults {
        unclean_stops.extend(fault.await.expect("no fault panics")?);
    }
    Ok(unclean_stops)
}

/// Injects the fault of one step and ends it after the step's duration.
///
/// Returns a violation if a gate was asked to stop and exited with a failure.
async fn inject(deployment: &Deployment, step: Step) -> io::Result<Option<Box<str>>> {
    let duration = step.duration;
    match step.fault {
        Fault::KillControl(n) => restart(&deployment.controls[n], duration, || Ok(())).await?,
        Fault::EmptyControl(n) => {
            let folder = deployment.data_folder(n);
            let delete_data = || std::fs::remove_dir_all(&folder);
            restart(&deployment.controls[n], duration, delete_data).await?;
        }
        Fault::KillGate(n) => restart(&deployment.gates[n], duration, || Ok(())).await?,
        Fault::PauseControl(n) => {
            let process = deployment.controls[n].process.lock().await;
            let process = process
                .as_ref()
                .expect("the program runs while no fault holds its lock");
            process.signal("-STOP")?;
            tokio::time::sleep(duration).await;
            process.signal("-CONT")?;
        }
        Fault::StopGate(n) => return stop_gate(&deployment.gates[n]).await,
        Fault::ReloadGate(n) => {
            let process = deployment.gates[n].process.lock().await;
            let process = process
                .as_ref()
                .expect("the program runs while no fault holds its lock");
            process.signal("-HUP")?;
        }
        Fault::Path(n, mode) => {
            deployment.control_proxies[n].set_mode(mode);
            tokio::time::sleep(duration).await;
            deployment.control_proxies[n].set_mode(proxy::ForwardMode::Open);
        }
        Fault::Reset(n) => deployment.control_proxies[n].reset(),
    }
    Ok(None)
}

/// Kills a program, calls `while_stopped` and restarts the program after `duration`.
async fn restart(
    program: &ManagedProgram,
    duration: Duration,
    while_stopped: impl FnOnce() -> io::Result<()>,
) -> io::Result<()> {
    let mut process = program.process.lock().await;
    process
        .as_mut()
        .expect("the program runs while no fault holds its lock")
        .kill()?;
    while_stopped()?;
    tokio::time::sleep(duration).await;
    *process = Some(tokio::task::block_in_place(|| program.start())?);
    Ok(())
}

/// Asks a gate to stop with `SIGTERM` and restarts it once it has exited.
///
/// Returns a violation if the gate exited with a failure.
async fn stop_gate(program: &ManagedProgram) -> io::Result<Option<Box<str>>> {
    let mut process = program.process.lock().await;
    let running = process
        .as_mut()
        .expect("the program runs while no fault holds its lock");
    running.signal("-TERM")?;
    let status = tokio::task::block_in_place(|| running.wait())?;
    *process = Some(tokio::task::block_in_place(|| program.start())?);
    let violation = format!("a gate that was asked to stop exited with a failure: {status}");
    Ok((!status.success()).then(|| violation.into()))
}

/// Sends a stream and a non-idempotent `POST` repeatedly until both complete.
///
/// Returns a violation with the last outcomes if that takes longer than [`CONDITION_TIMEOUT`].
async fn wait_until_served(deployment: &Deployment, when: &str) -> Option<Box<str>> {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    let mut tries = 0;
    loop {
        tries += 1;
        let [stream, booking] = load::probe(deployment, &format!("{when}, try {tries}")).await;
        if [stream, booking] == [RequestOutcome::Complete; 2] {
            return None;
        }
        if Instant::now() >= deadline {
            let violation = format!(
                "{when}, the last stream ended as {stream:?}, the last booking as {booking:?}"
            );
            return Some(violation.into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Checks `condition` every [`POLL_INTERVAL`] until it is true.
///
/// Returns false if that takes longer than [`CONDITION_TIMEOUT`].
async fn wait_until(mut condition: impl FnMut() -> io::Result<bool>) -> io::Result<bool> {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while Instant::now() < deadline {
        if tokio::task::block_in_place(&mut condition)? {
            return Ok(true);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(false)
}

/// Checks that every response to a caller is correct and reports an outcome.
///
/// The connection may break during a response only if the plan kills a gate.
fn response_violations(observations: &Observations, plan: &Plan) -> Vec<Box<str>> {
    let mut violations: Vec<Box<str>> = Vec::new();
    for stream in &observations.streams {
        if stream.mismatched || stream.extra_tokens > 0 {
            violations.push("a caller received a wrong response, or parts of it twice".into());
        }
    }
    let streams = observations.streams.iter().map(|stream| stream.outcome);
    let bookings = observations
        .bookings
        .iter()
        .flat_map(|booking| booking.endings.iter().copied());
    for ending in streams.chain(bookings) {
        match ending {
            RequestOutcome::Lost => violations.push("a response ended without an outcome".into()),
            RequestOutcome::CutOff if !plan.kills_gates() => {
                violations.push("a response was cut off although no gate was killed".into());
            }
            _ => {}
        }
    }
    violations
}

/// Checks that no non-idempotent call ran twice and that reported outcomes are true.
///
/// The stand-in service records which calls ran.
fn booking_violations(observations: &Observations, deployment: &Deployment) -> Vec<Box<str>> {
    let mut runs: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for run in deployment.service.runs() {
        let body: serde_json::Value = serde_json::from_str(&run.body).unwrap_or_default();
        let text = body["assignment"].as_str().unwrap_or_default();
        *runs.entry(text.into()).or_default() += 1;
    }
    let mut violations: Vec<Box<str>> = Vec::new();
    for booking in &observations.bookings {
        let (key, endings) = (&booking.key, &booking.endings);
        let run_count = runs.get(key).copied().unwrap_or_default();
        if run_count > 1 {
            violations.push(format!("booking `{key}` ran {run_count} times").into());
        }
        if run_count == 0 && endings.contains(&RequestOutcome::Complete) {
            violations.push(format!("booking `{key}` was reported complete but never ran").into());
        }
        if run_count > 0
            && endings
                .iter()
                .all(|ending| *ending == RequestOutcome::NotRun)
        {
            violations.push(format!("booking `{key}` ran but was reported as not run").into());
        }
    }
    violations
}

/// Checks that control kept all acknowledged tickets, which are numbered up to `last`.
///
/// The last ticket must also be in force at every gate, and control must reject another ticket with
/// its number.
async fn ticket_violations(operator: &Operator, last: u64) -> io::Result<Vec<Box<str>>> {
    let mut violations: Vec<Box<str>> = Vec::new();
    for number in 1..=last {
        if !wait_until(|| Ok(operator.revision(number)?.is_some())).await? {
            violations.push(
                format!("ticket {number} was acknowledged but is not recorded as applied").into(),
            );
        }
    }
    if !wait_until(|| operator.is_in_force_at_all_gates(last)).await? {
        violations.push(format!("ticket {last} is not in force at every gate").into());
    }
    if !wait_until(|| operator.reports_conflict(last)).await? {
        violations.push(
            format!("different content under the number of ticket {last} did not conflict").into(),
        );
    }
    Ok(violations)
}
