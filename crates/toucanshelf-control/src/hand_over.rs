//! Hand-over of a vote in the replicated log before the process stops.
//!
//! An instance that is asked to stop may be about to be removed for good. It announces that to the
//! others, and the leader lets a learner that has caught up vote in its place. If the instance
//! starts again, it rejoins as a learner.

use std::time::Duration;

use tokio::time::Instant;

use crate::Shared;

/// Maximum time that an instance waits until its vote is handed over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which an instance repeats its announcement while it waits.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);

/// Announces that this instance is about to stop, and waits while its vote can be handed over.
pub(crate) async fn run(shared: &Shared) {
    let started = Instant::now();
    let voted = shared.driver.status().votes;
    let outcome = loop {
        shared.driver.announce_departure(shared.driver.replica());
        shared.peers.announce_departure();
        // Even without a wait, the announcement needs time to be sent.
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        let status = shared.driver.status();
        if !status.votes {
            break if voted {
                "another replica votes"
            } else {
                "this replica has no vote"
            };
        }
        if status.suspended {
            break "this replica is suspended";
        }
        if !shared.peers.is_any_linked(&status.membership.learners) {
            break "no learner is linked";
        }
        if started.elapsed() >= HAND_OVER_TIMEOUT {
            break "no learner votes in time";
        }
    };
    let ms = started.elapsed().as_millis() as u64;
    tracing::info!(event = "TS2111", ms, outcome, "vote handed over or kept");
}
