//! Splits a stream of server-sent events into complete events.
//!
//! An event ends with an empty line. The bytes of an incomplete event stay in a buffer, so that the
//! caller never receives part of an event when a stream is interrupted.

use bytes::{Bytes, BytesMut};

use crate::request::CallerRequest;
use crate::response_buffer::{BufferError, EventBuffer, ResponseBuffers};

/// Maximum number of buffered bytes of a stream.
///
/// It also limits the size of an event, which is buffered until it is complete.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Maximum number of queued bytes that are split at once.
const MAX_PUSHED_BYTES: usize = 8 * 1024;
/// Buffered bytes of a stream from which on they count towards the memory for responses.
///
/// So events of up to [`MAX_PUSHED_BYTES`] never count.
const MAX_UNCOUNTED_BYTES: usize = 2 * MAX_PUSHED_BYTES;

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

/// Error when the buffered bytes of a stream would exceed a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SplitError {
    /// An event has more than [`MAX_EVENT_BYTES`].
    #[error("event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The event is large, and other responses use the memory.
    #[error(transparent)]
    NoMemory(#[from] BufferError),
}

/// Logs that a stream ends because there is no memory for an event.
pub(crate) fn warn_of_memory(req: &CallerRequest, cause: BufferError) {
    tracing::warn!(event = "TS4326", request = req.id(), %cause, "stream ended for lack of memory");
}

/// Buffers the bytes of a stream and splits them into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Buffer in place of `buf` if there are many bytes.
    large: Option<EventBuffer>,
    /// Number of buffered bytes already searched for the end of an event.
    searched: usize,
    /// Bytes that follow those that are buffered.
    queued: Bytes,
    /// Memory for responses of the ingress.
    buffers: ResponseBuffers,
}

impl EventSplitter {
    /// Creates a splitter at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts large events towards `buffers` until they are dropped.
    #[must_use]
    pub fn with_buffers(self, buffers: ResponseBuffers) -> Self {
        Self { buffers, ..self }
    }

    /// Takes bytes from the stream, which [`Self::next_queued`] splits.
    pub fn queue(&mut self, bytes: Bytes) {
        debug_assert!(self.queued.is_empty(), "all events have been taken");
        self.queued = bytes;
    }

    /// Removes and returns the next complete event of the bytes that were queued, if there is one.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::push`] does.
    pub fn next_queued(&mut self) -> Result<Option<Event>, SplitError> {
        loop {
            if let Some(event) = self.next_event() {
                return Ok(Some(event));
            }
            if self.queued.is_empty() {
                return Ok(None);
            }
            let len = self.queued.len().min(MAX_PUSHED_BYTES);
            let first = self.queued.split_to(len);
            self.push(&first)?;
        }
    }

    /// Appends bytes from the stream to the buffer.
    ///
    /// # Errors
    ///
    /// Fails if the buffer would exceed [`MAX_EVENT_BYTES`], or if there is no memory for it.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), SplitError> {
        let len = self.buffered().len() + bytes.len();
        if len > MAX_EVENT_BYTES {
            return Err(SplitError::TooLong);
        }
        if self.large.is_none() && len > MAX_UNCOUNTED_BYTES {
            let mut large = self.buffers.new_event_buffer()?;
            large.extend(&std::mem::take(&mut self.buf));
            self.large = Some(large);
        }
        match &mut self.large {
            Some(large) => large.extend(bytes),
            None => self.buf.extend_from_slice(bytes),
        }
        Ok(())
    }

    fn buffered(&self) -> &[u8] {
        self.large.as_ref().map_or(&self.buf, EventBuffer::as_ref)
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = match self.large.take() {
            Some(mut large) => {
                self.buf.extend_from_slice(&large.as_ref()[end..]);
                large.truncate(end);
                Bytes::from_owner(large)
            }
            None => self.buf.split_to(end).freeze(),
        };
        self.searched = 0;
        let id = event_id(&bytes);
        Some(Event { id, bytes })
    }

    /// Whether the buffer holds bytes that were not returned as an event.
    pub fn holds_partial_event(&self) -> bool {
        !self.buffered().is_empty() || !self.queued.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        // An event ends with up to three bytes, `\n\r\n`, and some of them may be among the bytes
        // that were already searched.
        let start = self.searched.saturating_sub(3);
        let rest = &self.buffered()[start..];
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
        self.searched = self.buffered().len();
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
