//! Tests of the attribution of crashes to the content of requests.

use std::collections::VecDeque;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucanshelf_core::crash::{Content, Finding, Outcome, WHOLE_REQUEST_POSITION};
use toucanshelf_core::ids::{CrashId, PromptPart};
use toucanshelf_routing::crash_ledger::{
    CrashLedger, Handling, MAX_CONTENTS, MAX_TRIAL_MS, MIN_REFUSAL_MS, RETENTION_MS,
};

/// First prompt part of all requests in these tests.
const FIRST: Content = Content::Part(PromptPart(1));
/// Second prompt part of the requests that crash targets.
const DEADLY: Content = Content::Part(PromptPart(2));
const FREE_TRIAL: Handling = Handling::Trial { busy_until: 0 };

fn finding(content: Content, outcome: Outcome) -> Finding {
    let position = match content {
        Content::Request(_) => WHOLE_REQUEST_POSITION,
        Content::Part(part) => part.0 as u8 - 1,
    };
    Finding {
        service: "model".into(),
        content,
        position,
        outcome,
    }
}

/// Records that crash `id` ended a request with these contents.
fn crash(
    ledger: &mut CrashLedger,
    now: u64,
    id: u64,
    contents: &[Content],
    tried: Option<Content>,
) {
    for content in contents {
        let outcome = Outcome::Crashed {
            crash: CrashId(id),
            in_trial: tried == Some(*content),
        };
        ledger.apply(now, &finding(*content, outcome));
    }
}

/// Records that a request with `content` was answered after all crashes known so far.
fn serve(ledger: &mut CrashLedger, now: u64, content: Content) {
    let despite = ledger.unexplained(content);
    ledger.apply(now, &finding(content, Outcome::Served { despite }));
}

#[test]
fn suspected_after_two_crashes() {
    let mut ledger = CrashLedger::new();
    crash(&mut ledger, 0, 1, &[FIRST, DEADLY], None);
    assert_eq!(ledger.handling(&[DEADLY], 0), Handling::Normal);
    crash(&mut ledger, 0, 1, &[FIRST, DEADLY], None);
    assert_eq!(
        ledger.handling(&[DEADLY], 0),
        Handling::Normal,
        "both requests report the same crash"
    );
    crash(&mut ledger, 5, 2, &[FIRST, DEADLY], None);
    assert_eq!(ledger.handling(&[DEADLY], 5), FREE_TRIAL);
    assert_eq!(
        ledger.handling(&[FIRST], 5),
        Handling::Normal,
        "the later part explains the crashes as well and is in fewer requests"
    );
}

/// Guards against refusing the parts that sound requests share with those that crash targets.
#[test]
fn first_part_blamed_only_without_alternative() {
    let mut ledger = CrashLedger::new();
    let other = |n| Content::Part(PromptPart(n));
    crash(&mut ledger, 0, 1, &[FIRST, other(5)], None);
    crash(&mut ledger, 0, 2, &[FIRST, other(5)], None);
    crash(&mut ledger, 0, 3, &[FIRST, other(6)], None);
    assert_eq!(ledger.handling(&[FIRST], 0), FREE_TRIAL);
    assert_eq!(ledger.handling(&[other(5)], 0), Handling::Normal);
}

#[test]
fn answer_clears_suspect() {
    let mut ledger = CrashLedger::new();
    crash(&mut ledger, 0, 1, &[DEADLY], None);
    crash(&mut ledger, 0, 2, &[DEADLY], None);
    let despite = vec![CrashId(1)];
    ledger.apply(1, &finding(DEADLY, Outcome::Served { despite }));
    assert_eq!(ledger.unexplained(DEADLY), [CrashId(2)]);
    assert_eq!(ledger.handling(&[DEADLY], 1), Handling::Normal);
    crash(&mut ledger, 2, 1, &[DEADLY], None);
    assert_eq!(
        ledger.handling(&[DEADLY], 2),
        Handling::Normal,
        "a late copy of a cleared crash doesn't count"
    );
}

#[test]
fn one_trial_at_a_time() {
    let mut ledger = CrashLedger::new();
    crash(&mut ledger, 0, 1, &[DEADLY], None);
    crash(&mut ledger, 0, 2, &[DEADLY], None);
    let busy = Handling::Trial {
        busy_until: 10 + MAX_TRIAL_MS,
    };
    ledger.apply(10, &finding(DEADLY, Outcome::TrialStarted));
    assert_eq!(ledger.handling(&[DEADLY], 11), busy);
    ledger.apply(20, &finding(DEADLY, Outcome::TrialEnded));
    assert_eq!(ledger.handling(&[DEADLY], 20), FREE_TRIAL);
    ledger.apply(30, &finding(DEADLY, Outcome::TrialStarted));
    serve(&mut ledger, 40, DEADLY);
    assert_eq!(ledger.handling(&[DEADLY], 40), Handling::Normal);
}

/// Guards against a second trial because the crash of an earlier one is told again meanwhile.
#[test]
fn late_copy_keeps_trial() {
    let mut ledger = CrashLedger::new();
    crash(&mut ledger, 0, 1, &[DEADLY], None);
    crash(&mut ledger, 0, 2, &[DEADLY], Some(DEADLY));
    let busy_until = 10 + MAX_TRIAL_MS;
    ledger.apply(10, &finding(DEADLY, Outcome::TrialStarted));
    crash(&mut ledger, 11, 2, &[DEADLY], Some(DEADLY));
    assert_eq!(
        ledger.handling(&[DEADLY], 12),
        Handling::Trial { busy_until }
    );
}

#[test]
fn refused_after_crash_in_trial() {
    let mut ledger = CrashLedger::new();
    for id in 1..=5 {
        crash(&mut ledger, 0, id, &[DEADLY], None);
    }
    assert_eq!(
        ledger.handling(&[DEADLY], 0),
        FREE_TRIAL,
        "targets may crash at once for another reason"
    );
    crash(&mut ledger, 100, 6, &[DEADLY], Some(DEADLY));
    let until = 100 + MIN_REFUSAL_MS;
    assert_eq!(ledger.handling(&[DEADLY], 101), Handling::Refused { until });
    assert_eq!(ledger.handling(&[DEADLY], until), FREE_TRIAL);
    crash(&mut ledger, until, 7, &[DEADLY], Some(DEADLY));
    assert_eq!(
        ledger.handling(&[DEADLY], until + 1),
        Handling::Refused {
            until: until + 8 * MIN_REFUSAL_MS
        },
        "each failed trial prolongs the refusal"
    );
    serve(&mut ledger, until + 2, DEADLY);
    assert_eq!(ledger.handling(&[DEADLY], until + 2), Handling::Normal);
}

/// Guards against blaming a shared part for one request that is repeated.
#[test]
fn repeated_request_is_refused_alone() {
    let request = Content::Request(7);
    let mut ledger = CrashLedger::new();
    for id in 1..=4 {
        let tried = (id > 2).then_some(request);
        crash(&mut ledger, 0, id, &[request, FIRST], tried);
    }
    assert!(matches!(
        ledger.handling(&[request, FIRST], 0),
        Handling::Refused { .. }
    ));
    assert_eq!(ledger.handling(&[FIRST], 0), FREE_TRIAL);
    serve(&mut ledger, 1, FIRST);
    assert_eq!(ledger.handling(&[FIRST], 1), Handling::Normal);
}

#[test]
fn forgotten_in_time() {
    let mut ledger = CrashLedger::new();
    crash(&mut ledger, 0, 1, &[DEADLY, FIRST], None);
    serve(&mut ledger, 0, FIRST);
    ledger.prune(RETENTION_MS - 1);
    assert_eq!(ledger.unexplained(DEADLY), [CrashId(1)]);
    ledger.prune(RETENTION_MS);
    assert!(ledger.is_empty());
    for n in 0..MAX_CONTENTS as u64 + 10 {
        crash(&mut ledger, 0, n, &[Content::Request(n)], None);
    }
    assert_eq!(ledger.findings("model").len(), MAX_CONTENTS);
}

/// Guards against refusing a sound part because it was in the crashes of another one.
#[test]
fn sound_part_in_the_same_crashes() {
    let sound = Content::Part(PromptPart(3));
    let mut ledger = CrashLedger::new();
    for id in 1..=6 {
        let tried = (id > 2).then_some(sound);
        crash(&mut ledger, 0, id, &[sound, DEADLY], tried);
    }
    let refused = |ledger: &CrashLedger, contents: &[Content]| {
        matches!(ledger.handling(contents, 0), Handling::Refused { .. })
    };
    assert!(refused(&ledger, &[sound, DEADLY]));
    assert_eq!(
        ledger.handling(&[sound, FIRST], 0),
        FREE_TRIAL,
        "only a request without the other part tells the two apart"
    );
    assert!(!refused(&ledger, &[DEADLY]));
    serve(&mut ledger, 1, sound);
    assert_eq!(ledger.handling(&[sound, FIRST], 1), Handling::Normal);
    assert_eq!(ledger.handling(&[DEADLY], 1), FREE_TRIAL);
    crash(&mut ledger, 1, 7, &[FIRST, DEADLY], Some(DEADLY));
    assert!(refused(&ledger, &[DEADLY]));
    assert_eq!(ledger.handling(&[FIRST], 1), Handling::Normal);
}

/// An ingress with its ledger and the findings of the others that have not arrived yet.
#[derive(Clone, Default)]
struct SimulatedIngress {
    ledger: CrashLedger,
    arriving: VecDeque<Finding>,
}

/// Ingresses that send requests to targets which crash on one part.
#[derive(Clone)]
struct Simulation {
    ingresses: Vec<SimulatedIngress>,
    /// Part that crashes each target.
    deadly: u64,
    /// Number of crashes so far.
    crashes: u64,
    /// Number of crashes that the deadly part has caused.
    deadly_crashes: u64,
    requests: u64,
}

impl Simulation {
    /// Number of parts from which prompts are made.
    const PARTS: u64 = 4;

    fn new(ingresses: usize, deadly: u64) -> Self {
        Self {
            ingresses: (0..ingresses)
                .map(|_| SimulatedIngress::default())
                .collect(),
            deadly,
            crashes: 0,
            deadly_crashes: 0,
            requests: 0,
        }
    }

    /// Returns the contents of a new request with the parts in the bit set `parts`.
    fn contents(&mut self, parts: u64, has_deadly: bool) -> Vec<Content> {
        self.requests += 1;
        let parts = (1..=Self::PARTS).rev().filter(|part| {
            let chosen = parts & (1 << (part - 1)) != 0;
            if *part == self.deadly {
                has_deadly
            } else {
                chosen
            }
        });
        let parts = parts.map(|part| Content::Part(PromptPart(part)));
        let whole = Content::Request(1_000 + self.requests);
        std::iter::once(whole).chain(parts).collect()
    }

    fn publish(&mut self, ingress: usize, content: Content, outcome: Outcome) {
        let finding = finding(content, outcome);
        for (n, other) in self.ingresses.iter_mut().enumerate() {
            if n == ingress {
                other.ledger.apply(0, &finding);
            } else {
                other.arriving.push_back(finding.clone());
            }
        }
    }

    /// Begins an attempt; returns what it tries, or `None` if the request isn't sent.
    fn begin(&mut self, ingress: usize, contents: &[Content]) -> Option<Vec<Content>> {
        let ledger = &self.ingresses[ingress].ledger;
        match ledger.handling(contents, 0) {
            Handling::Normal => Some(Vec::new()),
            Handling::Trial { busy_until: 0 } => {
                let tried = ledger.tried(contents);
                for content in &tried {
                    self.publish(ingress, *content, Outcome::TrialStarted);
                }
                Some(tried)
            }
            Handling::Trial { .. } | Handling::Refused { .. } => None,
        }
    }

    fn crash(&mut self, ingress: usize, contents: &[Content], tried: &[Content]) {
        for content in contents {
            let outcome = Outcome::Crashed {
                crash: CrashId(self.crashes),
                in_trial: tried.contains(content),
            };
            self.publish(ingress, *content, outcome);
        }
    }

    /// Sends a request with the deadly part at most `attempts` times; a sound one may share its target.
    ///
    /// Returns whether it reached a target.
    fn send_deadly(
        &mut self,
        ingress: usize,
        parts: u64,
        attempts: u32,
        neighbour: Option<(usize, u64)>,
    ) -> bool {
        let contents = self.contents(parts, true);
        let mut reached = false;
        for _ in 0..attempts {
            let Some(tried) = self.begin(ingress, &contents) else {
                break;
            };
            reached = true;
            self.crashes += 1;
            self.deadly_crashes += 1;
            if let Some((other, parts)) = neighbour {
                let contents = self.contents(parts, false);
                if let Some(tried) = self.begin(other, &contents) {
                    self.crash(other, &contents, &tried);
                }
            }
            self.crash(ingress, &contents, &tried);
        }
        reached
    }

    /// Sends a sound request, which is answered or ended by the crash of its target.
    fn send_sound(&mut self, ingress: usize, parts: u64, is_killed: bool) {
        let contents = self.contents(parts, false);
        let Some(tried) = self.begin(ingress, &contents) else {
            return;
        };
        if is_killed {
            self.crashes += 1;
            self.crash(ingress, &contents, &tried);
            return;
        }
        for content in contents {
            let despite = self.ingresses[ingress].ledger.unexplained(content);
            self.publish(ingress, content, Outcome::Served { despite });
        }
    }

    /// Lets the first `count` findings of others arrive at an ingress.
    fn deliver(&mut self, ingress: usize, count: usize) {
        let ingress = &mut self.ingresses[ingress];
        let count = count.min(ingress.arriving.len());
        for finding in ingress.arriving.drain(..count) {
            ingress.ledger.apply(0, &finding);
        }
    }

    fn deliver_all(&mut self) {
        for n in 0..self.ingresses.len() {
            self.deliver(n, usize::MAX);
        }
    }

    /// Returns the sound requests that are refused at any ingress.
    fn refused_sound(&mut self) -> Vec<Vec<Content>> {
        let requests: Vec<_> = (0..1 << Self::PARTS)
            .map(|p| self.contents(p, false))
            .collect();
        let is_refused = |request: &Vec<Content>| {
            self.ingresses.iter().any(|ingress| {
                matches!(
                    ingress.ledger.handling(request, 0),
                    Handling::Refused { .. }
                )
            })
        };
        requests.into_iter().filter(is_refused).collect()
    }
}

/// Something that happens in a [`Simulation`]: the ingress, the parts of a prompt, and more.
#[derive(Clone, Debug)]
enum Step {
    Deadly(usize, u64, u32, Option<(usize, u64)>),
    Sound(usize, u64),
    Killed(usize, u64),
    Deliver(usize, usize),
}

impl Step {
    fn play(self, simulation: &mut Simulation) {
        match self {
            Self::Deadly(ingress, parts, attempts, neighbour) => {
                simulation.send_deadly(ingress, parts, attempts, neighbour);
            }
            Self::Sound(ingress, parts) => simulation.send_sound(ingress, parts, false),
            Self::Killed(ingress, parts) => simulation.send_sound(ingress, parts, true),
            Self::Deliver(ingress, count) => simulation.deliver(ingress, count),
        }
    }
}

fn steps(kills: u32) -> impl Strategy<Value = Vec<Step>> {
    let (ingress, parts) = (0_usize..3, 0_u64..16);
    let neighbour = proptest::option::of((ingress.clone(), parts.clone()));
    let deadly = (ingress.clone(), parts.clone(), 1_u32..3, neighbour);
    let step = prop_oneof![
        4 => deadly.prop_map(|(i, p, attempts, n)| Step::Deadly(i, p, attempts, n)),
        2 => (ingress.clone(), parts.clone()).prop_map(|(i, p)| Step::Sound(i, p)),
        kills => (ingress.clone(), parts).prop_map(|(i, p)| Step::Killed(i, p)),
        4 => (ingress, 1_usize..12).prop_map(|(i, count)| Step::Deliver(i, count)),
    ];
    proptest::collection::vec(step, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against refusing requests without the part that crashes targets.
    ///
    /// One target crashes for another reason. An ingress that has not heard of the crashes at others
    /// may refuse sound requests until it has.
    #[test]
    fn sound_requests_are_never_refused(
        deadly in 1_u64..5,
        mut steps in steps(0),
        killed in (0_usize..40, 0_usize..3, 0_u64..16),
    ) {
        let mut simulation = Simulation::new(3, deadly);
        let (at, ingress, parts) = killed;
        steps.insert(at.min(steps.len()), Step::Killed(ingress, parts));
        for step in steps {
            step.play(&mut simulation);
            let mut informed = simulation.clone();
            informed.deliver_all();
            prop_assert_eq!(informed.refused_sound(), Vec::<Vec<Content>>::new());
        }
    }

    /// Guards against a deadly part with which all requests have the same other parts.
    #[test]
    fn deadly_requests_are_refused_without_sound_ones(
        deadly in 1_u64..5,
        parts in 0_u64..16,
        steps in proptest::collection::vec((0_usize..3, 1_u32..3, 0_usize..30), 1..20),
        later in proptest::collection::vec((0_usize..3, 1_u32..3), 20),
    ) {
        let mut simulation = Simulation::new(3, deadly);
        for (ingress, attempts, delivered) in steps {
            simulation.send_deadly(ingress, parts, attempts, None);
            simulation.deliver((ingress + 1) % 3, delivered);
        }
        simulation.deliver_all();
        prop_assume!(simulation.deadly_crashes >= 5);
        let mut reached = 0;
        for (ingress, attempts) in later {
            reached += u32::from(simulation.send_deadly(ingress, parts, attempts, None));
            simulation.deliver_all();
        }
        prop_assert!(reached <= 3, "{} requests reached targets", reached);
    }

    /// Guards against a deadly part that hides behind the other parts of its requests.
    ///
    /// Some targets crash for other reasons as well. Sound requests with the other parts come meanwhile.
    #[test]
    fn deadly_requests_are_refused_soon(
        deadly in 1_u64..5,
        steps in steps(1),
        later in proptest::collection::vec((0_usize..3, 0_u64..16, 1_u32..3), 20),
    ) {
        let mut simulation = Simulation::new(3, deadly);
        for step in steps {
            step.play(&mut simulation);
        }
        simulation.deliver_all();
        for part in 0..Simulation::PARTS {
            simulation.send_sound(0, 1 << part, false);
            simulation.deliver_all();
        }
        prop_assume!(simulation.deadly_crashes >= 5);
        let mut reached = 0;
        for (ingress, parts, attempts) in later {
            reached += u32::from(simulation.send_deadly(ingress, parts, attempts, None));
            simulation.deliver_all();
        }
        prop_assert!(reached <= 3, "{} requests reached targets", reached);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against ingresses that judge differently because findings arrive in another order.
    #[test]
    fn order_of_findings_is_irrelevant(
        steps in proptest::collection::vec((1_u64..4, 1_u64..7, 0_u8..4), 1..30),
        keys in proptest::collection::vec(any::<u64>(), 60),
    ) {
        let mut original = CrashLedger::new();
        for (part, id, action) in steps {
            let content = Content::Part(PromptPart(part));
            match action {
                0 => serve(&mut original, 0, content),
                1 => crash(&mut original, 0, id, &[content], Some(content)),
                _ => crash(&mut original, 0, id, &[content], None),
            }
        }
        let mut findings = original.findings("model");
        findings.extend(findings.clone());
        let mut shuffled: Vec<_> = findings.into_iter().zip(keys.into_iter().cycle()).collect();
        shuffled.sort_by_key(|(_, key)| *key);
        let mut copy = CrashLedger::new();
        for (finding, _) in &shuffled {
            copy.apply(0, finding);
        }
        for part in 1..4 {
            let content = Content::Part(PromptPart(part));
            prop_assert_eq!(copy.handling(&[content], 0), original.handling(&[content], 0));
            let both = [content, Content::Part(PromptPart(part % 3 + 1))];
            prop_assert_eq!(copy.handling(&both, 0), original.handling(&both, 0));
        }
    }
}
