//! Announcements of targets and what follows from a changed record.

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

/// Announcements that a target makes within one lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// Answer to an announcement.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct LeaseGranted {
    /// Canonical name of the target.
    pub name: Box<str>,
    /// Gate that holds the lease.
    pub gate: Box<str>,
    /// Time after which the lease ends, in milliseconds.
    pub lease_ms: u64,
    /// Time after which the target should announce itself again, in milliseconds.
    pub renew_after_ms: u64,
}

/// Takes an announcement.
///
/// # Errors
///
/// Fails when a bound is not met, a name is ambiguous, the layers don't fit the model or another
/// start of the target is known.
pub fn announce(shared: &Arc<Shared>, mut given: Announcement) -> Result<LeaseGranted, Refusal> {
    if shared.is_stopping() {
        return Err(Refusal::not_run(Code::NotReady, "this gate is stopping"));
    }
    given
        .check()
        .map_err(|what| Refusal::not_run(Code::BadRequest, what))?;
    check_names(shared.in_force().configuration(), &given)?;
    let name = given.name.clone();
    let condition = match given.phase {
        TargetPhase::Ready => Condition::Ready,
        TargetPhase::Draining => Condition::Draining,
        TargetPhase::Left => Condition::Left,
    };
    let incarnation = given.incarnation.0;
    // The phase stands in the record's condition.
    given.phase = TargetPhase::Ready;
    let same = |a: &Announcement, b: &Announcement| a.address == b.address;
    let now = shared.now();
    let changed = shared
        .view()
        .announce(now, &name, incarnation, condition, given, same)
        .map_err(|e| announce_refusal(&name, &e))?;
    if let Some(record) = changed {
        tracing::info!(event = "TS3401", target = %name, condition = ?record.condition, "target announced");
        spread(shared, vec![record]);
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

/// Checks that the names of an engine are not ambiguous and its layers fit the model.
///
/// Names that no ticket knows yet are taken; the engine is used once a ticket names its model.
fn check_names(configuration: &Configuration, given: &Announcement) -> Result<(), Refusal> {
    let TargetRole::Engine { model, layers, .. } = &given.role else {
        return Ok(());
    };
    let resolved = configuration.resolve(ObjectKind::Model, model);
    if let Ok(id) = &resolved
        && let Some(Object::Model(object)) =
            configuration.get(&ObjectKey::new(ObjectKind::Model, id.clone()))
        && layers.to() > object.layers
    {
        let what = format!(
            "layers {layers} exceed the {} layers of {id}",
            object.layers
        );
        return Err(Refusal::not_run(Code::BadRequest, what));
    }
    for error in [
        resolved.err(),
        configuration.resolve(ObjectKind::Engine, &given.name).err(),
    ] {
        if let Some(e @ NameError::Ambiguous { .. }) = error {
            let refusal = Refusal::not_run(Code::AmbiguousName, e.to_string());
            return Err(refusal.with_candidates(e.candidates()));
        }
    }
    Ok(())
}

/// Drains a target for an operator.
///
/// # Errors
///
/// Fails when the target is unknown or gone.
pub fn drain(shared: &Arc<Shared>, given: &str) -> Result<Box<str>, Refusal> {
    let resolved = shared
        .in_force()
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
    spread(shared, changed);
    Ok(name)
}

/// Names under which the target with this canonical id has announced itself.
fn announced_names(shared: &Shared, canonical: &str) -> Vec<Box<str>> {
    let view = shared.view();
    let in_force = shared.in_force();
    let configuration = in_force.configuration();
    let there = view.records().filter(|record| !record.condition.is_gone());
    let same = there.filter(|record| {
        let is_engine = matches!(record.payload.role, TargetRole::Engine { .. });
        let name = &record.name;
        **name == *canonical || is_engine && &*canonical_name(configuration, name) == canonical
    });
    same.map(|record| record.name.clone()).collect()
}

/// Applies records that changed here and tells the other gates.
pub fn spread(shared: &Arc<Shared>, records: Vec<TargetRecord>) {
    if records.is_empty() {
        return;
    }
    apply(shared, &records);
    shared.gossip.broadcast(&Frame::Records { records });
}

/// Brings the fleets in line with changed records.
pub fn apply(shared: &Arc<Shared>, records: &[TargetRecord]) {
    {
        let in_force = shared.in_force();
        let mut fleets = shared.fleets();
        for record in records {
            fleets.sync(in_force.configuration(), record);
        }
    }
    let ready = shared
        .view()
        .records()
        .filter(|record| record.condition.accepts_work())
        .count();
    shared.metrics.targets_ready.set(ready as i64);
}
