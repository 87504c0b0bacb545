//! Suspicion that a request crashes the targets that run it.

use std::sync::Arc;

use toucanshelf_routing::quarantine::{LossCount, Losses, Quarantine};

use super::pipeline::Job;
use crate::shared::Shared;

/// Most engines that are asked whether there is an outage.
const MAX_PROBES: usize = 16;

/// This gate's count for one request; every change is told to the other gates.
#[derive(Debug)]
pub struct Suspicion<'a> {
    shared: &'a Arc<Shared>,
    job: &'a Job,
    /// Whether the loss of a target has been counted before the attempt.
    charged: bool,
}

impl<'a> Suspicion<'a> {
    /// Starts without a charge.
    pub fn new(shared: &'a Arc<Shared>, job: &'a Job) -> Self {
        Self {
            shared,
            job,
            charged: false,
        }
    }

    /// Counts the loss that a suspect may cause before it runs, so that no other gate runs it too.
    pub fn charge(&mut self) {
        self.charged = true;
        self.count_loss(false);
    }

    /// Takes the charge back after an attempt that lost no target.
    pub fn refund(&mut self) {
        if std::mem::take(&mut self.charged) {
            self.change_count(Quarantine::revert_loss);
        }
    }

    /// Counts a lost target, unless its loss was counted before the attempt.
    pub fn lose_target(&mut self, streaming: bool) {
        if !std::mem::take(&mut self.charged) {
            self.count_loss(streaming);
        }
    }

    /// Notes that the request has got past its start.
    pub fn pass_start(&mut self) {
        self.charged = false;
        self.change_count(Quarantine::clear_starting_losses);
    }

    /// Clears the request after its end.
    pub fn clear(&self) {
        self.change_count(Quarantine::clear);
    }

    /// Finds out whether the last loss was part of an outage, and if so excuses it, once.
    ///
    /// Asks the other engines in the zones of the lost ones. Whatever ails a request, it does not
    /// end engines that it has not reached.
    pub async fn excuse(&self, lost: &[Box<str>]) -> bool {
        let addresses = {
            let mut fleets = self.shared.fleets();
            let model = fleets.model(&self.job.model);
            model.map_or_else(Vec::new, |model| model.zone_peers(lost, MAX_PROBES))
        };
        let probes = addresses
            .into_iter()
            .map(|address| self.shared.engines.probe(address));
        let answers = futures_util::future::join_all(probes).await;
        let outage = answers.iter().any(|answers| !answers);
        outage && self.change_count(Quarantine::discount_outage)
    }

    fn count_loss(&self, streaming: bool) {
        let now = self.shared.now();
        self.change_count(|quarantine, fingerprint, gate| {
            Some(quarantine.record_loss(now, fingerprint, gate, streaming))
        });
    }

    /// Changes this gate's count and tells the other gates; returns whether anything changed.
    fn change_count(
        &self,
        change: impl FnOnce(&mut Quarantine, u64, &str) -> Option<LossCount>,
    ) -> bool {
        let (fingerprint, gate) = (self.job.fingerprint, &self.shared.settings.name);
        let changed = change(&mut self.shared.policy().quarantine, fingerprint, gate);
        let Some(count) = changed else {
            return false;
        };
        let Losses {
            starting,
            streaming,
        } = count.losses;
        tracing::warn!(event = "TS3504", request = %self.job.request, fingerprint, starting, streaming, "suspicion changed");
        self.shared
            .gossip
            .broadcast_suspect(gate, fingerprint, count);
        true
    }
}
