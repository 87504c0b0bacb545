//! Callers: streams and bookings, until they are told to stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use toucanshelf_replay::caller::{Call, Caller, Observation, RequestOutcome};

use crate::deployment::{Deployment, ORGANISATION};

/// Callers at once.
const CALLERS: usize = 6;
/// Tokens of an answer.
const TOKENS: u32 = 40;
/// Times that a booking is sent under its key, each to the next gate.
const SENDS: usize = 2;

/// A booking and how each of its sends ended.
#[derive(Clone, Debug)]
pub(crate) struct Booking {
    pub(crate) key: Box<str>,
    pub(crate) endings: Vec<RequestOutcome>,
}

/// What the callers have seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seen {
    pub(crate) streams: Vec<Observation>,
    pub(crate) bookings: Vec<Booking>,
}

/// Calls until `stop`, and returns what was seen.
pub(crate) async fn call(deployment: &Deployment, stop: Arc<AtomicBool>) -> Seen {
    let callers = (0..CALLERS).map(|n| {
        let caller = Caller::new(deployment.gate_addresses.clone());
        tokio::spawn(call_in_turn(caller, n, Arc::clone(&stop)))
    });
    let callers: Vec<_> = callers.collect();
    let mut all = Seen::default();
    for caller in callers {
        let seen = caller.await.expect("no caller panics");
        all.streams.extend(seen.streams);
        all.bookings.extend(seen.bookings);
    }
    all
}

async fn call_in_turn(caller: Caller, n: usize, stop: Arc<AtomicBool>) -> Seen {
    let mut seen = Seen::default();
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let call = call_for(&format!("caller {n} round {round}"));
        seen.streams.push(caller.chat(&call, n + round).await);
        let mut endings = Vec::new();
        for send in 0..SENDS {
            endings.push(caller.book(&call, n + round + send).await.outcome);
        }
        let key = call.key;
        seen.bookings.push(Booking { key, endings });
    }
    seen
}

fn call_for(text: &str) -> Call {
    Call {
        organisation: ORGANISATION.into(),
        text: text.into(),
        max_tokens: TOKENS,
        key: text.into(),
        hang_up_after: 0,
    }
}

/// Endings of a stream through the first gate and of a booking through the second.
pub(crate) async fn probe(deployment: &Deployment, text: &str) -> [RequestOutcome; 2] {
    let caller = Caller::new(deployment.gate_addresses.clone());
    let call = call_for(text);
    let stream = caller.chat(&call, 0).await;
    let booking = caller.book(&call, 1).await;
    [stream.outcome, booking.outcome]
}
