//! Computes the cost of each engine for the search of the cheapest route.
//!
//! An engine is a target that holds a range of a model's layers. A route is the sequence of engines
//! on which a request runs, and a stage is an engine as a possible part of a route. Costs are in
//! milliseconds per token.

use toucanshelf_core::deployment::{Accelerator, ModelSpec};
use toucanshelf_core::layers::LayerRange;
use toucanshelf_routing::hops::CandidateStage;
use toucanshelf_routing::load_exchange::AssumedLoad;

use super::{PROBATION_COST, Target, TargetKey};

/// Factor by which an engine's layer cost rises with its memory in use.
///
/// The share of the engine's request memory that is in use, from 0 to 1, times this factor is the
/// relative increase of the layer cost.
const MEMORY_COST: f64 = 2.0;
/// Share of request memory in use above which an engine counts as nearly full.
const NEARLY_FULL_SHARE: f64 = 0.7;
/// Factor for the additional layer cost of an engine that is nearly full.
///
/// If the share of request memory in use exceeds [`NEARLY_FULL_SHARE`], the excess times this
/// factor is added to the relative increase of the layer cost.
const NEARLY_FULL_COST: f64 = 12.0;
/// Share of a first engine's slots that may be in use at no cost.
///
/// Each request occupies one slot of the first engine of its route. An engine has a fixed number of
/// slots.
const FREE_SLOT_SHARE: f64 = 0.5;
/// Factor for the cost of slots in use above [`FREE_SLOT_SHARE`].
///
/// The share of slots in use minus that share, times this factor, is the cost in milliseconds per
/// token.
const SLOT_SHARE_COST: f64 = 30.0;

/// Returns the tokens times layers of requests for which an engine with these layers has memory.
pub(super) fn capacity_token_layers(
    model: &ModelSpec,
    accelerator: &Accelerator,
    layers: LayerRange,
) -> f64 {
    let free_mb = accelerator.memory_mb - f64::from(layers.len()) * model.layer_mb;
    (free_mb / model.token_layer_mb()).max(1.0)
}

/// Returns an engine's layers and costs as a stage for the route search.
///
/// Returns `None` if the engine has no usable layers or the model doesn't list its accelerator.
///
/// `assumed` is the load of the engine by the requests of all ingresses.
pub(super) fn stage(
    model: &ModelSpec,
    key: TargetKey,
    target: &Target,
    now: u64,
    assumed: &AssumedLoad,
) -> Option<CandidateStage<TargetKey>> {
    let layers = target.record.layers?;
    if now < target.missing_layers_until {
        return None;
    }
    let accelerator = model.accelerator(target.record.accelerator.as_deref()?)?;
    let memory_share = assumed.token_layers / capacity_token_layers(model, accelerator, layers);
    let load =
        MEMORY_COST * memory_share + NEARLY_FULL_COST * (memory_share - NEARLY_FULL_SHARE).max(0.0);
    let slot_share = assumed.first_requests / f64::from(model.slots.max(1));
    let step_ms = model.step_ms * accelerator.step_factor / f64::from(model.layers.max(1));
    Some(CandidateStage {
        key,
        zone: target.zone,
        layers,
        layer_cost: step_ms * (1.0 + load),
        first_cost: (now >= target.deferred_until())
            .then(|| SLOT_SHARE_COST * (slot_share - FREE_SLOT_SHARE).max(0.0)),
        entry_cost: if target.is_on_probation(now) {
            PROBATION_COST
        } else {
            0.0
        },
    })
}
