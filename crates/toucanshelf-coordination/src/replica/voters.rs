//! Which replicas should vote.

use std::collections::BTreeSet;

use super::entry::{Membership, ReplicaId};

/// Most voters.
pub const MAX_VOTERS: usize = 5;

/// What decides on the number of voters.
#[derive(Clone, Debug, Default)]
pub struct VoterPolicy {
    /// Number of voters to reach.
    pub wanted: usize,
    /// Voters that have been silent for too long; they go once a replacement votes.
    pub silent: BTreeSet<ReplicaId>,
}

impl VoterPolicy {
    /// Policy that reaches `wanted` voters and removes none for its silence.
    pub fn new(wanted: usize) -> Self {
        Self {
            wanted: wanted.min(MAX_VOTERS),
            silent: BTreeSet::new(),
        }
    }
}

/// Next single step towards the wanted voters among the replicas seen, or none.
///
/// The lost predecessor of a replica on the same instance leaves before the replica may vote, so
/// that an instance never counts twice. A silent voter leaves only after another replica votes in
/// addition, so that the step itself never needs the silent one.
pub fn next_membership(
    current: &Membership,
    seen: &[ReplicaId],
    policy: &VoterPolicy,
) -> Option<Membership> {
    let known = |id: &ReplicaId| current.voters.contains(id) || current.learners.contains(id);
    let mut next = current.clone();
    if let Some(id) = seen.iter().find(|id| !known(id)) {
        next.learners.retain(|old| !old.same_instance(*id));
        next.learners.insert(*id);
        return Some(next);
    }
    let mut silent = current.voters.intersection(&policy.silent);
    if current.voters.len() > policy.wanted
        && let Some(old) = silent.next()
    {
        next.voters.remove(old);
        return Some(next);
    }
    let ready = |id: &&ReplicaId| seen.contains(id) && !policy.silent.contains(id);
    let succeeds = |id: &ReplicaId| current.voters.iter().find(|old| old.same_instance(*id));
    let learners = || current.learners.iter().filter(ready);
    if let Some(old) = learners().find_map(succeeds) {
        next.voters.remove(old);
        return Some(next);
    }
    let silent = current.voters.intersection(&policy.silent).count();
    if current.voters.len() >= policy.wanted + silent.min(1) {
        return None;
    }
    let learner = learners().next()?;
    next.learners.remove(learner);
    next.voters.insert(*learner);
    Some(next)
}
