//! Splits a stream of numbered events into whole events.
//!
//! An event ends with an empty line. Bytes of an event that is not whole yet are held back, so
//! that a stream that breaks off never delivers half an event.

use bytes::{Bytes, BytesMut};

/// Longest event that is held, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A whole event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Number of the event, where it has one.
    pub id: Option<u64>,
    /// All bytes, the empty line included.
    pub bytes: Bytes,
}

/// An event that is too long to be held.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Collects the bytes of a stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes at the start of `buf` that are known to hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Creates a splitter at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes from the stream.
    ///
    /// # Errors
    ///
    /// Fails when an event is longer than [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buf.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Next whole event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(Event { id, bytes })
    }

    /// Whether bytes of an event that is not whole are held.
    pub fn holds_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        // An end may begin up to three bytes before the part that is new.
        let start = self.searched.saturating_sub(3);
        let rest = &self.buf[start..];
        for (i, byte) in rest.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let after = &rest[i + 1..];
            if after.starts_with(b"\n") {
                return Some(start + i + 2);
            }
            if after.starts_with(b"\r\n") {
                return Some(start + i + 3);
            }
        }
        self.searched = self.buf.len();
        None
    }
}

/// Number in the `id` field of an event.
pub fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
