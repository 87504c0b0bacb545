//! Membership at the size of one zone: 112 gates, 933 targets, lossy gossip from fixed seeds.

use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use toucanshelf_coordination::membership::{Condition, Record, View};

const GATES: usize = 112;
const TARGETS: usize = 933;
const LEASE_MS: u64 = 3_000;
const STEP_MS: u64 = 100;
const FANOUT: usize = 8;
const RELAY_FANOUT: usize = 3;
/// Share of messages that are lost.
const LOSS: f64 = 0.1;
/// Stated target: a drain reaches every gate of the zone within 3 s.
const DRAIN_TARGET_MS: u64 = 3_000;

struct Zone {
    now: u64,
    views: Vec<View<u32>>,
    rng: ChaCha8Rng,
    /// Gate that each target renews at.
    homes: Vec<usize>,
    cut: std::ops::Range<usize>,
}

impl Zone {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let homes = (0..TARGETS).map(|_| rng.random_range(0..GATES)).collect();
        let views = (0..GATES)
            .map(|n| View::new(format!("gate-{n}"), LEASE_MS))
            .collect();
        let mut out = Self {
            now: 0,
            views,
            rng,
            homes,
            cut: 0..0,
        };
        out.run(4_000);
        out.assert_equal(0..GATES);
        out
    }

    fn reaches(&mut self, from: usize, to: usize) -> bool {
        self.cut.contains(&from) == self.cut.contains(&to) && !self.rng.random_bool(LOSS)
    }

    fn spread(&mut self, from: usize, fanout: usize, records: Vec<Record<u32>>) {
        let mut open = vec![(from, fanout, records)];
        while let Some((from, fanout, records)) = open.pop() {
            let others: Vec<usize> = (0..GATES).filter(|gate| *gate != from).collect();
            let chosen: Vec<usize> = others.sample(&mut self.rng, fanout).copied().collect();
            for to in chosen {
                if !self.reaches(from, to) {
                    continue;
                }
                let news = self.views[to].merge(self.now, records.clone());
                if !news.is_empty() {
                    open.push((to, RELAY_FANOUT, news));
                }
            }
        }
    }

    fn announce(&mut self, target: usize, condition: Condition) {
        let (home, name) = (self.homes[target], format!("engine-{target}"));
        let payload = target as u32;
        let view = &mut self.views[home];
        let changed = view.announce(self.now, &name, 1, condition, payload, |a, b| a == b);
        if let Ok(Some(record)) = changed {
            self.spread(home, FANOUT, vec![record]);
        }
    }

    /// One gate in ten compares its view with another at each step: each does so once a second.
    fn compare(&mut self, turn: u64) {
        for from in (0..GATES).filter(|gate| *gate as u64 % 10 == turn % 10) {
            let to = self.rng.random_range(0..GATES);
            if to == from || !self.reaches(from, to) {
                continue;
            }
            if self.views[from].hash() == self.views[to].hash() {
                continue;
            }
            let theirs = self.views[to].missing_from(&self.views[from].digests());
            let ours = self.views[from].missing_from(&self.views[to].digests());
            // As in the gate, news is passed on, refutations of lost targets among it.
            for (gate, records) in [(from, theirs), (to, ours)] {
                let news = self.views[gate].merge(self.now, records);
                if !news.is_empty() {
                    self.spread(gate, RELAY_FANOUT, news);
                }
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            let turn = self.now / STEP_MS;
            for target in (0..TARGETS).filter(|target| *target as u64 % 10 == turn % 10) {
                self.announce(target, Condition::Ready);
            }
            self.compare(turn);
            for gate in 0..GATES {
                let lost = self.views[gate].expire(self.now);
                if !lost.is_empty() {
                    self.spread(gate, FANOUT, lost);
                }
            }
        }
    }

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
        zone.run(DRAIN_TARGET_MS);
        for gate in 0..GATES {
            assert_eq!(
                zone.condition(gate, 7),
                Condition::Draining,
                "seed {seed}, gate {gate}"
            );
        }
    }
}

/// A part of the zone is cut off for longer than every lease and comes back: no target that was
/// there all along stays lost, and a drain made on one side holds on both.
#[test]
fn cut_and_rejoin() {
    for seed in 0..3 {
        let mut zone = Zone::new(seed);
        zone.cut = 0..30;
        for gate in 30..GATES {
            for lost in 0..30 {
                zone.views[gate].adopt(zone.now, &format!("gate-{lost}"));
            }
        }
        zone.run(2 * LEASE_MS);
        let drained = (0..TARGETS)
            .find(|target| zone.homes[*target] >= 30)
            .unwrap();
        zone.announce(drained, Condition::Draining);
        zone.cut = 0..0;
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
