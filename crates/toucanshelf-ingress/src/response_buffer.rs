//! Bounded buffers for response bodies that are read in full before they are forwarded.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// Maximum size of one response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of all response bodies that are buffered at the same time, in bytes.
// An ingress may have as little as 160 MB of memory.
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;

/// Counts the bytes of all buffered response bodies of an ingress.
#[derive(Clone, Debug, Default)]
pub struct ResponseBuffers {
    buffered: Arc<AtomicUsize>,
}

/// Error when a response body would exceed a limit on buffered bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BufferError {
    /// The body is larger than one response may be.
    #[error("response exceeds {MAX_RESPONSE_BYTES} bytes")]
    TooLarge,
    /// Too many bytes of other responses are buffered.
    #[error("responses being read exceed {MAX_BUFFERED_BYTES} bytes")]
    NoMemory,
}

impl ResponseBuffers {
    /// Returns the number of bytes that are buffered now.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.load(Ordering::Relaxed)
    }

    /// Returns an empty buffer for one response body.
    pub fn new_buffer(&self) -> ResponseBuffer {
        ResponseBuffer {
            buffered: Arc::clone(&self.buffered),
            buf: BytesMut::new(),
        }
    }
}

/// Buffer for one response body, which counts towards [`ResponseBuffers`] until dropped.
#[derive(Debug)]
pub struct ResponseBuffer {
    buffered: Arc<AtomicUsize>,
    buf: BytesMut,
}

impl ResponseBuffer {
    /// Appends a chunk of the body.
    ///
    /// # Errors
    ///
    /// Fails if this body or all buffered bodies together become too large.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), BufferError> {
        if self.buf.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(BufferError::TooLarge);
        }
        let reserved = self
            .buffered
            .try_update(Ordering::Relaxed, Ordering::Relaxed, |buffered| {
                let sum = buffered + chunk.len();
                (sum <= MAX_BUFFERED_BYTES).then_some(sum)
            });
        if reserved.is_err() {
            return Err(BufferError::NoMemory);
        }
        self.buf.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the body, which no longer counts as buffered.
    pub fn into_bytes(mut self) -> Bytes {
        let body = self.buf.split().freeze();
        self.buffered.fetch_sub(body.len(), Ordering::Relaxed);
        body
    }
}

impl Drop for ResponseBuffer {
    fn drop(&mut self) {
        self.buffered.fetch_sub(self.buf.len(), Ordering::Relaxed);
    }
}
