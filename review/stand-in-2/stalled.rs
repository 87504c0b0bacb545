//! Callers that the operators don't control send bodies to control and stop just short of their end.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::extra::document;
use crate::system::System;
use crate::Verdict;

/// `memory_mb` of a core machine.
const MEMORY_MB: u64 = 256;
/// Size of a body, below `max_body_bytes` of the configuration (4 MiB).
const BODY_BYTES: usize = 4_000_000;
/// Number of callers at a machine.
const CALLERS: usize = 120;
/// Time for which the callers act.
const DURATION: Duration = Duration::from_secs(45);
/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Number of ends of a process from which they count.
const ENDS: usize = 3;

/// Opens connections whose bodies lack their last byte, again and again.
fn press(address: SocketAddr, stop: &AtomicBool) {
    let body = vec![b'x'; BODY_BYTES - 1];
    while !stop.load(Ordering::Relaxed) {
        let mut open = Vec::new();
        for n in 0..CALLERS {
            let Ok(mut stream) = TcpStream::connect(address) else { break };
            let head = format!(
                "PUT /api/instances/x-{n} HTTP/1.1\r\nHost: control\r\n\
                 Content-Type: application/json\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            );
            let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
            if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body)).is_err() {
                break;
            }
            open.push(stream);
        }
        sleep(Duration::from_secs(3));
    }
}

pub fn play(system: &mut System, trouble: bool) -> Verdict {
    let seeds = [1, 2, 3];
    let zones = ["a", "b", "c"];
    for n in seeds {
        system.start_control(n, zones[usize::from(n) - 1], &seeds, true);
    }
    system.start_ingress(21, "a", &seeds);
    if !system.put_config(&seeds, &document(), Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    if trouble {
        for n in [1, 2] {
            let (address, stop) = (system.control(n), Arc::clone(&stop));
            callers.push(spawn(move || press(address, &stop)));
        }
        system.record.line(format!(
            "{CALLERS} callers at core-1 and core-2 each send {} of {BODY_BYTES} bytes and stay",
            BODY_BYTES - 1
        ));
    }
    let mut ends = [0; 3];
    let mut largest = [0; 3];
    let start = Instant::now();
    while start.elapsed() < DURATION {
        for n in seeds {
            let i = usize::from(n) - 1;
            let name = format!("core-{n}");
            let used = system.memory_mb(&name);
            largest[i] = used.max(largest[i]);
            if used <= MEMORY_MB {
                continue;
            }
            system.record.line(format!("{name} uses {used} MB of {MEMORY_MB}; the platform kills it"));
            system.signal(&name, crate::system::SIGKILL);
            system.wait_end(&name, Duration::from_secs(2));
            ends[i] += 1;
            sleep(RESTART_DELAY);
            system.start_control(n, zones[i], &seeds, false);
        }
        sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    system.record.line(format!(
        "most memory in MB: {largest:?}; processes ended for it: {ends:?}"
    ));
    let failed = ends.iter().filter(|ends| **ends >= ENDS).count();
    if 2 * failed >= seeds.len() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
