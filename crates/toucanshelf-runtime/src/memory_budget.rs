//! Account of the memory that callers' request bodies hold in a process.
//!
//! A holder is a body that is being read, or that has been read and is still in use. It asks for the
//! bytes that it is about to allocate. If they aren't free, other bodies that are being read have to
//! end: first those that arrive too slowly, then the newest one of the caller that holds the most.
//! Bodies that have been read stay.

use std::collections::BTreeMap;
use std::net::IpAddr;

/// Usual rate below which a body is too slow while memory is short, in bytes a second.
pub const MIN_BODY_RATE: usize = 1_024;
/// Time within which a body that is being read must make progress, in milliseconds.
const PROGRESS_SPAN_MS: u64 = 5_000;
/// Size up to which a body may use the reserve, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Part of the memory that only small bodies may use, as a divisor.
const SMALL_BODY_RESERVE: usize = 8;

/// Limits on the memory of bodies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryLimits {
    /// Memory of all bodies, in bytes.
    pub max_bytes: usize,
    /// Rate below which a body is too slow while memory is short, in bytes a second.
    pub min_rate: usize,
}

/// Key of a holder of memory.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HolderKey(u64);

/// Reason for which a body that is being read has to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eviction {
    /// It arrived too slowly while memory was short.
    TooSlow,
    /// It was the newest one of the caller that held the most.
    Newest,
}

/// Answer to a holder that asks for memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The memory is reserved.
    Granted,
    /// Other bodies have to end; the holder asks again after they have given their memory back.
    Wait,
    /// The holder itself has to end.
    Refused,
}

#[derive(Clone, Debug)]
struct Holder {
    owner: Option<IpAddr>,
    bytes: usize,
    /// Whether the body is still being read.
    is_reading: bool,
    /// Reason for which the body has to end, if it has to.
    eviction: Option<Eviction>,
    /// Start of the span in which progress is measured, in milliseconds.
    span_start_ms: u64,
    /// Bytes that have arrived since then.
    arrived: usize,
}

impl Holder {
    fn can_be_evicted(&self) -> bool {
        self.is_reading && self.eviction.is_none()
    }
}

/// Account of the memory of all bodies in a process.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limits: MemoryLimits,
    /// Holders, from the oldest to the newest.
    holders: BTreeMap<HolderKey, Holder>,
    used: usize,
    next_key: u64,
}

impl MemoryBudget {
    /// Creates an account without holders.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            holders: BTreeMap::new(),
            used: 0,
            next_key: 0,
        }
    }

    /// Returns the number of bytes that all holders have reserved.
    pub fn used_bytes(&self) -> usize {
        self.used
    }

    /// Returns the number of bytes that are not reserved.
    pub fn unused_bytes(&self) -> usize {
        self.limits.max_bytes.saturating_sub(self.used)
    }

    /// Adds a body that is about to be read from `owner`, without memory.
    pub fn open(&mut self, owner: Option<IpAddr>, now_ms: u64) -> HolderKey {
        let key = HolderKey(self.next_key);
        self.next_key += 1;
        let holder = Holder {
            owner,
            bytes: 0,
            is_reading: true,
            eviction: None,
            span_start_ms: now_ms,
            arrived: 0,
        };
        self.holders.insert(key, holder);
        key
    }

    /// Changes the memory that a body holds to `bytes`.
    ///
    /// # Panics
    ///
    /// Panics if the holder has been closed.
    pub fn resize(&mut self, key: HolderKey, bytes: usize, now_ms: u64) -> Decision {
        let held = self.holders[&key].bytes;
        let used = self.used - held + bytes;
        let limit = match bytes {
            0..=SMALL_BODY_BYTES => self.limits.max_bytes,
            _ => self.limits.max_bytes - self.limits.max_bytes / SMALL_BODY_RESERVE,
        };
        if bytes <= held || used <= limit {
            self.used = used;
            let holder = self.holders.get_mut(&key).expect("checked above");
            holder.bytes = bytes;
            return Decision::Granted;
        }
        if bytes > limit {
            return Decision::Refused;
        }
        self.make_room(key, bytes, used - limit, now_ms)
    }

    /// Returns the reason for which a body has to end, if it has to.
    pub fn eviction(&self, key: HolderKey) -> Option<Eviction> {
        self.holders.get(&key)?.eviction
    }

    /// Chooses the bodies that have to end so that `missing` bytes become free for `key`.
    fn make_room(&mut self, key: HolderKey, bytes: usize, missing: usize, now_ms: u64) -> Decision {
        let ending = self.holders.values();
        let ending = ending.filter(|holder| holder.eviction.is_some());
        let mut freed: usize = ending.map(|holder| holder.bytes).sum();
        for slow in self.too_slow(key, now_ms) {
            if freed >= missing {
                break;
            }
            freed += self.evict(slow, Eviction::TooSlow);
        }
        while freed < missing {
            match self.newest_of_largest_owner(key, bytes) {
                Some(newest) if newest != key => freed += self.evict(newest, Eviction::Newest),
                _ => return Decision::Refused,
            }
        }
        Decision::Wait
    }

    fn evict(&mut self, key: HolderKey, reason: Eviction) -> usize {
        let holder = self.holders.get_mut(&key).expect("the key was just found");
        holder.eviction = Some(reason);
        holder.bytes
    }

    /// Returns the bodies other than `key` that arrive too slowly, the slowest first.
    fn too_slow(&self, key: HolderKey, now_ms: u64) -> Vec<HolderKey> {
        let others = self.holders.iter().filter(|(other, _)| **other != key);
        let slow = others.filter(|(_, holder)| {
            holder.can_be_evicted() && now_ms >= holder.span_start_ms + PROGRESS_SPAN_MS
        });
        let mut slow: Vec<_> = slow
            .map(|(key, holder)| (holder.span_start_ms, *key))
            .collect();
        slow.sort_unstable();
        slow.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns the newest body that can end, of the owner whose bodies hold the most.
    ///
    /// `key` counts with the `bytes` that it asks for.
    fn newest_of_largest_owner(&self, key: HolderKey, bytes: usize) -> Option<HolderKey> {
        let mut by_owner: BTreeMap<Option<IpAddr>, (usize, Option<HolderKey>)> = BTreeMap::new();
        for (holder_key, holder) in &self.holders {
            let (sum, newest) = by_owner.entry(holder.owner).or_default();
            if holder.eviction.is_none() {
                *sum += if *holder_key == key {
                    bytes
                } else {
                    holder.bytes
                };
            }
            // The holders are visited from the oldest to the newest.
            if holder.can_be_evicted() {
                *newest = Some(*holder_key);
            }
        }
        let owners = by_owner.into_values();
        let owners = owners.filter_map(|(sum, newest)| Some((sum, newest?)));
        owners.max().map(|(_, newest)| newest)
    }

    /// Records that bytes of a body have arrived.
    pub fn record_arrival(&mut self, key: HolderKey, bytes: usize, now_ms: u64) {
        let least = self.limits.min_rate * PROGRESS_SPAN_MS as usize / 1_000;
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.arrived += bytes;
            if holder.arrived >= least {
                holder.arrived = 0;
                holder.span_start_ms = now_ms;
            }
        }
    }

    /// Records that a body has been read in full, after which it keeps its memory until closed.
    ///
    /// Returns `false` if it has to end instead.
    pub fn complete(&mut self, key: HolderKey) -> bool {
        let holder = self.holders.get_mut(&key);
        holder.is_some_and(|holder| {
            holder.is_reading = false;
            holder.eviction.is_none()
        })
    }

    /// Removes a body and gives its memory back.
    pub fn close(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.remove(&key) {
            self.used -= holder.bytes;
        }
    }
}
