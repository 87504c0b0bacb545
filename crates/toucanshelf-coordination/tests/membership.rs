//! Gossip membership in a simulated zone of 112 gates and 933 targets.
//!
//! The simulation runs in virtual time from fixed seeds and loses a share of the messages.

use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use toucanshelf_coordination::membership::{Condition, Record, View};

const GATES: usize = 112;
const TARGETS: usize = 933;
/// Duration of a target's lease, in milliseconds.
const LEASE_MS: u64 = 3_000;
/// Duration of one simulation step, in milliseconds of virtual time.
const STEP_MS: u64 = 100;
/// Number of gates to which a gate sends its own changes.
const FANOUT: usize = 8;
/// Number of gates to which a gate relays a received change.
const RELAY_FANOUT: usize = 3;
/// Fraction of messages that are lost.
const LOSS_RATE: f64 = 0.1;
/// Maximum time until every gate knows that a target drains, in milliseconds.
const MAX_DRAIN_SPREAD_MS: u64 = 3_000;

/// Simulated zone whose gates gossip over a lossy network.
struct Zone {
    /// Virtual time, in milliseconds.
    now: u64,
    views: Vec<View<u32>>,
    rng: ChaCha8Rng,
    /// Index of the gate at which each target renews its lease.
    home_gates: Vec<usize>,
    /// Indices of the gates that a partition separates from the others.
    partitioned: std::ops::Range<usize>,
}

impl Zone {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let home_gates = (0..TARGETS).map(|_| rng.random_range(0..GATES)).collect();
        let views = (0..GATES)
            .map(|n| View::new(format!("gate-{n}"), LEASE_MS))
            .collect();
        let mut out = Self {
            now: 0,
            views,
            rng,
            home_gates,
            partitioned: 0..0,
        };
        out.run(4_000);
        out.assert_equal(0..GATES);
        out
    }

    /// Returns whether a message from gate `from` arrives at gate `to`.
    fn delivers(&mut self, from: usize, to: usize) -> bool {
        self.partitioned.contains(&from) == self.partitioned.contains(&to)
            && !self.rng.random_bool(LOSS_RATE)
    }

    /// Sends records to random gates, which relay those that are new to them.
    fn gossip(&mut self, from: usize, fanout: usize, records: Vec<Record<u32>>) {
        let mut pending = vec![(from, fanout, records)];
        while let Some((from, fanout, records)) = pending.pop() {
            let others: Vec<usize> = (0..GATES).filter(|gate| *gate != from).collect();
            let chosen: Vec<usize> = others.sample(&mut self.rng, fanout).copied().collect();
            for to in chosen {
                if !self.delivers(from, to) {
                    continue;
                }
                let updates = self.views[to].merge(self.now, records.clone());
                if !updates.is_empty() {
                    pending.push((to, RELAY_FANOUT, updates));
                }
            }
        }
    }

    fn announce(&mut self, target: usize, condition: Condition) {
        let (home_gate, name) = (self.home_gates[target], format!("engine-{target}"));
        let payload = target as u32;
        let view = &mut self.views[home_gate];
        let changed = view.announce(self.now, &name, 1, condition, payload, |a, b| a == b);
        if let Ok(Some(record)) = changed {
            self.gossip(home_gate, FANOUT, vec![record]);
        }
    }

    /// Compares the views of random pairs of gates and exchanges the records that differ.
    ///
    /// One gate in ten starts a comparison at each step, so each gate does so once a second.
    fn synchronise(&mut self, step: u64) {
        for from in (0..GATES).filter(|gate| *gate as u64 % 10 == step % 10) {
            let to = self.rng.random_range(0..GATES);
            if to == from || !self.delivers(from, to) {
                continue;
            }
            if self.views[from].hash() == self.views[to].hash() {
                continue;
            }
            let incoming = self.views[to].missing_from(&self.views[from].digests());
            let outgoing = self.views[from].missing_from(&self.views[to].digests());
            // The gate process also relays merged records, including refuted loss reports.
            for (gate, records) in [(from, incoming), (to, outgoing)] {
                let updates = self.views[gate].merge(self.now, records);
                if !updates.is_empty() {
                    self.gossip(gate, RELAY_FANOUT, updates);
                }
            }
        }
    }

    /// Runs the simulation for `ms` milliseconds.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            let step = self.now / STEP_MS;
            for target in (0..TARGETS).filter(|target| *target as u64 % 10 == step % 10) {
                self.announce(target, Condition::Ready);
            }
            self.synchronise(step);
            for gate in 0..GATES {
                let lost = self.views[gate].expire(self.now);
                if !lost.is_empty() {
                    self.gossip(gate, FANOUT, lost);
                }
            }
        }
    }

    /// Asserts that the given gates have equal views, which contain all targets.
    fn assert_equal(&self, gates: std::ops::Range<usize>) {
        let first = self.views[gates.start].hash();
        assert!(
            gates.clone().all(|gate| self.views[gate].hash() == first),
            "views differ"
        );
        assert_eq!(self.views[gates.start].records().count(), TARGETS);
    }

    fn condition(&self, gate: usize, target: usize) -> Condition {
        self.views[gate]
            .get(&format!("engine-{target}"))
            .unwrap()
            .condition
    }
}

#[test]
fn drain_reaches_every_gate() {
    for seed in 0..5 {
        let mut zone = Zone::new(seed);
        zone.announce(7, Condition::Draining);
        zone.run(MAX_DRAIN_SPREAD_MS);
        for gate in 0..GATES {
            assert_eq!(
                zone.condition(gate, 7),
                Condition::Draining,
                "seed {seed}, gate {gate}"
            );
        }
    }
}

/// Checks that the gates' views converge after a partition that outlasts every lease.
///
/// The larger side adopts the leases of the partitioned gates' targets and marks these targets as
/// lost although they still run. After the partition, no such target may stay lost, and a target
/// that began to drain on one side must be draining in all views.
#[test]
fn cut_and_rejoin() {
    for seed in 0..3 {
        let mut zone = Zone::new(seed);
        zone.partitioned = 0..30;
        for gate in 30..GATES {
            for lost in 0..30 {
                zone.views[gate].adopt(zone.now, &format!("gate-{lost}"));
            }
        }
        zone.run(2 * LEASE_MS);
        let drained = (0..TARGETS)
            .find(|target| zone.home_gates[*target] >= 30)
            .unwrap();
        zone.announce(drained, Condition::Draining);
        zone.partitioned = 0..0;
        zone.run(2 * LEASE_MS);
        zone.assert_equal(0..GATES);
        for target in 0..TARGETS {
            let expected = if target == drained {
                Condition::Draining
            } else {
                Condition::Ready
            };
            assert_eq!(
                zone.condition(3, target),
                expected,
                "seed {seed}, target {target}"
            );
        }
    }
}
