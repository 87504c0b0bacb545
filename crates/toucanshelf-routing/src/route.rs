//! Routes that run every layer of a model once, in order.
//!
//! A route is a sequence of stages. A stage is an engine with the layers that it runs.

use toucanshelf_core::arena::Key;
use toucanshelf_core::layers::LayerRange;

use crate::fleet::EngineState;

/// Key of an engine in a [`crate::fleet::Fleet`].
pub type EngineKey = Key<EngineState>;

/// An engine of a route with the layers that it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stage {
    /// Key of the engine.
    pub engine: EngineKey,
    /// Layers that the engine runs.
    pub layers: LayerRange,
}

/// Stages that cover the layers of a model without gaps or overlaps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    stages: Vec<Stage>,
}

/// Reason why a list of stages is not a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RouteError {
    /// A stage does not start at the layer where the stage before it ends.
    #[error("stage starts at layer {found} instead of layer {expected}")]
    Misplaced {
        /// Layer at which the stage should start.
        expected: u32,
        /// Layer at which the stage starts.
        found: u32,
    },
    /// The stages do not end at the last layer, or there are none.
    #[error("stages end at layer {end} instead of layer {layers}")]
    WrongEnd {
        /// Layer at which the last stage ends, exclusive.
        end: u32,
        /// Number of layers of the model.
        layers: u32,
    },
}

impl Route {
    /// Creates a route from stages that cover layers `0..layers`.
    ///
    /// # Errors
    ///
    /// Fails if a layer would run twice, out of order or not at all.
    pub fn from_stages(layers: u32, stages: Vec<Stage>) -> Result<Self, RouteError> {
        let mut expected = 0;
        for stage in &stages {
            let found = stage.layers.from();
            if found != expected {
                return Err(RouteError::Misplaced { expected, found });
            }
            expected = stage.layers.to();
        }
        if expected != layers || stages.is_empty() {
            return Err(RouteError::WrongEnd {
                end: expected,
                layers,
            });
        }
        Ok(Self { stages })
    }

    /// Stages of the route, from the first layer to the last.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// Layers that each stage runs, in the order of the stages.
    pub fn layers(&self) -> Vec<LayerRange> {
        self.stages.iter().map(|stage| stage.layers).collect()
    }
}
