//! Tests of voters that are replaced because they leave, are lost or have lost their disks.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use toucanshelf_coordination::replica::{
    Departures, ReplicaId, VoterPolicy, next_membership, silence_limit_ms,
};

use crate::cluster::Cluster;
use crate::{NEW_LEADER_MS, elected_cluster};

/// Voters that a deployment wants if it must bear the loss of one instance.
const WANTED: usize = 3;
/// Time after its start for which an instance still counts as lost, as a platform states it.
const CATCH_UP_MS: u64 = 4_000;
/// Time after which control takes a silent voter for lost, if no platform states `CATCH_UP_MS`.
const DEFAULT_SILENCE_LIMIT_MS: u64 = 6_000;
/// Maximum time that an instance that leaves waits until its vote is handed over.
const HAND_OVER_MS: u64 = 5_000;

/// Time after its announcement for which a replica that still answers counts as leaving.
const DEPARTURE_MS: u64 = 10_000;

/// Cluster whose leader changes the members as control does.
struct Replaced {
    cluster: Cluster,
    /// Departures that each replica has heard of.
    departures: BTreeMap<ReplicaId, Departures>,
    wanted: usize,
    silence_limit_ms: u64,
}

impl Replaced {
    fn new(seed: u64, silence_limit_ms: u64) -> Self {
        Self::with_voters(WANTED, seed, silence_limit_ms)
    }

    /// Creates a cluster with a learner that has caught up, and returns the voters and the learner.
    fn with_learner(seed: u64) -> (Self, Vec<ReplicaId>, ReplicaId) {
        let mut out = Self::new(seed, DEFAULT_SILENCE_LIMIT_MS);
        let voters = out.cluster.ids();
        let learner = out.join(4);
        out.run(NEW_LEADER_MS);
        (out, voters, learner)
    }

    fn with_voters(wanted: usize, seed: u64, silence_limit_ms: u64) -> Self {
        let (cluster, _) = elected_cluster(wanted as u32, seed);
        Self {
            cluster,
            departures: BTreeMap::new(),
            wanted,
            silence_limit_ms,
        }
    }

    fn step(&mut self) {
        self.cluster.step();
        let Some(id) = self.cluster.leader() else {
            return;
        };
        let leader = self.cluster.replica(id).unwrap();
        let departures = self.departures.entry(id).or_default();
        let leaving = departures.leaving(leader, self.cluster.now);
        let policy =
            VoterPolicy::of_leader(leader, self.wanted, Some(self.silence_limit_ms), leaving);
        let current = leader.membership().clone();
        if let Some(next) = next_membership(&current, &self.cluster.ids(), &policy) {
            self.cluster.propose_membership(id, next);
        }
    }

    fn run(&mut self, ms: u64) {
        let until = self.cluster.now + ms;
        while self.cluster.now < until {
            self.step();
        }
    }

    /// Adds an instance with an empty disk.
    fn join(&mut self, instance: u32) -> ReplicaId {
        self.cluster.join(instance)
    }

    /// Starts an instance that was stopped, which its new links announce to the others.
    fn start(&mut self, id: ReplicaId) {
        self.cluster.start(id);
        for departures in self.departures.values_mut() {
            departures.cancel(id);
        }
    }

    /// Tells all replicas that one of them leaves.
    fn announce(&mut self, id: ReplicaId) {
        for other in self.cluster.ids() {
            let departures = self.departures.entry(other).or_default();
            departures.announce(id, self.cluster.now);
        }
    }

    /// Announces that a replica leaves, and stops it as soon as its vote is handed over.
    fn leave(&mut self, id: ReplicaId) {
        self.announce(id);
        let until = self.cluster.now + HAND_OVER_MS;
        let votes = |cluster: &Cluster| {
            let replica = cluster.replica(id).unwrap();
            replica.committed_membership().voters.contains(&id)
        };
        while votes(&self.cluster) && self.cluster.now < until {
            self.step();
        }
        self.cluster.crash(id);
    }

    /// Checks that the cluster elects a leader and commits a command.
    fn check_progress(&mut self, what: &str) {
        self.run(2 * NEW_LEADER_MS);
        let leader = self.cluster.leader();
        let leader = leader.unwrap_or_else(|| panic!("{what}: no leader"));
        let command = format!("{what}-{}", self.cluster.now);
        assert!(self.cluster.propose(leader, command.as_bytes()), "{what}");
        self.run(500);
        let acknowledged = self.cluster.acknowledged.contains(command.as_bytes());
        assert!(acknowledged, "{what}: not committed");
    }

    fn voters(&self) -> BTreeSet<ReplicaId> {
        let leader = self.cluster.leader().expect("a leader is elected");
        let leader = self.cluster.replica(leader).unwrap();
        leader.committed_membership().voters
    }
}

/// Guards against a quorum that is lost because voters stop in turn before their silence counts.
///
/// The leader is among them. Successors have caught up before the first voter stops.
#[test]
fn leave_in_turn() {
    for seed in 0..100 {
        let mut replaced = Replaced::new(seed, DEFAULT_SILENCE_LIMIT_MS);
        let first = replaced.cluster.ids();
        let successors: Vec<_> = (4..=6).map(|instance| replaced.join(instance)).collect();
        replaced.run(NEW_LEADER_MS);
        for id in first {
            replaced.leave(id);
        }
        replaced.check_progress(&format!("seed {seed}"));
        let expected: BTreeSet<_> = successors.into_iter().collect();
        assert_eq!(replaced.voters(), expected, "seed {seed}");
    }
}

/// Guards against a stop that is announced before there is a successor and then waits for silence.
#[test]
fn leave_before_successor_joins() {
    for seed in 0..100 {
        let mut replaced = Replaced::new(seed, DEFAULT_SILENCE_LIMIT_MS);
        let first = replaced.cluster.ids();
        replaced.leave(first[0]);
        let successor = replaced.join(4);
        replaced.run(2 * NEW_LEADER_MS);
        assert!(replaced.voters().contains(&successor), "seed {seed}");
        replaced.cluster.crash(first[1]);
        replaced.check_progress(&format!("seed {seed}"));
    }
}

/// Guards against a restart after which an instance never votes again.
#[test]
fn leave_and_return() {
    for seed in 0..100 {
        let (mut replaced, first, _) = Replaced::with_learner(seed);
        replaced.leave(first[0]);
        replaced.start(first[0]);
        replaced.run(NEW_LEADER_MS);
        assert!(!replaced.voters().contains(&first[0]), "seed {seed}");
        replaced.leave(first[1]);
        replaced.check_progress(&format!("seed {seed}"));
        assert!(replaced.voters().contains(&first[0]), "seed {seed}");
    }
}

/// Guards against an instance that never votes again, because its announcement arrives after its restart.
#[test]
fn late_announcement_of_departure() {
    for seed in 0..50 {
        let (mut replaced, first, _) = Replaced::with_learner(seed);
        replaced.leave(first[0]);
        replaced.start(first[0]);
        replaced.announce(first[0]);
        replaced.run(DEPARTURE_MS + NEW_LEADER_MS);
        replaced.leave(first[1]);
        replaced.check_progress(&format!("seed {seed}"));
        assert!(replaced.voters().contains(&first[0]), "seed {seed}");
    }
}

/// Guards against a vote that is handed to an instance that is about to stop itself.
#[test]
fn leaving_learner_is_not_promoted() {
    for seed in 0..50 {
        let (mut replaced, first, learner) = Replaced::with_learner(seed);
        replaced.announce(learner);
        replaced.leave(first[0]);
        replaced.cluster.crash(learner);
        replaced.check_progress(&format!("seed {seed}"));
        assert!(!replaced.voters().contains(&learner), "seed {seed}");
    }
}

/// Guards against a quorum that counts on a learner that was lost while it waited to vote.
///
/// One voter is lost, and its successor, too, before it votes. The two remaining voters must go on.
#[test]
fn successor_lost_before_it_votes() {
    for seed in 0..100 {
        let mut replaced = Replaced::new(seed, DEFAULT_SILENCE_LIMIT_MS);
        let first = replaced.cluster.ids();
        let successor = replaced.join(4);
        replaced.cluster.crash(first[0]);
        replaced.run(CATCH_UP_MS + 500);
        replaced.cluster.crash(successor);
        replaced.run(DEFAULT_SILENCE_LIMIT_MS);
        replaced.check_progress(&format!("seed {seed}, successor lost"));
        replaced.start(successor);
        replaced.run(NEW_LEADER_MS);
        assert!(replaced.voters().contains(&successor), "seed {seed}");
    }
}

/// Guards against a voter that lost its disk and is replaced only by its own instance.
///
/// Another instance has caught up, while the emptied one does not come to vote.
#[test]
fn lost_disk_beside_spare() {
    for seed in 0..100 {
        let (mut replaced, first, spare) = Replaced::with_learner(seed);
        let emptied = replaced.cluster.lose_disk(first[0]);
        replaced.cluster.isolate(emptied);
        replaced.run(2 * NEW_LEADER_MS);
        assert!(replaced.voters().contains(&spare), "seed {seed}");
        replaced.cluster.crash(first[1]);
        replaced.check_progress(&format!("seed {seed}"));
    }
}

/// Guards against a voter that is replaced later than the next instance may be lost.
///
/// The platform states that this may happen `CATCH_UP_MS` after the start of the first successor.
#[test]
fn second_loss_after_catch_up() {
    for seed in 0..100 {
        let mut replaced = Replaced::new(seed, silence_limit_ms(Some(CATCH_UP_MS)));
        let first = replaced.cluster.ids();
        let lost = (seed % 3) as usize;
        replaced.cluster.crash(first[lost]);
        replaced.join(4);
        replaced.run(CATCH_UP_MS);
        replaced.cluster.crash(first[(lost + 1) % 3]);
        replaced.check_progress(&format!("seed {seed}"));
    }
}

/// Guards against a fourth voter that stays although the one that it replaced answers again.
///
/// Four voters bear the loss of only one, also where two of them share an availability zone.
#[test]
fn voter_answers_while_replaced() {
    for seed in 0..100 {
        let mut replaced = Replaced::new(seed, DEFAULT_SILENCE_LIMIT_MS);
        let first = replaced.cluster.ids();
        replaced.join(4);
        replaced.cluster.isolate(first[0]);
        let votes = |replaced: &Replaced| {
            let leader = replaced.cluster.leader()?;
            let leader = replaced.cluster.replica(leader)?;
            Some(leader.membership().voters.len())
        };
        while votes(&replaced) != Some(WANTED + 1) {
            replaced.step();
        }
        replaced.cluster.rejoin(first[0]);
        replaced.run(NEW_LEADER_MS);
        assert_eq!(replaced.voters().len(), WANTED, "seed {seed}");
    }
}

#[test]
fn silence_limit_bounds() {
    assert_eq!(silence_limit_ms(None), DEFAULT_SILENCE_LIMIT_MS);
    assert_eq!(silence_limit_ms(Some(4_000)), 2_000);
    assert_eq!(silence_limit_ms(Some(60_000)), DEFAULT_SILENCE_LIMIT_MS);
    assert_eq!(silence_limit_ms(Some(0)), 1_200);
}

/// Kinds of events, each at as many instances as may be lost at a time.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Successors start and catch up; then more instances than may be lost leave for good, in turn.
    Replace,
    /// Instances are lost for good, and successors start.
    Lose,
    /// Instances stop with an announcement, in turn, and start again.
    Restart,
    /// Instances are killed and start again.
    Kill,
    /// Instances lose their disks and start again.
    LoseDisk,
    /// Instances stand still.
    Freeze,
    /// Instances are cut off from all others.
    CutOff,
}

const EVENTS: [Event; 7] = [
    Event::Replace,
    Event::Lose,
    Event::Restart,
    Event::Kill,
    Event::LoseDisk,
    Event::Freeze,
    Event::CutOff,
];

/// A deployment at which one event follows the other, each when the one before no longer counts.
struct Explored {
    replaced: Replaced,
    rng: ChaCha8Rng,
    /// Number of instances that may be lost at a time.
    losses: usize,
    running: Vec<ReplicaId>,
    next_instance: u32,
}

impl Explored {
    fn new(losses: usize, seed: u64) -> Self {
        let wanted = 2 * losses + 1;
        let limit = silence_limit_ms(Some(CATCH_UP_MS));
        let replaced = Replaced::with_voters(wanted, seed, limit);
        Self {
            running: replaced.cluster.ids(),
            replaced,
            rng: ChaCha8Rng::seed_from_u64(seed),
            losses,
            next_instance: wanted as u32 + 1,
        }
    }

    fn join(&mut self, count: usize) {
        for _ in 0..count {
            self.running.push(self.replaced.join(self.next_instance));
            self.next_instance += 1;
        }
    }

    fn remove_any(&mut self, count: usize) -> Vec<ReplicaId> {
        let mut pick = || {
            let n = self.rng.random_range(0..self.running.len());
            self.running.swap_remove(n)
        };
        (0..count).map(|_| pick()).collect()
    }

    /// Plays an event at random instances until it no longer counts as a loss.
    fn play(&mut self, event: Event) {
        if matches!(event, Event::Replace) {
            let count = self.losses + 1;
            let leaving = self.remove_any(count);
            self.join(count);
            self.replaced.run(CATCH_UP_MS);
            for id in leaving {
                self.replaced.leave(id);
            }
            return;
        }
        let ids = self.remove_any(self.losses);
        let outage_ms = self.rng.random_range(0..CATCH_UP_MS);
        self.begin(event, &ids, outage_ms);
        self.replaced.run(outage_ms);
        self.end(event, ids);
        self.replaced.run(CATCH_UP_MS);
    }

    fn begin(&mut self, event: Event, ids: &[ReplicaId], outage_ms: u64) {
        for id in ids {
            match event {
                Event::Lose | Event::Kill => self.replaced.cluster.crash(*id),
                Event::Restart => self.replaced.leave(*id),
                Event::Freeze => self.replaced.cluster.freeze(*id, outage_ms),
                Event::CutOff => self.replaced.cluster.isolate(*id),
                Event::LoseDisk | Event::Replace => {}
            }
        }
    }

    fn end(&mut self, event: Event, ids: Vec<ReplicaId>) {
        for id in ids {
            match event {
                Event::Lose => {
                    self.join(1);
                    continue;
                }
                Event::LoseDisk => {
                    let emptied = self.replaced.cluster.lose_disk(id);
                    self.running.push(emptied);
                    continue;
                }
                Event::Restart | Event::Kill => self.replaced.start(id),
                Event::CutOff => self.replaced.cluster.rejoin(id),
                Event::Freeze | Event::Replace => {}
            }
            self.running.push(id);
        }
    }
}

/// Checks that no order of events ends the quorum if no more than `losses` instances are lost at a time.
///
/// The cluster asserts that no two replicas lead a term or hold a lease, and that all apply the same
/// entries.
fn check_replacements(losses: usize, seed: u64) {
    let mut explored = Explored::new(losses, seed);
    if seed.is_multiple_of(2) {
        explored.join(1);
        explored.replaced.run(CATCH_UP_MS);
    }
    let mut played = Vec::new();
    for round in 0..12 {
        let event = EVENTS[explored.rng.random_range(0..EVENTS.len())];
        played.push(event);
        explored.play(event);
        if explored.rng.random_bool(0.3) {
            let what = format!("seed {seed}, round {round}, {played:?}");
            explored.replaced.check_progress(&what);
        }
    }
    let what = format!("seed {seed}, {played:?}");
    explored.replaced.check_progress(&what);
    for id in &explored.running {
        explored.replaced.cluster.check_complete(*id);
    }
    let running: BTreeSet<_> = explored.running.iter().copied().collect();
    let voters = explored.replaced.voters();
    assert!(
        voters.len() == explored.replaced.wanted && voters.is_subset(&running),
        "{what}: {voters:?} of {running:?}"
    );
}

#[test]
fn explore_replacements() {
    for seed in 0..200 {
        check_replacements(1, seed);
    }
}

#[test]
fn explore_replacements_with_two_losses() {
    for seed in 0..100 {
        check_replacements(2, seed);
    }
}
