//! Admission, retry budget and quarantine of one gate.

use std::collections::BTreeMap;

use tokio::sync::oneshot;
use toucanshelf_routing::admission::{Admission, AdmissionRequest, Decision, WaitKey};
use toucanshelf_routing::quarantine::Quarantine;
use toucanshelf_routing::retry::RetryBudget;

/// Policy state of one gate.
#[derive(Debug)]
pub struct Policy {
    /// Retries that are left.
    pub retries: RetryBudget,
    /// Requests that are suspected of crashing targets.
    pub quarantine: Quarantine,
    admissions: BTreeMap<Box<str>, Admission>,
    waiting: BTreeMap<(Box<str>, WaitKey), oneshot::Sender<()>>,
}

/// How a request was admitted.
#[derive(Debug)]
pub enum Admitted {
    /// Runs now.
    Now,
    /// Runs once the receiver gets a message.
    Later(WaitKey, oneshot::Receiver<()>),
    /// Is refused, with the time in seconds after which a new try makes sense.
    Shed(u32),
}

impl Default for Policy {
    fn default() -> Self {
        Self::new()
    }
}

impl Policy {
    /// Creates the policy of a gate without work.
    pub fn new() -> Self {
        Self {
            retries: RetryBudget::new(),
            quarantine: Quarantine::new(),
            admissions: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Takes a request for `model`, which has room for `limit` requests at once.
    pub fn admit(
        &mut self,
        now: u64,
        model: &str,
        limit: u32,
        offer: AdmissionRequest<'_>,
    ) -> Admitted {
        let admission = self
            .admissions
            .entry(model.into())
            .or_insert_with(|| Admission::new(limit));
        let started = admission.set_limit(now, limit);
        let decision = admission.submit(offer);
        self.wake(model, started);
        match decision {
            Decision::Run => Admitted::Now,
            Decision::Shed { retry_after_s } => Admitted::Shed(retry_after_s),
            Decision::Wait(key) => {
                let (tx, rx) = oneshot::channel();
                self.waiting.insert((model.into(), key), tx);
                Admitted::Later(key, rx)
            }
        }
    }

    /// Ends a request that was admitted.
    pub fn finish(&mut self, now: u64, model: &str, organisation: &str) {
        if let Some(admission) = self.admissions.get_mut(model) {
            let started = admission.finish(now, organisation);
            self.wake(model, started);
        }
    }

    /// Gives up a waiting request. Returns whether it had been started meanwhile.
    pub fn withdraw(&mut self, model: &str, key: WaitKey) -> bool {
        let waited = self.waiting.remove(&(model.into(), key)).is_some();
        if waited && let Some(admission) = self.admissions.get_mut(model) {
            admission.withdraw(key);
        }
        !waited
    }

    /// Requests that are running and waiting, over all models.
    pub fn load(&self) -> (u32, usize) {
        let running = self.admissions.values().map(Admission::running).sum();
        let queued = self.admissions.values().map(Admission::queued).sum();
        (running, queued)
    }

    fn wake(&mut self, model: &str, keys: Vec<WaitKey>) {
        for key in keys {
            if let Some(tx) = self.waiting.remove(&(model.into(), key)) {
                // A caller that has just gone gives its place back when it sees the message.
                let _ = tx.send(());
            }
        }
    }
}
