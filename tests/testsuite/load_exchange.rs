//! Tests of the exchange of loads between ingresses, without a network.

use std::collections::{BTreeSet, VecDeque};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use toucanshelf_core::ids::CrashId;
use toucanshelf_link::frame::Frame;
use toucanshelf_routing::load_exchange::{
    AssumedLoad, EngineLoad, EngineTag, KnownLoads, LoadCollector, LoadPage, LoadPageError,
    LoadReport, LoadSums, MAX_AGE_MS, MAX_ENTRIES, OthersLoad,
};

/// Interval between the reports of an ingress, in milliseconds.
const INTERVAL_MS: u64 = 250;
/// Tag of the engine at which most tests have requests.
const ENGINE: EngineTag = EngineTag(7);

fn load(requests: u32) -> EngineLoad {
    EngineLoad {
        first_requests: requests,
        requests,
        token_layers: 256.0 * f64::from(requests),
    }
}

/// An ingress with the number of its present link and its requests at engines.
struct Ingress {
    name: &'static str,
    link: u32,
    known: KnownLoads,
    loads: Vec<(EngineTag, EngineLoad)>,
}

impl Ingress {
    fn new(name: &'static str, requests: u32) -> Self {
        Self {
            name,
            link: 1,
            known: KnownLoads::new(),
            loads: vec![(ENGINE, load(requests))],
        }
    }

    fn report(&mut self, now: u64) -> LoadReport {
        self.known.begin_report(now, self.loads.iter().copied())
    }

    /// Reports to a collector and receives its answer; returns whether it was new.
    fn exchange(&mut self, collector: &mut LoadCollector, now: u64) -> bool {
        let report = self.report(now);
        collector.record(self.name, self.link, now, &report);
        let answer = collector.answer(self.name, now);
        answer.is_some_and(|sums| self.known.record_sums(now, sums.sequence_seen, &sums.page))
    }

    /// Returns the requests of the other ingresses at [`ENGINE`].
    fn others(&self, now: u64) -> Option<u32> {
        let others = self.known.others(ENGINE, now);
        others.map(|others| others.load.requests)
    }
}

/// Lets all ingresses exchange their loads at the interval; returns the time of the last exchange.
fn exchange_all(
    ingresses: &mut [Ingress],
    collector: &mut LoadCollector,
    from: u64,
    rounds: u64,
) -> u64 {
    for round in 0..rounds {
        for ingress in &mut *ingresses {
            ingress.exchange(collector, from + round * INTERVAL_MS);
        }
    }
    from + (rounds - 1) * INTERVAL_MS
}

fn requests_at(collector: &LoadCollector, now: u64) -> u32 {
    let sums = collector.sums(now);
    let sum = sums.iter().find(|(tag, _)| *tag == ENGINE);
    sum.map_or(0, |(_, load)| load.requests)
}

#[test]
fn own_part_is_subtracted() {
    let mut collector = LoadCollector::new();
    let mut ingresses = [
        Ingress::new("a", 3),
        Ingress::new("b", 4),
        Ingress::new("c", 0),
    ];
    let now = exchange_all(&mut ingresses, &mut collector, 0, 4);
    assert_eq!(
        ingresses.each_ref().map(|i| i.others(now)),
        [4, 3, 7].map(Some)
    );
    // The own part is that of the report which the sums contain, not the present one.
    let report = ingresses[0].report(now + INTERVAL_MS);
    collector.record("a", 1, now + INTERVAL_MS, &report);
    let sums = collector.answer("a", now + INTERVAL_MS).unwrap();
    ingresses[0].loads = vec![(ENGINE, load(9))];
    ingresses[0].report(now + 2 * INTERVAL_MS);
    let known = &mut ingresses[0].known;
    assert!(known.record_sums(now + 2 * INTERVAL_MS, sums.sequence_seen, &sums.page));
    assert_eq!(ingresses[0].others(now + 2 * INTERVAL_MS), Some(4));
}

/// Guards against decisions as if an engine were unknown although it is known to have no load.
#[test]
fn engine_without_load() {
    let mut collector = LoadCollector::new();
    let mut ingresses = [Ingress::new("a", 3), Ingress::new("b", 4)];
    assert_eq!(ingresses[0].known.others(EngineTag(1), 0), None);
    let now = exchange_all(&mut ingresses, &mut collector, 0, 4);
    let unnamed = OthersLoad {
        load: EngineLoad::default(),
        own: EngineLoad::default(),
        age_ms: 5,
    };
    let others = ingresses[0].known.others(EngineTag(1), now + 5);
    assert_eq!(others, Some(unnamed));
}

/// Guards against requests that count for ever after their ingress has died or stands still.
#[test]
fn silent_ingress_expires() {
    let mut collector = LoadCollector::new();
    let mut ingresses = [Ingress::new("a", 3), Ingress::new("b", 4)];
    let now = exchange_all(&mut ingresses, &mut collector, 0, 4);
    assert_eq!(requests_at(&collector, now + MAX_AGE_MS), 7);
    assert_eq!(requests_at(&collector, now + MAX_AGE_MS + 1), 0);
    let later = exchange_all(&mut ingresses[..1], &mut collector, now, 10);
    assert_eq!(ingresses[0].others(later), Some(0));
    // It counts again as soon as it reports.
    ingresses[1].exchange(&mut collector, later);
    assert_eq!(requests_at(&collector, later), 7);
}

/// Guards against an ingress whose requests count twice, before and after its restart.
#[test]
fn restart_in_crowd() {
    let mut collector = LoadCollector::new();
    let mut ingresses: Vec<_> = ["a", "b", "c", "d"]
        .map(|name| Ingress::new(name, 50))
        .into();
    let now = exchange_all(&mut ingresses, &mut collector, 0, 4);
    let old_report = ingresses[0].report(now);
    // The new process links itself before control notices that the old link has ended.
    ingresses[0] = Ingress::new("a", 2);
    ingresses[0].link = 2;
    ingresses[0].exchange(&mut collector, now + 10);
    assert_eq!(requests_at(&collector, now + 10), 152);
    assert!(!collector.record("a", 1, now + 20, &old_report));
    collector.forget("a", 1);
    assert_eq!(requests_at(&collector, now + 30), 152);
    assert_eq!(ingresses[0].others(now + 30), Some(150));
    collector.forget("a", 2);
    assert_eq!(requests_at(&collector, now + 30), 150);
}

/// Guards against loads that drop to 0 when another control instance becomes the collector.
#[test]
fn collector_lost_and_back() {
    let mut first = LoadCollector::new();
    let mut second = LoadCollector::new();
    let mut ingresses = [Ingress::new("a", 3), Ingress::new("b", 4)];
    let lost_at = exchange_all(&mut ingresses, &mut first, 0, 4);
    for round in 1..=8 {
        let now = lost_at + round * INTERVAL_MS;
        for ingress in &mut ingresses {
            ingress.exchange(&mut second, now);
            let expected = if ingress.name == "a" { 4 } else { 3 };
            assert_eq!(ingress.others(now), Some(expected), "{} ms", now - lost_at);
        }
    }
    let back_at = lost_at + 9 * INTERVAL_MS;
    ingresses[0].loads = vec![(ENGINE, load(30))];
    let now = exchange_all(&mut ingresses, &mut first, back_at, 4);
    assert_eq!(ingresses[1].others(now), Some(30));
    assert_eq!(requests_at(&first, now), 34);
}

/// Guards against a new collector that answers before all ingresses have reported to it.
#[test]
fn new_collector_waits() {
    let mut collector = LoadCollector::new();
    let mut ingresses = [Ingress::new("a", 3), Ingress::new("b", 4)];
    assert!(!ingresses[0].exchange(&mut collector, 0));
    assert!(!ingresses[1].exchange(&mut collector, 240));
    assert!(!ingresses[0].exchange(&mut collector, 250));
    assert_eq!(ingresses[0].others(250), None);
    assert!(ingresses[0].exchange(&mut collector, 500));
    assert_eq!(ingresses[0].others(500), Some(4));
}

/// Guards against loads that are used for ever if reports arrive but no answers.
#[test]
fn answers_lost() {
    let mut collector = LoadCollector::new();
    let mut ingresses = [Ingress::new("a", 3), Ingress::new("b", 4)];
    let now = exchange_all(&mut ingresses, &mut collector, 0, 4);
    for round in 1..=8 {
        let now = now + round * INTERVAL_MS;
        let report = ingresses[0].report(now);
        collector.record("a", 1, now, &report);
        ingresses[1].exchange(&mut collector, now);
    }
    let aged = ingresses[0].known.others(ENGINE, now + 1_000).unwrap();
    assert_eq!((aged.load.requests, aged.age_ms), (4, 1_000));
    assert_eq!(ingresses[0].others(now + MAX_AGE_MS), Some(4));
    assert!(ingresses[0].known.is_fresh(now + MAX_AGE_MS));
    assert_eq!(ingresses[0].others(now + MAX_AGE_MS + 1), None);
    assert!(!ingresses[0].known.is_fresh(now + MAX_AGE_MS + 1));
    assert_eq!(ingresses[1].others(now + 8 * INTERVAL_MS), Some(3));
}

/// Guards against old sums that count as fresh because a stalled link delivers them late.
#[test]
fn answers_late() {
    let mut collector = LoadCollector::new();
    let mut ingresses = [Ingress::new("a", 3), Ingress::new("b", 4)];
    let now = exchange_all(&mut ingresses, &mut collector, 0, 4);
    let report = ingresses[0].report(now + 100);
    collector.record("a", 1, now + 100, &report);
    let sums = collector.answer("a", now + 100).unwrap();
    let known = &mut ingresses[0].known;
    assert!(known.record_sums(now + 1_100, sums.sequence_seen, &sums.page));
    let others = known.others(ENGINE, now + 1_100).unwrap();
    assert_eq!((others.load.requests, others.age_ms), (4, 1_000));
    assert_eq!(known.others(ENGINE, now + 100 + MAX_AGE_MS + 1), None);
}

#[test]
fn duplicates_and_reordering() {
    let mut collector = LoadCollector::new();
    let mut ingresses = [Ingress::new("a", 3), Ingress::new("b", 4)];
    let now = exchange_all(&mut ingresses, &mut collector, 0, 4);
    let old = ingresses[0].report(now);
    ingresses[0].loads = vec![(ENGINE, load(5))];
    let new = ingresses[0].report(now);
    assert!(collector.record("a", 1, now, &new));
    for report in [&new, &old, &new] {
        assert!(!collector.record("a", 1, now, report));
        assert_eq!(requests_at(&collector, now), 9);
    }
    let old_sums = collector.answer("a", now).unwrap();
    assert_eq!(old_sums.sequence_seen, new.sequence);
    ingresses[1].loads = vec![(ENGINE, load(40))];
    ingresses[1].exchange(&mut collector, now);
    ingresses[0].exchange(&mut collector, now);
    let known = &mut ingresses[0].known;
    assert!(!known.record_sums(now, old_sums.sequence_seen, &old_sums.page));
    assert!(
        !known.record_sums(now, 9_999, &old_sums.page),
        "no such report"
    );
    assert_eq!(ingresses[0].others(now), Some(40));
}

/// Guards against messages that grow with the number of engines, and against loads that stay when they
/// end between two messages that tell of their engine.
#[test]
fn more_engines_than_one_message() {
    let mut collector = LoadCollector::new();
    let tags: Vec<_> = (0..100).map(|i| EngineTag(i * 40_000_000 + 5)).collect();
    let mut ingresses = [Ingress::new("a", 0), Ingress::new("b", 0)];
    ingresses[0].loads = tags.iter().map(|tag| (*tag, load(2))).collect();
    ingresses[1].loads = tags.iter().map(|tag| (*tag, load(3))).collect();
    let now = exchange_all(&mut ingresses, &mut collector, 0, 7);
    for report in [ingresses[0].report(now), ingresses[1].report(now)] {
        assert!(report.page.entries().len() <= MAX_ENTRIES);
    }
    let known = &ingresses[0].known;
    let others = |known: &KnownLoads, now| {
        let others = tags.iter().map(|tag| known.others(*tag, now));
        others.collect::<Option<Vec<_>>>()
    };
    let told = others(known, now).expect("each engine was told");
    assert!(told.iter().all(|others| others.load == load(3)));
    let ages: BTreeSet<_> = told.iter().map(|others| others.age_ms).collect();
    assert_eq!(
        ages,
        [0, 250, 500].into(),
        "three messages tell of 100 engines"
    );
    assert!(known.is_fresh(now));
    assert!(known.others(EngineTag(6), now).is_some());
    // Most requests end.
    ingresses[0].loads.truncate(1);
    ingresses[1].loads.truncate(1);
    let now = exchange_all(&mut ingresses, &mut collector, now + INTERVAL_MS, 4);
    let told = others(&ingresses[0].known, now).expect("each engine was told");
    let loaded: Vec<_> = told.iter().map(|others| others.load.requests).collect();
    assert_eq!((loaded[0], loaded.iter().sum::<u32>()), (3, 3));
}

/// Guards against a complete view that is claimed although a part of it was lost.
#[test]
fn lost_part_of_many_engines() {
    let mut collector = LoadCollector::new();
    let mut ingresses = [Ingress::new("a", 1), Ingress::new("b", 0)];
    ingresses[1].loads = (0..100).map(|i| (EngineTag(i), load(3))).collect();
    for round in 0..9 {
        let now = round * INTERVAL_MS;
        ingresses[1].exchange(&mut collector, now);
        let report = ingresses[0].report(now);
        collector.record("a", 1, now, &report);
        let Some(sums) = collector.answer("a", now) else {
            continue;
        };
        let (first, _) = sums.page.range();
        if first == EngineTag(0) || first > EngineTag(MAX_ENTRIES as u32) {
            let known = &mut ingresses[0].known;
            assert!(known.record_sums(now, sums.sequence_seen, &sums.page));
        }
        assert!(!ingresses[0].known.is_fresh(now));
        assert_eq!(ingresses[0].known.others(EngineTag(999), now), None);
    }
}

#[test]
fn largest_messages() {
    let mut known = KnownLoads::new();
    let tags = (0..1_000).map(|i| EngineTag(u32::MAX - i));
    let report = known.begin_report(0, tags.map(|tag| (tag, load(u32::MAX))));
    let entries = report.page.encode();
    let zone: Box<str> = "z".repeat(24).into();
    let frames = [
        Frame::LoadReport {
            zone: zone.clone(),
            sequence: u32::MAX,
            entries: entries.clone().into(),
        },
        Frame::ZoneLoads {
            zone,
            sequence_seen: u32::MAX,
            entries: entries.into(),
        },
    ];
    for frame in frames {
        let mut buf = Vec::new();
        ciborium::into_writer(&frame, &mut buf).unwrap();
        // With the header of the link's message, of at most 8 bytes.
        assert!(buf.len() + 8 <= 500, "{} bytes", buf.len());
    }
    let decoded = LoadPage::decode(&report.page.encode()).unwrap();
    assert_eq!(decoded, report.page);
    let (_, load) = decoded.entries()[0];
    assert_eq!((load.first_requests, load.requests), (65_535, 65_535));
}

#[test]
fn impossible_figures_are_left_out() {
    let mut known = KnownLoads::new();
    let impossible = [f64::NAN, -1.0, f64::NEG_INFINITY].map(|token_layers| EngineLoad {
        token_layers,
        ..load(1)
    });
    for load in impossible {
        let report = known.begin_report(0, [(ENGINE, load)]);
        let decoded = LoadPage::decode(&report.page.encode()).unwrap();
        let none = EngineLoad {
            token_layers: 0.0,
            ..load
        };
        assert_eq!(decoded.load(ENGINE), Some(none));
    }
}

#[test]
fn malformed_pages() {
    let mut known = KnownLoads::new();
    let entries = [(EngineTag(1), load(1)), (EngineTag(2), load(2))];
    let good = known.begin_report(0, entries).page.encode();
    let (first_entry, second_entry) = (8, 19);
    assert_eq!(LoadPage::decode(&[]), Err(LoadPageError::Length(0)));
    assert_eq!(
        LoadPage::decode(&good[..29]),
        Err(LoadPageError::Length(29))
    );
    let mut long = good[..8].to_vec();
    long.resize(8 + 11 * (MAX_ENTRIES + 1), 0);
    assert_eq!(
        LoadPage::decode(&long),
        Err(LoadPageError::TooMany(MAX_ENTRIES + 1))
    );
    let mut repeated = good.clone();
    repeated[second_entry] = 1;
    assert_eq!(LoadPage::decode(&repeated), Err(LoadPageError::Order(1)));
    let mut out_of_range = good.clone();
    out_of_range[4..8].fill(0);
    assert_eq!(
        LoadPage::decode(&out_of_range),
        Err(LoadPageError::Order(1))
    );
    let mut absurd = good;
    absurd[first_entry + 4] = 9;
    let error = LoadPageError::FirstRequests {
        tag: 1,
        first_requests: 9,
        requests: 1,
    };
    assert_eq!(LoadPage::decode(&absurd), Err(error));
}

#[test]
fn tag_is_prefix_of_crash_id() {
    assert_eq!(
        EngineTag::from(CrashId(0x1122_3344_5566_7788)),
        EngineTag(0x5566_7788)
    );
}

fn assumed(requests: u32, age_ms: Option<u64>) -> AssumedLoad {
    AssumedLoad {
        first_requests: f64::from(requests),
        requests: f64::from(requests),
        token_layers: load(requests).token_layers,
        age_ms,
    }
}

/// Guards against a decision that differs from before without the exchange.
#[test]
fn load_guessed_without_exchange() {
    let guess = |ingresses| AssumedLoad::new(load(3), None, ingresses);
    assert_eq!(guess(20), assumed(60, None));
    assert_eq!(guess(0), assumed(3, None));
}

#[test]
fn load_assumed_from_old_sums() {
    let of = |own, others| {
        let others = OthersLoad {
            load: load(others),
            own: load(3),
            age_ms: 1_000,
        };
        AssumedLoad::new(load(own), Some(others), 5)
    };
    let age_ms = Some(1_000);
    assert_eq!(of(3, 40), assumed(43, age_ms));
    assert_eq!(of(4, 40), assumed(48, age_ms), "the others began one each");
    assert_eq!(of(1, 40), assumed(33, age_ms), "the others ended two each");
    assert_eq!(of(1, 4), assumed(1, age_ms));
}

/// Requests of many ingresses at the engines of a zone, which each chooses by what it knows.
struct Crowd {
    collector: LoadCollector,
    ingresses: Vec<KnownLoads>,
    /// Requests by ingress and engine.
    requests: Vec<Vec<u32>>,
    /// Answers under way: the time of arrival, the ingress and the sums.
    answers: VecDeque<(u64, usize, LoadSums)>,
    rng: StdRng,
}

impl Crowd {
    const INGRESSES: usize = 30;
    const ENGINES: usize = 9;
    const SLOTS: u32 = 192;
    /// Time of a step, in milliseconds.
    const STEP_MS: u64 = 10;
    /// Mean duration of a request, in milliseconds.
    const DURATION_MS: f64 = 4_000.0;

    fn new(seed: u64) -> Self {
        Self {
            collector: LoadCollector::new(),
            ingresses: vec![KnownLoads::new(); Self::INGRESSES],
            requests: vec![vec![0; Self::ENGINES]; Self::INGRESSES],
            answers: VecDeque::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn load(&self, engine: usize) -> u32 {
        self.requests
            .iter()
            .map(|by_engine| by_engine[engine])
            .sum()
    }

    /// Begins a request of an ingress at the engine that it assumes to have the least load.
    fn begin(&mut self, ingress: usize, now: u64) {
        let known = &self.ingresses[ingress];
        let costs = self.requests[ingress].iter().enumerate().map(|(i, own)| {
            let others = known.others(EngineTag(i as u32), now);
            let assumed = AssumedLoad::new(load(*own), others, Self::INGRESSES as u32);
            (assumed.requests, self.rng.random::<f64>(), i)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let (_, _, engine) = best.expect("there are engines");
        self.requests[ingress][engine] += 1;
    }

    /// Runs for a step, with answers that take `delay_ms`.
    ///
    /// Each ingress begins `rate` requests in a millisecond.
    fn step(&mut self, now: u64, rate: f64, delay_ms: u64) {
        let step_ms = Self::STEP_MS as f64;
        for by_engine in &mut self.requests {
            for requests in by_engine {
                let ended = (0..*requests)
                    .filter(|_| self.rng.random_bool(step_ms / Self::DURATION_MS))
                    .count();
                *requests -= ended as u32;
            }
        }
        for ingress in 0..Self::INGRESSES {
            if self.rng.random_bool(rate * step_ms) {
                self.begin(ingress, now);
            }
            // Each ingress reports at another time.
            if (now + Self::STEP_MS * ingress as u64).is_multiple_of(INTERVAL_MS) {
                let own = self.requests[ingress].iter().enumerate();
                let own = own.map(|(i, own)| (EngineTag(i as u32), load(*own)));
                let report = self.ingresses[ingress].begin_report(now, own);
                let name = format!("i{ingress}");
                self.collector.record(&name, 1, now, &report);
                if let Some(sums) = self.collector.answer(&name, now) {
                    self.answers.push_back((now + delay_ms, ingress, sums));
                }
            }
        }
        while let Some((_, ingress, sums)) = self.answers.pop_front_if(|answer| answer.0 <= now) {
            self.ingresses[ingress].record_sums(now, sums.sequence_seen, &sums.page);
        }
    }
}

/// Guards against ingresses that all send their requests to the engine that had the least load when the
/// sums were made.
///
/// No engine may be full while 70 of 100 slots are used.
#[test]
fn many_choosers_on_old_sums() {
    for (seed, delay_ms) in [(1, 1), (2, 250), (3, 750), (4, 1_000)] {
        let mut crowd = Crowd::new(seed);
        let slots = f64::from(Crowd::SLOTS) * Crowd::ENGINES as f64;
        let rate = 0.7 * slots / Crowd::DURATION_MS / Crowd::INGRESSES as f64;
        for now in (0..12_000).step_by(Crowd::STEP_MS as usize) {
            crowd.step(now, rate, delay_ms);
            let most = (0..Crowd::ENGINES).map(|engine| crowd.load(engine)).max();
            assert!(
                most.is_none_or(|most| most < Crowd::SLOTS),
                "{most:?} requests at {now} ms, sums {delay_ms} ms old, seed {seed}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against bytes that make a process panic, or that are read as something else.
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..500)) {
        if let Ok(page) = LoadPage::decode(&bytes) {
            prop_assert_eq!(page.encode(), bytes);
        }
    }

    /// Guards against requests that are lost or counted twice on their way through the collector.
    #[test]
    fn any_loads(
        requests in proptest::collection::vec((0_usize..5, 0_u32..80, 1_u32..9), 0..200),
    ) {
        let mut collector = LoadCollector::new();
        let mut ingresses = ["a", "b", "c", "d", "e"].map(|name| Ingress::new(name, 0));
        for (ingress, tag, count) in &requests {
            ingresses[*ingress].loads.push((EngineTag(*tag), load(*count)));
        }
        let now = exchange_all(&mut ingresses, &mut collector, 0, 8);
        for (i, ingress) in ingresses.iter().enumerate() {
            for tag in 0..80 {
                let others = requests.iter().filter(|(by, at, _)| *by != i && *at == tag);
                let expected: u32 = others.map(|(_, _, count)| *count).sum();
                let told = ingress.known.others(EngineTag(tag), now).unwrap();
                prop_assert_eq!(told.load, load(expected));
            }
        }
    }
}
