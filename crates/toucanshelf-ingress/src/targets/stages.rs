//! Converts engines into stages for routing, with their current costs.

use toucanshelf_core::deployment::ModelSpec;
use toucanshelf_routing::hops::CandidateStage;

use super::{PROBATION_COST, Target, TargetKey};

/// Relative increase of an engine's layer cost per share of memory in use.
const MEMORY_COST: f64 = 2.0;
/// Share of memory in use above which an engine counts as nearly full.
const NEARLY_FULL_SHARE: f64 = 0.7;
/// Relative increase of the layer cost per share of memory above [`NEARLY_FULL_SHARE`].
const NEARLY_FULL_COST: f64 = 12.0;
/// Share of a first engine's slots that may be in use at no cost.
const FREE_SLOT_SHARE: f64 = 0.5;
/// Cost per share of slots above [`FREE_SLOT_SHARE`], in milliseconds per token.
const SLOT_SHARE_COST: f64 = 30.0;

/// Converts an engine into a stage; `None` if it holds no usable layers.
///
/// `zone_ingresses` scales the load of this ingress up to that of all in its zone.
pub(super) fn stage(
    model: &ModelSpec,
    key: TargetKey,
    target: &Target,
    now: u64,
    zone_ingresses: f64,
) -> Option<CandidateStage<TargetKey>> {
    let layers = target.record.layers?;
    if now < target.missing_layers_until {
        return None;
    }
    let accelerator = model.accelerator(target.record.accelerator.as_deref()?)?;
    let free_mb = accelerator.memory_mb - f64::from(layers.len()) * model.layer_mb;
    let capacity_token_layers = (free_mb / model.token_layer_mb()).max(1.0);
    let memory_share = zone_ingresses * target.reserved_token_layers / capacity_token_layers;
    let load =
        MEMORY_COST * memory_share + NEARLY_FULL_COST * (memory_share - NEARLY_FULL_SHARE).max(0.0);
    let slot_share =
        zone_ingresses * f64::from(target.first_hop_requests) / f64::from(model.slots.max(1));
    let step_ms = model.step_ms * accelerator.step_factor / f64::from(model.layers.max(1));
    Some(CandidateStage {
        key,
        zone: target.zone,
        layers,
        layer_cost: step_ms * (1.0 + load),
        first_cost: SLOT_SHARE_COST * (slot_share - FREE_SLOT_SHARE).max(0.0),
        entry_cost: if target.is_on_probation(now) {
            PROBATION_COST
        } else {
            0.0
        },
    })
}
