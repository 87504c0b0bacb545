//! Weighted fair queueing of requests between organisations, with bounded queues.
//!
//! Each queued request gets a start tag and a finish tag on a virtual clock. The tags of an
//! organisation's requests are `1 / weight` apart, so starting requests in the order of their start
//! tags divides capacity by weight.

use std::collections::BTreeMap;

use toucanshelf_core::document::Class;

/// Maximum number of waiting requests of one organisation.
pub const MAX_QUEUED: usize = 256;
/// Every n-th start from the queue prefers batch requests; this is n.
///
/// At such a start, batch requests go before those of the other classes.
const BATCH_INTERVAL: u64 = 10;

/// Identifier of a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaitKey(u64);

/// Whether a submitted request runs, waits or is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request runs now.
    Run,
    /// The request waits.
    ///
    /// It may run once [`Admission::finish`] or [`Admission::set_limit`] returns this key.
    Wait(WaitKey),
    /// The request is rejected because its organisation's queue is full.
    Shed {
        /// Time that the caller should wait before it retries, in seconds.
        retry_after_s: u32,
    },
}

/// Properties of a request that determine when it is admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Organisation of the caller.
    pub organisation: &'a str,
    /// Share of capacity that the organisation gets, relative to the weights of others.
    pub weight: u32,
    /// Scheduling class of the request.
    pub class: Class,
    /// Time by which the request must be finished, in milliseconds.
    ///
    /// It is compared with the times that are passed as `now`.
    pub deadline: u64,
}

/// A waiting request.
#[derive(Clone, Debug)]
struct Waiting {
    organisation: Box<str>,
    class: Class,
    deadline: u64,
    /// Start tag of the request, in virtual time; lower tags start first.
    start_tag: f64,
}

/// Numbers of queued and running requests of one organisation, with its fair-queueing state.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    queued: usize,
    running: u32,
    /// Finish tag of the organisation's last queued request, in virtual time.
    ///
    /// It is the earliest start tag that the next queued request of the organisation can get.
    finish_tag: f64,
}

/// Decides when requests may run, with a limit on how many run at once.
#[derive(Clone, Debug)]
pub struct Admission {
    limit: u32,
    running: u32,
    virtual_time: f64,
    started: u64,
    next_key: u64,
    waiting: BTreeMap<WaitKey, Waiting>,
    shares: BTreeMap<Box<str>, Share>,
}

impl Admission {
    /// Creates admission control that lets `limit` requests run at once.
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            running: 0,
            virtual_time: 0.0,
            started: 0,
            next_key: 0,
            waiting: BTreeMap::new(),
            shares: BTreeMap::new(),
        }
    }

    /// Sets the limit on running requests and starts waiting ones up to it.
    ///
    /// Returns the keys of the started requests; `now` is in milliseconds.
    pub fn set_limit(&mut self, now: u64, limit: u32) -> Vec<WaitKey> {
        self.limit = limit;
        self.start_waiting(now)
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Starts, queues or rejects a request.
    pub fn submit(&mut self, request: AdmissionRequest<'_>) -> Decision {
        let share = self.shares.entry(request.organisation.into()).or_default();
        if self.running < self.limit && self.waiting.is_empty() {
            share.running += 1;
            self.running += 1;
            return Decision::Run;
        }
        if share.queued >= MAX_QUEUED {
            let backlog = (self.waiting.len() as u32) / self.limit.max(1);
            return Decision::Shed {
                retry_after_s: backlog.clamp(1, 30),
            };
        }
        share.queued += 1;
        let start_tag = share.finish_tag.max(self.virtual_time);
        share.finish_tag = start_tag + 1.0 / f64::from(request.weight.max(1));
        let key = WaitKey(self.next_key);
        self.next_key += 1;
        let organisation = request.organisation.into();
        let (class, deadline) = (request.class, request.deadline);
        self.waiting.insert(
            key,
            Waiting {
                organisation,
                class,
                deadline,
                start_tag,
            },
        );
        Decision::Wait(key)
    }

    /// Records the end of a running request and starts waiting ones.
    ///
    /// Returns the keys of the started requests; `now` is in milliseconds.
    pub fn finish(&mut self, now: u64, organisation: &str) -> Vec<WaitKey> {
        self.running = self.running.saturating_sub(1);
        if let Some(share) = self.shares.get_mut(organisation) {
            share.running = share.running.saturating_sub(1);
            let idle = share.running == 0 && share.queued == 0;
            if idle && share.finish_tag <= self.virtual_time {
                self.shares.remove(organisation);
            }
        }
        self.start_waiting(now)
    }

    /// Removes a waiting request from the queue without starting it.
    pub fn withdraw(&mut self, key: WaitKey) {
        self.remove_waiting(key);
    }

    fn remove_waiting(&mut self, key: WaitKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(&key)?;
        if let Some(share) = self.shares.get_mut(&waiting.organisation) {
            share.queued -= 1;
        }
        Some(waiting)
    }

    /// Starts waiting requests up to the limit and returns their keys.
    fn start_waiting(&mut self, now: u64) -> Vec<WaitKey> {
        let mut out = Vec::new();
        while self.running < self.limit {
            let Some(key) = self.next_waiting(now) else {
                break;
            };
            let waiting = self
                .remove_waiting(key)
                .expect("the next request is waiting");
            self.virtual_time = self.virtual_time.max(waiting.start_tag);
            let share = self.shares.entry(waiting.organisation).or_default();
            share.running += 1;
            self.running += 1;
            self.started += 1;
            out.push(key);
        }
        out
    }

    /// Returns the key of the waiting request that should start next.
    ///
    /// Expired requests come first. The others are ordered by class, then by start tag, then by
    /// deadline. At one in [`BATCH_INTERVAL`] starts, the batch class precedes the other classes.
    /// Otherwise it would wait for as long as the other classes have requests.
    fn next_waiting(&self, now: u64) -> Option<WaitKey> {
        let batch_turn = self.started % BATCH_INTERVAL == BATCH_INTERVAL - 1;
        let rank = |waiting: &Waiting| {
            let class = match waiting.class {
                Class::Batch if batch_turn => 0,
                Class::Interactive => 1,
                Class::Deadline => 2,
                Class::Batch => 3,
            };
            // An expired request is rejected as soon as it starts, so it delays no other request.
            let expired = u8::from(waiting.deadline <= now);
            (
                1 - expired,
                class,
                (waiting.start_tag * 1e6) as u64,
                waiting.deadline,
            )
        };
        let best = self
            .waiting
            .iter()
            .min_by_key(|(key, waiting)| (rank(waiting), **key));
        best.map(|(key, _)| *key)
    }
}
