//! Tests of the budget of repeated sends.

use proptest::prelude::*;
use toucanshelf_routing::budget::{BudgetLimits, RepeatBudget};

/// Limits of the budget, whose slack the instances share equally.
const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    slack: 60.0,
    window_ms: 10_000,
};

#[test]
fn slack_is_shared() {
    let mut budget = RepeatBudget::new(LIMITS);
    let taken = (0..100).filter(|_| budget.take_repeat(0, 6)).count();
    assert!(
        taken <= 10,
        "one of six instances took {taken} sends, more than a sixth of the slack"
    );
    assert!(taken >= 5, "one of six instances took only {taken} sends");
}

#[test]
fn window_passes() {
    let mut budget = RepeatBudget::new(LIMITS);
    while budget.take_repeat(0, 6) {}
    assert!(!budget.has_repeat(9_000, 6));
    assert!(budget.has_repeat(12_000, 6));
}

/// Guards against an instance that spends its share of the slack again after each restart.
#[test]
fn restarted_instance() {
    let mut before = RepeatBudget::new(LIMITS);
    let spent = (0..100).filter(|_| before.take_repeat(50_000, 6)).count();
    // The new process counts its time from its start.
    let mut after = RepeatBudget::new(LIMITS).with_slack_from(LIMITS.window_ms);
    let again = (0..LIMITS.window_ms).filter(|now| after.take_repeat(*now, 6));
    assert_eq!(again.count(), 0, "after {spent} sends in the same window");
    assert!(after.take_repeat(LIMITS.window_ms, 6));
}

/// The share that follows from counted requests is available at once.
#[test]
fn restarted_instance_with_requests() {
    let mut budget = RepeatBudget::new(LIMITS).with_slack_from(LIMITS.window_ms);
    for _ in 0..100 {
        budget.count_request(10);
    }
    assert!(budget.take_repeat(20, 6));
}

proptest! {
    /// No window exceeds the limits, whatever the order of requests and repeated sends.
    #[test]
    fn sum_stays_within(steps in prop::collection::vec((0_u64..400, any::<bool>()), 1..600)) {
        let mut budget = RepeatBudget::new(LIMITS);
        let mut now = 0;
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (pause, is_request) in steps {
            now += pause;
            if is_request {
                budget.count_request(now);
                requests.push(now);
            } else if budget.take_repeat(now, 1) {
                repeats.push(now);
            }
            let since = now.saturating_sub(LIMITS.window_ms);
            let recent = |times: &[u64]| times.iter().filter(|at| **at > since).count() as f64;
            // The budget also counts requests of the previous window, so this bound does, too.
            let before = since.saturating_sub(LIMITS.window_ms);
            let counted = requests.iter().filter(|at| **at > before).count() as f64;
            prop_assert!(recent(&repeats) <= LIMITS.ratio * counted + LIMITS.slack);
        }
    }
}
