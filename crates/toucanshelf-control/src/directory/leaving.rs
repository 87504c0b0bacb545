//! Departures and drains of targets in the replicated log.
//!
//! A departure or drain is acknowledged once the log holds it, so that no restart of the control
//! instances makes them forget it. An instance that starts enters those of the log into its registry
//! and tells the ingresses, since the target itself sends no further heartbeat.

use std::sync::Arc;
use std::time::Duration;

use toucanshelf_core::leaving::LeavingTargets;
use toucanshelf_core::registration::Registration;
use toucanshelf_core::registry::RegistryChange;
use toucanshelf_core::state::CommandBody;
use toucanshelf_link::frame::SubmitError;

use crate::Shared;
use crate::directory::Directory;

/// Interval at which the leader looks whether all replicas can read the records.
const READERS_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Reason why a departure or drain isn't recorded, or may not be.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum RecordError {
    /// A replica may run an older program, which can't read a log with the record.
    #[error("a replica hasn't told yet whether it can read the record")]
    ReadersUnknown,
    /// The log hasn't confirmed the record.
    #[error(transparent)]
    Submit(#[from] SubmitError),
}

/// Commits a departure or drain to the replicated log, unless it holds that already.
///
/// Beside a replica of an older program, which can't read the record, nothing is committed.
///
/// # Errors
///
/// Fails if it isn't known that the record is committed; the call must not be acknowledged then.
pub(crate) async fn commit(shared: &Shared, record: &Registration) -> Result<(), RecordError> {
    let is_held = {
        let state = shared.driver.state();
        state.leaving().map(|leaving| leaving.holds(record))
    };
    match is_held {
        Some(true) => return Ok(()),
        Some(false) => {}
        // This instance has not applied the log yet, or nobody has begun to record.
        None => match is_read_by_all(shared) {
            Some(true) => {}
            Some(false) => return Ok(()),
            None => return Err(RecordError::ReadersUnknown),
        },
    }
    let records = vec![record.clone()];
    let body = CommandBody::RecordLeaving { records };
    shared.submit(body, true).await?;
    Ok(())
}

/// Returns whether all replicas can read the records, if all have told.
///
/// The result is `Some(false)` as soon as one has told that it can't.
fn is_read_by_all(shared: &Shared) -> Option<bool> {
    let others = shared.driver.other_replicas();
    shared.peers.all_read(&others, |readable| readable.leaving)
}

/// Commits that departures and drains are recorded, as soon as all replicas can read that.
///
/// Without this, an instance couldn't record any after a restart as long as another one is lost.
pub(crate) async fn begin_records(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(READERS_CHECK_INTERVAL);
    while shared.driver.state().leaving().is_none() {
        ticks.tick().await;
        let leads = shared.driver.leader() == Some(shared.driver.replica());
        if !leads || is_read_by_all(&shared) != Some(true) {
            continue;
        }
        let records = Vec::new();
        let body = CommandBody::RecordLeaving { records };
        // If it fails, the next leader or the next tick tries again.
        if shared.submit(body, false).await.is_ok() {
            tracing::info!(
                event = "TS2531",
                "departures and drains are recorded from now on"
            );
        }
    }
}

/// Enters the departures and drains of the log into the registry, and tells the ingresses.
pub(crate) async fn follow_log(shared: Arc<Shared>) {
    let Some(directory) = &shared.directory else {
        return;
    };
    let mut counts = shared.driver.leaving_counts();
    let mut entered = 0;
    loop {
        counts.borrow_and_update();
        let records: Vec<_> = {
            let state = shared.driver.state();
            let newer = state.leaving().map(|leaving| leaving.after(entered));
            let newer = newer.into_iter().flatten().cloned().collect();
            entered = state.leaving().map_or(0, LeavingTargets::count);
            newer
        };
        enter(directory, records);
        // The sender is dropped with the state that all tasks share.
        if counts.changed().await.is_err() {
            return;
        }
    }
}

/// Enters registrations of leaving targets, and tells the ingresses of those that weren't known.
fn enter(directory: &Directory, mut records: Vec<Registration>) {
    records.retain(|record| directory.apply_registration(record) == RegistryChange::Changed);
    if !records.is_empty() {
        directory.ingresses.push_registrations(&records);
        tracing::info!(
            event = "TS2532",
            targets = records.len(),
            "departures or drains learnt from the log"
        );
    }
}
