//! BUDGET: a request that crashes engines reaches one engine from each ingress.
//!
//! Three copies crash three engines. More than `contact_ms` later, further copies come at nine
//! ingresses, 3 ms apart.

use std::time::{Duration, Instant};

use super::{Fleet, request};
use crate::system::{Record, System, config, plain_route, plain_service};

const INGRESSES: usize = 9;
const ENGINES: u8 = 12;
const CONTACT: Duration = Duration::from_millis(3_000);
/// Pause between two copies.
const SPACING: Duration = Duration::from_millis(3);
/// Time for which an engine works on a request, or until the request crashes it.
const WORK: Duration = Duration::from_millis(150);
/// Time after which a crashed engine is back.
const BACK: Duration = Duration::from_millis(3_500);
const BAD_PATH: &str = "/lohu930/bad";

pub fn run(record: &Record, trouble: bool) -> bool {
    let system = System::start(record, 3, INGRESSES as u8);
    let routes = [plain_route("r-1", "/lohu930/", "pedidos", "idempotent", 1)];
    system.put_config(&config(1, &routes, &[plain_service("pedidos")]));
    system.wait_ready();
    let bad_path = trouble.then_some(BAD_PATH);
    let fleet = Fleet::start(record, system.controls(), ENGINES, WORK, BACK, bad_path);
    // Sound requests at all machines, from which they are in touch for `contact_ms`.
    std::thread::sleep(Duration::from_millis(1_500));
    for i in 0..INGRESSES {
        request(record, system.front(i), &format!("sound-{i}"), "GET", "/lohu930/sound");
    }
    std::thread::sleep(CONTACT);
    for copy in 0..3 {
        request(record, system.front(copy), &format!("bad-first-{copy}"), "GET", BAD_PATH);
        std::thread::sleep(Duration::from_millis(500));
    }
    let third = Instant::now();
    record.note("the first three copies have been sent; pause of more than contact_ms");
    std::thread::sleep(CONTACT + Duration::from_millis(1_000));
    let copies: Vec<_> = (0..INGRESSES)
        .map(|i| {
            let (record, front) = (record.clone(), system.front(i));
            std::thread::spawn(move || {
                std::thread::sleep(SPACING * i as u32);
                request(&record, front, &format!("bad-late-{i}"), "GET", BAD_PATH);
            })
        })
        .collect();
    for copy in copies {
        let _ = copy.join();
    }
    std::thread::sleep(Duration::from_millis(500));
    let late = fleet.count("bad-late", Some(third + CONTACT));
    let early = fleet.count("bad-first", None);
    let crashed = if trouble { early } else { 0 };
    record.note(format!(
        "{early} copies reached engines at first and crashed {crashed}; {late} copies reached engines later than contact_ms after the third"
    ));
    if early < 3 {
        crate::system::cannot_run("the first copies did not reach three engines");
    }
    // The rule speaks of a request that has crashed three engines.
    crashed >= 3 && late > 3
}
