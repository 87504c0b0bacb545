//! An engine sends an extra response, late, where the response to the next stream is expected.

use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::engine::{Engine, Manner};
use crate::http::{call, header};
use crate::system::System;
use crate::Verdict;

const LAYERS: u32 = 8;

/// Returns a configuration with one route, whose streams can't be resumed.
pub fn document() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"a.example\",\
         \"path_prefix\":\"/s/\",\"kind\":\"streaming\",\"timeout_ms\":20000,\"slo_ms\":500,\
         \"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"public\":true,\"sticky\":true,\
         \"resumable\":false,\"gap_slo_ms\":250}}],\"services\":[{{\"name\":\"llm\",\
         \"health_path\":\"/health\",\"max_conns\":900,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":192,\"kv_capacity\":100000,\"kv_token_bytes\":590000,\
         \"models\":[{{\"name\":\"m\",\"pace\":1.0,\"load_s\":0.1,\"warm_s\":0.1}}],\
         \"step_ms\":1.02,\"per_seq_ms\":0.00459,\"read_per_s\":164000.0,\
         \"usual\":{{\"prompt\":775,\"answer\":220}},\"layers\":{LAYERS},\"layer_mb\":1750.0,\
         \"kinds\":[{{\"name\":\"a100\",\"size_mb\":72000.0,\"pace\":2.4,\"read_factor\":3.2}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}"
    )
}

pub fn play(system: &mut System, trouble: bool) -> Verdict {
    let seeds = [1, 2, 3];
    for (n, zone) in [(1, "a"), (2, "b"), (3, "c")] {
        system.start_control(n, zone, &seeds, true);
    }
    system.start_ingress(21, "a", &seeds);
    if !system.put_config(&seeds, &document(), Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    let manner = Manner {
        extra_response: Arc::new(AtomicBool::new(trouble)),
        events: 5,
        pause: Duration::from_millis(20),
    };
    let controls: Vec<_> = seeds.iter().map(|n| system.control(*n)).collect();
    let mut engines = Vec::new();
    for (n, id) in [(41, "i-1"), (42, "i-2")] {
        let (address, record) = (system.at(n, 0), system.record.clone());
        let controls = controls.clone();
        let engine = Engine::start(id, address, "a", "llm", controls, record, manner.clone());
        engines.push(engine.expect("the engine can listen"));
    }
    let due = Instant::now() + Duration::from_secs(30);
    while !engines.iter().all(Engine::holds_layers) {
        if Instant::now() >= due {
            return Verdict::NotRun;
        }
        sleep(Duration::from_millis(50));
    }
    if !system.wait_ready(21, Duration::from_secs(5)) {
        return Verdict::NotRun;
    }
    // The next heartbeats name the layers, and the ingress may send requests again after its first
    // `retry_window_s`.
    sleep(Duration::from_secs(11));
    let mut answered = 0;
    let mut refused = Vec::new();
    for n in 0..40 {
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + n);
        let headers = [
            ("Host", "a.example"),
            ("X-Toucanshelf-Request-Id", &*id),
            ("X-Toucanshelf-Model", "m"),
            ("X-Toucanshelf-Token-Counts", "60,5"),
            ("X-Toucanshelf-Prompt-Prefix", "5c1e07a2:40,91bd3f06:20"),
            ("X-Toucanshelf-Deadline-Ms", "20000"),
        ];
        let patience = Duration::from_secs(20);
        let result = call(system.front(21), "POST", "/s/1", &headers, b"body", patience);
        let text = match &result {
            Ok(response) => {
                let seal = header(&response.headers, "x-toucanshelf-response-seal");
                format!("{}, seal {seal:?}, complete {}", response.status, response.complete)
            }
            Err(e) => e.to_string(),
        };
        system.record.line(format!("the client's request {id} is answered: {text}"));
        let status = result.map_or(0, |response| response.status);
        answered += usize::from(status == 200);
        if [408, 421, 429, 503].contains(&status) {
            refused.push(id);
        }
        sleep(Duration::from_millis(100));
    }
    let mut counts = std::collections::BTreeMap::new();
    for engine in &engines {
        for (id, runs) in engine.runs() {
            *counts.entry(id).or_insert(0) += runs;
        }
    }
    let twice: Vec<_> = counts.iter().filter(|(_, runs)| **runs > 1).collect();
    let denied: Vec<_> = refused.iter().filter(|id| counts.contains_key(*id)).collect();
    system.record.line(format!(
        "{answered} requests answered 200, {} have run, more than once: {twice:?}, \
         refused although they ran: {denied:?}",
        counts.len()
    ));
    match (answered, twice.is_empty() && denied.is_empty()) {
        (0, _) => Verdict::NotRun,
        (_, true) => Verdict::Held,
        (_, false) => Verdict::Broken,
    }
}
