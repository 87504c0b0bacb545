//! Bounded buffers for response bodies that are read in full before they are forwarded.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use toucanshelf_runtime::segments::{
    FIRST_SEGMENT_BYTES, SEGMENT_BYTES, SegmentBuffer, SegmentPool,
};

use crate::events::MAX_EVENT_BYTES;

/// Maximum size of one response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of all response bodies that are buffered at the same time, in bytes.
// An ingress may have as little as 160 MB of memory.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;
/// Memory beyond that, in bytes, for small bodies while others wait to be sent.
const SMALL_RESPONSE_RESERVE: usize = 4 * 1024 * 1024;
/// Size up to which a body may use the reserve, in bytes.
const SMALL_RESPONSE_BYTES: usize = 64 * 1024;

/// Counts the bytes of all buffered response bodies of an ingress.
#[derive(Clone, Debug, Default)]
pub struct ResponseBuffers {
    counts: Arc<Mutex<Counts>>,
    segments: Arc<SegmentPool>,
    /// Empty buffers for large events, which other streams use again.
    event_buffers: Arc<Mutex<Vec<Vec<u8>>>>,
}

/// Bytes of response bodies that an ingress holds.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Bytes of bodies that are being read.
    buffered: usize,
    /// Bytes of bodies that were read, and buffers of large events, that callers have not received yet.
    unsent: usize,
}

/// Error when a response body would exceed a limit on buffered bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BufferError {
    /// The body is larger than one response may be.
    #[error("response exceeds {MAX_RESPONSE_BYTES} bytes")]
    TooLarge,
    /// Too many bytes of other responses are buffered.
    #[error("responses being read or sent exceed {MAX_BUFFERED_BYTES} bytes")]
    NoMemory,
}

impl ResponseBuffers {
    /// Returns the number of bytes of bodies that are being read now.
    pub fn buffered_bytes(&self) -> usize {
        self.counts().buffered
    }

    /// Returns the number of bytes of bodies that were read and wait to be sent.
    pub fn unsent_bytes(&self) -> usize {
        self.counts().unsent
    }

    /// Returns an empty buffer for one response body.
    pub fn new_buffer(&self) -> ResponseBuffer {
        ResponseBuffer {
            buffers: self.clone(),
            buf: SegmentBuffer::new(&self.segments),
            next_segment: FIRST_SEGMENT_BYTES,
        }
    }

    /// Returns an empty buffer for one large event.
    ///
    /// # Errors
    ///
    /// Fails if too many bytes are buffered.
    pub fn new_event_buffer(&self) -> Result<EventBuffer, BufferError> {
        let mut counts = self.counts();
        let used = counts.buffered + counts.unsent + MAX_EVENT_BYTES;
        let unused = MAX_BUFFERED_BYTES
            .checked_sub(used)
            .ok_or(BufferError::NoMemory)?;
        counts.unsent += MAX_EVENT_BYTES;
        drop(counts);
        let free = self.free_event_buffers().pop();
        self.trim(unused);
        Ok(EventBuffer {
            buffers: self.clone(),
            buf: free.unwrap_or_else(|| Vec::with_capacity(MAX_EVENT_BYTES)),
        })
    }

    /// Frees empty buffers beyond this number of bytes.
    fn trim(&self, max_bytes: usize) {
        let mut free = self.free_event_buffers();
        free.truncate(max_bytes / MAX_EVENT_BYTES);
        let kept = free.len() * MAX_EVENT_BYTES;
        drop(free);
        self.segments.trim(max_bytes - kept);
    }

    fn free_event_buffers(&self) -> MutexGuard<'_, Vec<Vec<u8>>> {
        self.event_buffers.lock().expect("no holder panics")
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().expect("no holder panics")
    }
}

/// Buffer for one large event of a stream, which counts as unsent until dropped.
#[derive(Debug)]
pub struct EventBuffer {
    buffers: ResponseBuffers,
    buf: Vec<u8>,
}

impl EventBuffer {
    /// Appends bytes, of which there are no more than [`MAX_EVENT_BYTES`] together.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes all bytes but the first `len`.
    pub fn truncate(&mut self, len: usize) {
        self.buf.truncate(len);
    }
}

impl AsRef<[u8]> for EventBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

impl Drop for EventBuffer {
    fn drop(&mut self) {
        let mut buf = std::mem::take(&mut self.buf);
        buf.clear();
        self.buffers.free_event_buffers().push(buf);
        self.buffers.counts().unsent -= MAX_EVENT_BYTES;
    }
}

/// Buffer for one response body, which counts towards [`ResponseBuffers`] until dropped.
#[derive(Debug)]
pub struct ResponseBuffer {
    buffers: ResponseBuffers,
    buf: SegmentBuffer,
    /// Maximum size of the next segment, in bytes.
    next_segment: usize,
}

impl ResponseBuffer {
    /// Prepares for a body of the length that the target has announced.
    #[must_use]
    pub fn with_announced_len(mut self, len: Option<u64>) -> Self {
        if let Some(len) = len {
            self.next_segment = len.clamp(1, SEGMENT_BYTES as u64) as usize;
        }
        self
    }

    /// Appends a chunk of the body.
    ///
    /// # Errors
    ///
    /// Fails if this body or all buffered bodies together become too large.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), BufferError> {
        let len = self.buf.len() + chunk.len();
        if len > MAX_RESPONSE_BYTES {
            return Err(BufferError::TooLarge);
        }
        let reserve = match len {
            0..=SMALL_RESPONSE_BYTES => SMALL_RESPONSE_RESERVE,
            _ => 0,
        };
        let mut counts = self.buffers.counts();
        let buffered = counts.buffered + chunk.len();
        if buffered > MAX_BUFFERED_BYTES || buffered + counts.unsent > MAX_BUFFERED_BYTES + reserve
        {
            return Err(BufferError::NoMemory);
        }
        counts.buffered = buffered;
        let unused = MAX_BUFFERED_BYTES.saturating_sub(buffered + counts.unsent);
        drop(counts);
        self.buffers.trim(unused);
        let mut rest = self.buf.fill(chunk);
        while !rest.is_empty() {
            self.buf.grow(self.next_segment);
            self.next_segment = SEGMENT_BYTES;
            rest = self.buf.fill(rest);
        }
        Ok(())
    }

    /// Returns the body, whose parts count as unsent until the caller has received them.
    pub fn into_body(mut self) -> BufferedBody {
        let empty = SegmentBuffer::new(&self.buffers.segments);
        let buf = std::mem::replace(&mut self.buf, empty);
        let mut counts = self.buffers.counts();
        counts.buffered -= buf.len();
        counts.unsent += buf.len();
        drop(counts);
        let segments = buf.into_segments().into_iter();
        let parts = segments.map(|buf| {
            let buffers = self.buffers.clone();
            Bytes::from_owner(UnsentPart { buffers, buf })
        });
        BufferedBody(parts.collect())
    }
}

impl Drop for ResponseBuffer {
    fn drop(&mut self) {
        self.buffers.counts().buffered -= self.buf.len();
    }
}

/// Segment of a body that was read in full.
struct UnsentPart {
    buffers: ResponseBuffers,
    buf: Vec<u8>,
}

impl AsRef<[u8]> for UnsentPart {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

impl Drop for UnsentPart {
    fn drop(&mut self) {
        let buf = std::mem::take(&mut self.buf);
        self.buffers.counts().unsent -= buf.len();
        self.buffers.segments.put(buf);
    }
}

/// Body of a known length, in parts.
#[derive(Debug, Default)]
pub struct BufferedBody(VecDeque<Bytes>);

impl From<Bytes> for BufferedBody {
    fn from(bytes: Bytes) -> Self {
        Self([bytes].into())
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.0.pop_front();
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.iter().all(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        let len: usize = self.0.iter().map(Bytes::len).sum();
        SizeHint::with_exact(len as u64)
    }
}
