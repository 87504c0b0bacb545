//! A client repeats a request that crashes engines at once, at several ingresses.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::engine::{Engine, Manner, CRASHING_BODY};
use crate::extra::document;
use crate::http::call;
use crate::system::{Record, System};
use crate::Verdict;

const INGRESSES: std::ops::RangeInclusive<u8> = 21..=29;
const ENGINES: u8 = 16;
/// `contact_ms` of the deployment, and some time beyond.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Number of copies: the client repeats its request three times, the largest dose of `retry_abuse`
/// on the site.
const COPIES: usize = 4;
/// Number of retries that may reach engines.
const ALLOWED_RETRIES: usize = 3;

/// Sends one copy of the request, with an identifier of its own.
fn send(record: &Record, front: std::net::SocketAddr, id: &str, body: &[u8]) -> u16 {
    let headers = [
        ("Host", "a.example"),
        ("X-Toucanshelf-Request-Id", id),
        ("X-Toucanshelf-Model", "m"),
        ("X-Toucanshelf-Token-Counts", "60,5"),
        ("X-Toucanshelf-Prompt-Prefix", "5c1e07a2:40,91bd3f06:20"),
        ("X-Toucanshelf-Deadline-Ms", "20000"),
    ];
    let result = call(front, "POST", "/s/1", &headers, body, Duration::from_secs(20));
    let text = match &result {
        Ok(response) => response.status.to_string(),
        Err(e) => e.to_string(),
    };
    record.line(format!("request {id} at {front} is answered: {text}"));
    result.map_or(0, |response| response.status)
}

pub fn play(system: &mut System, trouble: bool) -> Verdict {
    let seeds = [1, 2, 3];
    let zones = ["a", "b", "c"];
    for n in seeds {
        system.start_control(n, zones[usize::from(n) - 1], &seeds, true);
    }
    for n in INGRESSES {
        system.start_ingress(n, zones[usize::from(n) % 3], &seeds);
    }
    if !system.put_config(&seeds, &document(), Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    let controls: Vec<_> = seeds.iter().map(|n| system.control(*n)).collect();
    let manner = Manner {
        events: 5,
        pause: Duration::from_millis(20),
        ..Manner::default()
    };
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let (id, address) = (format!("i-{n}"), system.at(41 + n, 0));
        let (zone, record) = (zones[usize::from(n) % 3], system.record.clone());
        let controls = controls.clone();
        let engine = Engine::start(&id, address, zone, "llm", controls, record, manner.clone());
        engines.push(engine.expect("the engine can listen"));
    }
    let due = Instant::now() + Duration::from_secs(30);
    while !engines.iter().all(Engine::holds_layers) {
        if Instant::now() >= due {
            return Verdict::NotRun;
        }
        sleep(Duration::from_millis(50));
    }
    for n in INGRESSES {
        if !system.wait_ready(n, Duration::from_secs(5)) {
            return Verdict::NotRun;
        }
    }
    sleep(Duration::from_secs(5));
    let body = if trouble { CRASHING_BODY } else { b"sound" };
    let record = system.record.clone();
    for n in 0..10 {
        // Sound requests are served at each ingress before.
        let front = system.front(21 + n % 9);
        if send(&record, front, &format!("50{n:014x}"), b"other") != 200 {
            return Verdict::NotRun;
        }
    }
    for n in 0..3 {
        send(&record, system.front(21 + n), &format!("60{n:014x}"), body);
        sleep(Duration::from_millis(500));
    }
    let crashed = crashes(&engines, "60");
    record.line(format!("the request has crashed {crashed} engines"));
    sleep(CONTACT);
    // One client sends the request, and after each answer at once again, at another ingress.
    for n in INGRESSES.take(COPIES) {
        send(&record, system.front(n), &format!("70{n:014x}"), body);
    }
    let retries = crashes(&engines, "70");
    record.line(format!(
        "later than contact_ms after that, {retries} of the {COPIES} copies have reached engines and crashed them; \
         allowed: {ALLOWED_RETRIES}"
    ));
    match (crashed, retries) {
        (1..3, _) => Verdict::NotRun,
        (_, 0..=ALLOWED_RETRIES) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Returns how many engines were crashed by requests whose identifiers begin so.
fn crashes(engines: &[Engine], prefix: &str) -> usize {
    let crashes = engines.iter().flat_map(Engine::crashes);
    crashes.filter(|id| id.starts_with(prefix)).count()
}
