//! Admission of requests to services whose engines are nearly full.
//!
//! The decisions are those of [`toucanshelf_routing::room`]. They apply if the settings reserve a
//! share of the room, to requests that have a rank.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use rand::RngExt as _;
use toucanshelf_core::rank::Rank;
use toucanshelf_routing::room::{Arrival, RoomChange, RoomLedger, RoomPolicy};

use crate::request::CallerRequest;
use crate::shared::Shared;

/// Admissions and refusals of each service, by its name.
#[derive(Debug, Default)]
pub struct Rooms {
    ledgers: Mutex<BTreeMap<Box<str>, RoomLedger>>,
}

impl Rooms {
    fn with_ledger<T>(&self, service: &str, f: impl FnOnce(&mut RoomLedger) -> T) -> T {
        let mut ledgers = self.ledgers.lock().expect("no holder panics");
        if !ledgers.contains_key(service) {
            ledgers.insert(service.into(), RoomLedger::new());
        }
        f(ledgers.get_mut(service).expect("it was just inserted"))
    }
}

/// Returns the share of the engines' room that a request may fill.
///
/// Returns `None` if it is not limited.
pub(crate) fn limit(shared: &Shared, req: &CallerRequest) -> Option<f64> {
    let policy = RoomPolicy::new(shared.settings.reserved_share?);
    let left_ms = req.facts.deadline_ms.unwrap_or(u64::MAX);
    let arrival = Arrival::new(req.allowed.as_millis() as u64, left_ms);
    Some(policy.limit(req.rank?, req.ranks, arrival))
}

/// Records that a request begins within its limit.
pub(crate) fn record_begun(shared: &Shared, req: &CallerRequest) {
    let Some(rank) = req.rank else { return };
    let now = shared.now();
    let rooms = &shared.rooms;
    let change = rooms.with_ledger(&req.service, |ledger| ledger.record_begun(now, rank));
    log_change(req, rank, change);
    count(shared, rank, "begun");
}

/// Returns whether a request may begin beyond its limit, so that its rank isn't starved.
pub(crate) fn takes_floor(shared: &Shared, req: &CallerRequest) -> bool {
    let Some(rank) = req.rank else { return false };
    let rooms = &shared.rooms;
    let taken = rooms.with_ledger(&req.service, |ledger| ledger.take_floor(rank));
    if taken {
        count(shared, rank, "floor");
    }
    taken
}

/// Records that a request is refused; returns the time after which its caller should return.
pub(crate) fn record_refused(shared: &Shared, req: &CallerRequest) -> Option<Duration> {
    let rank = req.rank?;
    let (now, sample) = (shared.now(), rand::rng().random());
    let left_ms = req.remaining_ms().unwrap_or(0);
    let (change, after_ms) = shared.rooms.with_ledger(&req.service, |ledger| {
        let change = ledger.record_refused(now, rank);
        (change, ledger.return_after_ms(left_ms, sample))
    });
    log_change(req, rank, change);
    count(shared, rank, "refused");
    after_ms.map(Duration::from_millis)
}

/// Records how long the whole stream of a request took.
pub(crate) fn record_duration(shared: &Shared, req: &CallerRequest) {
    if shared.settings.reserved_share.is_some() {
        let ms = req.age_ms();
        let rooms = &shared.rooms;
        rooms.with_ledger(&req.service, |ledger| ledger.record_duration(ms));
    }
}

fn count(shared: &Shared, rank: Rank, outcome: &str) {
    let admissions = &shared.metrics.admissions;
    let labels = [&*rank.0.to_string(), outcome];
    admissions.with_label_values(&labels).inc();
}

fn log_change(req: &CallerRequest, rank: Rank, change: Option<RoomChange>) {
    match change {
        Some(RoomChange::Crowded) => {
            tracing::warn!(event = "TS4324", request = req.id(), service = %req.service, rank = rank.0, "requests of a rank are refused for lack of room");
        }
        Some(RoomChange::Calm { refused }) => {
            tracing::info!(event = "TS4325", request = req.id(), service = %req.service, rank = rank.0, refused, "there is room for requests of a rank again");
        }
        None => {}
    }
}
