//! Tests of the record of leaving targets in the replicated state.

use toucanshelf_core::ids::{Incarnation, LogTimeMs};
use toucanshelf_core::leaving::{LeavingTargets, MAX_LEAVING_TARGETS};
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_core::registry::Registry;
use toucanshelf_core::state::{Command, CommandBody, ControlState, Reply};

use crate::support::all_orders;

/// Time after which no target of a record runs any more, in milliseconds.
const RETENTION_MS: u64 = 120_000;

fn registration(id: &str, born: u64, sequence: u64, readiness: Readiness) -> Registration {
    Registration {
        id: id.into(),
        incarnation: Incarnation(born),
        sequence,
        service: "plain".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "z".into(),
        readiness,
        accelerator: None,
        layers: None,
    }
}

fn gone(id: &str, born: u64) -> Registration {
    registration(id, born, 3, Readiness::Gone)
}

/// Records targets in `state` at a time in milliseconds.
fn record(state: &mut ControlState, at: u64, records: Vec<Registration>) {
    let command = Command {
        at: LogTimeMs(at),
        body: CommandBody::RecordLeaving { records },
    };
    assert_eq!(state.apply(command), Reply::LeavingRecorded);
}

fn recorded(state: &ControlState) -> usize {
    state.leaving().unwrap().after(0).count()
}

#[test]
fn snapshot_of_records() {
    let mut state = ControlState::new();
    let restored = ControlState::from_bytes(&state.to_bytes()).unwrap();
    assert!(
        restored.leaving().is_none(),
        "older programs may read the log"
    );
    record(&mut state, 1, Vec::new());
    assert_eq!(recorded(&state), 0);
    record(&mut state, 2, vec![gone("t", 1)]);
    let restored = ControlState::from_bytes(&state.to_bytes()).unwrap();
    assert_eq!(restored.leaving(), state.leaving());
    assert!(restored.leaving().unwrap().holds(&gone("t", 1)));
}

/// Guards against a record that grows with each target that ever left.
#[test]
fn records_beyond_limit() {
    let mut leaving = LeavingTargets::new();
    let count = MAX_LEAVING_TARGETS + 10;
    for n in 0..count {
        leaving.record(gone(&format!("t{n}"), 1), LogTimeMs(1));
    }
    assert_eq!(leaving.after(0).count(), MAX_LEAVING_TARGETS);
    assert!(!leaving.holds(&gone("t9", 1)));
    assert!(leaving.holds(&gone("t10", 1)));
    for _ in 0..3 {
        leaving.record(gone("t10", 1), LogTimeMs(1));
    }
    assert_eq!(leaving.count(), count as u64, "repeated calls add nothing");
}

/// Guards against records that outlast their targets, on any command of the log.
#[test]
fn records_expired() {
    let mut state = ControlState::new();
    record(&mut state, 1_000, vec![gone("t", 1)]);
    record(&mut state, 2_000, vec![gone("u", 1)]);
    let read = |state: &mut ControlState, at| {
        let body = CommandBody::DeploymentVersion;
        state.apply(Command {
            at: LogTimeMs(at),
            body,
        });
    };
    read(&mut state, 1_000 + RETENTION_MS - 1);
    assert_eq!(recorded(&state), 2);
    read(&mut state, 1_000 + RETENTION_MS);
    assert!(!state.leaving().unwrap().holds(&gone("t", 1)));
    assert!(state.leaving().unwrap().holds(&gone("u", 1)));
}

#[test]
fn records_after_known_ones() {
    let mut leaving = LeavingTargets::new();
    leaving.record(gone("t", 1), LogTimeMs(1));
    let known = leaving.count();
    leaving.record(gone("u", 1), LogTimeMs(2));
    leaving.record(gone("t", 2), LogTimeMs(3));
    let newer: Vec<_> = leaving.after(known).cloned().collect();
    assert_eq!(newer, [gone("u", 1), gone("t", 2)]);
}

/// A step of a target's first start or its next one.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The log records the drain of the first start.
    Drain,
    /// The log records the departure of the first start.
    Depart,
    /// A late heartbeat of the first start arrives.
    LateHeartbeat,
    /// The next start registers.
    NextStart,
    /// All control instances end and start again, with nothing but the log.
    Restart,
}

/// Enters what the log records into a registry, as an instance does that starts.
fn enter(leaving: &LeavingTargets, registry: &mut Registry) {
    for record in leaving.after(0) {
        registry.apply(record.clone(), 1);
    }
}

/// Guards against a departure that is lost, or that shuts out the next start, in some order of events.
#[test]
fn restarts_in_all_orders() {
    let steps = [
        Step::Drain,
        Step::Depart,
        Step::LateHeartbeat,
        Step::NextStart,
        Step::Restart,
        Step::Restart,
    ];
    for order in all_orders(&steps) {
        let (mut leaving, mut registry) = (LeavingTargets::new(), Registry::new());
        let (mut departed, mut started_anew) = (false, false);
        for step in &order {
            match step {
                Step::Drain => {
                    leaving.record(registration("t", 1, 2, Readiness::Draining), LogTimeMs(1));
                }
                Step::Depart => {
                    leaving.record(gone("t", 1), LogTimeMs(1));
                    departed = true;
                }
                Step::LateHeartbeat => {
                    registry.apply(registration("t", 1, 1, Readiness::Ready), 1);
                }
                Step::NextStart => {
                    registry.apply(registration("t", 2, 1, Readiness::Ready), 1);
                    started_anew = true;
                }
                Step::Restart => registry = Registry::new(),
            }
            enter(&leaving, &mut registry);
            let known = registry.deployed("t").map(|entry| &entry.record);
            let first = known.filter(|record| record.incarnation == Incarnation(1));
            if departed && let Some(record) = first {
                assert_eq!(record.readiness, Readiness::Gone, "{order:?} at {step:?}");
            }
            assert!(!departed || known.is_some(), "{order:?} at {step:?}");
            if started_anew {
                // Its next heartbeat restores it after a restart.
                registry.apply(registration("t", 2, 2, Readiness::Ready), 1);
                let known = &registry.deployed("t").unwrap().record;
                let expected = (Incarnation(2), Readiness::Ready);
                let actual = (known.incarnation, known.readiness);
                assert_eq!(actual, expected, "{order:?} at {step:?}");
            }
        }
    }
}
