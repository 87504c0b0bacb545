//! LIMIT: an order for an engine that has crashed reaches the next engine at its address.
//!
//! An empty engine of the service `telar-llm` joins and crashes as it receives its first order.
//! More than `reuse_after_s` later, a smaller engine of another service starts at the address. Its
//! first heartbeat arrives one interval late.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::engine_address;
use crate::engine::{Engine, EngineConfig, Reaction};
use crate::system::{HEARTBEAT, Record, System, ZONES, config};

/// Time after which the address of an engine that has ended may be used again.
const REUSE_AFTER: Duration = Duration::from_millis(2_000);

fn model_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_conns":908,"protocol":"h1","tls":false,"engine":{{"slots":192,"kv_capacity":100000,"kv_token_bytes":590000,"link_mbps":400000.0,"stride":4,"models":[{{"name":"m0","pace":1.0,"load_s":14.0,"warm_s":1.0}}],"step_ms":1.02,"per_seq_ms":0.00459,"context_per_k":0.00615,"read_per_s":164000.0,"pairs_per_m":0.199,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":6,"delays":[],"usual":{{"prompt":775,"answer":220}},"layers":80,"layer_mb":1750.0,"act_bytes":29500,"pipe_mbps":16000.0,"kinds":[{{"name":"a100","size_mb":72000.0,"pace":2.4,"read_factor":3.2}},{{"name":"v100","size_mb":14400.0,"pace":5.3,"read_factor":7.9}},{{"name":"l4","size_mb":21600.0,"pace":16.0,"read_factor":8.2}}]}}}}"#
    )
}

fn stream_route(name: &str, prefix: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"ficu95.example","path_prefix":"{prefix}","kind":"streaming","timeout_ms":20000,"slo_ms":500,"priority":1,"service":"{service}","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_slo_ms":250}}"#
    )
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let system = System::start(record, 3, 1);
    let services = [model_service("telar-llm"), model_service("telar-small")];
    let routes = [
        stream_route("r-1", "/lohu930/", "telar-llm"),
        stream_route("r-2", "/pufi791/", "telar-small"),
    ];
    system.put_config(&config(1, &routes, &services));
    system.wait_ready();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let start = |id: &str, service: &str, kind, address, first_beat, crashes: bool| {
        let config = EngineConfig {
            id: id.into(),
            service: service.into(),
            zone: ZONES[0].into(),
            kind: Some(kind),
            address,
            work: Duration::from_millis(20),
        };
        let react = move |message: &crate::net::Message| {
            if crashes && message.path() == "/api/order" {
                Reaction::Crash
            } else {
                Reaction::Work
            }
        };
        let engine = Engine::start(
            config,
            system.controls(),
            record,
            &arrivals,
            first_beat,
            react,
        );
        engine.expect("the address is free")
    };
    // The usual engines of the service hold the model.
    let mut engines = Vec::new();
    for number in 1..=4 {
        let id = format!("i-large-{number}");
        engines.push(start(
            &id,
            "telar-llm",
            "a100",
            engine_address(number),
            Duration::ZERO,
            false,
        ));
    }
    std::thread::sleep(Duration::from_secs(8));
    // An empty engine joins.
    let address = engine_address(10);
    let joined = start(
        "i-large-new",
        "telar-llm",
        "a100",
        address,
        Duration::ZERO,
        trouble,
    );
    let until = Instant::now() + Duration::from_secs(5);
    while trouble && !joined.is_dead() {
        if Instant::now() > until {
            crate::system::cannot_run("the new engine gets no order");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    std::thread::sleep(REUSE_AFTER + Duration::from_millis(50));
    let address = if trouble { address } else { engine_address(11) };
    engines.push(start(
        "i-small",
        "telar-small",
        "v100",
        address,
        HEARTBEAT,
        false,
    ));
    engines.push(joined);
    std::thread::sleep(Duration::from_secs(6));
    engines
        .iter()
        .any(|engine| !engine.excess_orders.lock().unwrap().is_empty())
}
