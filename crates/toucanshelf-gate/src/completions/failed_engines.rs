//! Engines that failed attempts of one request.

use std::collections::BTreeMap;

/// Time after which an engine that refused or stalled a request may run it again, in milliseconds.
// With the maximum number of attempts, a request waits longer than for a route without the engine.
const RETURN_DELAY_MS: u64 = 1_000;

/// Engines that refused a request or failed while they ran it, by name.
#[derive(Clone, Debug, Default)]
pub struct FailedEngines {
    failures: BTreeMap<Box<str>, Failure>,
}

/// How an engine failed the last attempt that used it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    /// The engine was lost, perhaps because of the request, or violated the protocol.
    Lasting,
    /// The engine was unreachable, refused the attempt or stalled.
    Passing {
        /// Time from which the engine may be tried again, in milliseconds of the gate's clock.
        return_at: u64,
    },
}

impl FailedEngines {
    /// Records an engine that must not run the request again.
    pub fn record_lasting(&mut self, engine: &str) {
        self.failures.insert(engine.into(), Failure::Lasting);
    }

    /// Records an engine that may run the request again later if no other engine can.
    ///
    /// `now` is in milliseconds of the gate's clock.
    pub fn record_passing(&mut self, engine: &str, now: u64) {
        let passing = Failure::Passing {
            return_at: now + RETURN_DELAY_MS,
        };
        let failure = self.failures.entry(engine.into()).or_insert(passing);
        if *failure != Failure::Lasting {
            *failure = passing;
        }
    }

    /// Returns the names of all these engines.
    pub fn names(&self) -> Vec<Box<str>> {
        self.failures.keys().cloned().collect()
    }

    /// Returns the names of the engines that must not be tried at the time `now`.
    ///
    /// `now` is in milliseconds of the gate's clock.
    pub fn names_to_exclude(&self, now: u64) -> Vec<Box<str>> {
        let excluded = self.failures.iter().filter(|(_, failure)| match failure {
            Failure::Lasting => true,
            Failure::Passing { return_at } => now < *return_at,
        });
        excluded.map(|(name, _)| name.clone()).collect()
    }
}
