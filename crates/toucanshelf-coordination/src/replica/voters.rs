//! Choice of the next change to the voters and learners of the replicated log.
//!
//! Voters elect the leader and form the quorum; learners only receive the log.

use std::collections::BTreeSet;

use super::entry::{Membership, ReplicaId};
use super::{ELECTION_TIMEOUT_MS, Replica, Role};

/// Maximum number of voters of the replicated log.
pub const MAX_VOTERS: usize = 5;

/// Time without acknowledgements after which a voter may be replaced, in milliseconds.
// Longer than a pause of the voter's process of some seconds, so that a voter that resumes is not
// replaced.
const VOTER_TIMEOUT_MS: u64 = 6_000;

/// Minimum of the time without acknowledgements after which a voter may be replaced, in milliseconds.
// Followers of a lost leader need this long to elect the next one.
const MIN_VOTER_TIMEOUT_MS: u64 = 2 * ELECTION_TIMEOUT_MS;

/// Returns the time without acknowledgements after which a voter may be replaced.
///
/// If a platform states after which time a new instance has caught up, the next one may be lost
/// right then. The predecessor is replaced before: half of the time is left for an election and for
/// the changes of the voters. All times are in milliseconds.
pub fn silence_limit_ms(catch_up_ms: Option<u64>) -> u64 {
    catch_up_ms.map_or(VOTER_TIMEOUT_MS, |catch_up_ms| {
        (catch_up_ms / 2).clamp(MIN_VOTER_TIMEOUT_MS, VOTER_TIMEOUT_MS)
    })
}

/// Policy that decides how many voters there are and which are removed.
#[derive(Clone, Debug, Default)]
pub struct VoterPolicy {
    /// Desired number of voters.
    pub wanted: usize,
    /// Replica that leads, if known; of several voters that are leaving, it is replaced last.
    pub leader: Option<ReplicaId>,
    /// Replicas that have been unresponsive for too long.
    ///
    /// Such a voter is removed once a replacement votes; such a learner is not promoted.
    pub unresponsive: BTreeSet<ReplicaId>,
    /// Replicas that have announced that they stop.
    ///
    /// They are replaced as unresponsive ones are, but without waiting for their silence.
    pub leaving: BTreeSet<ReplicaId>,
    /// Learners that lack committed entries or don't answer now; they are not promoted.
    pub lagging: BTreeSet<ReplicaId>,
}

impl VoterPolicy {
    /// Creates a policy for `wanted` voters, at most [`MAX_VOTERS`], with none to be replaced.
    pub fn new(wanted: usize) -> Self {
        Self {
            wanted: wanted.min(MAX_VOTERS),
            ..Self::default()
        }
    }

    /// Creates a policy from what `leader` knows of the other replicas.
    ///
    /// A replica is unresponsive if it has acknowledged no message for longer than
    /// `silence_limit_ms`, in milliseconds; without a limit, none is. `leaving` holds the replicas
    /// that have announced that they stop.
    pub fn of_leader(
        leader: &Replica,
        wanted: usize,
        silence_limit_ms: Option<u64>,
        leaving: BTreeSet<ReplicaId>,
    ) -> Self {
        let members = leader.membership();
        let is_silent = |id: &ReplicaId| {
            let silence = leader.time_since_ack(*id);
            silence
                .zip(silence_limit_ms)
                .is_some_and(|(silence, limit)| silence > limit)
        };
        let all = members.voters.iter().chain(&members.learners).copied();
        let learners = members.learners.iter().copied();
        Self {
            leader: Some(leader.id()),
            unresponsive: all.filter(is_silent).collect(),
            leaving,
            lagging: learners.filter(|id| !leader.may_vote(*id)).collect(),
            ..Self::new(wanted)
        }
    }

    fn is_replaced(&self, id: ReplicaId) -> bool {
        self.unresponsive.contains(&id) || self.leaving.contains(&id)
    }

    fn may_promote(&self, id: ReplicaId) -> bool {
        !self.is_replaced(id) && !self.lagging.contains(&id)
    }
}

impl Replica {
    /// Returns whether this leader may promote a learner, which has caught up and answers now.
    ///
    /// The promotion enlarges the quorum. A learner that has just been lost would be missing in it.
    pub fn may_vote(&self, learner: ReplicaId) -> bool {
        self.role == Role::Leader && self.answers(learner) && self.has_caught_up(learner)
    }
}

/// Returns the next membership change towards the desired voters, if one is needed.
///
/// `known_replicas` lists the latest known replica of each instance. The lost predecessor of a
/// replica on the same instance is removed before the replica may vote, so that no instance has two
/// votes. A voter that is lost, unresponsive or leaving is removed only after an additional replica
/// votes, so that committing the removal does not depend on that voter. It becomes a learner unless
/// its disk is lost, so that it hears of its removal.
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
    let replaced = first_replaced(current, known_replicas, policy);
    if current.voters.len() > policy.wanted
        && let Some(old) = replaced.or_else(|| surplus_voter(current, policy))
    {
        next.voters.remove(&old);
        if !has_lost_disk(old, known_replicas) {
            next.learners.insert(old);
        }
        return Some(next);
    }
    let eligible = |id: &&ReplicaId| known_replicas.contains(id) && policy.may_promote(**id);
    let predecessor_of = |id: &ReplicaId| current.voters.iter().find(|old| old.same_instance(*id));
    let learners = || current.learners.iter().filter(eligible);
    if let Some(old) = learners().find_map(predecessor_of) {
        next.voters.remove(old);
        return Some(next);
    }
    if current.voters.len() >= policy.wanted + usize::from(replaced.is_some()) {
        return None;
    }
    let learner = learners().next()?;
    next.learners.remove(learner);
    next.voters.insert(*learner);
    Some(next)
}

/// Returns the voter that is to be replaced first, if any.
///
/// A voter that has lost its disk never answers again. One that is leaving still answers, so it is
/// replaced last.
fn first_replaced(
    current: &Membership,
    known_replicas: &[ReplicaId],
    policy: &VoterPolicy,
) -> Option<ReplicaId> {
    let mut voters = current.voters.iter();
    let lost = voters.find(|id| has_lost_disk(**id, known_replicas));
    let unresponsive = || current.voters.intersection(&policy.unresponsive).next();
    let leaving = || {
        let leaving = current.voters.intersection(&policy.leaving);
        leaving.min_by_key(|id| (Some(**id) == policy.leader, **id))
    };
    lost.or_else(unresponsive).or_else(leaving).copied()
}

/// Returns whether the instance of a replica has another one now, since the disk was lost.
fn has_lost_disk(id: ReplicaId, known_replicas: &[ReplicaId]) -> bool {
    let mut known = known_replicas.iter();
    known.any(|known| *known != id && known.same_instance(id))
}

/// Returns a voter of an even number, which bears no more losses than there are without that voter.
///
/// There is one too many if a voter answers again once another one votes in its place.
fn surplus_voter(current: &Membership, policy: &VoterPolicy) -> Option<ReplicaId> {
    let is_even = current.voters.len().is_multiple_of(2);
    let mut voters = current.voters.iter().rev().copied();
    voters.find(|id| is_even && Some(*id) != policy.leader)
}
