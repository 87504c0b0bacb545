//! Tests that claims let a call run at most once.
//!
//! They guard against a second run of a call after a gate crash, a lost reply or a resend.

use proptest::prelude::*;
use toucanshelf_core::claim::{
    ANSWER_RETENTION_MS, ClaimCommand, ClaimKey, ClaimReply, Claims, RecordedAnswer,
};
use toucanshelf_core::digest::Digest;
use toucanshelf_core::ids::LogTimeMs;

const DEADLINE_MS: u64 = 1_000;

fn key() -> ClaimKey {
    ClaimKey {
        organisation: "skippers".into(),
        service: "dispatch".into(),
        key: "k".into(),
    }
}

fn acquire(holder: u64) -> ClaimCommand {
    ClaimCommand::Acquire {
        body: Digest::of(b"body"),
        holder,
        deadline_ms: DEADLINE_MS,
    }
}

fn answer(holder: u64) -> RecordedAnswer {
    let body = holder.to_le_bytes().to_vec();
    RecordedAnswer {
        status: 201,
        content_type: "text/plain".into(),
        body,
    }
}

#[test]
fn acquire_recorded() {
    let mut claims = Claims::default();
    assert_eq!(
        claims.apply(LogTimeMs(1), &key(), acquire(1)),
        ClaimReply::Granted
    );
    assert_eq!(
        claims.apply(LogTimeMs(2), &key(), acquire(2)),
        ClaimReply::InProgress
    );
    let record = ClaimCommand::Record {
        holder: 1,
        answer: answer(1),
    };
    assert_eq!(claims.apply(LogTimeMs(3), &key(), record), ClaimReply::Done);
    let reply = claims.apply(LogTimeMs(4), &key(), acquire(3));
    assert_eq!(reply, ClaimReply::Recorded(answer(1)));
}

#[test]
fn acquire_after_holder_died() {
    let mut claims = Claims::default();
    claims.apply(LogTimeMs(1), &key(), acquire(1));
    let late = LogTimeMs(2 + DEADLINE_MS);
    assert_eq!(claims.apply(late, &key(), acquire(2)), ClaimReply::Unknown);
    // The first holder can still record the answer after the deadline.
    let record = ClaimCommand::Record {
        holder: 1,
        answer: answer(1),
    };
    claims.apply(late, &key(), record);
    assert_eq!(
        claims.apply(late, &key(), acquire(2)),
        ClaimReply::Recorded(answer(1))
    );
}

#[test]
fn acquire_with_other_body() {
    let mut claims = Claims::default();
    claims.apply(LogTimeMs(1), &key(), acquire(1));
    let other = ClaimCommand::Acquire {
        body: Digest::of(b"other"),
        holder: 2,
        deadline_ms: DEADLINE_MS,
    };
    assert_eq!(
        claims.apply(LogTimeMs(2), &key(), other),
        ClaimReply::KeyReused
    );
}

#[test]
fn acquire_after_retention() {
    let mut claims = Claims::default();
    claims.apply(LogTimeMs(1), &key(), acquire(1));
    claims.apply(
        LogTimeMs(2),
        &key(),
        ClaimCommand::Record {
            holder: 1,
            answer: answer(1),
        },
    );
    let late = LogTimeMs(3 + ANSWER_RETENTION_MS);
    assert_eq!(
        claims.apply(late, &key(), acquire(2)),
        ClaimReply::Spent,
        "a call whose answer has expired must not run again"
    );
}

#[test]
fn release_by_another() {
    let mut claims = Claims::default();
    claims.apply(LogTimeMs(1), &key(), acquire(1));
    let release = ClaimCommand::Release { holder: 2 };
    assert_eq!(
        claims.apply(LogTimeMs(2), &key(), release),
        ClaimReply::NotHolder
    );
    assert_eq!(
        claims.apply(LogTimeMs(3), &key(), acquire(3)),
        ClaimReply::InProgress
    );
}

/// One step of a random sequence of events; the indices are those of gates.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A gate requests the claim; if `lost` is set, the reply does not reach it.
    Acquire { lost: bool },
    /// A gate that was granted the claim sends the call to a target.
    Send(usize),
    /// A gate that has sent the call records the answer.
    Record(usize),
    /// A gate that has not sent the call releases the claim.
    Release(usize),
    /// A gate crashes.
    Crash(usize),
    /// The given time passes, in milliseconds.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(|lost| Step::Acquire { lost }),
        (0usize..6).prop_map(Step::Send),
        (0usize..6).prop_map(Step::Record),
        (0usize..6).prop_map(Step::Release),
        (0usize..6).prop_map(Step::Crash),
        (1u64..2 * DEADLINE_MS).prop_map(Step::Wait),
    ]
}

/// State of one gate with regard to the claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Gate {
    /// The gate was granted the claim and has not sent the call.
    Granted,
    /// The gate has sent the call.
    Sent,
    /// The gate was not granted the claim, has released it or has crashed.
    Inactive,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_096, ..ProptestConfig::default() })]

    /// At most one gate sends the call, whichever gates crash or resend it.
    #[test]
    fn run_at_most_once(steps in prop::collection::vec(step(), 1..40)) {
        let mut claims = Claims::default();
        let mut gates: Vec<Gate> = Vec::new();
        let mut now = 1;
        let mut runs = 0;
        for step in steps {
            now += 1;
            let at = LogTimeMs(now);
            match step {
                Step::Acquire { lost } => {
                    let holder = gates.len() as u64;
                    let reply = claims.apply(at, &key(), acquire(holder));
                    let granted = reply == ClaimReply::Granted && !lost;
                    gates.push(if granted { Gate::Granted } else { Gate::Inactive });
                }
                Step::Send(i) if gates.get(i) == Some(&Gate::Granted) => {
                    runs += 1;
                    gates[i] = Gate::Sent;
                }
                Step::Record(i) if gates.get(i) == Some(&Gate::Sent) => {
                    let command = ClaimCommand::Record { holder: i as u64, answer: answer(i as u64) };
                    claims.apply(at, &key(), command);
                }
                Step::Release(i) if gates.get(i) == Some(&Gate::Granted) => {
                    claims.apply(at, &key(), ClaimCommand::Release { holder: i as u64 });
                    gates[i] = Gate::Inactive;
                }
                Step::Crash(i) if i < gates.len() => gates[i] = Gate::Inactive,
                Step::Wait(ms) => now += ms,
                _ => {}
            }
            prop_assert!(runs <= 1, "the call ran {runs} times");
        }
    }
}
