//! DRAIN: a heartbeat of another writer, with a field of another type, hides an engine's drain.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{engine_address, request};
use crate::engine::{Engine, EngineConfig, Reaction};
use crate::net::call;
use crate::system::{Record, System, ZONES, config, plain_route, plain_service};

const DRAIN: Duration = Duration::from_millis(2_000);

pub fn run(record: &Record, trouble: bool) -> bool {
    let system = System::start(record, 3, 1);
    let routes = [plain_route("r-1", "/lohu930/", "pedidos", "idempotent", 2)];
    system.put_config(&config(1, &routes, &[plain_service("pedidos")]));
    system.wait_ready();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let start = |number: u8| {
        let config = EngineConfig {
            id: format!("i-{number}"),
            service: "pedidos".into(),
            zone: ZONES[usize::from(number) % 3].into(),
            kind: None,
            address: engine_address(number),
            work: Duration::from_millis(15),
        };
        let engine = Engine::start(
            config,
            system.controls(),
            record,
            &arrivals,
            Duration::ZERO,
            |_| Reaction::Work,
        );
        engine.expect("the address is free")
    };
    // Engine 3 is in the zone of the ingress.
    let engines = [start(3), start(4)];
    let leaving = &engines[0];
    std::thread::sleep(Duration::from_secs(4));
    request(record, system.front(0), "before", "GET", "/lohu930/a");
    if trouble {
        // The fields `version` and `slots` have another type, and `cold_left_ms` is missing.
        let body = format!(
            r#"{{"service":"pedidos","address":"{}","zone":"{}","version":1,"slots":"six","state":"ready","seq":1000000,"born":{}}}"#,
            leaving.address(),
            leaving.config.zone,
            leaving.born
        );
        let path = format!("/api/instances/{}", leaving.config.id);
        let answer = call(
            system.control(1),
            "PUT",
            &path,
            &[],
            &body,
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |response| response.status());
        record.note(format!(
            "another writer sends PUT {path} {body}, answered {status}"
        ));
    }
    std::thread::sleep(Duration::from_secs(4));
    let Some(acknowledged) = leaving.drain() else {
        crate::system::cannot_run("the drain is not acknowledged");
    };
    std::thread::sleep(DRAIN + Duration::from_millis(300));
    for i in 0..5 {
        request(
            record,
            system.front(0),
            &format!("after-{i}"),
            "GET",
            "/lohu930/a",
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    let arrivals = arrivals.lock().unwrap();
    let late = arrivals
        .iter()
        .filter(|a| a.engine == leaving.config.id && a.at > acknowledged + DRAIN)
        .count();
    record.note(format!(
        "{late} requests reached the draining engine later than drain_ms after the acknowledgement"
    ));
    late > 0
}
