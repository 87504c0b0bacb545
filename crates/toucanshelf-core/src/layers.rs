//! Half-open ranges of model layers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Non-empty range `from..to` of model layers.
///
/// Layers are numbered from 0, and `to` is not part of the range.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "[u32; 2]", try_from = "[u32; 2]")]
pub struct LayerRange {
    from: u32,
    to: u32,
}

/// Error from creating an empty layer range.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("layers [{from}, {to}) are empty: the end must be greater than the start")]
pub struct EmptyLayerRange {
    from: u32,
    to: u32,
}

impl LayerRange {
    /// Creates the range of layers `from..to`.
    ///
    /// # Errors
    ///
    /// Fails if `to` is not greater than `from`.
    pub fn new(from: u32, to: u32) -> Result<Self, EmptyLayerRange> {
        if from < to {
            Ok(Self { from, to })
        } else {
            Err(EmptyLayerRange { from, to })
        }
    }

    /// Returns the number of the first layer in the range.
    pub fn from(self) -> u32 {
        self.from
    }

    /// Returns the number of the layer directly after the range.
    pub fn to(self) -> u32 {
        self.to
    }

    /// Returns how many layers the range contains.
    #[expect(clippy::len_without_is_empty, reason = "a range is never empty")]
    pub fn len(self) -> u32 {
        self.to - self.from
    }

    /// Returns whether this range contains all layers of `other`.
    pub fn covers(self, other: Self) -> bool {
        self.from <= other.from && other.to <= self.to
    }
}

impl TryFrom<[u32; 2]> for LayerRange {
    type Error = EmptyLayerRange;

    fn try_from([from, to]: [u32; 2]) -> Result<Self, EmptyLayerRange> {
        Self::new(from, to)
    }
}

impl From<LayerRange> for [u32; 2] {
    fn from(range: LayerRange) -> Self {
        [range.from, range.to]
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}, {})", self.from, self.to)
    }
}
