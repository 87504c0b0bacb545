//! Half-open ranges of model layers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Layers `from..to` of a model; never empty.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "[u32; 2]", try_from = "[u32; 2]")]
pub struct LayerRange {
    from: u32,
    to: u32,
}

/// A layer range whose end does not lie after its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("layers [{from}, {to}) are empty: the end must be greater than the start")]
pub struct EmptyRange {
    from: u32,
    to: u32,
}

impl LayerRange {
    /// Creates the range of layers `from..to`.
    ///
    /// # Errors
    ///
    /// Fails when `to` is not greater than `from`.
    pub fn new(from: u32, to: u32) -> Result<Self, EmptyRange> {
        if from < to {
            Ok(Self { from, to })
        } else {
            Err(EmptyRange { from, to })
        }
    }

    /// First layer.
    pub fn from(self) -> u32 {
        self.from
    }

    /// Layer after the last one.
    pub fn to(self) -> u32 {
        self.to
    }

    /// Number of layers.
    #[expect(clippy::len_without_is_empty, reason = "a range is never empty")]
    pub fn len(self) -> u32 {
        self.to - self.from
    }

    /// Whether `other` lies wholly inside this range.
    pub fn covers(self, other: Self) -> bool {
        self.from <= other.from && other.to <= self.to
    }
}

impl TryFrom<[u32; 2]> for LayerRange {
    type Error = EmptyRange;

    fn try_from([from, to]: [u32; 2]) -> Result<Self, EmptyRange> {
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
