//! Routes that run every layer of a model once, in order.

use toucanshelf_core::arena::Key;
use toucanshelf_core::layers::LayerRange;

use crate::fleet::EngineState;

/// Key of an engine in a [`crate::fleet::Fleet`].
pub type EngineKey = Key<EngineState>;

/// One engine of a route with the layers it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stage {
    /// The engine.
    pub engine: EngineKey,
    /// Layers to run there.
    pub layers: LayerRange,
}

/// Stages that tile the layers of a model with neither gap nor overlap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    stages: Vec<Stage>,
}

/// Why stages make no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TileError {
    /// A stage does not start where the one before it ends.
    #[error("layer {expected} should come next, but the stage starts at {found}")]
    Misplaced {
        /// Layer that should come next.
        expected: u32,
        /// First layer of the stage.
        found: u32,
    },
    /// The stages end before or after the last layer.
    #[error("the stages end at layer {end} of {layers}")]
    WrongEnd {
        /// Layer after the last stage.
        end: u32,
        /// Layers of the model.
        layers: u32,
    },
}

impl Route {
    /// Creates a route from stages that tile layers `0..layers`.
    ///
    /// # Errors
    ///
    /// Fails where a layer would be run twice, out of order or not at all.
    pub fn tile(layers: u32, stages: Vec<Stage>) -> Result<Self, TileError> {
        let mut expected = 0;
        for stage in &stages {
            let found = stage.layers.from();
            if found != expected {
                return Err(TileError::Misplaced { expected, found });
            }
            expected = stage.layers.to();
        }
        if expected != layers || stages.is_empty() {
            return Err(TileError::WrongEnd {
                end: expected,
                layers,
            });
        }
        Ok(Self { stages })
    }

    /// Stages from the first layer to the last.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// Layers of each stage, in order.
    pub fn layers(&self) -> Vec<LayerRange> {
        self.stages.iter().map(|stage| stage.layers).collect()
    }
}
