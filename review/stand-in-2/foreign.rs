//! Another writer registers services that the configuration doesn't name at the addresses of targets.

use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::engine::{Engine, Manner};
use crate::http::call;
use crate::system::System;
use crate::Verdict;

/// Time for which clients send a request every 100 ms.
const TRAFFIC: Duration = Duration::from_secs(40);

fn document() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\",\"path_prefix\":\"/a/\",\
     \"kind\":\"idempotent\",\"timeout_ms\":2000,\"slo_ms\":500,\"priority\":2,\"service\":\"app\",\
     \"max_attempts\":2,\"public\":true}],\"services\":[{\"name\":\"app\",\
     \"health_path\":\"/health\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}"
        .to_owned()
}

pub fn play(system: &mut System, trouble: bool) -> Verdict {
    let seeds = [1, 2, 3];
    for (n, zone) in [(1, "a"), (2, "b"), (3, "c")] {
        system.start_control(n, zone, &seeds, true);
    }
    for (n, zone) in [(21, "a"), (22, "b"), (23, "c")] {
        system.start_ingress(n, zone, &seeds);
    }
    if !system.put_config(&seeds, &document(), Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    let manner = Manner {
        events: 2,
        pause: Duration::from_millis(8),
        ..Manner::default()
    };
    let controls: Vec<_> = seeds.iter().map(|n| system.control(*n)).collect();
    let mut targets = Vec::new();
    for (n, id, zone) in [(41, "i-1", "a"), (42, "i-2", "b"), (43, "i-3", "c")] {
        let (address, record) = (system.at(n, 0), system.record.clone());
        let controls = controls.clone();
        let target = Engine::start(id, address, zone, "app", controls, record, manner.clone());
        targets.push(target.expect("the target can listen"));
    }
    for n in [21, 22, 23] {
        if !system.wait_ready(n, Duration::from_secs(5)) {
            return Verdict::NotRun;
        }
    }
    sleep(Duration::from_secs(3));
    if trouble {
        for target in &targets {
            if !register_beside(system, target) {
                return Verdict::NotRun;
            }
        }
    }
    let (mut sent, mut served) = (0, 0);
    let start = std::time::Instant::now();
    while start.elapsed() < TRAFFIC {
        let id = format!("{:016x}", 0x5d1f_0b7e_0000_0000_u64 + sent);
        let headers = [
            ("Host", "a.example"),
            ("X-Toucanshelf-Request-Id", &*id),
            ("X-Toucanshelf-Deadline-Ms", "1500"),
        ];
        let front = system.front(21 + (sent % 3) as u8);
        let result = call(front, "GET", "/a/1", &headers, b"", Duration::from_secs(2));
        let text = match &result {
            Ok(response) => response.status.to_string(),
            Err(e) => e.to_string(),
        };
        system.record.line(format!("request {id} at {front} is answered: {text}"));
        sent += 1;
        served += usize::from(result.is_ok_and(|r| r.status == 200 && r.complete));
        sleep(Duration::from_millis(100));
    }
    let beats: Vec<_> = targets.iter().map(Engine::beats).collect();
    system.record.line(format!(
        "{served} of {sent} requests served; the targets run, and {beats:?} of their heartbeats were acknowledged"
    ));
    if served == 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Registers another service at a target's address, at any control instance that accepts it.
fn register_beside(system: &System, target: &Engine) -> bool {
    let (id, address) = (&target.id, target.address);
    for attempt in 1..=10 {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let body = format!(
            "{{\"service\":\"monitor\",\"address\":\"{address}\",\"zone\":\"a\",\
             \"version\":\"v3\",\"slots\":1,\"state\":\"ready\",\"cold_left_ms\":0,\
             \"seq\":{attempt},\"born\":{born}}}"
        );
        system.record.line(format!("another writer, beside {id}, sends {body}"));
        let control = 1 + (attempt % 3) as u8;
        let result = system.api(control, "PUT", &format!("/api/instances/m-{id}"), &body);
        if result.is_ok_and(|response| response.status == 200) {
            return true;
        }
        sleep(Duration::from_millis(500));
    }
    false
}
