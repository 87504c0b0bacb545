//! Admission control, retry budget and quarantine of one gate.
//!
//! Admission control limits the number of running requests and queues others. The retry budget
//! limits retries. The quarantine isolates or refuses requests that are suspected of crashing
//! targets.

use std::collections::BTreeMap;

use tokio::sync::oneshot;
use toucanshelf_routing::admission::{Admission, AdmissionRequest, Decision, WaitKey};
use toucanshelf_routing::quarantine::Quarantine;
use toucanshelf_routing::retry::RetryBudget;

/// State of one gate that limits requests and retries and isolates suspected requests.
///
/// A suspected request is one that may have crashed targets.
#[derive(Debug)]
pub struct Policy {
    /// Budget that limits retries over all requests.
    pub retry_budget: RetryBudget,
    /// Fingerprints of requests that are suspected of crashing targets.
    ///
    /// A fingerprint is a hash of the model and the prompt.
    pub quarantine: Quarantine,
    /// Admission control of each model, by the canonical id of the model.
    admissions: BTreeMap<Box<str>, Admission>,
    /// Senders that notify queued requests of their start, by model and queue key.
    waiting: BTreeMap<(Box<str>, WaitKey), oneshot::Sender<()>>,
}

/// Result of a request for admission.
#[derive(Debug)]
pub enum AdmissionResult {
    /// The request may run immediately.
    Immediate,
    /// The request is queued and may run once the receiver gets a message.
    Queued(WaitKey, oneshot::Receiver<()>),
    /// The request is rejected and may be retried after this number of seconds.
    Rejected(u32),
}

impl Default for Policy {
    fn default() -> Self {
        Self::new()
    }
}

impl Policy {
    /// Creates the state of a gate that runs no requests.
    pub fn new() -> Self {
        Self {
            retry_budget: RetryBudget::new(),
            quarantine: Quarantine::new(),
            admissions: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Admits, queues or rejects a request for `model`.
    ///
    /// The model can run `limit` requests at once. The time `now` is in milliseconds.
    pub fn admit(
        &mut self,
        now: u64,
        model: &str,
        limit: u32,
        admission_request: AdmissionRequest<'_>,
    ) -> AdmissionResult {
        let admission = self
            .admissions
            .entry(model.into())
            .or_insert_with(|| Admission::new(limit));
        let started = admission.set_limit(now, limit);
        let decision = admission.submit(admission_request);
        self.notify_started(model, started);
        match decision {
            Decision::Run => AdmissionResult::Immediate,
            Decision::Shed { retry_after_s } => AdmissionResult::Rejected(retry_after_s),
            Decision::Wait(key) => {
                let (tx, rx) = oneshot::channel();
                self.waiting.insert((model.into(), key), tx);
                AdmissionResult::Queued(key, rx)
            }
        }
    }

    /// Records the end of a running request and starts queued requests in its place.
    ///
    /// The time `now` is in milliseconds.
    pub fn finish(&mut self, now: u64, model: &str, organisation: &str) {
        if let Some(admission) = self.admissions.get_mut(model) {
            let started = admission.finish(now, organisation);
            self.notify_started(model, started);
        }
    }

    /// Removes a request from the queue; returns true if it has already been started.
    pub fn withdraw(&mut self, model: &str, key: WaitKey) -> bool {
        let was_queued = self.waiting.remove(&(model.into(), key)).is_some();
        if was_queued && let Some(admission) = self.admissions.get_mut(model) {
            admission.withdraw(key);
        }
        !was_queued
    }

    /// Returns the numbers of running and of queued requests over all models.
    pub fn load(&self) -> (u32, usize) {
        let running = self.admissions.values().map(Admission::running).sum();
        let queued = self.admissions.values().map(Admission::queued).sum();
        (running, queued)
    }

    /// Notifies the queued requests with these keys that they may run.
    fn notify_started(&mut self, model: &str, keys: Vec<WaitKey>) {
        for key in keys {
            if let Some(tx) = self.waiting.remove(&(model.into(), key)) {
                // Sending fails if the request has just been cancelled. The request then finds in
                // `withdraw` that it was started, and gives its slot back.
                let _ = tx.send(());
            }
        }
    }
}
