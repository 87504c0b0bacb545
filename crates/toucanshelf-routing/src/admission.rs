//! Weighted fair shares between organisations, with bounded queues.

use std::collections::BTreeMap;

use toucanshelf_core::document::Class;

/// Requests of one organisation that may wait.
pub const MAX_QUEUED: usize = 256;
/// Every how many starts a waiting batch request goes before the other classes.
const BATCH_FLOOR: u64 = 10;

/// Number of a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaitKey(u64);

/// What becomes of a request that asks to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Runs now.
    Run,
    /// Waits; it runs when [`Admission::finish`] names it.
    Wait(WaitKey),
    /// Is refused, with the time in seconds after which a new try makes sense.
    Shed {
        /// Seconds to wait.
        retry_after_s: u32,
    },
}

/// A request that asks to run.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// Organisation of the caller.
    pub organisation: &'a str,
    /// Share of the organisation relative to others.
    pub weight: u32,
    /// Class of the service.
    pub class: Class,
    /// Time by which it must be done, in milliseconds.
    pub deadline: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    organisation: Box<str>,
    class: Class,
    deadline: u64,
    /// Virtual time at which the organisation's fair share reaches this request.
    start_tag: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    queued: usize,
    running: u32,
    finish_tag: f64,
}

/// Decides who runs when there is more work than room.
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
    /// Creates an admission that lets `limit` requests run at once.
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

    /// Changes how many requests run at once; returns those that may start now.
    pub fn set_limit(&mut self, now: u64, limit: u32) -> Vec<WaitKey> {
        self.limit = limit;
        self.start_waiting(now)
    }

    /// Requests that are running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that are waiting.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a request.
    pub fn offer(&mut self, offer: Offer<'_>) -> Decision {
        let share = self.shares.entry(offer.organisation.into()).or_default();
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
        share.finish_tag = start_tag + 1.0 / f64::from(offer.weight.max(1));
        let key = WaitKey(self.next_key);
        self.next_key += 1;
        let organisation = offer.organisation.into();
        let (class, deadline) = (offer.class, offer.deadline);
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

    /// Ends a running request; returns those that may start now.
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

    /// Gives up a waiting request.
    pub fn withdraw(&mut self, key: WaitKey) {
        self.take(key);
    }

    fn take(&mut self, key: WaitKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(&key)?;
        if let Some(share) = self.shares.get_mut(&waiting.organisation) {
            share.queued -= 1;
        }
        Some(waiting)
    }

    fn start_waiting(&mut self, now: u64) -> Vec<WaitKey> {
        let mut out = Vec::new();
        while self.running < self.limit {
            let Some(key) = self.next(now) else {
                break;
            };
            let waiting = self.take(key).expect("the next request is waiting");
            self.virtual_time = self.virtual_time.max(waiting.start_tag);
            let share = self.shares.entry(waiting.organisation).or_default();
            share.running += 1;
            self.running += 1;
            self.started += 1;
            out.push(key);
        }
        out
    }

    /// Next request: class first with a floor for batch, then fair share, then deadline.
    fn next(&self, now: u64) -> Option<WaitKey> {
        let batch_turn = self.started % BATCH_FLOOR == BATCH_FLOOR - 1;
        let rank = |waiting: &Waiting| {
            let class = match waiting.class {
                Class::Batch if batch_turn => 0,
                Class::Interactive => 1,
                Class::Deadline => 2,
                Class::Batch => 3,
            };
            // A request past its deadline is refused when it starts; it must not hold others up.
            let late = u8::from(waiting.deadline <= now);
            (
                1 - late,
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
