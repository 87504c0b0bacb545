//! Sends streams and bookings through the gates until told to stop.
//!
//! A stream is a chat completion whose tokens arrive one by one. A booking is a non-idempotent
//! `POST` to the service, sent more than once under one idempotency key.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use toucanshelf_replay::caller::{Call, Caller, Observation, RequestOutcome};

use crate::deployment::{Deployment, ORGANISATION};

/// Number of callers that send requests at the same time.
const CALLER_COUNT: usize = 6;
/// Maximum number of tokens that a caller requests for one stream.
const MAX_TOKENS: u32 = 40;
/// Number of times that each `POST` call is sent under its idempotency key.
// Each send of a call starts at another gate than the one before it.
const SENDS_PER_BOOKING: usize = 2;

/// Idempotency key of a `POST` call, and how each of its sends ended.
#[derive(Clone, Debug)]
pub(crate) struct Booking {
    pub(crate) key: Box<str>,
    pub(crate) endings: Vec<RequestOutcome>,
}

/// What the callers observed of their streams and `POST` calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct Observations {
    pub(crate) streams: Vec<Observation>,
    pub(crate) bookings: Vec<Booking>,
}

/// Runs all callers until `stop` is set and returns what they observed.
pub(crate) async fn run_callers(deployment: &Deployment, stop: Arc<AtomicBool>) -> Observations {
    let callers = (0..CALLER_COUNT).map(|n| {
        let caller = Caller::new(deployment.gate_addresses.clone());
        tokio::spawn(run_caller(caller, n, Arc::clone(&stop)))
    });
    let callers: Vec<_> = callers.collect();
    let mut all = Observations::default();
    for caller in callers {
        let observations = caller.await.expect("no caller panics");
        all.streams.extend(observations.streams);
        all.bookings.extend(observations.bookings);
    }
    all
}

async fn run_caller(caller: Caller, n: usize, stop: Arc<AtomicBool>) -> Observations {
    let mut observations = Observations::default();
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let call = call_with_text(&format!("caller {n} round {round}"));
        observations
            .streams
            .push(caller.chat(&call, n + round).await);
        let mut endings = Vec::new();
        for send in 0..SENDS_PER_BOOKING {
            endings.push(caller.book(&call, n + round + send).await.outcome);
        }
        let key = call.key;
        observations.bookings.push(Booking { key, endings });
    }
    observations
}

fn call_with_text(text: &str) -> Call {
    Call {
        organisation: ORGANISATION.into(),
        text: text.into(),
        max_tokens: MAX_TOKENS,
        key: text.into(),
        hang_up_after: 0,
    }
}

/// Sends one stream to the first gate and one `POST` call to the second.
///
/// Returns the outcomes of the stream and the call, in this order.
pub(crate) async fn probe(deployment: &Deployment, text: &str) -> [RequestOutcome; 2] {
    let caller = Caller::new(deployment.gate_addresses.clone());
    let call = call_with_text(text);
    let stream = caller.chat(&call, 0).await;
    let booking = caller.book(&call, 1).await;
    [stream.outcome, booking.outcome]
}
