//! Choice of the members of the replicated log, while this replica leads.

use std::collections::BTreeSet;

use tokio::sync::oneshot;
use toucanshelf_coordination::replica::{
    MAX_VOTERS, VoterPolicy, next_membership, silence_limit_ms,
};
use toucanshelf_core::state::CommandBody;

use super::Core;
use super::bootstrap::rand_u64;

impl Core {
    /// Returns the desired number of voters, and which replicas may not vote any longer or not yet.
    ///
    /// No replica is unresponsive or leaving if the settings enable no platform.
    fn voter_policy(&mut self) -> VoterPolicy {
        let Some(deployment) = &self.shared.settings.deployment else {
            return VoterPolicy::of_leader(&self.replica, MAX_VOTERS, None, BTreeSet::new());
        };
        let wanted = 2 * deployment.tolerated_losses + 1;
        let leaving = self.departures.leaving(&self.replica, self.now());
        let limit = silence_limit_ms(deployment.catch_up_ms);
        VoterPolicy::of_leader(&self.replica, wanted, Some(limit), leaving)
    }

    /// As leader, sets the id of a new log and proposes membership changes.
    ///
    /// Newly seen replicas become learners, which receive the log without voting. Learners that
    /// have caught up become voters.
    pub(super) fn adjust_membership(&mut self) {
        if !self.replica.has_lease() {
            return;
        }
        if self.shared.driver.log().is_none() && self.pending.is_empty() {
            let (reply, _) = oneshot::channel();
            self.propose(CommandBody::Found { log: rand_u64() }, reply);
        }
        let policy = self.voter_policy();
        let Some(next) = next_membership(self.replica.membership(), &self.known_replicas, &policy)
        else {
            return;
        };
        let voters: Vec<_> = next.voters.iter().map(|id| id.0).collect();
        match self.replica.propose_membership(next) {
            Ok(index) => tracing::info!(
                event = "TS2104",
                index = index.0,
                ?voters,
                unresponsive = ?policy.unresponsive,
                leaving = ?policy.leaving,
                "membership change proposed"
            ),
            Err(cause) => tracing::trace!(event = "TS2105", %cause, "membership change deferred"),
        }
    }
}
