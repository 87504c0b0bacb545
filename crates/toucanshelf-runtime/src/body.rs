//! Reads request bodies into memory that a [`MemoryBudget`] accounts for.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body, Incoming};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout, timeout_at};

use crate::log_throttle::LogThrottle;
use crate::memory_budget::{Decision, Eviction, HolderKey, MemoryBudget, MemoryLimits};
use crate::segments::{FIRST_SEGMENT_BYTES, SEGMENT_BYTES, SegmentBuffer, SegmentPool};

/// Time for which a body waits until others have given back their memory.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the rest of a refused body is read and dropped.
// A connection that is closed with unread bytes is reset, and the caller may lose the response.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits on one request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub max_bytes: usize,
    /// Time without any byte after which the body counts as stopped.
    pub idle_timeout: Duration,
    /// Time by which the body must have arrived.
    pub due: Instant,
}

/// Error from reading a request body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BodyError {
    /// The body is, or says that it is, longer than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The body's encoding is invalid or its connection was lost.
    #[error("the body is broken")]
    Broken,
    /// The body did not arrive in time, or was too slow while memory was short.
    #[error("the body stopped before its end")]
    Stopped,
    /// The bodies of other callers take the memory.
    #[error("no memory for the body")]
    NoMemory,
}

/// Memory of the request bodies that a process holds.
#[derive(Debug)]
pub struct BodyMemory {
    state: Mutex<State>,
    segments: Arc<SegmentPool>,
    /// Wakes bodies that wait for memory.
    released: Notify,
    /// Wakes bodies that may have to end.
    evictions: watch::Sender<()>,
    started: Instant,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    shortages: LogThrottle,
}

impl BodyMemory {
    /// Creates the memory for the bodies of a process.
    pub fn new(limits: MemoryLimits) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                budget: MemoryBudget::new(limits),
                shortages: LogThrottle::default(),
            }),
            segments: Arc::default(),
            released: Notify::new(),
            evictions: watch::Sender::default(),
            started: Instant::now(),
        })
    }

    /// Returns the number of bytes that bodies hold now.
    pub fn used_bytes(&self) -> usize {
        self.state().budget.used_bytes()
    }

    /// Reads a body of a caller at address `owner`.
    ///
    /// The memory is given back with the last clone of the returned bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is too long, stops before its end or finds no memory. The rest of the body is
    /// then read and dropped for a short time.
    pub async fn read(
        self: &Arc<Self>,
        mut body: Incoming,
        limits: BodyLimits,
        owner: Option<IpAddr>,
    ) -> Result<Bytes, BodyError> {
        if body.size_hint().exact() == Some(0) {
            return Ok(Bytes::new());
        }
        let read = timeout_at(limits.due, self.read_all(&mut body, limits, owner));
        let result = read.await.unwrap_or(Err(BodyError::Stopped));
        if matches!(result, Err(e) if e != BodyError::Broken) {
            discard(body);
        }
        result
    }

    async fn read_all(
        self: &Arc<Self>,
        body: &mut Incoming,
        limits: BodyLimits,
        owner: Option<IpAddr>,
    ) -> Result<Bytes, BodyError> {
        let announced = body.size_hint().exact();
        if announced.is_some_and(|len| len > limits.max_bytes as u64) {
            return Err(BodyError::TooLarge);
        }
        let max_len = announced.map_or(limits.max_bytes, |len| len as usize);
        let first = announced.map_or(FIRST_SEGMENT_BYTES, |_| SEGMENT_BYTES);
        let mut buffer = BodyBuffer::new(self, first, max_len, owner);
        let mut evictions = self.evictions.subscribe();
        loop {
            let next = timeout(limits.idle_timeout, body.frame());
            let frame = tokio::select! {
                frame = next => frame.map_err(|_| BodyError::Stopped)?,
                e = buffer.lease.evicted(&mut evictions) => return Err(e),
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|_| BodyError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if buffer.segments.len() + data.len() > max_len {
                return Err(BodyError::TooLarge);
            }
            buffer.push(&data, &mut evictions).await?;
        }
        buffer.into_bytes(&mut evictions).await
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Logs that memory is short, at most once in a while.
    fn record_shortage(&self) {
        let now = self.now_ms();
        let mut state = self.state();
        if let Some(count) = state.shortages.record(now) {
            let used = state.budget.used_bytes();
            tracing::warn!(
                event = "TS1204",
                used,
                count,
                "memory of request bodies is short"
            );
        }
    }
}

/// Reads the rest of a refused body for a short time and drops it, without using memory.
pub fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let drain = async move { while let Some(Ok(_)) = body.frame().await {} };
    tokio::spawn(timeout(DRAIN_TIMEOUT, drain));
}

/// Memory that one body holds, given back when dropped.
#[derive(Debug)]
struct Lease {
    memory: Arc<BodyMemory>,
    key: HolderKey,
}

impl Lease {
    fn new(memory: &Arc<BodyMemory>, owner: Option<IpAddr>) -> Self {
        let now = memory.now_ms();
        let key = memory.state().budget.open(owner, now);
        Self {
            memory: Arc::clone(memory),
            key,
        }
    }

    /// Changes the size of the memory, and waits for it if others have to end first.
    async fn resize(
        &self,
        bytes: usize,
        evictions: &mut watch::Receiver<()>,
    ) -> Result<(), BodyError> {
        let granted = timeout(MEMORY_TIMEOUT, self.wait_for(bytes));
        let result = tokio::select! {
            result = granted => result.unwrap_or(Err(BodyError::NoMemory)),
            e = self.evicted(evictions) => Err(e),
        };
        if result.is_err() {
            self.memory.record_shortage();
        }
        result
    }

    async fn wait_for(&self, bytes: usize) -> Result<(), BodyError> {
        let memory = &self.memory;
        loop {
            // Registered before the question, so that no release goes unnoticed.
            let mut released = std::pin::pin!(memory.released.notified());
            released.as_mut().enable();
            let now = memory.now_ms();
            let decision = memory.state().budget.resize(self.key, bytes, now);
            match decision {
                Decision::Granted => {
                    // Empty segments take memory that isn't reserved.
                    let unused = memory.state().budget.unused_bytes();
                    memory.segments.trim(unused);
                    return Ok(());
                }
                Decision::Refused => return Err(BodyError::NoMemory),
                Decision::Wait => {
                    memory.evictions.send_replace(());
                    released.await;
                }
            }
        }
    }

    /// Waits until the body has to end, and returns the reason.
    async fn evicted(&self, evictions: &mut watch::Receiver<()>) -> BodyError {
        loop {
            let eviction = self.memory.state().budget.eviction(self.key);
            match eviction {
                Some(Eviction::TooSlow) => return BodyError::Stopped,
                Some(Eviction::Newest) => return BodyError::NoMemory,
                // The sender lives as long as the memory, which the lease holds.
                None => drop(evictions.changed().await),
            }
        }
    }

    /// Records that the body has been read in full.
    ///
    /// Returns `false` if it has to end instead.
    fn complete(&self) -> bool {
        self.memory.state().budget.complete(self.key)
    }

    fn record_arrival(&self, bytes: usize) {
        let now = self.memory.now_ms();
        let mut state = self.memory.state();
        state.budget.record_arrival(self.key, bytes, now);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.memory.state().budget.close(self.key);
        self.memory.released.notify_waiters();
    }
}

/// Buffer of a body that is being read, whose whole capacity is accounted for.
///
/// Bytes are copied into it, because a small chunk would keep the connection's whole read buffer.
#[derive(Debug)]
struct BodyBuffer {
    segments: SegmentBuffer,
    /// Maximum size of the next segment, in bytes.
    next_segment: usize,
    /// Maximum size of the body, in bytes.
    max_len: usize,
    // Dropped after the segments that it accounts for.
    lease: Lease,
}

impl BodyBuffer {
    fn new(
        memory: &Arc<BodyMemory>,
        first_segment: usize,
        max_len: usize,
        owner: Option<IpAddr>,
    ) -> Self {
        Self {
            segments: SegmentBuffer::new(&memory.segments),
            next_segment: first_segment,
            max_len,
            lease: Lease::new(memory, owner),
        }
    }

    /// Appends a part of the body, which must not exceed its maximum size.
    async fn push(
        &mut self,
        mut data: &[u8],
        evictions: &mut watch::Receiver<()>,
    ) -> Result<(), BodyError> {
        self.lease.record_arrival(data.len());
        loop {
            data = self.segments.fill(data);
            if data.is_empty() {
                return Ok(());
            }
            let capacity = self.segments.capacity();
            let more = self.next_segment.min(self.max_len - capacity);
            self.next_segment = SEGMENT_BYTES;
            self.lease.resize(capacity + more, evictions).await?;
            self.segments.grow(more);
        }
    }

    /// Returns the body, which was read in full, in memory of its size.
    async fn into_bytes(mut self, evictions: &mut watch::Receiver<()>) -> Result<Bytes, BodyError> {
        let lease = self.lease;
        let bytes = if let Some(bytes) = self.segments.take_exact() {
            bytes
        } else {
            // Both copies exist for a moment.
            let len = self.segments.len();
            lease
                .resize(self.segments.capacity() + len, evictions)
                .await?;
            let bytes = self.segments.into_vec();
            lease.resize(len, evictions).await?;
            bytes
        };
        if !lease.complete() {
            return Err(BodyError::NoMemory);
        }
        let body = HeldBody {
            bytes,
            _lease: lease,
        };
        Ok(Bytes::from_owner(body))
    }
}

/// A body that was read in full, with the memory that it holds.
struct HeldBody {
    bytes: Vec<u8>,
    // Dropped after the bytes that it accounts for.
    _lease: Lease,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
