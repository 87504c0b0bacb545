//! Tests of departures and drains that were acknowledged before all control instances ended.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Request;
use tempfile::TempDir;
use toucanshelf_control::Control;
use toucanshelf_coordination::replica::ReplicaId;
use toucanshelf_coordination::store::{DataFolder, OpenStore as _};
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_link::frame::Frame;
use toucanshelf_link::handshake::{Hello, SharedKey};
use toucanshelf_link::link::connect;

use crate::findings_restarts::{END_TIMEOUT, Process};
use crate::platform_support::{WAIT_TIMEOUT, link_key, send, start_voting_control};

/// Number of control instances, of which one may be lost.
const CONTROLS: usize = 3;
/// Interval at which a test looks whether a state is reached.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Start of the target in the tests, in milliseconds since the Unix epoch.
const BORN: u64 = 1_000;

/// Control instances on loopback, with disks that outlast them.
struct Core {
    controls: Vec<Option<Process<Control>>>,
    disks: Vec<TempDir>,
    ips: Vec<String>,
    link_port: u16,
}

impl Core {
    /// Starts all instances and waits until all vote; cores with different numbers share no address.
    fn start(n: usize) -> Self {
        let ips: Vec<_> = (1..=CONTROLS)
            .map(|ip| format!("127.11.{n}.{ip}"))
            .collect();
        let listener = TcpListener::bind(format!("{}:0", ips[0])).unwrap();
        let link_port = listener.local_addr().unwrap().port();
        drop(listener);
        let mut core = Self {
            controls: (0..CONTROLS).map(|_| None).collect(),
            disks: (0..CONTROLS)
                .map(|_| tempfile::tempdir().unwrap())
                .collect(),
            ips,
            link_port,
        };
        core.start_all();
        core.wait_until_complete();
        core
    }

    /// Waits until all instances vote and know that departures are recorded.
    fn wait_until_complete(&self) {
        wait_until("all instances vote", || {
            (0..CONTROLS).all(|n| {
                let driver = &self.control(n).shared().driver;
                let status = driver.status();
                status.current && status.votes && driver.state().leaving().is_some()
            })
        });
    }

    fn start_all(&mut self) {
        for n in 0..CONTROLS {
            self.start_one(n);
        }
    }

    fn start_one(&mut self, n: usize) {
        let seeds: Vec<_> = self.ips.iter().map(|ip| &**ip).collect();
        let listen = SocketAddr::new(self.ips[n].parse().unwrap(), self.link_port);
        let opener = Arc::new(DataFolder::new(self.disks[n].path()));
        let key = link_key();
        let control = start_voting_control(&key, listen, &seeds, 1, opener);
        self.controls[n] = Some(Process::start(control));
    }

    /// Ends an instance, which announces that to nobody.
    fn kill(&mut self, n: usize) {
        let process = self.controls[n].take().unwrap();
        process.runtime.block_on(process.instance.stop());
        process.runtime.shutdown_timeout(END_TIMEOUT);
        // The thread of the replica closes its store last.
        let store = DataFolder::new(self.disks[n].path());
        wait_until("the store is closed", || store.open(ReplicaId(0)).is_ok());
    }

    /// Ends all instances and starts them again; the one in `wiped` has lost its disk.
    fn restart_all(&mut self, wiped: Option<usize>) {
        for n in 0..CONTROLS {
            self.kill(n);
        }
        if let Some(n) = wiped {
            self.disks[n] = tempfile::tempdir().unwrap();
        }
        self.start_all();
    }

    fn control(&self, n: usize) -> &Control {
        &self.controls[n].as_ref().unwrap().instance
    }

    /// Sends a call of a target to instance `n`, and returns the HTTP status.
    fn call(&self, n: usize, method: &str, id: &str, body: &serde_json::Value) -> u16 {
        let address = self.control(n).platform_address().unwrap();
        let request = Request::builder().method(method);
        let request = request.uri(format!("/api/instances/{id}"));
        let request = request.header("host", "control");
        let request = request.body(body.to_string()).unwrap();
        let runtime = &self.controls[n].as_ref().unwrap().runtime;
        runtime.block_on(send(address, request)).status
    }

    fn beat(&self, n: usize, id: &str, born: u64, sequence: u64, state: &str) -> u16 {
        let heartbeat = serde_json::json!({
            "service": "plain", "address": "127.0.0.1:9", "zone": "z", "version": "v1", "slots": 8,
            "state": state, "cold_left_ms": 0, "seq": sequence, "born": born
        });
        self.call(n, "PUT", id, &heartbeat)
    }

    fn leave(&self, n: usize, id: &str) -> u16 {
        self.call(n, "DELETE", id, &serde_json::json!({ "born": BORN }))
    }

    /// Registers target `t`, which then leaves or drains at instance `n`.
    fn register_and(&self, readiness: Readiness, n: usize) {
        assert_eq!(self.beat(n, "t", BORN, 1, "ready"), 200);
        let acknowledged = match readiness {
            Readiness::Gone => self.leave(n, "t"),
            _ => self.beat(n, "t", BORN, 2, "draining"),
        };
        assert_eq!(acknowledged, 200);
    }

    /// Links an ingress to instance `n`, and waits for a registration for which `is_wanted` holds.
    fn hear_at(&self, n: usize, what: &str, is_wanted: impl Fn(&Registration) -> bool) {
        let address = SocketAddr::new(self.ips[n].parse().unwrap(), self.link_port);
        let heard = async {
            let hello = Hello::for_ingress("i1", "z");
            let key = SharedKey::new(link_key()).unwrap();
            let mut link = connect(address, &hello, &key).await.unwrap();
            while let Some(frame) = link.rx.recv().await {
                if let Frame::Registrations { records, .. } = frame
                    && records.iter().any(&is_wanted)
                {
                    return;
                }
            }
            panic!("instance {n} has closed the link");
        };
        let runtime = &self.controls[n].as_ref().unwrap().runtime;
        let heard = runtime.block_on(async { tokio::time::timeout(WAIT_TIMEOUT, heard).await });
        assert!(heard.is_ok(), "instance {n}: {what}");
    }

    /// Checks that each instance tells an ingress of the state of target `t`.
    fn check_all_tell(&self, readiness: Readiness, what: &str) {
        for n in 0..CONTROLS {
            self.hear_at(n, what, |record| {
                &*record.id == "t" && record.readiness == readiness
            });
        }
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let due = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < due, "{what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Restarts all instances after an acknowledgement at instance `n`, and each time loses another disk.
fn restart_after(readiness: Readiness, n: usize) {
    let mut core = Core::start(match readiness {
        Readiness::Gone => n,
        _ => CONTROLS + n,
    });
    core.register_and(readiness, n);
    for wiped in [None, Some(n), Some((n + 1) % CONTROLS)] {
        core.restart_all(wiped);
        let what = format!("{readiness:?} acknowledged at {n}, disk lost: {wiped:?}");
        core.check_all_tell(readiness, &what);
        core.wait_until_complete();
    }
}

/// Guards against a departure that is forgotten when all control instances end.
///
/// An ingress that was out of reach then links anew, and would go on sending requests to the target.
#[test]
fn departure_before_restart_of_all() {
    std::thread::scope(|scope| {
        for n in 0..CONTROLS {
            scope.spawn(move || restart_after(Readiness::Gone, n));
        }
    });
}

/// Guards against the same for a drain, if the target sends no further heartbeat.
#[test]
fn drain_before_restart_of_all() {
    std::thread::scope(|scope| {
        for n in 0..CONTROLS {
            scope.spawn(move || restart_after(Readiness::Draining, n));
        }
    });
}

/// Guards against an acknowledgement by an instance that alone knows of the departure.
#[test]
fn departure_without_quorum() {
    let mut core = Core::start(6);
    assert_eq!(core.beat(0, "t", BORN, 1, "ready"), 200);
    core.kill(1);
    core.kill(2);
    assert_eq!(core.leave(0, "t"), 503);
    core.start_one(1);
    core.start_one(2);
    wait_until("the departure is acknowledged", || {
        core.leave(0, "t") == 200
    });
    core.restart_all(Some(0));
    core.check_all_tell(Readiness::Gone, "repeated until acknowledged");
    // The target repeats its call if the acknowledgement is lost.
    for n in 0..CONTROLS {
        wait_until("a repeated call is acknowledged", || {
            core.leave(n, "t") == 200
        });
    }
}

/// Guards against shutting out a target that registers anew after a recorded departure.
#[test]
fn registered_anew_after_restart_of_all() {
    let mut core = Core::start(7);
    core.register_and(Readiness::Gone, 0);
    core.restart_all(None);
    core.check_all_tell(Readiness::Gone, "departed");
    assert_eq!(core.beat(1, "t", BORN, 3, "ready"), 200);
    core.check_all_tell(Readiness::Gone, "a late heartbeat changes nothing");
    assert_eq!(core.beat(1, "t", BORN + 1, 1, "ready"), 200);
    core.hear_at(1, "started anew", |record| {
        record.incarnation.0 == BORN + 1 && record.readiness == Readiness::Ready
    });
    assert_eq!(core.beat(2, "u", BORN + 2, 1, "ready"), 200);
    core.hear_at(2, "another target at its address", |record| {
        &*record.id == "u" && record.readiness == Readiness::Ready
    });
}

/// Guards against acknowledgements that are not recorded while an instance is lost.
///
/// The lost one can't tell the restarted ones whether it would read the record.
#[test]
fn departure_beside_lost_instance() {
    let mut core = Core::start(8);
    for n in 0..CONTROLS {
        core.kill(n);
    }
    core.start_one(0);
    core.start_one(1);
    wait_until("the target is registered", || {
        core.beat(0, "t", BORN, 1, "ready") == 200
    });
    wait_until("the departure is acknowledged", || {
        core.leave(0, "t") == 200
    });
    core.kill(0);
    core.kill(1);
    core.start_all();
    core.check_all_tell(Readiness::Gone, "acknowledged beside a lost instance");
}
