//! Which replicas should vote.

use super::entry::{Membership, ReplicaId};

/// Most voters.
pub const MAX_VOTERS: usize = 5;

/// Next single step towards every seen replica being a voter, or none.
///
/// The lost predecessor of a replica on the same instance leaves before the replica may vote, so
/// that an instance never counts twice.
pub fn next_membership(current: &Membership, seen: &[ReplicaId]) -> Option<Membership> {
    let known = |id: &ReplicaId| current.voters.contains(id) || current.learners.contains(id);
    let mut next = current.clone();
    if let Some(id) = seen.iter().find(|id| !known(id)) {
        next.learners.retain(|old| !old.same_instance(*id));
        next.learners.insert(*id);
        return Some(next);
    }
    let learner = current.learners.iter().find(|id| seen.contains(id))?;
    let predecessor = current
        .voters
        .iter()
        .find(|old| old.same_instance(*learner));
    if let Some(old) = predecessor {
        next.voters.remove(old);
        return Some(next);
    }
    if current.voters.len() >= MAX_VOTERS {
        return None;
    }
    next.learners.remove(learner);
    next.voters.insert(*learner);
    Some(next)
}
