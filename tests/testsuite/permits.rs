//! Tests of the permits that divide the limit of a target.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucanshelf_routing::permits::{Permit, PermitBucket, permit_rate};

/// Returns the times at which `askers` get permits at `rate` in `end` ms, each asking when it may.
///
/// An asker that got a permit asks again at once.
fn grants(askers: usize, rate: f64, end: u64) -> Vec<u64> {
    let mut bucket = PermitBucket::new(0, 1.0);
    let mut ask_at = vec![0; askers];
    let mut granted = Vec::new();
    for now in 0..end {
        for at in &mut ask_at {
            if *at > now {
                continue;
            }
            match bucket.ask(now, rate) {
                Permit::Granted => {
                    granted.push(now);
                    *at = now + 1;
                }
                Permit::Denied { wait_ms } => *at = now + wait_ms,
            }
        }
    }
    granted
}

#[test]
fn limit_is_used_and_kept() {
    for askers in [1, 9, 76] {
        let granted = grants(askers, 5.0, 20_000);
        assert!(
            (90..=103).contains(&granted.len()),
            "{askers} askers got {} of 100 permits",
            granted.len()
        );
    }
}

#[test]
fn denied_ask_at_different_times() {
    let mut bucket = PermitBucket::new(0, 0.0);
    let waits: Vec<_> = (0..4).map(|_| bucket.ask(0, 2.0)).collect();
    let denied = [500, 1_000, 1_500, 2_000].map(|wait_ms| Permit::Denied { wait_ms });
    assert_eq!(waits, denied);
    assert_eq!(
        bucket.ask(0, 2.0),
        Permit::Denied { wait_ms: 2_000 },
        "nobody waits for longer than the longest time"
    );
}

#[test]
fn limit_of_zero_allows_few() {
    assert!(
        permit_rate(0.0) > 0.0,
        "or the end of the limit stays unknown"
    );
    assert!(grants(3, permit_rate(0.0), 40_000).len() <= 5);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against more permits in some 4 s than one and a half times the limit, and 5.
    #[test]
    fn bounded_in_any_window(
        rate in 0.1_f64..30.0,
        mut asks in proptest::collection::vec(0_u64..20_000, 1..800),
    ) {
        asks.sort_unstable();
        let mut bucket = PermitBucket::new(0, 1.0);
        let granted: Vec<_> = asks
            .into_iter()
            .filter(|now| bucket.ask(*now, rate) == Permit::Granted)
            .collect();
        for (i, start) in granted.iter().enumerate() {
            let in_window = granted[i..].iter().take_while(|at| **at < start + 4_000);
            prop_assert!(in_window.count() as f64 <= 1.5 * 4.0 * rate + 5.0);
        }
    }
}
