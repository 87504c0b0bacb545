//! Decides which requests may begin while the engines of a service are nearly full.
//!
//! The room of an engine is its memory for requests and, on the first engine of a route, its slots. The
//! most urgent requests may fill all of it. The others leave a share free, the more the less urgent
//! they are, so that a more urgent request that comes next can begin at once. A request is refused if
//! more room than that is in use on its route, and is told when to return.
//!
//! While more urgent requests take all the room, each less urgent rank still gets one request in
//! [`FLOOR_INTERVAL`].

use std::collections::BTreeMap;

use toucanshelf_core::rank::Rank;

/// Number of more urgent requests after which a crowded rank may begin one beyond its limit.
pub const FLOOR_INTERVAL: f64 = 10.0;
/// Most requests of a rank that may begin beyond its limit in a row.
const MAX_FLOOR_CREDIT: f64 = 2.0;
/// Weight of the latest stream in the mean duration of streams.
const DURATION_WEIGHT: f64 = 0.05;
/// Duration of streams that is assumed until the first one has ended, in milliseconds.
const INITIAL_DURATION_MS: f64 = 2_500.0;
/// Shortest time after which a refused caller is told to return, in milliseconds.
// A caller that returns sooner has not waited as told, or hasn't been refused for lack of room.
pub const MIN_RETURN_MS: u64 = 400;
/// Share of a caller's remaining time after which it is told to return at the latest.
// It must be able to wait for an answer then.
const MAX_RETURN_SHARE: f64 = 0.3;
/// Time without a refusal after which a rank is no longer crowded, in milliseconds.
const CALM_MS: u64 = 1_000;

/// Whether a request comes for the first time or has waited after a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// The request has all the time that its route allows.
    New,
    /// The caller has spent [`MIN_RETURN_MS`] or more of the request's time.
    Returned,
}

impl Arrival {
    /// Tells the two apart by the time that the route allows and the time left, in milliseconds.
    pub fn new(allowed_ms: u64, left_ms: u64) -> Self {
        if allowed_ms.saturating_sub(left_ms) >= MIN_RETURN_MS {
            Self::Returned
        } else {
            Self::New
        }
    }
}

/// Limits on the room that requests may fill, by their rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomPolicy {
    /// Share of the room that the least urgent requests leave free, from 0 to 1.
    reserved_share: f64,
}

impl RoomPolicy {
    /// Creates limits that keep the share `reserved_share` free of the least urgent requests.
    pub fn new(reserved_share: f64) -> Self {
        Self {
            reserved_share: reserved_share.clamp(0.0, 1.0),
        }
    }

    /// Returns the share of the room that requests of `rank` may fill, out of `ranks` ranks.
    ///
    /// A request that has returned may fill as much as new ones of the next more urgent rank.
    pub fn limit(&self, rank: Rank, ranks: usize, arrival: Arrival) -> f64 {
        let last = ranks.saturating_sub(1).max(1) as f64;
        let rank = match arrival {
            Arrival::New => rank.0,
            Arrival::Returned => rank.0.saturating_sub(1),
        };
        1.0 - self.reserved_share * (f64::from(rank) / last).min(1.0)
    }
}

/// Change of whether requests of a rank are refused for lack of room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoomChange {
    /// Requests of the rank are refused from now on.
    Crowded,
    /// No request of the rank has been refused for `CALM_MS`; the number were refused before.
    Calm {
        /// Requests refused while the rank was crowded.
        refused: u64,
    },
}

/// Requests of one rank that were refused.
#[derive(Clone, Copy, Debug, Default)]
struct RankRecord {
    /// Requests that may begin beyond the limit.
    credit: f64,
    /// Time of the latest refusal, in milliseconds; `None` while the rank isn't crowded.
    refused_ms: Option<u64>,
    /// Requests refused since the rank became crowded.
    refused: u64,
}

/// Admissions and refusals of one service at one ingress.
///
/// Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct RoomLedger {
    ranks: BTreeMap<Rank, RankRecord>,
    mean_duration_ms: f64,
}

impl Default for RoomLedger {
    fn default() -> Self {
        Self::new()
    }
}

impl RoomLedger {
    /// Creates a ledger without requests.
    pub fn new() -> Self {
        Self {
            ranks: BTreeMap::new(),
            mean_duration_ms: INITIAL_DURATION_MS,
        }
    }

    /// Records that a request of `rank` begins within its limit; returns whether its rank is calm again.
    pub fn record_begun(&mut self, now: u64, rank: Rank) -> Option<RoomChange> {
        for (_, record) in self.ranks.range_mut(Rank(rank.0.saturating_add(1))..) {
            if record.refused_ms.is_some() {
                record.credit = (record.credit + 1.0 / FLOOR_INTERVAL).min(MAX_FLOOR_CREDIT);
            }
        }
        let record = self.ranks.get_mut(&rank)?;
        // A rank whose requests begin within its limit isn't starved.
        record.credit = 0.0;
        let is_calm = now.saturating_sub(record.refused_ms?) >= CALM_MS;
        is_calm.then(|| {
            let refused = record.refused;
            *record = RankRecord::default();
            RoomChange::Calm { refused }
        })
    }

    /// Returns whether a request of `rank` may begin although there is no route within its limit.
    ///
    /// This spends a credit that more urgent requests have left.
    pub fn take_floor(&mut self, rank: Rank) -> bool {
        let Some(record) = self.ranks.get_mut(&rank) else {
            return false;
        };
        let taken = record.credit >= 1.0;
        if taken {
            record.credit -= 1.0;
        }
        taken
    }

    /// Records that a request of `rank` is refused; returns whether its rank has become crowded.
    pub fn record_refused(&mut self, now: u64, rank: Rank) -> Option<RoomChange> {
        let record = self.ranks.entry(rank).or_default();
        record.refused += 1;
        let before = record.refused_ms.replace(now);
        before.is_none().then_some(RoomChange::Crowded)
    }

    /// Records how long a stream took, in milliseconds.
    pub fn record_duration(&mut self, ms: u64) {
        self.mean_duration_ms += DURATION_WEIGHT * (ms as f64 - self.mean_duration_ms);
    }

    /// Returns the time after which a refused caller should return, in milliseconds.
    ///
    /// Half of the streams that fill the room now end within half of their mean duration. The times
    /// are spread by `sample`, from 0 to 1, so that callers who were refused together don't return together.
    /// Returns `None` if too little of the caller's time is left to return at all.
    pub fn return_after_ms(&self, left_ms: u64, sample: f64) -> Option<u64> {
        let wait = self.mean_duration_ms * (0.5 + sample);
        let wait = wait.min(MAX_RETURN_SHARE * left_ms as f64) as u64;
        (wait >= MIN_RETURN_MS).then_some(wait)
    }
}
