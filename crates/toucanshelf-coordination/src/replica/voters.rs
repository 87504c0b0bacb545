//! Choice of the next change to the voters and learners of the replicated log.
//!
//! Voters elect the leader and form the quorum; learners only receive the log.

use std::collections::BTreeSet;

use super::entry::{Membership, ReplicaId};

/// Maximum number of voters of the replicated log.
pub const MAX_VOTERS: usize = 5;

/// Policy that decides how many voters there are and which are removed.
#[derive(Clone, Debug, Default)]
pub struct VoterPolicy {
    /// Desired number of voters.
    pub wanted: usize,
    /// Replicas that have been unresponsive for too long.
    ///
    /// Such a voter is removed once a replacement votes; such a learner is not promoted.
    pub unresponsive: BTreeSet<ReplicaId>,
}

impl VoterPolicy {
    /// Creates a policy for `wanted` voters, at most [`MAX_VOTERS`], with none unresponsive.
    pub fn new(wanted: usize) -> Self {
        Self {
            wanted: wanted.min(MAX_VOTERS),
            unresponsive: BTreeSet::new(),
        }
    }
}

/// Returns the next membership change towards the desired voters, if one is needed.
///
/// `known_replicas` lists the latest known replica of each instance. The lost predecessor of a
/// replica on the same instance is removed before the replica may vote, so that no instance has two
/// votes. An unresponsive voter is removed only after an additional replica votes, so that
/// committing the removal does not depend on the unresponsive voter.
pub fn next_membership(
    current: &Membership,
    known_replicas: &[ReplicaId],
    policy: &VoterPolicy,
) -> Option<Membership> {
    let is_member = |id: &ReplicaId| current.voters.contains(id) || current.learners.contains(id);
    let mut next = current.clone();
    if let Some(id) = known_replicas.iter().find(|id| !is_member(id)) {
        next.learners.retain(|old| !old.same_instance(*id));
        next.learners.insert(*id);
        return Some(next);
    }
    let mut unresponsive = current.voters.intersection(&policy.unresponsive);
    if current.voters.len() > policy.wanted
        && let Some(old) = unresponsive.next()
    {
        next.voters.remove(old);
        return Some(next);
    }
    let eligible =
        |id: &&ReplicaId| known_replicas.contains(id) && !policy.unresponsive.contains(id);
    let predecessor_of = |id: &ReplicaId| current.voters.iter().find(|old| old.same_instance(*id));
    let learners = || current.learners.iter().filter(eligible);
    if let Some(old) = learners().find_map(predecessor_of) {
        next.voters.remove(old);
        return Some(next);
    }
    let unresponsive = current.voters.intersection(&policy.unresponsive).count();
    if current.voters.len() >= policy.wanted + unresponsive.min(1) {
        return None;
    }
    let learner = learners().next()?;
    next.learners.remove(learner);
    next.voters.insert(*learner);
    Some(next)
}
