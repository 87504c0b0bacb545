//! Tests of admission, the retry budget and the gap timer.

use std::collections::BTreeMap;

use proptest::prelude::*;
use toucanshelf_core::document::Class;
use toucanshelf_routing::admission::{Admission, AdmissionRequest, Decision, MAX_QUEUED, WaitKey};
use toucanshelf_routing::retry::{GapTimer, RetryBudget};

fn request(organisation: &str, weight: u32) -> AdmissionRequest<'_> {
    AdmissionRequest {
        organisation,
        weight,
        class: Class::Interactive,
        deadline: 1_000_000,
    }
}

/// Keeps the queues of all organisations full and counts the requests that start.
///
/// `shares` holds the name and the weight of each organisation.
fn count_starts(shares: &[(&str, u32)], rounds: usize) -> BTreeMap<String, usize> {
    let mut admission = Admission::new(1);
    assert_eq!(
        admission.submit(request(shares[0].0, shares[0].1)),
        Decision::Run
    );
    let mut running = shares[0].0.to_owned();
    let mut owners: BTreeMap<WaitKey, String> = BTreeMap::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..rounds {
        for (name, weight) in shares {
            while owners.values().filter(|owner| owner == name).count() < 20 {
                let Decision::Wait(key) = admission.submit(request(name, *weight)) else {
                    panic!()
                };
                owners.insert(key, (*name).to_owned());
            }
        }
        for key in admission.finish(0, &running) {
            running = owners.remove(&key).unwrap();
            *counts.entry(running.clone()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn share_by_weight() {
    let counts = count_starts(&[("a", 4), ("b", 2), ("c", 1)], 700);
    let share = |name: &str| counts[name] as f64 / 700.0;
    assert!((share("a") - 4.0 / 7.0).abs() < 0.02, "{counts:?}");
    assert!((share("b") - 2.0 / 7.0).abs() < 0.02, "{counts:?}");
}

#[test]
fn shed_full_queue() {
    let mut admission = Admission::new(1);
    admission.submit(request("a", 1));
    for _ in 0..MAX_QUEUED {
        assert!(matches!(
            admission.submit(request("a", 1)),
            Decision::Wait(_)
        ));
    }
    assert!(matches!(
        admission.submit(request("a", 1)),
        Decision::Shed { .. }
    ));
    assert!(
        matches!(admission.submit(request("b", 1)), Decision::Wait(_)),
        "the queues of other organisations still accept requests"
    );
}

#[test]
fn batch_is_not_starved() {
    let mut admission = Admission::new(1);
    admission.submit(request("a", 1));
    let batch = AdmissionRequest {
        class: Class::Batch,
        ..request("b", 1)
    };
    let Decision::Wait(batch) = admission.submit(batch) else {
        panic!()
    };
    let mut started = Vec::new();
    for _ in 0..30 {
        admission.submit(request("a", 1));
        started.extend(admission.finish(0, "a"));
    }
    let position = started.iter().position(|key| *key == batch);
    assert!(
        position.is_some_and(|position| position <= 10),
        "{position:?}"
    );
}

#[test]
fn retry_budget_is_bounded() {
    let mut budget = RetryBudget::new();
    while budget.withdraw() {}
    (0..100).for_each(|_| budget.deposit());
    let retries = (0..100).filter(|_| budget.withdraw()).count();
    assert!(
        (9..=10).contains(&retries),
        "expected a tenth of 100 requests, got {retries}"
    );
}

#[test]
fn gap_timer_adapts() {
    let mut timer = GapTimer::new();
    (0..50).for_each(|_| timer.observe(200.0));
    let slow = timer.timeout_ms();
    assert!(
        slow > 800.0,
        "timeout of a slow stream is too short: {slow} ms"
    );
    (0..100).for_each(|_| timer.observe(10.0));
    assert!(
        timer.timeout_ms() <= 250.0,
        "timeout of a fast stream is too long"
    );
}

proptest! {
    /// Running requests never exceed the limit, and every waiting request eventually runs.
    #[test]
    fn admit_within_limit(limit in 1u32..8, orgs in prop::collection::vec((0u8..4, 1u32..5), 1..200)) {
        let mut admission = Admission::new(limit);
        let mut running = Vec::new();
        let mut waiting = BTreeMap::new();
        for (org, weight) in orgs {
            let name = format!("o{org}");
            match admission.submit(request(&name, weight)) {
                Decision::Run => running.push(name),
                Decision::Wait(key) => drop(waiting.insert(key, name)),
                Decision::Shed { .. } => {}
            }
            prop_assert!(running.len() <= limit as usize);
        }
        while let Some(name) = running.pop() {
            for key in admission.finish(0, &name) {
                running.push(waiting.remove(&key).unwrap());
            }
            prop_assert!(running.len() <= limit as usize);
        }
        prop_assert!(waiting.is_empty() && admission.queued() == 0);
    }
}
