//! Counts of the targets that were lost while they ran a request.
//!
//! A target is lost if it crashes or the connection to it breaks. An outage is a failure of engines
//! that the request did not cause. A suspected request is one that may have crashed targets. An
//! isolated attempt uses engines that run no other suspected request of this gate. A loss is
//! precounted if it is counted before an isolated attempt runs.

use std::sync::Arc;

use toucanshelf_routing::quarantine::{LossCount, Losses, Quarantine};

use super::pipeline::Job;
use crate::shared::Shared;

/// Maximum number of engines that are probed to detect an outage.
const MAX_OUTAGE_PROBES: usize = 16;

/// Counts the targets that this gate lost while they ran one request.
///
/// A starting loss comes before the first token of an attempt, a streaming loss after it. Each
/// changed count is sent to the other gates. The [`Quarantine`] uses the counts of all gates to
/// isolate or refuse requests that crash targets.
#[derive(Debug)]
pub struct LossTracker<'a> {
    shared: &'a Arc<Shared>,
    job: &'a Job,
    /// Whether the count already includes a target that the current attempt may crash.
    precounted: bool,
}

impl<'a> LossTracker<'a> {
    /// Creates a tracker for a request that has made no attempts yet.
    pub fn new(shared: &'a Arc<Shared>, job: &'a Job) -> Self {
        Self {
            shared,
            job,
            precounted: false,
        }
    }

    /// Adds one lost target to the request's count before an isolated attempt runs.
    ///
    /// An isolated attempt runs on engines that run no other request suspected of crashing targets.
    /// Meanwhile, the count keeps other gates from running a request with the same model and
    /// prompt.
    pub fn precount_loss(&mut self) {
        self.precounted = true;
        self.count_loss(false);
    }

    /// Undoes [`Self::precount_loss`] after an attempt during which no target was lost.
    ///
    /// It has no effect if the attempt lost a target or if none was counted in advance.
    pub fn revert_precounted_loss(&mut self) {
        if std::mem::take(&mut self.precounted) {
            self.update_count(Quarantine::revert_loss);
        }
    }

    /// Counts a target that crashed or disconnected while it ran the request.
    ///
    /// The target is not counted again if [`Self::precount_loss`] has counted it. `streaming` tells
    /// whether the attempt had delivered a token before.
    pub fn record_loss(&mut self, streaming: bool) {
        if !std::mem::take(&mut self.precounted) {
            self.count_loss(streaming);
        }
    }

    /// Resets the number of targets lost before the first token of an attempt.
    ///
    /// It is called once an attempt has delivered a token.
    pub fn clear_starting_losses(&mut self) {
        self.precounted = false;
        self.update_count(Quarantine::clear_starting_losses);
    }

    /// Resets this gate's count of lost targets after the request has completed.
    pub fn clear(&self) {
        self.update_count(Quarantine::clear);
    }

    /// Subtracts one from the count of lost targets if an outage is likely.
    ///
    /// Probes other engines in the zones of `lost_engines`. A request can't crash engines that
    /// never received it, so an unreachable one points to an outage. All requests with the same
    /// fingerprint, the hash of the model and the prompt, share the count, from which at most one
    /// target is subtracted in this way. Returns whether the count changed.
    pub async fn discount_outage(&self, lost_engines: &[Box<str>]) -> bool {
        let addresses = {
            let mut fleets = self.shared.fleets();
            let model = fleets.model(&self.job.model);
            model.map_or_else(Vec::new, |model| {
                model.zone_peers(lost_engines, MAX_OUTAGE_PROBES)
            })
        };
        let probes = addresses
            .into_iter()
            .map(|address| self.shared.engines.probe(address));
        let results = futures_util::future::join_all(probes).await;
        let is_outage = results.iter().any(|reachable| !reachable);
        is_outage && self.update_count(Quarantine::discount_outage)
    }

    fn count_loss(&self, streaming: bool) {
        let now = self.shared.now();
        self.update_count(|quarantine, fingerprint, gate| {
            Some(quarantine.record_loss(now, fingerprint, gate, streaming))
        });
    }

    /// Updates this gate's count of lost targets for the request and broadcasts it.
    ///
    /// Returns whether the count changed.
    fn update_count(
        &self,
        update: impl FnOnce(&mut Quarantine, u64, &str) -> Option<LossCount>,
    ) -> bool {
        let (fingerprint, gate) = (self.job.fingerprint, &self.shared.settings.name);
        let updated = update(&mut self.shared.policy().quarantine, fingerprint, gate);
        let Some(count) = updated else {
            return false;
        };
        let Losses {
            starting,
            streaming,
        } = count.losses;
        tracing::warn!(event = "TS3504", request = %self.job.request_id, fingerprint, starting, streaming, "loss count of a suspected request changed");
        self.shared
            .gossip
            .broadcast_suspect(gate, fingerprint, count);
        true
    }
}
