//! Announcements and draining of targets, and distribution of their membership records.
//!
//! A target is an engine, or a server of a plain service, which runs no model. It announces itself
//! to a gate, which grants it a lease and keeps a membership record of its availability. The gates
//! exchange these records. A draining target finishes its requests and gets no new ones.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use toucanshelf_coordination::membership::{AnnounceError, Condition};
use toucanshelf_core::configuration::Configuration;
use toucanshelf_core::document::{Object, ObjectKey, ObjectKind};
use toucanshelf_core::names::NameError;
use toucanshelf_core::outcome::{Code, Refusal};
use toucanshelf_core::target::{Announcement, TargetPhase, TargetRole};
use toucanshelf_link::frame::{Frame, TargetRecord};

use crate::fleets::canonical_name;
use crate::shared::Shared;

/// Number of times that a target should renew its lease within the lease's duration.
const RENEWALS_PER_LEASE: u64 = 3;

/// Response to an accepted announcement.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct LeaseGranted {
    /// Name of the target, as announced.
    pub name: Box<str>,
    /// Name of the gate that holds the lease.
    pub gate: Box<str>,
    /// Time after which the lease expires, in milliseconds.
    pub lease_ms: u64,
    /// Time after which the target should renew the lease, in milliseconds.
    pub renew_after_ms: u64,
}

/// Processes the announcement of a target and grants or renews its lease.
///
/// # Errors
///
/// Fails if the gate is stopping, a value is invalid, a name is ambiguous or the layers exceed
/// those of the model. It also fails if the announcement conflicts with the target's known record.
pub fn announce(
    shared: &Arc<Shared>,
    mut announcement: Announcement,
) -> Result<LeaseGranted, Refusal> {
    if shared.is_stopping() {
        return Err(Refusal::not_run(Code::NotReady, "this gate is stopping"));
    }
    announcement
        .check()
        .map_err(|detail| Refusal::not_run(Code::BadRequest, detail))?;
    check_names(shared.active_configuration().configuration(), &announcement)?;
    let name = announcement.name.clone();
    let condition = match announcement.phase {
        TargetPhase::Ready => Condition::Ready,
        TargetPhase::Draining => Condition::Draining,
        TargetPhase::Left => Condition::Left,
    };
    let incarnation = announcement.incarnation.0;
    // The membership record stores the phase separately, as its condition. The announcement in the
    // record therefore always has the phase `Ready`.
    announcement.phase = TargetPhase::Ready;
    let same_address = |a: &Announcement, b: &Announcement| a.address == b.address;
    let now = shared.now();
    let changed = shared
        .view()
        .announce(
            now,
            &name,
            incarnation,
            condition,
            announcement,
            same_address,
        )
        .map_err(|e| announce_refusal(&name, &e))?;
    if let Some(record) = changed {
        tracing::info!(event = "TS3401", target = %name, condition = ?record.condition, "target record changed");
        publish_changes(shared, vec![record]);
    }
    let lease_ms = shared.settings.lease_ms;
    let gate = shared.settings.name.clone();
    Ok(LeaseGranted {
        name,
        gate,
        lease_ms,
        renew_after_ms: lease_ms / RENEWALS_PER_LEASE,
    })
}

fn announce_refusal(name: &str, error: &AnnounceError) -> Refusal {
    Refusal::not_run(Code::Conflict, format!("announcing {name}: {error}"))
}

/// Checks that an engine's names are unambiguous and its layers fit the model.
///
/// Names that the configuration does not contain are accepted. The gate uses the engine once a
/// ticket adds its model.
fn check_names(configuration: &Configuration, announcement: &Announcement) -> Result<(), Refusal> {
    let TargetRole::Engine { model, layers, .. } = &announcement.role else {
        return Ok(());
    };
    let resolved = configuration.resolve(ObjectKind::Model, model);
    if let Ok(id) = &resolved
        && let Some(Object::Model(object)) =
            configuration.get(&ObjectKey::new(ObjectKind::Model, id.clone()))
        && layers.to() > object.layers
    {
        let detail = format!(
            "layers {layers} exceed the {} layers of {id}",
            object.layers
        );
        return Err(Refusal::not_run(Code::BadRequest, detail));
    }
    for error in [
        resolved.err(),
        configuration
            .resolve(ObjectKind::Engine, &announcement.name)
            .err(),
    ] {
        if let Some(e @ NameError::Ambiguous { .. }) = error {
            let refusal = Refusal::not_run(Code::AmbiguousName, e.to_string());
            return Err(refusal.with_candidates(e.candidates()));
        }
    }
    Ok(())
}

/// Drains a target at the request of an operator and returns its canonical name.
///
/// # Errors
///
/// Fails if the name is ambiguous, or if the target is unknown, lost or has left.
pub fn drain(shared: &Arc<Shared>, given: &str) -> Result<Box<str>, Refusal> {
    let resolved = shared
        .active_configuration()
        .configuration()
        .resolve(ObjectKind::Engine, given);
    let name: Box<str> = match resolved {
        Ok(name) => name,
        Err(NameError::Unknown { .. }) => given.into(),
        Err(e) => {
            let refusal = Refusal::not_run(Code::AmbiguousName, e.to_string());
            return Err(refusal.with_candidates(e.candidates()));
        }
    };
    let now = shared.now();
    let announced = announced_names(shared, &name);
    if announced.is_empty() {
        return Err(Refusal::not_run(
            Code::UnknownName,
            format!("no target `{given}` is there"),
        ));
    }
    let changed = {
        let mut view = shared.view();
        let records = announced.iter();
        records
            .filter_map(|name| view.set_condition(now, name, Condition::Draining))
            .collect()
    };
    publish_changes(shared, changed);
    Ok(name)
}

/// Returns the announced names of the targets with this canonical id.
///
/// Targets that are lost or have left are omitted.
fn announced_names(shared: &Shared, canonical: &str) -> Vec<Box<str>> {
    let view = shared.view();
    let active = shared.active_configuration();
    let configuration = active.configuration();
    let present = view.records().filter(|record| !record.condition.is_gone());
    let matching = present.filter(|record| {
        let is_engine = matches!(record.payload.role, TargetRole::Engine { .. });
        let name = &record.name;
        **name == *canonical || is_engine && &*canonical_name(configuration, name) == canonical
    });
    matching.map(|record| record.name.clone()).collect()
}

/// Applies records that this gate changed and sends them to the other gates.
pub fn publish_changes(shared: &Arc<Shared>, records: Vec<TargetRecord>) {
    if records.is_empty() {
        return;
    }
    update_fleets(shared, &records);
    shared.gossip.broadcast(&Frame::Records { records });
}

/// Updates the fleets and the number of ready targets after records have changed.
///
/// The fleets group engines by model and other targets by service.
pub fn update_fleets(shared: &Arc<Shared>, records: &[TargetRecord]) {
    {
        let active = shared.active_configuration();
        let mut fleets = shared.fleets();
        for record in records {
            fleets.sync(active.configuration(), record);
        }
    }
    let ready = shared
        .view()
        .records()
        .filter(|record| record.condition.accepts_work())
        .count();
    shared.metrics.targets_ready.set(ready as i64);
}
