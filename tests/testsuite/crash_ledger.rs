//! Tests of the attribution of crashes to the content of requests.

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
    assert_eq!(ledger.handling(DEADLY, 0), Handling::Normal);
    crash(&mut ledger, 0, 1, &[FIRST, DEADLY], None);
    assert_eq!(
        ledger.handling(DEADLY, 0),
        Handling::Normal,
        "both requests report the same crash"
    );
    crash(&mut ledger, 5, 2, &[FIRST, DEADLY], None);
    assert_eq!(ledger.handling(DEADLY, 5), FREE_TRIAL);
    assert_eq!(
        ledger.handling(FIRST, 5),
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
    assert_eq!(ledger.handling(FIRST, 0), FREE_TRIAL);
    assert_eq!(ledger.handling(other(5), 0), Handling::Normal);
}

#[test]
fn answer_clears_suspect() {
    let mut ledger = CrashLedger::new();
    crash(&mut ledger, 0, 1, &[DEADLY], None);
    crash(&mut ledger, 0, 2, &[DEADLY], None);
    let despite = vec![CrashId(1)];
    ledger.apply(1, &finding(DEADLY, Outcome::Served { despite }));
    assert_eq!(ledger.unexplained(DEADLY), [CrashId(2)]);
    assert_eq!(ledger.handling(DEADLY, 1), Handling::Normal);
    crash(&mut ledger, 2, 1, &[DEADLY], None);
    assert_eq!(
        ledger.handling(DEADLY, 2),
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
    assert_eq!(ledger.handling(DEADLY, 11), busy);
    ledger.apply(20, &finding(DEADLY, Outcome::TrialEnded));
    assert_eq!(ledger.handling(DEADLY, 20), FREE_TRIAL);
    ledger.apply(30, &finding(DEADLY, Outcome::TrialStarted));
    serve(&mut ledger, 40, DEADLY);
    assert_eq!(ledger.handling(DEADLY, 40), Handling::Normal);
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
    assert_eq!(ledger.handling(DEADLY, 12), Handling::Trial { busy_until });
}

#[test]
fn refused_after_crash_in_trial() {
    let mut ledger = CrashLedger::new();
    for id in 1..=5 {
        crash(&mut ledger, 0, id, &[DEADLY], None);
    }
    assert_eq!(
        ledger.handling(DEADLY, 0),
        FREE_TRIAL,
        "targets may crash at once for another reason"
    );
    crash(&mut ledger, 100, 6, &[DEADLY], Some(DEADLY));
    let until = 100 + MIN_REFUSAL_MS;
    assert_eq!(ledger.handling(DEADLY, 101), Handling::Refused { until });
    assert_eq!(ledger.handling(DEADLY, until), FREE_TRIAL);
    crash(&mut ledger, until, 7, &[DEADLY], Some(DEADLY));
    assert_eq!(
        ledger.handling(DEADLY, until + 1),
        Handling::Refused {
            until: until + 8 * MIN_REFUSAL_MS
        },
        "each failed trial prolongs the refusal"
    );
    serve(&mut ledger, until + 2, DEADLY);
    assert_eq!(ledger.handling(DEADLY, until + 2), Handling::Normal);
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
        ledger.handling(request, 0),
        Handling::Refused { .. }
    ));
    assert_eq!(ledger.handling(FIRST, 0), FREE_TRIAL);
    serve(&mut ledger, 1, FIRST);
    assert_eq!(ledger.handling(FIRST, 1), Handling::Normal);
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
            prop_assert_eq!(copy.handling(content, 0), original.handling(content, 0));
        }
    }
}
