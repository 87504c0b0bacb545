//! One run: faults, callers and an operator at once, then the promises.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use toucanshelf_replay::caller::RequestOutcome;

use crate::deployment::{Deployment, Slot};
use crate::load::{self, Seen};
use crate::operator::Operator;
use crate::plan::{Fault, Plan, Step};
use crate::proxy;

/// Time after which a state counts as never reached; far beyond every stated target.
const PATIENCE: Duration = Duration::from_mins(1);
/// Time between looks at a state.
const POLL: Duration = Duration::from_millis(100);

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Broken promises.
    pub broken: Vec<Box<str>>,
    /// Streams that were sent.
    pub streams: usize,
    /// Bookings that were sent.
    pub bookings: usize,
    /// Tickets that were acknowledged.
    pub tickets: u64,
}

/// Plays a plan with the programs in the folder `programs`.
///
/// # Errors
///
/// Fails when a program can't be started or signalled, which tells nothing about the promises.
pub async fn run(plan: &Plan, programs: &Path) -> io::Result<Findings> {
    let deployment = Arc::new(Deployment::start(programs).await?);
    let operator = Operator::new(programs, &deployment);
    let mut findings = Findings::default();
    let applied = until(|| operator.apply(1, &crate::deployment::first_ticket())).await?;
    if !applied {
        findings
            .broken
            .push("the first ticket is never acknowledged".into());
        return Ok(findings);
    }
    if let Some(unserved) = unserved(&deployment, "before the faults").await {
        findings.broken.push(unserved);
        return Ok(findings);
    }

    let stop = Arc::new(AtomicBool::new(false));
    let applying = {
        let (operator, stop) = (operator.clone(), Arc::clone(&stop));
        tokio::task::spawn_blocking(move || operator.apply_in_turn(2, &stop))
    };
    let calling = {
        let (deployment, stop) = (Arc::clone(&deployment), Arc::clone(&stop));
        tokio::spawn(async move { load::call(&deployment, stop).await })
    };
    let unclean = strike_all(&deployment, plan).await?;
    findings.broken.extend(unclean);

    findings
        .broken
        .extend(unserved(&deployment, "after the faults").await);
    stop.store(true, Ordering::Relaxed);
    let seen = calling.await.expect("the callers do not panic");
    let last = applying.await.expect("the operator does not panic")?;
    findings.streams = seen.streams.len();
    findings.bookings = seen.bookings.len();
    findings.tickets = last;
    findings.broken.extend(broken_answers(&seen, plan));
    findings.broken.extend(broken_bookings(&seen, &deployment));
    findings
        .broken
        .extend(broken_tickets(&operator, last).await?);
    Ok(findings)
}

/// Plays all faults; returns those gates' stops that were not clean.
async fn strike_all(deployment: &Arc<Deployment>, plan: &Plan) -> io::Result<Vec<Box<str>>> {
    let mut under_way = Vec::new();
    for step in &plan.steps {
        tokio::time::sleep(step.pause).await;
        let (deployment, step) = (Arc::clone(deployment), *step);
        under_way.push(tokio::spawn(async move { strike(&deployment, step).await }));
    }
    let mut unclean = Vec::new();
    for fault in under_way {
        unclean.extend(fault.await.expect("no fault panics")?);
    }
    Ok(unclean)
}

/// Brings one fault about and heals it; returns what was not clean about a planned stop.
async fn strike(deployment: &Deployment, step: Step) -> io::Result<Option<Box<str>>> {
    let length = step.length;
    match step.fault {
        Fault::KillControl(n) => restart(&deployment.controls[n], length, || Ok(())).await?,
        Fault::EmptyControl(n) => {
            let folder = deployment.data_folder(n);
            let empty = || std::fs::remove_dir_all(&folder);
            restart(&deployment.controls[n], length, empty).await?;
        }
        Fault::KillGate(n) => restart(&deployment.gates[n], length, || Ok(())).await?,
        Fault::PauseControl(n) => {
            let process = deployment.controls[n].process.lock().await;
            let process = process.as_ref().expect("it runs while nobody holds it");
            process.signal("-STOP")?;
            tokio::time::sleep(length).await;
            process.signal("-CONT")?;
        }
        Fault::StopGate(n) => return stop_gate(&deployment.gates[n]).await,
        Fault::ReloadGate(n) => {
            let process = deployment.gates[n].process.lock().await;
            let process = process.as_ref().expect("it runs while nobody holds it");
            process.signal("-HUP")?;
        }
        Fault::Path(n, path) => {
            deployment.paths[n].set_path(path);
            tokio::time::sleep(length).await;
            deployment.paths[n].set_path(proxy::Path::Open);
        }
        Fault::Reset(n) => deployment.paths[n].reset(),
    }
    Ok(None)
}

/// Kills a program, does `meanwhile` and starts it again after `length`.
async fn restart(
    slot: &Slot,
    length: Duration,
    meanwhile: impl FnOnce() -> io::Result<()>,
) -> io::Result<()> {
    let mut process = slot.process.lock().await;
    process
        .as_mut()
        .expect("it runs while nobody holds it")
        .kill()?;
    meanwhile()?;
    tokio::time::sleep(length).await;
    *process = Some(tokio::task::block_in_place(|| slot.start())?);
    Ok(())
}

/// Stops a gate as planned and starts it again.
async fn stop_gate(slot: &Slot) -> io::Result<Option<Box<str>>> {
    let mut process = slot.process.lock().await;
    let running = process.as_mut().expect("it runs while nobody holds it");
    running.signal("-TERM")?;
    let status = tokio::task::block_in_place(|| running.wait())?;
    *process = Some(tokio::task::block_in_place(|| slot.start())?);
    let unclean = format!("a gate that was asked to stop ended with {status}");
    Ok((!status.success()).then(|| unclean.into()))
}

/// Waits until streams and bookings are answered whole; returns how the last ended if they never are.
async fn unserved(deployment: &Deployment, when: &str) -> Option<Box<str>> {
    let due = Instant::now() + PATIENCE;
    let mut tries = 0;
    loop {
        tries += 1;
        let [stream, booking] = load::probe(deployment, &format!("{when}, try {tries}")).await;
        if [stream, booking] == [RequestOutcome::Complete; 2] {
            return None;
        }
        if Instant::now() >= due {
            let last = format!("{when} a stream ends as {stream:?}, a booking as {booking:?}");
            return Some(last.into());
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Waits until `reached`; returns whether it ever was.
async fn until(mut reached: impl FnMut() -> io::Result<bool>) -> io::Result<bool> {
    let due = Instant::now() + PATIENCE;
    while Instant::now() < due {
        if tokio::task::block_in_place(&mut reached)? {
            return Ok(true);
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(false)
}

fn broken_answers(seen: &Seen, plan: &Plan) -> Vec<Box<str>> {
    let mut broken: Vec<Box<str>> = Vec::new();
    for stream in &seen.streams {
        if stream.mismatched || stream.extra_tokens > 0 {
            broken.push("a caller got another answer than its own, or parts of it twice".into());
        }
    }
    let streams = seen.streams.iter().map(|stream| stream.outcome);
    let bookings = seen
        .bookings
        .iter()
        .flat_map(|booking| booking.endings.iter().copied());
    for ending in streams.chain(bookings) {
        match ending {
            RequestOutcome::Lost => broken.push("an answer never told how it ended".into()),
            RequestOutcome::CutOff if !plan.kills_gates() => {
                broken.push("an answer was cut off though no gate was killed".into());
            }
            _ => {}
        }
    }
    broken
}

fn broken_bookings(seen: &Seen, deployment: &Deployment) -> Vec<Box<str>> {
    let mut runs: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for run in deployment.service.runs() {
        let body: serde_json::Value = serde_json::from_str(&run.body).unwrap_or_default();
        let text = body["assignment"].as_str().unwrap_or_default();
        *runs.entry(text.into()).or_default() += 1;
    }
    let mut broken: Vec<Box<str>> = Vec::new();
    for booking in &seen.bookings {
        let (key, endings) = (&booking.key, &booking.endings);
        let ran = runs.get(key).copied().unwrap_or_default();
        if ran > 1 {
            broken.push(format!("`{key}` ran {ran} times").into());
        }
        if ran == 0 && endings.contains(&RequestOutcome::Complete) {
            broken.push(format!("`{key}` was answered and never ran").into());
        }
        if ran > 0
            && endings
                .iter()
                .all(|ending| *ending == RequestOutcome::NotRun)
        {
            broken.push(format!("`{key}` ran and was said not to have run").into());
        }
    }
    broken
}

async fn broken_tickets(operator: &Operator, last: u64) -> io::Result<Vec<Box<str>>> {
    let mut broken: Vec<Box<str>> = Vec::new();
    for number in 1..=last {
        if !until(|| Ok(operator.revision(number)?.is_some())).await? {
            broken.push(format!("ticket {number} was acknowledged and is gone").into());
        }
    }
    if !until(|| operator.is_everywhere(last)).await? {
        broken.push(format!("ticket {last} is not in force at every gate").into());
    }
    if !until(|| operator.conflicts(last)).await? {
        broken.push(format!("ticket {last} was replaced under its number").into());
    }
    Ok(broken)
}
