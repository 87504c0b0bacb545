//! The part of a zone's loads that one message carries, and its encoding.

use std::collections::BTreeMap;

use super::{EngineLoad, EngineTag};

/// Maximum number of engines in a page.
///
/// A message with so many takes at most 500 bytes, which makes 2 kB a second in each direction for a
/// zone with four messages a second.
pub const MAX_ENTRIES: usize = 36;
/// Number of token layers that the encoded number 1 stands for.
const TOKEN_LAYERS_UNIT: f64 = 256.0;
/// Maximum of the encoded number of token layers, which has 24 bits.
const MAX_TOKEN_LAYERS_UNITS: f64 = 16_777_215.0;
/// Size of the encoded range of tags, in bytes.
const RANGE_BYTES: usize = 8;
/// Size of an encoded entry, in bytes.
const ENTRY_BYTES: usize = 11;

/// Loads of the engines of a zone whose tags lie in a range.
///
/// An engine in the range that has no entry has no load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPage {
    /// First tag of the range.
    first: EngineTag,
    /// Last tag of the range.
    last: EngineTag,
    /// Loads, in ascending order of the tags.
    entries: Vec<(EngineTag, EngineLoad)>,
}

/// Reason why bytes are no encoded page.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LoadPageError {
    /// The length fits no number of entries.
    #[error("{0} bytes are no range with whole entries")]
    Length(usize),
    /// There are more entries than [`MAX_ENTRIES`].
    #[error("{0} entries are more than {MAX_ENTRIES}")]
    TooMany(usize),
    /// The tag is outside of the range, or not greater than the one before it.
    #[error("tag {0:#010x} is out of range or out of order")]
    Order(u32),
    /// An engine is the first of more requests than use it.
    #[error("engine {tag:#010x} is the first of {first_requests} requests and has {requests}")]
    FirstRequests {
        /// Tag of the engine.
        tag: u32,
        /// Stated number of requests that begin at the engine.
        first_requests: u16,
        /// Stated number of requests that use the engine.
        requests: u16,
    },
}

impl LoadPage {
    /// Returns the loads, in ascending order of the tags.
    pub fn entries(&self) -> &[(EngineTag, EngineLoad)] {
        &self.entries
    }

    /// Returns the first and the last tag of the range.
    pub fn range(&self) -> (EngineTag, EngineTag) {
        (self.first, self.last)
    }

    /// Returns whether the page tells the load of an engine.
    pub fn covers(&self, tag: EngineTag) -> bool {
        (self.first..=self.last).contains(&tag)
    }

    /// Returns the load of an engine, or `None` if the page doesn't tell it.
    pub fn load(&self, tag: EngineTag) -> Option<EngineLoad> {
        let known = self.entries.binary_search_by_key(&tag, |(tag, _)| *tag);
        let load = known.map_or_else(|_| EngineLoad::default(), |i| self.entries[i].1);
        self.covers(tag).then_some(load)
    }

    /// Encodes the page.
    ///
    /// The format is little endian: the first and the last tag (u32 each), then for each entry its tag
    /// (u32), `first_requests` and `requests` (u16 each) and the token layers in units of 256 (u24).
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(RANGE_BYTES + ENTRY_BYTES * self.entries.len());
        buf.extend(self.first.0.to_le_bytes());
        buf.extend(self.last.0.to_le_bytes());
        for (tag, load) in &self.entries {
            buf.extend(tag.0.to_le_bytes());
            buf.extend(to_u16(load.first_requests).to_le_bytes());
            buf.extend(to_u16(load.requests).to_le_bytes());
            buf.extend(&token_layers_units(load.token_layers).to_le_bytes()[..3]);
        }
        buf
    }

    /// Decodes a page.
    ///
    /// # Errors
    ///
    /// Fails if the length is wrong, the tags are out of order or a load is impossible.
    pub fn decode(bytes: &[u8]) -> Result<Self, LoadPageError> {
        let wrong_length = LoadPageError::Length(bytes.len());
        let (range, bytes) = bytes
            .split_first_chunk::<RANGE_BYTES>()
            .ok_or(wrong_length)?;
        let (entries, []) = bytes.as_chunks::<ENTRY_BYTES>() else {
            return Err(wrong_length);
        };
        if entries.len() > MAX_ENTRIES {
            return Err(LoadPageError::TooMany(entries.len()));
        }
        let [f0, f1, f2, f3, l0, l1, l2, l3] = *range;
        let mut page = Self {
            first: EngineTag(u32::from_le_bytes([f0, f1, f2, f3])),
            last: EngineTag(u32::from_le_bytes([l0, l1, l2, l3])),
            entries: Vec::with_capacity(entries.len()),
        };
        for entry in entries {
            let (tag, load) = decode_entry(entry)?;
            let before = page.entries.last().map(|(tag, _)| *tag);
            if !page.covers(tag) || before.is_some_and(|before| before >= tag) {
                return Err(LoadPageError::Order(tag.0));
            }
            page.entries.push((tag, load));
        }
        Ok(page)
    }
}

fn decode_entry(entry: &[u8; ENTRY_BYTES]) -> Result<(EngineTag, EngineLoad), LoadPageError> {
    let [t0, t1, t2, t3, f0, f1, r0, r1, k0, k1, k2] = *entry;
    let tag = u32::from_le_bytes([t0, t1, t2, t3]);
    let first_requests = u16::from_le_bytes([f0, f1]);
    let requests = u16::from_le_bytes([r0, r1]);
    if first_requests > requests {
        return Err(LoadPageError::FirstRequests {
            tag,
            first_requests,
            requests,
        });
    }
    let load = EngineLoad {
        first_requests: first_requests.into(),
        requests: requests.into(),
        token_layers: f64::from(u32::from_le_bytes([k0, k1, k2, 0])) * TOKEN_LAYERS_UNIT,
    };
    Ok((EngineTag(tag), load))
}

fn to_u16(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}

/// Returns token layers in units of 256; NaN and negative numbers become 0.
fn token_layers_units(token_layers: f64) -> u32 {
    let units = (token_layers / TOKEN_LAYERS_UNIT).round();
    units.clamp(0.0, MAX_TOKEN_LAYERS_UNITS) as u32
}

/// Position from which the next page is taken.
#[derive(Clone, Copy, Debug)]
pub(super) struct PageCursor {
    next: EngineTag,
}

impl PageCursor {
    /// Creates a cursor at the first tag.
    pub(super) const fn new() -> Self {
        Self { next: EngineTag(0) }
    }

    /// Returns the next page of `loads`, with the numbers that are left after its encoding.
    ///
    /// It covers all tags if the loads fit one page. Otherwise successive pages cover successive ranges,
    /// and begin anew after the last tag.
    pub(super) fn next_page(&mut self, loads: &BTreeMap<EngineTag, EngineLoad>) -> LoadPage {
        if loads.len() <= MAX_ENTRIES {
            self.next = EngineTag(0);
        }
        let first = self.next;
        let mut rest = loads.range(first..);
        let entries: Vec<_> = rest
            .by_ref()
            .take(MAX_ENTRIES)
            .map(|(tag, load)| (*tag, rounded(*load)))
            .collect();
        let last = match (rest.next(), entries.last()) {
            (Some(_), Some((tag, _))) => *tag,
            _ => EngineTag(u32::MAX),
        };
        self.next = EngineTag(last.0.wrapping_add(1));
        LoadPage {
            first,
            last,
            entries,
        }
    }
}

/// Returns the load as the receiver of a page decodes it.
fn rounded(load: EngineLoad) -> EngineLoad {
    EngineLoad {
        first_requests: to_u16(load.first_requests).into(),
        requests: to_u16(load.requests).into(),
        token_layers: f64::from(token_layers_units(load.token_layers)) * TOKEN_LAYERS_UNIT,
    }
}
