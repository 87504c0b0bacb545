//! Placement of model layers on engines.
//!
//! Each availability zone holds the whole model if its accelerators have enough memory. One copy
//! goes to the fastest engines that leave enough memory for requests. The other engines replicate
//! layers where that lowers the cost most: where capacity is short, where the loss of one engine
//! would leave a gap, or where only slow engines hold a layer. Later, an engine changes its layers
//! only to close a gap or if the gain outweighs the cost of loading.
//!
//! In this module, a gap is a range of layers that no engine of a group holds, and a move assigns
//! another range to one engine. The gain of a move is the reduction of the placement's cost, which
//! `coverage.rs` defines. The token capacity of an engine is the number of tokens of requests for
//! which it has memory in each of its layers, besides the memory for the layers themselves.
//!
//! ```
//! use toucanshelf_routing::placement::{EngineProfile, ModelShape, Repartitioning, plan};
//!
//! let shape = ModelShape {
//!     layers: 8,
//!     layer_mb: 10.0,
//!     token_layer_mb: 0.01,
//!     slots: 64,
//!     entry_weight: 1.0,
//!     typical_tokens: 1_000.0,
//! };
//! let engine = |memory_mb| EngineProfile {
//!     zone: 0,
//!     memory_mb,
//!     step_factor: 1.0,
//!     held: None,
//!     loading: false,
//! };
//! let assignments = plan(&shape, &[engine(120.0), engine(60.0)], Repartitioning::Allowed);
//! let held: Vec<_> = assignments.into_iter().flatten().collect();
//! let holds = |layer| held.iter().any(|range| range.from() <= layer && layer < range.to());
//! assert!((0..8).all(holds));
//! ```

mod coverage;
mod partition;

use toucanshelf_core::layers::LayerRange;

use coverage::{Candidate, Coverage};
use partition::{balanced_partition, best_partition};

/// Minimum token capacity of an engine that takes layers of an adjacent gap.
///
/// It is a share of [`Group::token_capacity`].
const EXTENSION_CAPACITY_SHARE: f64 = 0.3;
/// Typical requests for which each engine of a complete group has memory at least.
///
/// All requests of a group pass each layer, so that an engine with less would hold up all of them.
const MIN_TYPICAL_REQUESTS: f64 = 16.0;
/// Minimum gain of a move that closes no gap.
///
/// It is a share of the cost of the placement. A move has a price: the engine serves no layers
/// while it waits for its requests and loads.
const MIN_MOVE_GAIN_SHARE: f64 = 0.04;

/// Dimensions of a model that determine how much memory it needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelShape {
    /// Number of layers of the model.
    pub layers: u32,
    /// Memory that the weights of one layer need, in megabytes.
    pub layer_mb: f64,
    /// Memory that one token of a request needs in one layer, in megabytes.
    pub token_layer_mb: f64,
    /// Number of requests that a route's first engine can run at once.
    pub slots: u32,
    /// Number of tokens that a request typically keeps in memory.
    pub typical_tokens: f64,
    /// Weight of a shortage of slots on first engines, relative to one of memory on others.
    ///
    /// The higher it is, the more engines hold the first layers. At 1 both weigh the same.
    pub entry_weight: f64,
}

/// Memory, speed and current layers of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Number of the engine's availability zone.
    pub zone: u16,
    /// Memory for layers and requests together, in megabytes.
    pub memory_mb: f64,
    /// Time that the engine takes to compute one token in one layer.
    ///
    /// It is relative to that of a reference engine, so a higher value means a slower engine.
    pub step_factor: f64,
    /// Layers that the engine holds or was last ordered to hold.
    pub held: Option<LayerRange>,
    /// Whether the engine has yet to load layers that it was ordered to hold.
    pub loading: bool,
}

/// Whether closing a gap may change the layers of all engines of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repartitioning {
    /// All layers may be divided anew among the engines.
    Allowed,
    /// Only moves of single engines are allowed; a gap may remain open.
    Deferred,
}

/// Returns the layers that each engine should hold, in the order of `engines`.
///
/// The result depends only on the arguments. An engine keeps its layers unless another range closes
/// a gap or lowers the cost enough. Only one engine of a group at a time moves to lower the cost,
/// and the next waits until no engine of the group is loading. A group is a zone, or all zones that
/// are too small for the whole model.
pub fn plan(
    shape: &ModelShape,
    engines: &[EngineProfile],
    repartitioning: Repartitioning,
) -> Vec<Option<LayerRange>> {
    let mut assignments: Vec<_> = engines.iter().map(|engine| engine.held).collect();
    for members in groups(shape, engines) {
        let partition = best_partition(shape, engines, &members);
        let mut group = Group {
            coverage: Coverage::new(shape, engines, &members),
            shape,
            engines,
            members: &members,
            assignments: &mut assignments,
            token_capacity: partition
                .as_ref()
                .map_or(0.0, |partition| partition.token_capacity),
            partition: partition
                .map(|partition| partition.ranges)
                .unwrap_or_default(),
        };
        group.place(repartitioning);
    }
    assignments
}

/// Groups engines by zone; zones too small for the whole model share one group.
///
/// A group is a list of indices of `engines`.
fn groups(shape: &ModelShape, engines: &[EngineProfile]) -> Vec<Vec<usize>> {
    let mut zones: Vec<u16> = engines.iter().map(|engine| engine.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut complete = Vec::new();
    let mut incomplete = Vec::new();
    for zone in zones {
        let members: Vec<_> = (0..engines.len())
            .filter(|i| engines[*i].zone == zone)
            .collect();
        let refs: Vec<_> = members.iter().map(|i| &engines[*i]).collect();
        if shape.can_serve(shape.balanced_token_capacity(&refs)) {
            complete.push(members);
        } else {
            incomplete.extend(members);
        }
    }
    complete.push(incomplete);
    complete
}

impl ModelShape {
    /// Returns whether engines with this balanced capacity hold the whole model and serve requests.
    fn can_serve(&self, balanced_capacity: Option<f64>) -> bool {
        let least = MIN_TYPICAL_REQUESTS * self.typical_tokens;
        balanced_capacity.is_some_and(|tokens| tokens >= least)
    }
}

/// A group of engines that should hold every layer among them.
struct Group<'a> {
    coverage: Coverage<'a>,
    shape: &'a ModelShape,
    engines: &'a [EngineProfile],
    members: &'a [usize],
    assignments: &'a mut [Option<LayerRange>],
    /// Range of layers for each engine of this group, by index in `engines`.
    ///
    /// These ranges are assigned only if no engine of the group holds layers or was ordered to. The
    /// list is empty if the engines of the group cannot hold the whole model.
    partition: Vec<(usize, LayerRange)>,
    /// Token capacity that each engine has with the ranges of `partition`.
    token_capacity: f64,
}

impl Group<'_> {
    fn place(&mut self, repartitioning: Repartitioning) {
        if self.members.iter().all(|i| self.assignments[*i].is_none()) {
            for (i, range) in &self.partition {
                self.assignments[*i] = Some(*range);
            }
            self.assign_unassigned();
            return;
        }
        self.assign_unassigned();
        if !self.shape.can_serve(self.coverage.balanced_capacity) {
            // Routes through other groups serve better than engines without memory for requests, and
            // the engines that are missing may return.
            return;
        }
        self.close_gaps();
        if self.first_gap().is_some() && repartitioning == Repartitioning::Allowed {
            self.repartition();
        }
        if self.members.iter().all(|i| !self.engines[*i].loading) {
            self.apply_best_move();
        }
    }

    /// Assigns layers to the engines that hold none.
    ///
    /// The engine with the most memory comes first. Each gets the range that lowers the cost most.
    fn assign_unassigned(&mut self) {
        let unassigned = self
            .members
            .iter()
            .filter(|i| self.assignments[**i].is_none());
        let mut unassigned: Vec<_> = unassigned.copied().collect();
        unassigned.sort_by(|a, b| {
            let (a, b) = (&self.engines[*a], &self.engines[*b]);
            b.memory_mb.total_cmp(&a.memory_mb)
        });
        for i in unassigned {
            let candidate = self.coverage.best_candidate(self.assignments, i, None);
            self.assignments[i] = candidate.map(|candidate| candidate.range);
        }
    }

    /// Assigns the layers that no engine of the group holds.
    ///
    /// If possible, an engine gets another range that covers the first of these layers and lowers
    /// the cost. Otherwise, the range of an engine next to the gap is extended.
    fn close_gaps(&mut self) {
        // Each iteration assigns at least one layer that no engine holds, so one iteration per
        // layer is enough unless a reassigned engine was the only holder of other layers. Layers
        // that remain without a holder are left to the next call of `plan`.
        for _ in 0..self.shape.layers {
            let Some(gap) = self.first_gap() else { return };
            if let Some((i, candidate)) = self.best_move(Some(gap.from())) {
                self.assignments[i] = Some(candidate.range);
            } else if !self.extend_into(gap) {
                return;
            }
        }
    }

    /// Number of engines of the group that hold each layer.
    fn holders(&self) -> Vec<u32> {
        let mut out = vec![0; self.shape.layers as usize];
        for range in self.members.iter().filter_map(|i| self.assignments[*i]) {
            for layer in range.from()..range.to().min(self.shape.layers) {
                out[layer as usize] += 1;
            }
        }
        out
    }

    /// Extends the range of an engine next to a gap by one layer.
    ///
    /// Chooses the adjacent engine that has memory for the most additional layers. Returns false if
    /// no adjacent engine has memory for one.
    fn extend_into(&mut self, gap: LayerRange) -> bool {
        let token_capacity = EXTENSION_CAPACITY_SHARE * self.token_capacity;
        let neighbours = self.members.iter().copied().filter_map(|i| {
            let range = self.assignments[i]?;
            let max_layers = self.shape.layer_capacity(&self.engines[i], token_capacity);
            let free = max_layers.checked_sub(range.len())?;
            let adjacent = range.to() == gap.from() || range.from() == gap.to();
            (adjacent && free > 0).then_some((free, i, range))
        });
        let Some((_, i, range)) = neighbours.max_by_key(|(free, ..)| *free) else {
            return false;
        };
        // Only one layer is added per call, so that engines on both sides can extend into the gap.
        self.assignments[i] = if range.to() == gap.from() {
            LayerRange::new(range.from(), range.to() + 1).ok()
        } else {
            LayerRange::new(range.from() - 1, range.to()).ok()
        };
        true
    }

    /// Divides all layers anew among the engines of the group.
    ///
    /// The engines keep their order along the layers.
    fn repartition(&mut self) {
        let mut order = self.members.to_vec();
        order.sort_by_key(|i| self.assignments[*i].map_or(0, LayerRange::from));
        let partition = balanced_partition(self.shape, self.engines, &order);
        for (i, range) in partition.into_iter().flatten() {
            self.assignments[i] = Some(range);
        }
    }

    /// Applies the move with the largest gain if the gain is large enough.
    ///
    /// [`MIN_MOVE_GAIN_SHARE`] sets the minimum.
    fn apply_best_move(&mut self) {
        let min_gain = MIN_MOVE_GAIN_SHARE * self.coverage.total(self.assignments);
        if let Some((i, candidate)) = self.best_move(None)
            && candidate.gain >= min_gain
        {
            self.assignments[i] = Some(candidate.range);
        }
    }

    /// Returns the move with the largest gain: an engine and its new range.
    ///
    /// If `covering` is given, only ranges that include this layer are considered.
    fn best_move(&self, covering: Option<u32>) -> Option<(usize, Candidate)> {
        let candidates = self.members.iter().filter_map(|i| {
            let candidate = self
                .coverage
                .best_candidate(self.assignments, *i, covering)?;
            Some((*i, candidate))
        });
        candidates.max_by(|a, b| a.1.gain.total_cmp(&b.1.gain))
    }

    /// First range of layers that no engine of the group holds.
    fn first_gap(&self) -> Option<LayerRange> {
        let holders = self.holders();
        let from = holders.iter().position(|count| *count == 0)?;
        let uncovered = holders[from..].iter().take_while(|count| **count == 0);
        LayerRange::new(from as u32, (from + uncovered.count()) as u32).ok()
    }
}
