//! Buffers made of segments of one size, which other buffers use again.
//!
//! Buffers that grow by copying leave freed blocks of many sizes behind, which the allocator can't use
//! again for others at once. With segments, the memory of a crowd stays near the bytes that it holds.

use std::sync::{Arc, Mutex, MutexGuard};

/// Size of a segment, in bytes.
pub const SEGMENT_BYTES: usize = 64 * 1024;

/// Size of the first segment of a buffer whose length is unknown, in bytes.
///
/// Most bodies are small.
pub const FIRST_SEGMENT_BYTES: usize = 4 * 1024;

/// Empty segments, shared by all buffers.
#[derive(Debug, Default)]
pub struct SegmentPool(Mutex<Vec<Vec<u8>>>);

impl SegmentPool {
    /// Frees empty segments beyond this number of bytes.
    pub fn trim(&self, max_bytes: usize) {
        self.free().truncate(max_bytes / SEGMENT_BYTES);
    }

    fn take(&self, capacity: usize) -> Vec<u8> {
        let free = (capacity == SEGMENT_BYTES).then(|| self.free().pop());
        let free = free.flatten();
        free.unwrap_or_else(|| Vec::with_capacity(capacity))
    }

    /// Keeps a segment for other buffers.
    pub fn put(&self, mut segment: Vec<u8>) {
        if segment.capacity() == SEGMENT_BYTES {
            segment.clear();
            self.free().push(segment);
        }
    }

    fn free(&self) -> MutexGuard<'_, Vec<Vec<u8>>> {
        self.0.lock().expect("no holder panics")
    }
}

/// Buffer that consists of segments.
#[derive(Debug)]
pub struct SegmentBuffer {
    pool: Arc<SegmentPool>,
    segments: Vec<Vec<u8>>,
    len: usize,
    capacity: usize,
}

impl SegmentBuffer {
    /// Creates an empty buffer.
    pub fn new(pool: &Arc<SegmentPool>) -> Self {
        Self {
            pool: Arc::clone(pool),
            segments: Vec::new(),
            len: 0,
            capacity: 0,
        }
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the buffer holds no byte.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of bytes that the segments can hold.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Adds a segment of at most [`SEGMENT_BYTES`].
    pub fn grow(&mut self, capacity: usize) {
        let capacity = capacity.min(SEGMENT_BYTES);
        self.segments.push(self.pool.take(capacity));
        self.capacity += capacity;
    }

    /// Appends as many bytes as there is capacity for, and returns the others.
    pub fn fill<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let (fitting, rest) = data.split_at(data.len().min(self.capacity - self.len));
        if let Some(segment) = self.segments.last_mut() {
            segment.extend_from_slice(fitting);
        }
        self.len += fitting.len();
        rest
    }

    /// Returns the bytes if they fill the only segment, so that they need not be copied.
    pub fn take_exact(&mut self) -> Option<Vec<u8>> {
        let is_exact = self.segments.len() == 1 && self.len == self.capacity;
        let bytes = is_exact.then(|| self.segments.pop())?;
        (self.len, self.capacity) = (0, 0);
        bytes
    }

    /// Returns the segments, which the caller gives back to the pool.
    pub fn into_segments(mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.segments)
    }

    /// Moves the bytes into memory of their size, and gives back each segment once it is copied.
    pub fn into_vec(mut self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.len);
        for segment in std::mem::take(&mut self.segments) {
            bytes.extend_from_slice(&segment);
            self.pool.put(segment);
        }
        bytes
    }
}

impl Drop for SegmentBuffer {
    fn drop(&mut self) {
        for segment in self.segments.drain(..) {
            self.pool.put(segment);
        }
    }
}
