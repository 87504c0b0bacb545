//! Tests of control instances with gates: tickets, distribution of the configuration, lost disks.

use std::time::{Duration, Instant};

use toucanshelf_core::ids::{Revision, TicketNumber};
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_core::ticket::{Ticket, Verdict};
use toucanshelf_gate::settings::PlannerKind;
use toucanshelf_replay::deployment::Deployment;
use toucanshelf_replay::trace::Trace;

use crate::support::{organisation, ticket};

/// Timeout for a condition to be met, far longer than every documented time limit.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts control instances and gates in this process, without targets.
fn start_deployment(controls: usize, gates: usize) -> Deployment {
    let text =
        format!("name = 'test'\ncontrols = {controls}\ngates = {gates}\n[model]\nlayers = 4\n");
    Deployment::start(&Trace::parse("test", &text).unwrap(), PlannerKind::Flow)
}

/// Polls `condition` until it holds, and panics when `CONDITION_TIMEOUT` has passed.
fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out: {description}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns a ticket that sets the weight of one of seven organisations.
fn weight_ticket(number: u64, operator: &str, weight: u32) -> Ticket {
    let mut out = ticket(number, operator);
    out.organisations
        .push(organisation(&format!("org-{}", number % 7), weight));
    out
}

/// Submits a ticket at a control instance until it returns a verdict.
fn submit(deployment: &Deployment, control: usize, ticket: &Ticket) -> Verdict {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    loop {
        let body = CommandBody::Ticket(Box::new(ticket.clone()));
        match deployment.submit(control, body) {
            Ok(Reply::Verdict(verdict)) => return verdict,
            other => assert!(Instant::now() < deadline, "{other:?}"),
        }
    }
}

/// Returns the configuration revision of a gate, if the gate runs and has one.
fn gate_revision(deployment: &Deployment, gate: usize) -> Option<Revision> {
    deployment
        .gate(gate)
        .and_then(|gate| gate.shared().revision())
}

#[test]
fn race_under_one_number() {
    let deployment = start_deployment(3, 1);
    for number in 10..15 {
        let verdicts: Vec<_> = std::thread::scope(|scope| {
            let submitters: Vec<_> = (0..3u32)
                .map(|n| {
                    let deployment = &deployment;
                    let ticket = weight_ticket(number, &format!("operator-{n}"), n + 1);
                    scope.spawn(move || submit(deployment, n as usize, &ticket))
                })
                .collect();
            submitters
                .into_iter()
                .map(|submitter| submitter.join().unwrap())
                .collect()
        });
        let applied = verdicts
            .iter()
            .filter(|v| matches!(v, Verdict::Applied { .. }))
            .count();
        assert_eq!(applied, 1, "{verdicts:?}");
        let winners: Vec<_> = verdicts
            .iter()
            .filter_map(|v| match v {
                Verdict::Conflict { winner } => Some(winner.digest),
                _ => None,
            })
            .collect();
        assert!(
            winners.len() == 2 && winners[0] == winners[1],
            "{verdicts:?}"
        );
    }
}

#[test]
fn resend_after_leader_change() {
    let mut deployment = start_deployment(3, 1);
    let first = weight_ticket(10, "operator", 1);
    let verdict = submit(&deployment, 0, &first);
    let leader = deployment.leading_control().unwrap();
    deployment.kill_control(leader);
    let other = (leader + 1) % 3;
    assert_eq!(submit(&deployment, other, &first), verdict);
    let lookup = CommandBody::Lookup {
        number: TicketNumber(10),
    };
    let Ok(Reply::Ticket(Some(record))) = deployment.submit(other, lookup) else {
        panic!()
    };
    assert_eq!(record.verdict, verdict);
    assert!(matches!(
        submit(&deployment, other, &weight_ticket(11, "b", 2)),
        Verdict::Applied { .. }
    ));
}

#[test]
fn restart_after_500_tickets() {
    let mut deployment = start_deployment(3, 2);
    deployment.kill_gate(1);
    let follower = (deployment.leading_control().unwrap() + 1) % 3;
    let other = (follower + 1) % 3;
    deployment.kill_control(follower);
    let mut last = None;
    for number in 10..510 {
        last = Some(submit(
            &deployment,
            other,
            &weight_ticket(number, "operator", 1),
        ));
    }
    let Some(Verdict::Applied { revision: newest }) = last else {
        panic!()
    };
    deployment.restart_gate(1);
    deployment.restart_control(follower);
    wait_until("the gate has the newest revision", || {
        gate_revision(&deployment, 1) == Some(newest)
    });
    wait_until("the follower has applied the newest revision", || {
        let control = deployment.control(follower).unwrap();
        control.shared().driver.state().configuration().revision() == newest
    });
}

#[test]
fn start_gate_without_control() {
    let mut deployment = start_deployment(1, 2);
    let verdict = submit(&deployment, 0, &weight_ticket(10, "operator", 1));
    let Verdict::Applied { revision } = verdict else {
        panic!()
    };
    wait_until("both gates have the revision", || {
        (0..2).all(|n| gate_revision(&deployment, n) == Some(revision))
    });
    deployment.kill_control(0);
    deployment.kill_gate(1);
    deployment.restart_gate(1);
    wait_until("the gate gets the newest revision from its peer", || {
        gate_revision(&deployment, 1) == Some(revision)
    });
    assert!(deployment.gate(1).unwrap().shared().is_ready());
}

/// Guards against a gate returning to an older revision after control lost its data.
#[test]
fn emptied_control_takes_nobody_back() {
    let mut deployment = start_deployment(1, 1);
    submit(&deployment, 0, &weight_ticket(10, "operator", 1));
    wait_until("the gate has revision 2", || {
        gate_revision(&deployment, 0) == Some(Revision(2))
    });
    deployment.kill_control(0);
    deployment.remove_control_data(0);
    deployment.restart_control(0);
    submit(&deployment, 0, &weight_ticket(20, "operator", 1));
    // The gate reconnects and is offered revision 1 of a new log, which it must not accept.
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(gate_revision(&deployment, 0), Some(Revision(2)));
}

#[test]
fn lost_disk_then_second_loss() {
    let mut deployment = start_deployment(3, 1);
    submit(&deployment, 0, &weight_ticket(10, "operator", 1));
    let leader = deployment.leading_control().unwrap();
    let (emptied, other) = ((leader + 1) % 3, (leader + 2) % 3);
    wait_until("there are three voters", || {
        voters(&deployment, leader) == 3
    });
    deployment.kill_control(emptied);
    deployment.remove_control_data(emptied);
    deployment.restart_control(emptied);
    let new_replica = deployment
        .control(emptied)
        .unwrap()
        .shared()
        .driver
        .replica();
    wait_until("the new replica votes", || {
        let Some(leader) = deployment.leading_control() else {
            return false;
        };
        let control = deployment.control(leader).unwrap();
        let voters = control.shared().driver.status().membership.voters;
        voters.len() == 3 && voters.contains(&new_replica)
    });
    deployment.kill_control(other);
    let verdict = submit(&deployment, emptied, &weight_ticket(11, "operator", 2));
    assert!(
        matches!(verdict, Verdict::Applied { .. }),
        "two of three voters can commit a ticket"
    );
}

/// Returns the number of voters that a control instance knows.
fn voters(deployment: &Deployment, control: usize) -> usize {
    deployment
        .control(control)
        .unwrap()
        .shared()
        .driver
        .status()
        .membership
        .voters
        .len()
}
