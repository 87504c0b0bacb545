//! Measures how costs grow with load, as the basis of `docs/CAPACITY.md`.
//!
//! `scripts/measure-capacity` runs this benchmark.

use std::time::{Duration, Instant};

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use toucanshelf_coordination::membership::{Condition, View};
use toucanshelf_core::claim::{ClaimCommand, ClaimKey, RecordedAnswer};
use toucanshelf_core::digest::Digest;
use toucanshelf_core::document::Organisation;
use toucanshelf_core::ids::{LogTimeMs, TicketNumber};
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::state::{Command, CommandBody, ControlState, Reply};
use toucanshelf_core::ticket::{Ticket, Verdict};
use toucanshelf_gate::settings::PlannerKind;
use toucanshelf_replay::deployment::Deployment;
use toucanshelf_replay::results::Distribution;
use toucanshelf_replay::trace::Trace;
use toucanshelf_routing::fleet::{EngineInfo, Fleet};
use toucanshelf_routing::placement::{EngineProfile, ModelShape, Repartitioning, plan};
use toucanshelf_routing::planner::{FlowPlanner, Planner as _, RouteRequest};

/// Time over which the resource use of an idle deployment is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

fn main() {
    for engines in [8, 10, 100, 1_000] {
        measure_planner(engines);
    }
    for engines in [10, 100, 1_000] {
        measure_placement(engines);
    }
    for targets in [10, 100, 1_000] {
        measure_membership(targets);
    }
    for tickets in [200, 2_000, 20_000] {
        measure_control_state(tickets);
    }
    for claims in [1_000, 10_000, 100_000] {
        measure_claim_state(claims);
    }
    for gates in [1, 5, 9] {
        measure_idle(gates);
    }
    measure_ticket_propagation();
}

/// Returns the mean time per item, in microseconds.
fn micros_per_item(total: Duration, count: usize) -> f64 {
    total.as_secs_f64() * 1e6 / count as f64
}

/// Measures the time of the first route choice and of later ones.
///
/// Only the first choice solves the flow.
fn measure_planner(engines: usize) {
    let mut fleet = Fleet::new(48);
    for n in 0..engines {
        let from = (n % 4) as u32 * 12;
        let layers = LayerRange::new(from, from + 12).unwrap();
        let zone = format!("zone-{}", n % 3);
        fleet.upsert(EngineInfo::new(
            format!("e{n}"),
            zone,
            layers,
            50.0 + (n % 3) as f64 * 50.0,
        ));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut planner = FlowPlanner::new();
    let route_request = RouteRequest::new("zone-0");
    let started = Instant::now();
    planner.choose(&fleet, &route_request, &mut rng).unwrap();
    let solve = started.elapsed();
    let started = Instant::now();
    for _ in 0..2_000 {
        planner.choose(&fleet, &route_request, &mut rng).unwrap();
    }
    let choose = micros_per_item(started.elapsed(), 2_000);
    println!(
        "planner engines={engines} solve_ms={:.2} choose_us={choose:.1}",
        solve.as_secs_f64() * 1e3
    );
}

/// Measures the time to place layers in a zone, also after an engine is lost.
///
/// The lost engine is one of those with the most memory.
fn measure_placement(engines: usize) {
    let shape = ModelShape {
        layers: 80,
        layer_mb: 1_750.0,
        token_layer_mb: 0.007_375,
        slots: 192,
        typical_tokens: 1_000.0,
        entry_weight: 1.0,
    };
    let accelerators = [(72_000.0, 2.4), (14_400.0, 5.3), (21_600.0, 16.0)];
    let profiles = (0..engines).map(|n| {
        let (memory_mb, step_factor) = accelerators[n % accelerators.len()];
        EngineProfile {
            zone: 0,
            memory_mb,
            step_factor,
            held: None,
            loading: false,
        }
    });
    let mut profiles: Vec<_> = profiles.collect();
    let started = Instant::now();
    let wanted = plan(&shape, &profiles, Repartitioning::Deferred);
    let first = started.elapsed();
    for (profile, wanted) in profiles.iter_mut().zip(wanted) {
        profile.held = wanted;
    }
    profiles.remove(0);
    let started = Instant::now();
    plan(&shape, &profiles, Repartitioning::Deferred);
    println!(
        "placement engines={engines} first_ms={:.2} loss_ms={:.2}",
        first.as_secs_f64() * 1e3,
        started.elapsed().as_secs_f64() * 1e3
    );
}

/// Measures the time of announcement renewals, and the encoded size of records and digests.
fn measure_membership(targets: usize) {
    let mut view: View<String> = View::new("g", 3_000);
    let payload = "x".repeat(180);
    for n in 0..targets {
        view.announce(
            0,
            &format!("engine-{n}"),
            1,
            Condition::Ready,
            payload.clone(),
            |_, _| true,
        )
        .unwrap();
    }
    let started = Instant::now();
    for n in 0..targets {
        view.announce(
            1,
            &format!("engine-{n}"),
            1,
            Condition::Ready,
            payload.clone(),
            |_, _| true,
        )
        .unwrap();
    }
    let renew = micros_per_item(started.elapsed(), targets);
    let record = view.get("engine-0").unwrap();
    let mut encoded_record = Vec::new();
    ciborium::into_writer(record, &mut encoded_record).unwrap();
    let mut digests = Vec::new();
    ciborium::into_writer(&view.digests(), &mut digests).unwrap();
    println!(
        "membership targets={targets} renew_us={renew:.2} record_bytes={} digest_bytes={:.1}",
        encoded_record.len(),
        digests.len() as f64 / targets as f64
    );
}

/// Builds a ticket for one of 580 organisations.
fn ticket(number: u64) -> Ticket {
    let text = format!("number = {number}\noperator = 'bench'\n");
    let organisation = Organisation {
        id: format!("org-{}", number % 580).into(),
        weight: 1,
        token_digests: vec![Digest::of(&number.to_le_bytes())],
        names: std::collections::BTreeMap::new(),
    };
    let mut ticket: Ticket = toml::from_str(&text).unwrap();
    ticket.organisations.push(organisation);
    ticket
}

/// Measures the time to apply a ticket and to write and read a snapshot.
fn measure_control_state(tickets: u64) {
    let mut state = ControlState::new();
    let started = Instant::now();
    for number in 1..=tickets {
        let body = CommandBody::Ticket(Box::new(ticket(number)));
        state.apply(Command {
            at: LogTimeMs(1),
            body,
        });
    }
    let apply = micros_per_item(started.elapsed(), tickets as usize);
    let started = Instant::now();
    let bytes = state.to_bytes();
    let write = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    ControlState::from_bytes(&bytes).unwrap();
    let read = started.elapsed().as_secs_f64() * 1e3;
    println!(
        "control tickets={tickets} apply_us={apply:.1} snapshot_bytes={} write_ms={write:.1} read_ms={read:.1}",
        bytes.len()
    );
}

/// Measures the time to acquire and record a claim, and the snapshot's size.
fn measure_claim_state(claims: usize) {
    let mut state = ControlState::new();
    let key = |n: usize| ClaimKey {
        organisation: "members".into(),
        service: "pedidos".into(),
        key: format!("order-{n}").into(),
    };
    let started = Instant::now();
    for n in 0..claims {
        let acquire = ClaimCommand::Acquire {
            body: Digest::of(&n.to_le_bytes()),
            holder: n as u64,
            deadline_ms: 20_000,
        };
        let answer = RecordedAnswer {
            status: 201,
            content_type: "application/json".into(),
            body: vec![b'x'; 64],
        };
        for command in [
            acquire,
            ClaimCommand::Record {
                holder: n as u64,
                answer,
            },
        ] {
            state.apply(Command {
                at: LogTimeMs(1),
                body: CommandBody::Claim {
                    key: key(n),
                    command,
                },
            });
        }
    }
    let apply = micros_per_item(started.elapsed(), claims);
    println!(
        "claims count={claims} pair_us={apply:.2} snapshot_bytes={}",
        state.to_bytes().len()
    );
}

/// Returns the processor time used by this process, in units of 10 ms.
fn cpu_ticks() -> u64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<_> = text
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

/// Returns the number of bytes sent over the loopback interface so far.
fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"))
        .unwrap();
    line.split_whitespace().nth(9).unwrap().parse().unwrap()
}

/// Returns the resident memory of this process, in kB.
fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Starts a deployment with the given numbers of control instances, gates and engines.
fn deploy(controls: usize, gates: usize, engines: usize) -> Deployment {
    let text = format!(
        "name = 'capacity'\ncontrols = {controls}\ngates = {gates}\n[model]\nlayers = 8\n[[engine]]\ncount = {engines}\nzone = 'a'\nlayers = [0, 8]\n"
    );
    Deployment::start(&Trace::parse("capacity", &text).unwrap(), PlannerKind::Flow)
}

/// Measures the processor time, loopback traffic and memory of an idle deployment.
fn measure_idle(gates: usize) {
    let resident_kb_before = resident_kb();
    let deployment = deploy(1, gates, 2);
    let (cpu_ticks_before, bytes_before) = (cpu_ticks(), loopback_bytes());
    std::thread::sleep(IDLE_PERIOD);
    let cpu = (cpu_ticks() - cpu_ticks_before) as f64 / 100.0 / IDLE_PERIOD.as_secs_f64();
    let bytes = (loopback_bytes() - bytes_before) as f64 / IDLE_PERIOD.as_secs_f64();
    let memory = resident_kb().saturating_sub(resident_kb_before);
    println!(
        "idle gates={gates} cpu_percent={:.2} bytes_per_s={bytes:.0} resident_kb={memory}",
        cpu * 100.0
    );
    drop(deployment);
}

/// Measures the time until a submitted ticket is in force at all 9 gates.
fn measure_ticket_propagation() {
    let deployment = deploy(3, 9, 0);
    let mut samples = Vec::new();
    for number in 10..210u64 {
        let mut ticket = ticket(number);
        ticket.number = TicketNumber(number);
        let started = Instant::now();
        let reply = deployment.submit(0, CommandBody::Ticket(Box::new(ticket)));
        let Ok(Reply::Verdict(Verdict::Applied { revision })) = reply else {
            panic!("{reply:?}")
        };
        let in_force = |n: usize| deployment.gate(n).unwrap().shared().revision() >= Some(revision);
        while !(0..9).all(in_force) {
            std::thread::sleep(Duration::from_micros(200));
        }
        samples.push(started.elapsed().as_secs_f64() * 1e3);
    }
    samples.sort_unstable_by(f64::total_cmp);
    let p99 = samples[samples.len() * 99 / 100];
    let summary = Distribution::of(samples);
    println!(
        "in_force gates=9 controls=3 p50_ms={:.1} p99_ms={p99:.1} max_ms={:.1}",
        summary.p50, summary.max
    );
}
