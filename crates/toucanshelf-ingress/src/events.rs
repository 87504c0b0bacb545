//! Splits a stream of server-sent events into complete events.
//!
//! An event ends with an empty line. The bytes of an incomplete event stay in a buffer, so that the
//! caller never receives part of an event when a stream is interrupted.

use bytes::{Bytes, BytesMut};

/// Maximum number of buffered bytes of a stream.
///
/// It also limits the size of an event, which is buffered until it is complete.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Names of fields that may stand on a line without a colon and a value.
const FIELDS_WITHOUT_VALUE: [&str; 4] = ["data", "event", "id", "retry"];

/// A complete server-sent event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Number in the event's `id` field.
    ///
    /// `None` if the event has no such field or it isn't a number.
    pub id: Option<u64>,
    /// All bytes of the event, including the empty line.
    pub bytes: Bytes,
}

/// Error when the buffered bytes of a stream would exceed [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Buffers the bytes of a stream and splits them into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Number of bytes in `buf` already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Creates a splitter at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes from the stream to the buffer.
    ///
    /// # Errors
    ///
    /// Fails if the buffer would exceed [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buf.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(Event { id, bytes })
    }

    /// Whether the buffer holds bytes that were not returned as an event.
    pub fn holds_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        // An event ends with up to three bytes, `\n\r\n`, and some of them may be among the bytes
        // that were already searched.
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

/// Returns whether the bytes of an event are text with at least one field or comment.
///
/// A target in trouble may send bytes that are no event, between which an empty line may stand.
pub fn is_well_formed(bytes: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return false;
    };
    let mut lines = text.lines().filter(|line| !line.is_empty()).peekable();
    lines.peek().is_some() && lines.all(is_field)
}

/// Returns whether a line has the form of a field or a comment, whose name is empty.
fn is_field(line: &str) -> bool {
    let (name, value) = line.split_once(':').unwrap_or((line, ""));
    let has_colon = name.len() < line.len();
    let is_name = name.bytes().all(|byte| byte.is_ascii_graphic());
    let is_text = !value.chars().any(|c| c.is_control() && c != '\t');
    is_name && is_text && (has_colon || FIELDS_WITHOUT_VALUE.contains(&name))
}

/// Returns the number in the first `id` field of an event.
///
/// Returns `None` if the event has no `id` field or the field isn't a number.
pub fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
