//! Control instances and gates together: tickets, distribution, lost disks.

use std::time::{Duration, Instant};

use toucanshelf_core::ids::{Revision, TicketNumber};
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_core::ticket::{Ticket, Verdict};
use toucanshelf_gate::settings::PlannerKind;
use toucanshelf_replay::deployment::Deployment;
use toucanshelf_replay::trace::Trace;

use crate::support::{organisation, ticket};

/// Time after which a condition counts as never met; far beyond every stated target.
const PATIENCE: Duration = Duration::from_secs(30);

fn deploy(controls: usize, gates: usize) -> Deployment {
    let text =
        format!("name = 'test'\ncontrols = {controls}\ngates = {gates}\n[model]\nlayers = 4\n");
    Deployment::start(&Trace::parse("test", &text).unwrap(), PlannerKind::Flow)
}

fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let due = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < due, "never: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn weight_ticket(number: u64, operator: &str, weight: u32) -> Ticket {
    let mut out = ticket(number, operator);
    out.organisations
        .push(organisation(&format!("org-{}", number % 7), weight));
    out
}

fn submit(deployment: &Deployment, control: usize, ticket: &Ticket) -> Verdict {
    let due = Instant::now() + PATIENCE;
    loop {
        let body = CommandBody::Ticket(Box::new(ticket.clone()));
        match deployment.submit(control, body) {
            Ok(Reply::Verdict(verdict)) => return verdict,
            other => assert!(Instant::now() < due, "{other:?}"),
        }
    }
}

fn gate_revision(deployment: &Deployment, gate: usize) -> Option<Revision> {
    deployment
        .gate(gate)
        .and_then(|gate| gate.shared().revision())
}

#[test]
fn race_under_one_number() {
    let deployment = deploy(3, 1);
    for number in 10..15 {
        let verdicts: Vec<_> = std::thread::scope(|scope| {
            let racers: Vec<_> = (0..3u32)
                .map(|n| {
                    let deployment = &deployment;
                    let ticket = weight_ticket(number, &format!("operator-{n}"), n + 1);
                    scope.spawn(move || submit(deployment, n as usize, &ticket))
                })
                .collect();
            racers
                .into_iter()
                .map(|racer| racer.join().unwrap())
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
    let mut deployment = deploy(3, 1);
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
    let mut deployment = deploy(3, 2);
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
    eventually("the gate is in step", || {
        gate_revision(&deployment, 1) == Some(newest)
    });
    eventually("the follower is in step", || {
        let control = deployment.control(follower).unwrap();
        control.parts().driver.state().configuration().revision() == newest
    });
}

#[test]
fn start_gate_without_control() {
    let mut deployment = deploy(1, 2);
    let verdict = submit(&deployment, 0, &weight_ticket(10, "operator", 1));
    let Verdict::Applied { revision } = verdict else {
        panic!()
    };
    eventually("both gates", || {
        (0..2).all(|n| gate_revision(&deployment, n) == Some(revision))
    });
    deployment.kill_control(0);
    deployment.kill_gate(1);
    deployment.restart_gate(1);
    eventually("the newest from its peer", || {
        gate_revision(&deployment, 1) == Some(revision)
    });
    assert!(deployment.gate(1).unwrap().shared().is_ready());
}

#[test]
fn emptied_control_takes_nobody_back() {
    let mut deployment = deploy(1, 1);
    submit(&deployment, 0, &weight_ticket(10, "operator", 1));
    eventually("the gate", || {
        gate_revision(&deployment, 0) == Some(Revision(2))
    });
    deployment.kill_control(0);
    deployment.empty_control(0);
    deployment.restart_control(0);
    submit(&deployment, 0, &weight_ticket(20, "operator", 1));
    // The gate links again and is offered revision 1 of another log.
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(gate_revision(&deployment, 0), Some(Revision(2)));
}

#[test]
fn lost_disk_then_second_loss() {
    let mut deployment = deploy(3, 1);
    submit(&deployment, 0, &weight_ticket(10, "operator", 1));
    let leader = deployment.leading_control().unwrap();
    let (emptied, other) = ((leader + 1) % 3, (leader + 2) % 3);
    eventually("three voters", || voters(&deployment, leader) == 3);
    deployment.kill_control(emptied);
    deployment.empty_control(emptied);
    deployment.restart_control(emptied);
    let fresh = deployment
        .control(emptied)
        .unwrap()
        .parts()
        .driver
        .replica();
    eventually("the new replica votes", || {
        let Some(leader) = deployment.leading_control() else {
            return false;
        };
        let control = deployment.control(leader).unwrap();
        let voters = control.parts().driver.standing().membership.voters;
        voters.len() == 3 && voters.contains(&fresh)
    });
    deployment.kill_control(other);
    let verdict = submit(&deployment, emptied, &weight_ticket(11, "operator", 2));
    assert!(
        matches!(verdict, Verdict::Applied { .. }),
        "two of three carry on"
    );
}

fn voters(deployment: &Deployment, control: usize) -> usize {
    deployment
        .control(control)
        .unwrap()
        .parts()
        .driver
        .standing()
        .membership
        .voters
        .len()
}
