//! Tests of the ledger that counts the runs of one request.

use proptest::prelude::*;
use toucanshelf_routing::runs::{AttemptState, RunLedger};

const RESULTS: [AttemptState; 5] = [
    AttemptState::Open,
    AttemptState::NotSent,
    AttemptState::NotRun,
    AttemptState::MayHaveRun,
    AttemptState::TargetEnded,
];

fn is_alive(_target: u32) -> bool {
    false
}

/// Guards against another run while an attempt without a result may still run the request.
#[test]
fn open_attempt_counts() {
    let mut ledger = RunLedger::new(2);
    let stalled = ledger.begin(1);
    let lost = ledger.begin(2);
    ledger.settle(lost, AttemptState::MayHaveRun);
    assert!(!ledger.has_run_left(is_alive));
    ledger.settle(stalled, AttemptState::NotRun);
    assert!(ledger.has_run_left(is_alive));
}

/// Guards against a run that stays uncounted although its target is alive after all.
#[test]
fn ended_target_is_back() {
    let mut ledger = RunLedger::new(1);
    let attempt = ledger.begin(1);
    ledger.settle(attempt, AttemptState::TargetEnded);
    assert!(ledger.has_run_left(|target| target == 1));
    assert!(!ledger.has_run_left(is_alive));
    assert!(ledger.may_have_run());
}

#[test]
fn earlier_runs_are_included() {
    let ledger = RunLedger::<u32>::new(2).with_earlier_runs(Some(2));
    assert!(!ledger.has_run_left(is_alive));
    let ledger = RunLedger::<u32>::new(2).with_earlier_runs(Some(0));
    assert!(ledger.has_run_left(is_alive));
    assert!(ledger.may_have_run() && ledger.is_offered());
    let ledger = RunLedger::<u32>::new(2).with_earlier_runs(None);
    assert!(!ledger.may_have_run() && !ledger.is_offered());
}

proptest! {
    #[test]
    fn runs_within_limit(limit in 1_u32..4, results in prop::collection::vec((0_usize..5, 0_u32..6), 0..24)) {
        let mut ledger = RunLedger::new(limit);
        let mut live_targets_that_ran = 0;
        for (result, target) in results {
            if !ledger.has_run_left(is_alive) {
                break;
            }
            let attempt = ledger.begin(target);
            let state = RESULTS[result];
            ledger.settle(attempt, state);
            if !matches!(state, AttemptState::NotSent | AttemptState::NotRun) {
                live_targets_that_ran += 1;
                prop_assert!(ledger.may_have_run());
            }
        }
        prop_assert!(live_targets_that_ran <= limit);
    }
}
