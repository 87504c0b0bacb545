//! BUDGET: after all machines have been restarted in turn, a request that crashes engines is sent again.
//!
//! Copies of the request come at one ingress until they are refused. Then all machines get SIGTERM
//! and start again, one after the other: an ingress, the control instances, the other ingresses. More
//! than `contact_ms` after the last start, copies come at another ingress.

use std::time::Duration;

use super::{Fleet, request};
use crate::system::{Record, System, config, plain_route, plain_service};

const CONTACT: Duration = Duration::from_millis(3_000);
/// Time for which a started machine is left alone: `catch_up_s`.
const CATCH_UP: Duration = Duration::from_millis(4_000);
const WORK: Duration = Duration::from_millis(50);
const BACK: Duration = Duration::from_millis(3_500);
const BAD_PATH: &str = "/lohu930/bad";

pub fn run(record: &Record, trouble: bool) -> bool {
    let system = System::start(record, 3, 3);
    let routes = [plain_route("r-1", "/lohu930/", "pedidos", "idempotent", 1)];
    system.put_config(&config(1, &routes, &[plain_service("pedidos")]));
    system.wait_ready();
    let fleet = Fleet::start(record, system.controls(), 12, WORK, BACK, Some(BAD_PATH));
    std::thread::sleep(CATCH_UP);
    let mut number = 0;
    let mut copies = |ingress: usize, count: usize| {
        for _ in 0..count {
            request(
                record,
                system.front(ingress),
                &format!("bad-{number}"),
                "GET",
                BAD_PATH,
            );
            number += 1;
            std::thread::sleep(Duration::from_millis(700));
        }
    };
    copies(0, 8);
    let crashes = fleet.crashes();
    record.note(format!("8 copies have crashed {} engines", crashes.len()));
    let Some(third) = crashes.get(2).copied() else {
        crate::system::cannot_run("fewer than three engines were crashed");
    };
    // One ingress first, then the control instances, then the other ingresses.
    let order = [
        "ingress-0",
        "control-0",
        "control-1",
        "control-2",
        "ingress-1",
        "ingress-2",
    ];
    for name in order {
        if trouble {
            system.terminate(name);
            system.restart(name);
        }
        std::thread::sleep(CATCH_UP);
    }
    system.wait_ready();
    std::thread::sleep(CONTACT);
    copies(1, 8);
    let late = fleet.count("bad-", Some(third + CONTACT));
    record.note(format!(
        "{late} copies have reached engines later than contact_ms after the third crash"
    ));
    late > 3
}
