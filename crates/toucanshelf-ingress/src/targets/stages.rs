//! Engines as stages of routes, with what they cost at the moment.

use toucanshelf_core::deployment::ModelSpec;
use toucanshelf_routing::hops::CandidateStage;

use super::{TRIAL_COST, Target, TargetKey};

/// How much the share of memory in use counts against an engine's layers.
const LOAD_COST: f64 = 2.0;
/// Share of memory in use above which an engine counts as nearly full.
const NEARLY_FULL: f64 = 0.7;
/// How much the share of memory beyond that counts.
const NEARLY_FULL_COST: f64 = 12.0;
/// Share of a first engine's slots that may be taken before another one is preferred.
const SLOTS_FREE: f64 = 0.5;
/// How much the share of slots beyond that counts, in milliseconds a token.
const SLOTS_COST: f64 = 30.0;

/// An engine as a stage of routes; none where it holds nothing that can be used.
pub(super) fn stage(
    model: &ModelSpec,
    key: TargetKey,
    target: &Target,
    now: u64,
    sharers: f64,
) -> Option<CandidateStage<TargetKey>> {
    let layers = target.record.layers?;
    if now < target.misplaced_until {
        return None;
    }
    let accelerator = model.accelerator(target.record.accelerator.as_deref()?)?;
    let room_mb = accelerator.memory_mb - f64::from(layers.len()) * model.layer_mb;
    let room = (room_mb / model.token_layer_mb()).max(1.0);
    let used = sharers * target.reserved / room;
    let load = LOAD_COST * used + NEARLY_FULL_COST * (used - NEARLY_FULL).max(0.0);
    let taken = sharers * f64::from(target.entered) / f64::from(model.slots.max(1));
    let step_ms = model.step_ms * accelerator.step_factor / f64::from(model.layers.max(1));
    Some(CandidateStage {
        key,
        zone: target.zone,
        layers,
        layer_cost: step_ms * (1.0 + load),
        first_cost: SLOTS_COST * (taken - SLOTS_FREE).max(0.0),
        entry_cost: if target.is_on_trial(now) {
            TRIAL_COST
        } else {
            0.0
        },
    })
}
