//! Exploration of the attribution of crashes, with many requests at each target.
//!
//! In virtual time, ingresses send requests to targets that run many of them at once. One prompt part
//! crashes each target that begins to write an answer on it, and the crash ends all other requests
//! there. Targets also crash by themselves. Findings reach the other ingresses late.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{RngExt as _, SeedableRng as _};
use toucanshelf_core::crash::{Content, Finding, Outcome, WHOLE_REQUEST_POSITION};
use toucanshelf_core::ids::{CrashId, PromptPart};
use toucanshelf_routing::crash_ledger::{Admission, CrashLedger};

/// Number of seeds that each test explores.
const SEEDS: u64 = 40;
/// Time between two steps of the simulation, in milliseconds.
const STEP_MS: u64 = 20;
/// Time of the first request with the deadly part, in milliseconds.
const DEADLY_FROM_MS: u64 = 4_000;
/// Time at which the simulation ends, in milliseconds.
const END_MS: u64 = 30_000;
/// Time within which a finding must have reached each ingress, in milliseconds (`contact_ms`).
const CONTACT_MS: u64 = 3_000;
/// Number of requests with the deadly part that may still reach targets after that time.
const MAX_LATE_REQUESTS: usize = 3;
/// Time for which a crashed target is gone, in milliseconds.
const RECOVERY_MS: u64 = 3_000;
/// Part that crashes targets. The other ones are numbered from 1.
const DEADLY: Content = Content::Part(PromptPart(9_999));

/// What differs between explorations.
#[derive(Clone, Copy)]
struct Setup {
    ingresses: usize,
    targets: usize,
    /// Number of sound parts from which prompts are made.
    parts: u64,
    /// Number of sound parts that each request has.
    parts_a_request: usize,
    /// Time between two times at which sound requests come, in milliseconds.
    sound_gap_ms: u64,
    /// Number of sound requests that come at once.
    sound_at_once: usize,
    /// Longest time for which a sound request runs, in milliseconds.
    max_run_ms: u64,
    /// Number of requests with the deadly part that come at once at first, at one ingress.
    deadly_at_once: usize,
    /// Time between two requests with the deadly part, in milliseconds.
    deadly_gap_ms: u64,
    /// Whether the deadly part comes before the sound ones, which else are shared at random.
    deadly_first: bool,
    /// Time for which an answer on the deadly part is written before its target crashes, in
    /// milliseconds.
    written_ms: u64,
    /// Longest time until a finding reaches another ingress, in milliseconds.
    max_delay_ms: u64,
    /// Probability that a target crashes by itself, in a second.
    spontaneous: f64,
}

struct Ingress {
    ledger: CrashLedger,
    /// Findings of other ingresses with the time of their arrival in milliseconds.
    arriving: VecDeque<(u64, Finding)>,
}

struct Running {
    ingress: usize,
    contents: Vec<Content>,
    trial: Vec<Content>,
    ends_at: u64,
    is_deadly: bool,
    /// Whether the request is sent again if its target crashes.
    may_repeat: bool,
}

#[derive(Default)]
struct Target {
    running: Vec<Running>,
    back_at: u64,
}

struct Simulation {
    setup: Setup,
    rng: StdRng,
    now: u64,
    ingresses: Vec<Ingress>,
    targets: Vec<Target>,
    requests: u64,
    crashes: u64,
    /// Times at which a request crashed a target, in milliseconds.
    deadly_crashes: Vec<u64>,
    /// Times at which a request with the deadly part reached a target, in milliseconds.
    deadly_sends: Vec<u64>,
    /// Times of sound requests in milliseconds, and whether each began at the first attempt.
    sound: Vec<(u64, bool)>,
}

impl Simulation {
    fn new(setup: Setup, seed: u64) -> Self {
        let ingress = || Ingress {
            ledger: CrashLedger::new(),
            arriving: VecDeque::new(),
        };
        Self {
            setup,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            ingresses: (0..setup.ingresses).map(|_| ingress()).collect(),
            targets: (0..setup.targets).map(|_| Target::default()).collect(),
            requests: 0,
            crashes: 0,
            deadly_crashes: Vec::new(),
            deadly_sends: Vec::new(),
            sound: Vec::new(),
        }
    }

    fn play(&mut self) {
        while self.now < END_MS {
            self.now += STEP_MS;
            self.deliver();
            self.end_requests();
            let crash_rate = self.setup.spontaneous * STEP_MS as f64 / 1e3;
            for n in 0..self.targets.len() {
                if self.rng.random_bool(crash_rate) {
                    self.crash(n);
                }
            }
            if self.now.is_multiple_of(self.setup.sound_gap_ms) {
                for _ in 0..self.setup.sound_at_once {
                    let ingress = self.rng.random_range(0..self.ingresses.len());
                    self.send_new(ingress, false);
                }
            }
            if self.now == DEADLY_FROM_MS {
                for _ in 0..self.setup.deadly_at_once {
                    self.send_new(0, true);
                }
            } else if self.now > DEADLY_FROM_MS && self.now.is_multiple_of(self.setup.deadly_gap_ms)
            {
                let ingress = self.rng.random_range(0..self.ingresses.len());
                self.send_new(ingress, true);
            }
        }
    }

    /// Returns the contents of a new request, the most specific one first.
    fn contents(&mut self, is_deadly: bool) -> Vec<Content> {
        let pool: Vec<_> = (1..=self.setup.parts).map(PromptPart).collect();
        let chosen = pool.sample(&mut self.rng, self.setup.parts_a_request);
        let mut parts: Vec<_> = chosen.copied().map(Content::Part).collect();
        if is_deadly {
            parts.push(DEADLY);
            if !self.setup.deadly_first {
                parts.shuffle(&mut self.rng);
            }
        }
        self.requests += 1;
        let whole = Content::Request(self.requests);
        std::iter::once(whole).chain(parts).collect()
    }

    fn send_new(&mut self, ingress: usize, is_deadly: bool) {
        let contents = self.contents(is_deadly);
        let is_sent = self.send(ingress, contents, is_deadly, true);
        if !is_deadly {
            self.sound.push((self.now, is_sent));
        }
    }

    /// Sends a request if that is allowed; returns whether it has reached a target.
    fn send(
        &mut self,
        ingress: usize,
        contents: Vec<Content>,
        is_deadly: bool,
        may_repeat: bool,
    ) -> bool {
        let admission = self.ingresses[ingress].ledger.admit(&contents, self.now);
        let is_alive = |n: &usize| self.targets[*n].back_at <= self.now;
        let alive: Vec<_> = (0..self.targets.len()).filter(is_alive).collect();
        let target = alive.choose(&mut self.rng).copied();
        // A stream that the caller has events of doesn't wait for the trials of others.
        let trial = match admission {
            Admission::Send { trial } => trial,
            Admission::Wait { .. } if !may_repeat => Vec::new(),
            Admission::Wait { .. } | Admission::Refuse { .. } => return false,
        };
        let Some(target) = target else {
            return false;
        };
        for content in &trial {
            self.publish(ingress, &contents, *content, Outcome::TrialStarted);
        }
        let lasts_ms = if is_deadly {
            self.deadly_sends.push(self.now);
            60 + self.setup.written_ms
        } else {
            self.rng.random_range(200..self.setup.max_run_ms)
        };
        self.targets[target].running.push(Running {
            ingress,
            contents,
            trial,
            ends_at: self.now + lasts_ms,
            is_deadly,
            may_repeat,
        });
        true
    }

    fn end_requests(&mut self) {
        for n in 0..self.targets.len() {
            let ended: Vec<_> = self.targets[n]
                .running
                .extract_if(.., |req| req.ends_at <= self.now)
                .collect();
            let (mut deadly, sound): (Vec<_>, Vec<_>) =
                ended.into_iter().partition(|req| req.is_deadly);
            for req in sound {
                self.answer(&req);
            }
            if !deadly.is_empty() {
                self.deadly_crashes.push(self.now);
                self.targets[n].running.append(&mut deadly);
                self.crash(n);
            }
        }
    }

    fn answer(&mut self, req: &Running) {
        let ledger = &mut self.ingresses[req.ingress].ledger;
        let parts = req.contents.iter().filter_map(|content| match content {
            Content::Part(part) => Some(*part),
            Content::Request(_) => None,
        });
        ledger.record_sound(self.now, &parts.collect::<Vec<_>>());
        for content in &req.contents {
            let despite = self.ingresses[req.ingress].ledger.unexplained(*content);
            if !despite.is_empty() {
                self.publish(
                    req.ingress,
                    &req.contents,
                    *content,
                    Outcome::Served { despite },
                );
            } else if req.trial.contains(content) {
                self.publish(req.ingress, &req.contents, *content, Outcome::TrialEnded);
            }
        }
    }

    fn crash(&mut self, n: usize) {
        self.crashes += 1;
        let crash = CrashId(self.crashes);
        self.targets[n].back_at = self.now + RECOVERY_MS;
        let ended = std::mem::take(&mut self.targets[n].running);
        for req in &ended {
            let ledger = &self.ingresses[req.ingress].ledger;
            let tried = ledger.tried(&req.contents, &req.trial, self.now);
            for content in &req.contents {
                let in_trial = tried.contains(content);
                let outcome = Outcome::Crashed { crash, in_trial };
                self.publish(req.ingress, &req.contents, *content, outcome);
            }
        }
        for req in ended.into_iter().filter(|req| req.may_repeat) {
            self.send(req.ingress, req.contents, req.is_deadly, false);
        }
    }

    /// Applies a finding at its ingress, and sends it to the others if it is new.
    fn publish(&mut self, ingress: usize, request: &[Content], content: Content, outcome: Outcome) {
        let place = request.iter().rev().position(|other| *other == content);
        let position = match content {
            Content::Request(_) => WHOLE_REQUEST_POSITION,
            Content::Part(_) => place.unwrap_or(0) as u8,
        };
        let finding = Finding {
            service: "model".into(),
            content,
            position,
            outcome,
        };
        if !self.ingresses[ingress].ledger.apply(self.now, &finding) {
            return;
        }
        for (n, other) in self.ingresses.iter_mut().enumerate() {
            if n != ingress {
                let delay = self.rng.random_range(0..=self.setup.max_delay_ms);
                other
                    .arriving
                    .push_back((self.now + delay, finding.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for ingress in &mut self.ingresses {
            let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut ingress.arriving)
                .into_iter()
                .partition(|(time, _)| *time <= now);
            ingress.arriving = later.into();
            for (_, finding) in due {
                ingress.ledger.apply(now, &finding);
            }
        }
    }

    /// Returns how many requests with the deadly part reached targets after all knew of five crashes.
    fn late_requests(&self) -> usize {
        let Some(fifth) = self.deadly_crashes.get(4) else {
            return 0;
        };
        let sends = self.deadly_sends.iter();
        sends.filter(|time| **time > fifth + CONTACT_MS).count()
    }

    /// Returns the share of sound requests that began in a time span, in milliseconds.
    fn begun(&self, from: u64, to: u64) -> f64 {
        let sent = self.sound.iter();
        let sent: Vec<_> = sent.filter(|(at, _)| (from..to).contains(at)).collect();
        let begun = sent.iter().filter(|(_, begun)| *begun).count();
        begun as f64 / sent.len().max(1) as f64
    }

    /// Returns the time from which the rule about sound requests counts, in milliseconds.
    fn judged_from(&self) -> u64 {
        let crash = self.deadly_crashes.get(4).or(self.deadly_crashes.last());
        crash.map_or(END_MS, |time| time + 2 * CONTACT_MS)
    }
}

const BUSY: Setup = Setup {
    ingresses: 9,
    targets: 12,
    parts: 40,
    parts_a_request: 1,
    sound_gap_ms: 20,
    sound_at_once: 4,
    max_run_ms: 5_000,
    deadly_at_once: 3,
    deadly_gap_ms: 400,
    deadly_first: false,
    written_ms: 0,
    max_delay_ms: 400,
    spontaneous: 0.0,
};

/// Plays all seeds and checks the bounds on deadly and on sound requests.
fn explore(setup: Setup) {
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(setup, seed);
        simulation.play();
        let late = simulation.late_requests();
        let (from, before) = (
            simulation.judged_from(),
            simulation.begun(0, DEADLY_FROM_MS),
        );
        let after = simulation.begun(from, END_MS);
        if late > MAX_LATE_REQUESTS || (from < END_MS && 2.0 * after < before) {
            broken.push((seed, simulation.deadly_crashes.len(), late, before, after));
        }
    }
    assert!(
        broken.is_empty(),
        "(seed, crashes, late requests, share of sound requests begun before and after): {broken:?}"
    );
}

/// Guards against blaming the many sound requests that run beside the deadly one.
#[test]
fn deadly_part_among_many_requests() {
    explore(BUSY);
}

/// Guards against blaming a sound part that the deadly requests share, whatever its position.
#[test]
fn deadly_part_first_in_prompt() {
    let deadly_first = true;
    explore(Setup {
        deadly_first,
        ..BUSY
    });
    explore(Setup {
        deadly_first,
        ingresses: 3,
        parts: 1,
        sound_gap_ms: 400,
        sound_at_once: 1,
        max_run_ms: 300,
        deadly_gap_ms: 340,
        ..BUSY
    });
}

/// Guards against refusals that come late because requests share several parts.
#[test]
fn deadly_part_with_several_others() {
    explore(Setup {
        parts_a_request: 3,
        ..BUSY
    });
}

/// Guards against blaming content for targets that crash by themselves.
#[test]
fn deadly_part_beside_other_crashes() {
    explore(Setup {
        spontaneous: 0.01,
        ..BUSY
    });
}

/// Guards against too many trials at once while findings are under way.
#[test]
fn deadly_part_with_late_findings() {
    explore(Setup {
        max_delay_ms: CONTACT_MS,
        ..BUSY
    });
}

/// Guards against requests that crash targets long after their first event.
#[test]
fn deadly_part_that_crashes_late() {
    for written_ms in [1_500, 4_000] {
        explore(Setup { written_ms, ..BUSY });
    }
}

/// Guards against blaming parts that an ingress has not seen answered yet.
#[test]
fn deadly_part_among_rare_ones() {
    explore(Setup { parts: 400, ..BUSY });
}
