//! Counts the runs of one request against the limit of its route.
//!
//! An attempt counts as a run from its start, before anything is sent. Whatever is decided about the
//! request while the attempt goes on therefore takes it into account. It stops counting only if the
//! request certainly doesn't run in it: nothing was sent, the target says so, or the target's process
//! has ended.
//!
//! ```
//! use toucanshelf_routing::runs::{AttemptState, RunLedger};
//!
//! let is_alive = |_| false;
//! let mut ledger = RunLedger::new(2);
//! let stalled = ledger.begin("engine-1");
//! let refused = ledger.begin("engine-2");
//! assert!(!ledger.has_run_left(is_alive));
//! ledger.settle(refused, AttemptState::NotRun);
//! assert!(ledger.has_run_left(is_alive));
//! ledger.settle(stalled, AttemptState::MayHaveRun);
//! assert_eq!(ledger.runs(is_alive), 1);
//! ```

/// Key of an attempt in a [`RunLedger`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptKey(usize);

/// What is known of an attempt to run a request at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptState {
    /// The attempt goes on, or its result is not known yet.
    Open,
    /// Nothing was sent to the target.
    NotSent,
    /// The target received the request and states that it has not run it.
    NotRun,
    /// The attempt was given up, and the target may have run the request.
    MayHaveRun,
    /// The attempt was given up because the process of its target has ended.
    ///
    /// It counts as a run after all if the target turns out to be alive.
    TargetEnded,
}

/// An attempt, with the target that it was made at.
#[derive(Clone, Copy, Debug)]
struct Attempt<T> {
    target: T,
    state: AttemptState,
}

/// Attempts of one request, and the limit of its runs.
///
/// `T` identifies targets.
#[derive(Clone, Debug)]
pub struct RunLedger<T> {
    limit: u32,
    /// Number of runs that another instance has counted; `None` if the request can't have run there.
    earlier_runs: Option<u32>,
    attempts: Vec<Attempt<T>>,
}

impl<T: Copy> RunLedger<T> {
    /// Creates the ledger of a request that may run `limit` times.
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            earlier_runs: None,
            attempts: Vec::new(),
        }
    }

    /// Includes the runs that another instance has counted.
    ///
    /// `None` means that the request can't have run there.
    #[must_use]
    pub fn with_earlier_runs(self, earlier_runs: Option<u32>) -> Self {
        Self {
            earlier_runs,
            ..self
        }
    }

    /// Records an attempt at `target` that is about to be made.
    pub fn begin(&mut self, target: T) -> AttemptKey {
        let state = AttemptState::Open;
        self.attempts.push(Attempt { target, state });
        AttemptKey(self.attempts.len() - 1)
    }

    /// Records what has become known of an attempt.
    ///
    /// # Panics
    ///
    /// Panics if the attempt belongs to another ledger with more attempts.
    pub fn settle(&mut self, attempt: AttemptKey, state: AttemptState) {
        self.attempts[attempt.0].state = state;
    }

    /// Returns the number of runs that count towards the limit.
    ///
    /// `has_ended` tells whether the process of a target has ended.
    pub fn runs(&self, has_ended: impl Fn(T) -> bool) -> u32 {
        let counted = self.attempts.iter().filter(|attempt| match attempt.state {
            AttemptState::NotSent | AttemptState::NotRun => false,
            AttemptState::MayHaveRun => true,
            AttemptState::Open | AttemptState::TargetEnded => !has_ended(attempt.target),
        });
        self.earlier_runs.unwrap_or(0) + counted.count() as u32
    }

    /// Returns whether the limit allows another run beside those that count.
    ///
    /// `has_ended` is as in [`RunLedger::runs`].
    pub fn has_run_left(&self, has_ended: impl Fn(T) -> bool) -> bool {
        self.runs(has_ended) < self.limit
    }

    /// Returns whether any target may have run the request, also one that has ended.
    pub fn may_have_run(&self) -> bool {
        let mut attempts = self.attempts.iter();
        let not_run = [AttemptState::NotSent, AttemptState::NotRun];
        self.earlier_runs.is_some() || attempts.any(|attempt| !not_run.contains(&attempt.state))
    }

    /// Returns whether any target may have received the request.
    pub fn is_offered(&self) -> bool {
        let mut attempts = self.attempts.iter();
        self.earlier_runs.is_some()
            || attempts.any(|attempt| attempt.state != AttemptState::NotSent)
    }

    /// Returns the number of all attempts of this instance.
    pub fn attempts(&self) -> u32 {
        self.attempts.len() as u32
    }
}
