//! Fault-injection tests of the replicated log, in virtual time from fixed seeds.

mod cluster;
mod failing_disk;
mod replacement;
mod store;

use cluster::{Cluster, Faults};
use toucanshelf_coordination::replica::{
    ELECTION_TIMEOUT_MS, Entry, EntryBody, HEARTBEAT_MS, Index, LogSnapshot, MAX_VOTERS, Message,
    MessageBody, Persisted, Replica, ReplicaConfig, ReplicaId, Role, Term, VoterPolicy,
    next_membership,
};

/// Reliable network without node faults.
const NO_FAULTS: Faults = Faults {
    loss_rate: 0.0,
    duplication_rate: 0.0,
    delay_ms: 5,
    fault_rate: 0.0,
    lost_disks: false,
};
/// Unreliable network with frequent node faults.
const FREQUENT_FAULTS: Faults = Faults {
    loss_rate: 0.1,
    duplication_rate: 0.1,
    delay_ms: 80,
    fault_rate: 0.01,
    lost_disks: false,
};
/// Maximum time allowed for the election of a new leader, in milliseconds.
const NEW_LEADER_MS: u64 = 2_000;

/// Returns a cluster without faults and its elected leader.
fn elected_cluster(voters: u32, seed: u64) -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::new(voters, seed, NO_FAULTS);
    cluster.run(NEW_LEADER_MS);
    let leader = cluster
        .leader()
        .expect("a leader must be elected within NEW_LEADER_MS");
    (cluster, leader)
}

/// Checks that a cluster with faults loses no acknowledged command once it is healed.
fn check_survival(voters: u32, seed: u64, faults: Faults) {
    let mut cluster = Cluster::new(voters, seed, faults);
    for n in 0..400u32 {
        cluster.run(50);
        for id in cluster.ids() {
            cluster.propose(id, format!("{n}-{}", id.0).as_bytes());
        }
    }
    cluster.set_faults(NO_FAULTS);
    cluster.heal();
    cluster.run(2 * NEW_LEADER_MS);
    let leader = cluster
        .leader()
        .unwrap_or_else(|| panic!("seed {seed}: no leader after healing"));
    assert!(cluster.propose(leader, b"last"), "seed {seed}");
    cluster.run(NEW_LEADER_MS);
    assert!(
        cluster.acknowledged.contains(&b"last"[..]),
        "seed {seed}: no progress"
    );
    for id in cluster.ids() {
        cluster.check_complete(id);
    }
}

#[test]
fn survive_three_voters() {
    for seed in 0..1_000 {
        check_survival(3, seed, FREQUENT_FAULTS);
    }
}

#[test]
fn survive_five_voters() {
    for seed in 10_000..10_400 {
        check_survival(5, seed, FREQUENT_FAULTS);
    }
}

#[test]
fn survive_single_voter() {
    for seed in 20_000..20_300 {
        check_survival(1, seed, FREQUENT_FAULTS);
    }
}

#[test]
fn elect_after_kill() {
    for seed in 0..200 {
        let (mut cluster, leader) = elected_cluster(3, seed);
        cluster.crash(leader);
        cluster.run(NEW_LEADER_MS);
        let next = cluster
            .leader()
            .unwrap_or_else(|| panic!("seed {seed}: no new leader"));
        assert_ne!(next, leader);
    }
}

#[test]
fn elect_after_isolation() {
    for seed in 0..200 {
        let (mut cluster, leader) = elected_cluster(5, seed);
        cluster.isolate(leader);
        cluster.run(NEW_LEADER_MS);
        let next = cluster
            .leader()
            .unwrap_or_else(|| panic!("seed {seed}: no new leader"));
        assert_ne!(next, leader);
        let isolated = cluster.replica(leader).unwrap();
        assert!(
            !isolated.has_lease() && isolated.role() != Role::Leader,
            "seed {seed}"
        );
    }
}

#[test]
fn lease_after_freeze() {
    for seed in 0..200 {
        let (mut cluster, leader) = elected_cluster(3, seed);
        cluster.freeze(leader, 3 * NEW_LEADER_MS);
        cluster.run(NEW_LEADER_MS);
        assert!(
            cluster.leader().is_some_and(|next| next != leader),
            "seed {seed}"
        );
        // The resumed leader must notice that it was replaced. `Cluster::step` asserts that no two
        // leases are valid at once.
        cluster.run(3 * NEW_LEADER_MS);
        assert_ne!(cluster.leader(), Some(leader), "seed {seed}");
    }
}

/// Checks that a replica that rejoins after a partition does not depose the leader.
///
/// Without pre-vote, the isolated replica would increment its term with every failed election, and
/// its higher term would depose the leader.
#[test]
fn rejoin_without_election() {
    for seed in 0..200 {
        let (mut cluster, leader) = elected_cluster(3, seed);
        let term = cluster.replica(leader).unwrap().term();
        let other = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
        cluster.isolate(other);
        cluster.run(5 * NEW_LEADER_MS);
        cluster.heal();
        cluster.run(NEW_LEADER_MS);
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
        assert_eq!(cluster.replica(leader).unwrap().term(), term, "seed {seed}");
    }
}

/// Checks that a restarted voter elects no leader during a lease that it acknowledged.
///
/// The restart discards the voter's in-memory time of its last contact with the leader.
/// `Cluster::step` asserts that no two leases are valid at once.
#[test]
fn restart_within_lease() {
    for seed in 0..300 {
        let (mut cluster, leader) = elected_cluster(3, seed);
        let others: Vec<_> = cluster
            .ids()
            .into_iter()
            .filter(|id| *id != leader)
            .collect();
        cluster.isolate(others[0]);
        cluster.run(NEW_LEADER_MS);
        // The isolated replica rejoins while the leader is partitioned and the third voter
        // restarts without its record of the last leader contact.
        cluster.rejoin(others[0]);
        cluster.isolate(leader);
        cluster.crash(others[1]);
        cluster.start(others[1]);
        cluster.run(NEW_LEADER_MS);
    }
}

/// Checks that a leader commits older entries only with one of its own term.
///
/// An entry of an older term may still be replaced by a later leader, even if a majority has it.
#[test]
fn commit_only_own_term() {
    let ids: Vec<_> = (1..=5).map(|n| ReplicaId::new(n, 1)).collect();
    let mut stored = Persisted::with_voters(ids.iter().copied());
    stored.term = Term(2);
    let body = EntryBody::Command(b"older".to_vec());
    stored.entries.push(Entry {
        index: Index(1),
        term: Term(2),
        body,
    });
    let mut replica = Replica::new(ReplicaConfig::new(ids[0]), stored, 1, 1);
    let respond = |replica: &mut Replica, body: MessageBody| {
        for from in &ids[1..3] {
            let (from, to, term) = (*from, ids[0], Term(3));
            replica.receive(
                5_000,
                Message {
                    from,
                    to,
                    term,
                    body: body.clone(),
                },
            );
        }
        let ready = replica.ready();
        replica.persisted(&ready);
    };
    replica.tick(5_000);
    respond(&mut replica, MessageBody::PreVoteReply { granted: true });
    respond(&mut replica, MessageBody::VoteReply { granted: true });
    assert_eq!(replica.role(), Role::Leader);
    let reply = |matched| MessageBody::AppendReply {
        matched,
        rejected: false,
        sent: 5_000,
    };
    respond(&mut replica, reply(Index(1)));
    assert_eq!(
        replica.commit_index(),
        Index(0),
        "an entry of an older term must not be committed by counting replicas"
    );
    respond(&mut replica, reply(Index(2)));
    assert_eq!(replica.commit_index(), Index(2));
}

/// Checks that a voter does not vote twice in one term after a restart.
#[test]
fn vote_after_restart() {
    let ids: Vec<_> = (1..=3).map(|n| ReplicaId::new(n, 1)).collect();
    let stored = Persisted::with_voters(ids.iter().copied());
    let message = |from: ReplicaId, body| Message {
        from,
        to: ids[0],
        term: Term(5),
        body,
    };
    let vote_request = MessageBody::Vote {
        last_index: Index(0),
        last_term: Term(0),
    };
    let mut replica = Replica::new(ReplicaConfig::new(ids[0]), stored.clone(), 1, 1);
    // A higher term is stored even before any vote is granted.
    replica.receive(
        10,
        message(ids[2], MessageBody::VoteReply { granted: false }),
    );
    assert_eq!(replica.ready().vote, Some((Term(5), None)));
    replica.receive(20, message(ids[1], vote_request.clone()));
    let ready = replica.ready();
    assert_eq!(
        ready.vote,
        Some((Term(5), Some(ids[1]))),
        "the vote must be stored"
    );
    let granted = MessageBody::VoteReply { granted: true };
    assert!(ready.messages.iter().any(|message| message.body == granted));
    let (term, vote) = ready.vote.unwrap();
    let stored = Persisted {
        term,
        vote,
        ..stored
    };
    let mut replica = Replica::new(ReplicaConfig::new(ids[0]), stored, 1, 10);
    replica.receive(NEW_LEADER_MS, message(ids[2], vote_request));
    let refused = MessageBody::VoteReply { granted: false };
    assert!(
        replica
            .ready()
            .messages
            .iter()
            .all(|message| message.body == refused)
    );
}

/// Checks that a voter grants no vote while a leader contacts it.
#[test]
fn vote_while_leader_is_heard() {
    let ids: Vec<_> = (1..=3).map(|n| ReplicaId::new(n, 1)).collect();
    let mut stored = Persisted::with_voters(ids.iter().copied());
    stored.term = Term(1);
    let mut replica = Replica::new(ReplicaConfig::new(ids[0]), stored, 1, 1);
    let (entries, previous, previous_term) = (Vec::new(), Index(0), Term(0));
    let body = MessageBody::Append {
        previous,
        previous_term,
        entries,
        commit: Index(0),
        sent: 5_000,
    };
    replica.receive(
        5_000,
        Message {
            from: ids[1],
            to: ids[0],
            term: Term(1),
            body,
        },
    );
    let body = MessageBody::Vote {
        last_index: Index(9),
        last_term: Term(1),
    };
    replica.receive(
        5_010,
        Message {
            from: ids[2],
            to: ids[0],
            term: Term(2),
            body,
        },
    );
    assert_eq!((replica.term(), replica.ready().vote), (Term(1), None));
}

/// Checks that a leader counts its own entries only once they are durable.
#[test]
fn commit_after_store() {
    let ids: Vec<_> = (1..=3).map(|n| ReplicaId::new(n, 1)).collect();
    let stored = Persisted::with_voters(ids.iter().copied());
    let mut replica = Replica::new(ReplicaConfig::new(ids[0]), stored, 1, 1);
    let respond = |replica: &mut Replica, body| {
        let (from, to, term) = (ids[1], ids[0], Term(1));
        replica.receive(
            5_000,
            Message {
                from,
                to,
                term,
                body,
            },
        );
    };
    replica.tick(5_000);
    respond(&mut replica, MessageBody::PreVoteReply { granted: true });
    let ready = replica.ready();
    replica.persisted(&ready);
    respond(&mut replica, MessageBody::VoteReply { granted: true });
    let index = replica.propose(b"x".to_vec()).unwrap();
    let ready = replica.ready();
    let reply = MessageBody::AppendReply {
        matched: index,
        rejected: false,
        sent: 5_000,
    };
    respond(&mut replica, reply);
    assert_eq!(
        replica.commit_index(),
        Index(0),
        "the entry is durable on only one of three replicas"
    );
    replica.persisted(&ready);
    assert_eq!(replica.commit_index(), index);
}

/// Checks that installing a snapshot removes all entries of a longer, outdated log.
#[test]
fn install_over_longer_log() {
    let ids: Vec<_> = (1..=3).map(|n| ReplicaId::new(n, 1)).collect();
    let mut stored = Persisted::with_voters(ids.iter().copied());
    stored.term = Term(1);
    let body = EntryBody::Command(b"stale".to_vec());
    stored.entries = (1..=9)
        .map(|n| Entry {
            index: Index(n),
            term: Term(1),
            body: body.clone(),
        })
        .collect();
    let membership = stored.snapshot.membership.clone();
    let mut replica = Replica::new(ReplicaConfig::new(ids[0]), stored, 1, 1);
    let state = Vec::new();
    let snapshot = LogSnapshot {
        index: Index(5),
        term: Term(2),
        membership,
        state,
    };
    let body = MessageBody::Snapshot { snapshot, sent: 1 };
    replica.receive(
        10,
        Message {
            from: ids[1],
            to: ids[0],
            term: Term(2),
            body,
        },
    );
    let ready = replica.ready();
    assert!(ready.log_reset && ready.entries.is_empty());
    assert_eq!(replica.last_index(), Index(5));
}

#[test]
fn snapshot_to_late_replica() {
    let (mut cluster, leader) = elected_cluster(3, 11);
    let lagging = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
    cluster.crash(lagging);
    for n in 0..3_000u32 {
        cluster.propose(leader, &n.to_le_bytes());
        cluster.step();
    }
    cluster.start(lagging);
    cluster.run(NEW_LEADER_MS);
    assert_eq!(cluster.applied_to(lagging), cluster.applied_to(leader));
    cluster.check_complete(lagging);
}

/// Proposes the next change of voters and learners to the leader, as control does.
fn propose_next_membership(cluster: &mut Cluster) {
    let Some(leader) = cluster.leader() else {
        return;
    };
    let current = cluster.replica(leader).unwrap().membership().clone();
    if let Some(next) = next_membership(&current, &cluster.ids(), &VoterPolicy::new(MAX_VOTERS)) {
        cluster.propose_membership(leader, next);
    }
}

/// Checks that a repaired cluster survives the loss of a second instance.
///
/// A replica with a lost disk is replaced and must be a full voter before another one crashes.
#[test]
fn repair_then_second_loss() {
    for seed in 0..200 {
        let (mut cluster, leader) = elected_cluster(3, seed);
        for n in 0..100u32 {
            cluster.propose(leader, format!("before-{n}").as_bytes());
            cluster.step();
        }
        let others: Vec<_> = cluster
            .ids()
            .into_iter()
            .filter(|id| *id != leader)
            .collect();
        let replacement = cluster.lose_disk(others[0]);
        for _ in 0..400 {
            cluster.step();
            propose_next_membership(&mut cluster);
        }
        let leader = cluster
            .leader()
            .unwrap_or_else(|| panic!("seed {seed}: no leader"));
        let voters = cluster.replica(leader).unwrap().membership().voters.clone();
        assert!(
            voters.contains(&replacement) && voters.len() == 3,
            "seed {seed}: {voters:?}"
        );
        // The replacement and the remaining original replica must form a quorum.
        cluster.crash(others[1]);
        cluster.run(NEW_LEADER_MS);
        let leader = cluster
            .leader()
            .unwrap_or_else(|| panic!("seed {seed}: quorum lost"));
        assert!(cluster.propose(leader, b"after"));
        cluster.run(500);
        assert!(cluster.acknowledged.contains(&b"after"[..]), "seed {seed}");
        cluster.check_complete(replacement);
    }
}

/// Guards against a lost leader that is replaced too late because a slow election hid its silence.
///
/// Its followers can't reach each other for some seconds after its last message.
#[test]
fn lost_leader_silent_since_last_message() {
    for seed in 0..50 {
        let (mut cluster, lost) = elected_cluster(3, seed);
        let followers: Vec<_> = cluster.ids().into_iter().filter(|id| *id != lost).collect();
        cluster.crash(lost);
        let lost_at = cluster.now;
        cluster.isolate(followers[0]);
        cluster.run(3_000);
        cluster.rejoin(followers[0]);
        cluster.run(NEW_LEADER_MS);
        let leader = cluster.leader().expect("the followers elect a leader");
        let silence = |cluster: &Cluster, id| cluster.replica(leader).unwrap().time_since_ack(id);
        let since_lost = cluster.now - lost_at;
        let counted = silence(&cluster, lost).unwrap();
        assert!(
            counted + 2 * HEARTBEAT_MS >= since_lost,
            "seed {seed}: {counted} ms of {since_lost} ms"
        );
        cluster.start(lost);
        cluster.run(1_000);
        let counted = silence(&cluster, lost).unwrap();
        assert!(
            counted <= 1_000,
            "seed {seed}: alive, but silent for {counted} ms"
        );
    }
}

/// Guards against replacing a former leader that had no time to answer its successor.
#[test]
fn former_leader_has_time_to_answer() {
    for seed in 0..50 {
        let (mut cluster, former) = elected_cluster(3, seed);
        let others: Vec<_> = cluster
            .ids()
            .into_iter()
            .filter(|id| *id != former)
            .collect();
        cluster.crash(former);
        cluster.isolate(others[0]);
        cluster.run(8_000);
        cluster.rejoin(others[0]);
        let leader = loop {
            cluster.step();
            if let Some(leader) = cluster.leader().filter(|id| *id != former) {
                break leader;
            }
        };
        let silence = cluster.replica(leader).unwrap().time_since_ack(former);
        assert!(
            silence.unwrap() < ELECTION_TIMEOUT_MS,
            "seed {seed}: {silence:?}"
        );
    }
}

/// Checks that no acknowledged command is lost when voters lose their disks in turn.
///
/// Network and node faults are injected between the disk losses.
#[test]
fn survive_lost_disks() {
    for seed in 0..60 {
        let (mut cluster, _) = elected_cluster(5, seed);
        for round in 0..6u32 {
            cluster.set_faults(FREQUENT_FAULTS);
            for n in 0..40u32 {
                cluster.run(50);
                propose_next_membership(&mut cluster);
                for id in cluster.ids() {
                    cluster.propose(id, format!("{round}-{n}-{}", id.0).as_bytes());
                }
            }
            // Each replica is repaired before the next disk is lost.
            cluster.set_faults(NO_FAULTS);
            cluster.heal();
            for _ in 0..600 {
                cluster.step();
                propose_next_membership(&mut cluster);
            }
            let ids = cluster.ids();
            cluster.lose_disk(ids[(seed as usize + round as usize) % ids.len()]);
        }
        for _ in 0..1_000 {
            cluster.step();
            propose_next_membership(&mut cluster);
        }
        for id in cluster.ids() {
            cluster.check_complete(id);
        }
    }
}

#[test]
fn propose_second_change_too_early() {
    let (mut cluster, leader) = elected_cluster(3, 5);
    let mut smaller = cluster.replica(leader).unwrap().membership().clone();
    let others: Vec<_> = cluster
        .ids()
        .into_iter()
        .filter(|id| *id != leader)
        .collect();
    smaller.voters.remove(&others[0]);
    smaller.voters.remove(&others[1]);
    assert!(
        !cluster.propose_membership(leader, smaller.clone()),
        "a change of two voters must be rejected"
    );
    smaller.voters.insert(others[1]);
    assert!(cluster.propose_membership(leader, smaller.clone()));
    smaller.voters.remove(&others[1]);
    assert!(
        !cluster.propose_membership(leader, smaller),
        "a second change must be rejected until the first is committed"
    );
}

/// Checks that a rejoining replica disrupts the cluster when pre-vote is disabled.
///
/// This confirms that `rejoin_without_election` depends on pre-vote.
#[test]
fn switches_without_pre_vote() {
    let without_pre_vote = |id| {
        let mut config = ReplicaConfig::new(id);
        config.pre_vote = false;
        config
    };
    let seeds_with_raised_term = (0..50).filter(|seed| {
        let mut cluster = Cluster::new(3, *seed, NO_FAULTS);
        cluster.config = without_pre_vote;
        for id in cluster.ids() {
            cluster.crash(id);
            cluster.start(id);
        }
        cluster.run(NEW_LEADER_MS);
        let Some(leader) = cluster.leader() else {
            return false;
        };
        let term = cluster.replica(leader).unwrap().term();
        let other = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
        cluster.isolate(other);
        cluster.run(5 * NEW_LEADER_MS);
        cluster.heal();
        cluster.run(NEW_LEADER_MS);
        cluster
            .leader()
            .and_then(|id| cluster.replica(id))
            .map(Replica::term)
            != Some(term)
    });
    assert!(
        seeds_with_raised_term.count() > 0,
        "without pre-vote, a rejoining replica must raise the term"
    );
}
