//! Tests of admission to services that are nearly full, without a network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use toucanshelf_core::rank::Rank;
use toucanshelf_routing::room::{
    Arrival, FLOOR_INTERVAL, MIN_RETURN_MS, RoomChange, RoomLedger, RoomPolicy,
};

const RANKS: usize = 3;
const URGENT: Rank = Rank(0);
const NORMAL: Rank = Rank(1);
const BATCH: Rank = Rank(2);
/// Requests that the engines of the test can run at once.
const SLOTS: usize = 200;
/// Mean time that a request takes, in milliseconds; they take half of it to one and a half times as long.
const REQUEST_MS: u64 = 2_000;

/// Requests of each rank that were sent, begun and refused.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u32,
    begun: u32,
}

impl Tally {
    fn share(self) -> f64 {
        f64::from(self.begun) / f64::from(self.sent.max(1))
    }
}

/// Engines with [`SLOTS`] slots behind one ingress.
struct Engines {
    policy: RoomPolicy,
    ledger: RoomLedger,
    /// Times at which the running requests end, in milliseconds.
    running: BinaryHeap<Reverse<u64>>,
    tallies: [Tally; RANKS],
}

impl Engines {
    fn new() -> Self {
        Self {
            policy: RoomPolicy::new(0.25),
            ledger: RoomLedger::new(),
            running: BinaryHeap::new(),
            tallies: [Tally::default(); RANKS],
        }
    }

    fn send(&mut self, now: u64, rank: Rank, arrival: Arrival) -> bool {
        while self.running.peek().is_some_and(|Reverse(end)| *end <= now) {
            self.running.pop();
        }
        let used = self.running.len() as f64 / SLOTS as f64;
        let begins = if used < self.policy.limit(rank, RANKS, arrival) {
            self.ledger.record_begun(now, rank);
            true
        } else {
            self.ledger.take_floor(rank)
        };
        if begins {
            let sent: u64 = self.tallies.iter().map(|tally| u64::from(tally.sent)).sum();
            let duration_ms = REQUEST_MS / 2 + sent * 617 % REQUEST_MS;
            self.running.push(Reverse(now + duration_ms));
        } else {
            self.ledger.record_refused(now, rank);
        }
        let tally = &mut self.tallies[usize::from(rank.0)];
        tally.sent += 1;
        tally.begun += u32::from(begins);
        begins
    }

    /// Sends requests of all ranks in turn for `span_ms`, at `load` times the capacity.
    fn send_all(&mut self, from_ms: u64, span_ms: u64, load: f64) {
        let interval_ms = REQUEST_MS as f64 / SLOTS as f64 / load;
        let count = (span_ms as f64 / interval_ms) as u64;
        for i in 0..count {
            let now = from_ms + (i as f64 * interval_ms) as u64;
            self.send(now, Rank((i % RANKS as u64) as u8), Arrival::New);
        }
    }

    /// Returns whether no request was refused.
    fn has_begun_all(&self) -> bool {
        self.tallies.iter().all(|tally| tally.begun == tally.sent)
    }

    fn shares(&self) -> [f64; RANKS] {
        self.tallies.map(Tally::share)
    }
}

// Pattern: burst over capacity, urgent beside batch.
#[test]
fn burst_served_by_rank() {
    for load in [1.2, 1.5, 2.0, 2.5] {
        let mut engines = Engines::new();
        engines.send_all(0, 20_000, load);
        let shares = engines.shares();
        assert!(
            shares[0] >= shares[1] && shares[1] >= shares[2],
            "load {load}: {shares:?}"
        );
        // A third of the requests is urgent, so that all of them fit but for what starves no other rank.
        assert!(
            shares[0] >= 1.0 - 1.0 / FLOOR_INTERVAL,
            "load {load}: {shares:?}"
        );
        let begun: u32 = engines.tallies.iter().map(|tally| tally.begun).sum();
        let capacity = 20_000.0 / REQUEST_MS as f64 * SLOTS as f64;
        assert!(
            f64::from(begun) >= 0.75 * capacity,
            "load {load}: {begun} begun"
        );
    }
}

// Pattern: usual load.
#[test]
fn usual_load_all_begin() {
    let mut engines = Engines::new();
    engines.send_all(0, 20_000, 0.7);
    assert!(engines.has_begun_all(), "{:?}", engines.tallies);
}

// Pattern: the burst ends and the system drains.
#[test]
fn burst_end_all_begin_again() {
    let mut engines = Engines::new();
    engines.send_all(0, 8_000, 2.5);
    // All requests of the burst have ended by then.
    let longest_ms = 3 * REQUEST_MS / 2;
    let drained_ms = 8_000 + longest_ms;
    engines.send_all(8_000, longest_ms, 0.7);
    engines.tallies = Default::default();
    engines.send_all(drained_ms, 5_000, 0.7);
    assert!(engines.has_begun_all(), "{:?}", engines.tallies);
}

// Pattern: the most urgent callers alone fill all the room.
#[test]
fn urgent_flood_starves_none() {
    let mut engines = Engines::new();
    for now in 0..20_000 {
        // 1.4 times the capacity, of which the urgent ones are 1.2 times.
        if now % 100 < 12 {
            engines.send(now, URGENT, Arrival::New);
        } else if now % 100 < 14 {
            engines.send(now, BATCH, Arrival::New);
        }
    }
    let begun = engines.tallies.map(|tally| f64::from(tally.begun));
    assert!(
        begun[2] >= 0.5 * begun[0] / FLOOR_INTERVAL,
        "begun by rank: {begun:?}"
    );
}

// Pattern: callers return together.
#[test]
fn returned_before_new() {
    let policy = RoomPolicy::new(0.25);
    for rank in [NORMAL, BATCH] {
        let new = policy.limit(rank, RANKS, Arrival::New);
        let returned = policy.limit(rank, RANKS, Arrival::Returned);
        assert!(new < returned, "{rank:?}: {new} and {returned}");
        let more_urgent = policy.limit(Rank(rank.0 - 1), RANKS, Arrival::New);
        assert!(returned <= more_urgent, "{rank:?}");
    }
}

#[test]
fn repeated_at_once_is_new() {
    for (left_ms, arrival) in [
        (20_000, Arrival::New),
        (20_000 - MIN_RETURN_MS + 1, Arrival::New),
        (20_000 - MIN_RETURN_MS, Arrival::Returned),
        (0, Arrival::Returned),
        // A deadline beyond the route's limit.
        (u64::MAX, Arrival::New),
    ] {
        assert_eq!(Arrival::new(20_000, left_ms), arrival, "{left_ms} ms left");
    }
}

#[test]
fn return_spread_and_within_time_left() {
    let mut ledger = RoomLedger::new();
    for _ in 0..200 {
        ledger.record_duration(4_000);
    }
    let early = ledger.return_after_ms(20_000, 0.0).unwrap();
    let late = ledger.return_after_ms(20_000, 1.0).unwrap();
    assert!(late >= 2 * early, "{early} to {late} ms");
    for left_ms in [2_000, 5_000, 20_000] {
        let wait = ledger.return_after_ms(left_ms, 1.0).unwrap();
        assert!(3 * wait <= left_ms, "{wait} of {left_ms} ms");
        assert!(wait >= MIN_RETURN_MS);
    }
    assert_eq!(ledger.return_after_ms(MIN_RETURN_MS, 0.5), None);
}

#[test]
fn crowded_and_calm_once() {
    let mut ledger = RoomLedger::new();
    assert_eq!(ledger.record_refused(0, BATCH), Some(RoomChange::Crowded));
    assert_eq!(ledger.record_refused(500, BATCH), None);
    assert_eq!(ledger.record_begun(900, BATCH), None);
    assert_eq!(ledger.record_begun(900, URGENT), None);
    assert_eq!(
        ledger.record_begun(1_500, BATCH),
        Some(RoomChange::Calm { refused: 2 })
    );
    assert_eq!(ledger.record_begun(3_000, BATCH), None);
}

#[test]
fn single_rank_has_all_room() {
    let policy = RoomPolicy::new(0.25);
    let limit = policy.limit(Rank(0), 1, Arrival::New);
    assert!((limit - 1.0).abs() < f64::EPSILON, "{limit}");
}
