//! Tests of the account of memory that request bodies hold.

use std::net::IpAddr;

use proptest::prelude::*;
use toucanshelf_runtime::memory_budget::{
    Decision, Eviction, HolderKey, MemoryBudget, MemoryLimits,
};

const MB: usize = 1_000_000;
/// Time after which a body without progress is too slow, in milliseconds.
const SLOW_MS: u64 = 5_000;

/// An account of 8 MB, of which large bodies may use 7 MB.
fn budget() -> MemoryBudget {
    MemoryBudget::new(MemoryLimits {
        max_bytes: 8 * MB,
        min_rate: 1_000,
    })
}

fn open(budget: &mut MemoryBudget, owner: u8, now_ms: u64) -> HolderKey {
    budget.open(Some(IpAddr::from([10, 0, 0, owner])), now_ms)
}

/// Adds a body that holds this memory.
fn holder(budget: &mut MemoryBudget, owner: u8, bytes: usize) -> HolderKey {
    let key = open(budget, owner, 0);
    assert_eq!(budget.resize(key, bytes, 0), Decision::Granted);
    key
}

#[test]
fn closed_body_gives_memory_back() {
    let mut budget = budget();
    let key = holder(&mut budget, 1, 7 * MB);
    assert_eq!(budget.used_bytes(), 7 * MB);
    budget.close(key);
    assert_eq!(budget.used_bytes(), 0);
    holder(&mut budget, 1, 7 * MB);
}

#[test]
fn slow_body_goes_before_the_newest() {
    let mut budget = budget();
    let slow = holder(&mut budget, 1, 3 * MB);
    let steady = holder(&mut budget, 1, 3 * MB);
    budget.record_arrival(steady, MB, SLOW_MS - 1);
    let newest = open(&mut budget, 1, SLOW_MS);
    assert_eq!(budget.resize(newest, 2 * MB, SLOW_MS), Decision::Wait);
    assert_eq!(budget.eviction(slow), Some(Eviction::TooSlow));
    assert_eq!(budget.eviction(steady), None);
    budget.close(slow);
    assert_eq!(budget.resize(newest, 2 * MB, SLOW_MS), Decision::Granted);
}

#[test]
fn slow_body_stays_while_there_is_room() {
    let mut budget = budget();
    let slow = holder(&mut budget, 1, 3 * MB);
    holder(&mut budget, 1, 3 * MB);
    let newest = open(&mut budget, 1, 60_000);
    assert_eq!(budget.resize(newest, MB, 60_000), Decision::Granted);
    assert_eq!(budget.eviction(slow), None);
}

#[test]
fn body_at_the_least_rate_is_not_slow() {
    let mut budget = budget();
    let key = holder(&mut budget, 1, 6 * MB);
    let mut now = 0;
    for _ in 0..20 {
        now += 1_000;
        budget.record_arrival(key, 1_000, now);
    }
    let newest = open(&mut budget, 1, now);
    assert_eq!(budget.resize(newest, 2 * MB, now), Decision::Refused);
    assert_eq!(budget.eviction(key), None);
}

#[test]
fn newest_body_of_one_caller_is_refused() {
    let mut budget = budget();
    let oldest = holder(&mut budget, 1, 4 * MB);
    let newest = holder(&mut budget, 1, 3 * MB);
    assert_eq!(budget.resize(newest, 4 * MB, 1), Decision::Refused);
    assert_eq!(budget.resize(oldest, 5 * MB, 1), Decision::Wait);
    assert_eq!(budget.eviction(newest), Some(Eviction::Newest));
}

#[test]
fn newest_body_of_the_largest_caller_goes() {
    let mut budget = budget();
    let first = holder(&mut budget, 1, 3 * MB);
    let second = holder(&mut budget, 1, 3 * MB);
    let other = open(&mut budget, 2, 1);
    assert_eq!(budget.resize(other, 2 * MB, 1), Decision::Wait);
    assert_eq!(budget.eviction(second), Some(Eviction::Newest));
    assert_eq!(
        (budget.eviction(first), budget.eviction(other)),
        (None, None)
    );
}

#[test]
fn complete_body_stays() {
    let mut budget = budget();
    let complete = holder(&mut budget, 1, 7 * MB);
    assert!(budget.complete(complete));
    let newest = open(&mut budget, 2, 60_000);
    assert_eq!(budget.resize(newest, MB, 60_000), Decision::Refused);
    assert_eq!(budget.eviction(complete), None);
}

#[test]
fn evicted_body_does_not_complete() {
    let mut budget = budget();
    let oldest = holder(&mut budget, 1, 3 * MB);
    let newest = holder(&mut budget, 1, 4 * MB);
    assert_eq!(budget.resize(oldest, 4 * MB, 1), Decision::Wait);
    assert!(!budget.complete(newest));
}

#[test]
fn small_body_has_a_reserve() {
    let mut budget = budget();
    holder(&mut budget, 1, 7 * MB);
    let large = open(&mut budget, 2, 1);
    let small = open(&mut budget, 2, 1);
    assert_eq!(budget.resize(small, 64 * 1024, 1), Decision::Granted);
    assert_ne!(budget.resize(large, MB, 1), Decision::Granted);
}

proptest! {
    /// Checks that no sequence of requests reserves more than the limit or loses count.
    #[test]
    fn any_order_stays_under_the_limit(
        steps in prop::collection::vec((0_u8..4, 0_usize..12, 0..4 * MB), 1..200)
    ) {
        let mut budget = budget();
        let mut held: Vec<(HolderKey, usize)> = Vec::new();
        for (now, (action, index, bytes)) in (0_u64..).step_by(700).zip(steps) {
            match (action, index < held.len()) {
                (0, _) => held.push((open(&mut budget, index as u8, now), 0)),
                (1, true) => budget.close(held.swap_remove(index).0),
                (2, true) => {
                    budget.record_arrival(held[index].0, bytes, now);
                    budget.complete(held[index].0);
                }
                (3, true)
                    if budget.resize(held[index].0, bytes, now) == Decision::Granted =>
                {
                    held[index].1 = bytes;
                }
                _ => {}
            }
            prop_assert!(budget.used_bytes() <= 8 * MB);
            let sum: usize = held.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(budget.used_bytes(), sum);
        }
    }
}
