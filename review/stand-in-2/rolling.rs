//! Two core machines are replaced one after the other, each with a successor that has caught up.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::system::{System, SIGTERM};
use crate::Verdict;

/// `catch_up_s` of the deployment.
const CATCH_UP: Duration = Duration::from_secs(4);
/// `contact_ms` of the deployment.
const CONTACT: Duration = Duration::from_secs(3);
/// Time from one removal to the next, longer than `catch_up_s`.
const BETWEEN_REMOVALS: Duration = Duration::from_secs(5);
/// Time for which the operator reads, several times `contact_ms`.
const READ_TIME: Duration = Duration::from_secs(30);

fn document(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"a.example\",\
         \"path_prefix\":\"/a/\",\"kind\":\"idempotent\",\"timeout_ms\":2000,\"slo_ms\":100,\
         \"priority\":2,\"service\":\"app\",\"max_attempts\":2,\"public\":true}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[]}}"
    )
}

pub fn play(system: &mut System, trouble: bool) -> Verdict {
    let seeds = [1, 2, 3];
    for (n, zone) in [(1, "a"), (2, "b"), (3, "c")] {
        system.start_control(n, zone, &seeds, true);
    }
    for (n, zone) in [(21, "a"), (22, "b"), (23, "c")] {
        system.start_ingress(n, zone, &seeds);
    }
    let written = document(7);
    if !system.put_config(&seeds, &written, Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    system.record.line("configuration 7 is acknowledged");
    for n in [21, 22, 23] {
        if !system.wait_ready(n, Duration::from_secs(5)) {
            return Verdict::NotRun;
        }
    }
    // The successors start first, with empty disks at addresses of their own.
    system.start_control(4, "b", &seeds, false);
    system.start_control(5, "c", &seeds, false);
    sleep(CATCH_UP + CONTACT);
    for n in [4, 5] {
        let read = system.api(n, "GET", "/api/config", "");
        if !read.is_ok_and(|response| response.status == 200 && response.text() == written) {
            return Verdict::NotRun;
        }
    }
    system.record.line("both successors have had catch_up_s and answer reads");
    if trouble {
        for name in ["core-2", "core-3"] {
            system.signal(name, SIGTERM);
            if !system.wait_end(name, Duration::from_secs(8)) {
                return Verdict::NotRun;
            }
            sleep(BETWEEN_REMOVALS);
        }
    } else {
        sleep(2 * BETWEEN_REMOVALS);
    }
    let members: &[u8] = if trouble { &[1, 4, 5] } else { &[1, 2, 3, 4, 5] };
    // Twice `contact_ms` and `catch_up_s` after the last removal.
    sleep(2 * (CONTACT + CATCH_UP));
    for n in members {
        if !system.runs(&format!("core-{n}")) {
            return Verdict::NotRun;
        }
    }
    let due = Instant::now() + READ_TIME;
    let mut reads = 0;
    let mut came = false;
    while Instant::now() < due && !came {
        for n in members {
            let read = system.api(*n, "GET", "/api/config", "");
            came |= read.is_ok_and(|response| response.status == 200 && response.text() == written);
            reads += 1;
        }
        sleep(Duration::from_millis(500));
    }
    let accepted = system.put_config(members, &document(9), Duration::from_secs(8));
    system.record.line(format!(
        "configuration 7 read back: {came}, after {reads} reads; configuration 9 acknowledged: {accepted}"
    ));
    if came {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
