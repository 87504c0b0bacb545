//! Crowds at the listeners of a gate.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use tempfile::TempDir;
use tokio::net::TcpListener;
use toucanshelf_control::Control;
use toucanshelf_core::digest::Digest;
use toucanshelf_replay::layout::{Addresses, SERVICE, caller_token};
use toucanshelf_soak::deployment::{ORGANISATION, first_ticket};
use toucanshelf_standin::service::{ServiceSettings, StandinService};

use crate::client::Call;
use crate::crowd::Crowd;
use crate::links::UPGRADE;
use crate::machine::{Machine, Watched};
use crate::platform_support::{link_key, start_control};
use crate::returning::ReturningCrowd;
use crate::{
    CHUNKED, CONNECTIONS, CROWD, PIECE_BYTES, RETURNING, content_length, run_alone,
    unfinished_request,
};

/// Machine of a gate, whose process may open few descriptors.
const SMALL_MACHINE: Machine = Machine {
    bytes: 256_000_000,
    descriptors: 256,
    reserved_descriptors: 16,
};
/// The machine of a gate.
const FULL_MACHINE: Machine = Machine {
    bytes: 256_000_000,
    descriptors: 4_100,
    reserved_descriptors: 200,
};
/// Largest legal body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Callers whose bodies fill the receive buffers of a process that reads late.
const LARGE_CROWD: usize = 1_000;
/// Callers that need all descriptors of a machine for themselves.
const ALL_DESCRIPTORS: usize = 3_900;
const TARGET_TOKEN: &str = "hostile-test-target";
/// Token whose digest is in the settings of the control instances of tests.
const OPERATOR_TOKEN: &str = "example-operator-token";
const CHAT: &str = "POST /v1/chat/completions";
const ANNOUNCE: &str = "POST /v1/targets/announce";

/// A gate process, a control instance and a service.
struct GateSystem {
    gate: Watched,
    http: SocketAddr,
    links: SocketAddr,
    control: Control,
    _service: StandinService,
    _data: TempDir,
}

impl GateSystem {
    async fn start() -> Self {
        Self::start_on(SMALL_MACHINE).await
    }

    /// Starts the processes, the gate on this machine.
    async fn start_on(machine: Machine) -> Self {
        let (control, data) = start_control().await;
        let ticket = Call::new(control.address(), "PUT /v1/tickets/1")
            .with_header("authorization", &format!("Bearer {OPERATOR_TOKEN}"))
            .with_body(first_ticket());
        ticket.wait_until_served().await;
        let text = format!(
            "name = 'g1'\nzone = 'z'\nlisten = '127.0.0.1:0'\nlink-listen = '127.0.0.1:0'\n\
             link-key = '{}'\ncontrol = ['{}']\nmax-body-bytes = {MAX_BODY_BYTES}\n\
             target-token-digests = ['{}']\noperator-token-digests = ['{}']\n",
            link_key(),
            control.link_address(),
            Digest::of(TARGET_TOKEN.as_bytes()),
            Digest::of(OPERATOR_TOKEN.as_bytes()),
        );
        let mut addresses = Addresses::new();
        let [http, links] = [(); 2].map(|()| addresses.allocate());
        drop(addresses);
        let text = text.replacen("127.0.0.1:0", &http.to_string(), 1);
        let text = text.replacen("127.0.0.1:0", &links.to_string(), 1);
        let program = env!("CARGO_BIN_EXE_toucanshelf-gate");
        let gate = Watched::start(program, &text, machine, &[], &[http, links]);
        let settings = ServiceSettings::new("s1", SERVICE, "z", vec![http], TARGET_TOKEN);
        let service = tokio::task::block_in_place(|| StandinService::start(settings)).unwrap();
        let system = Self {
            gate,
            http,
            links,
            control,
            _service: service,
            _data: data,
        };
        system.ordinary_call().wait_until_served().await;
        system
    }

    /// Returns a call of a caller that the service answers at once.
    fn ordinary_call(&self) -> Call {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let key = NEXT.fetch_add(1, Ordering::Relaxed);
        let call = Call::new(self.http, &format!("POST /svc/{SERVICE}/runs"));
        let token = caller_token(ORGANISATION);
        call.with_header("authorization", &format!("Bearer {token}"))
            .with_header("idempotency-key", &format!("ordinary-{key}"))
    }

    /// Adds the service `held`, whose target accepts connections and never answers.
    async fn add_silent_service(&self) -> TcpListener {
        let ticket =
            "number = 2\noperator = 'crowd'\n[[service]]\nid = 'held'\nclass = 'interactive'\n";
        let put = Call::new(self.control.address(), "PUT /v1/tickets/2")
            .with_header("authorization", &format!("Bearer {OPERATOR_TOKEN}"))
            .with_body(ticket);
        put.wait_until_served().await;
        let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let announcement = serde_json::json!({
            "name": "h1", "incarnation": 1, "zone": "z", "address": target.local_addr().unwrap(),
            "role": { "kind": "service", "service": "held" }, "slots": 1_000
        });
        let announce = Call::new(self.http, ANNOUNCE)
            .with_header("authorization", &format!("Bearer {TARGET_TOKEN}"))
            .with_body(announcement.to_string());
        announce.wait_until_served().await;
        target
    }

    /// Opens a crowd that sends this token, if any.
    async fn open_crowd(
        &self,
        count: usize,
        line: &str,
        token: Option<&str>,
        headers: &str,
    ) -> Crowd {
        let token = token.map(|token| format!("authorization: Bearer {token}\r\n"));
        let headers = format!("{}{headers}", token.unwrap_or_default());
        Crowd::open(self.http, count, line, &headers).await
    }

    /// Checks that the gate withstands a crowd while it is open.
    async fn check(self, crowd: Crowd) {
        self.gate.settle().await;
        self.check_beside(crowd).await;
    }

    /// Does the same with any crowd, whether its bytes are read or not.
    async fn check_beside<C>(mut self, crowd: C) {
        self.ordinary_call().wait_until_served().await;
        // The service renews its lease at the same listener.
        for line in ["GET /health/ready", "GET /metrics"] {
            Call::new(self.http, line).wait_until_served().await;
        }
        drop(crowd);
        self.gate.check();
    }
}

/// Sends bodies to a gate, with a caller's token or without one.
async fn hold_bodies(count: usize, line: &str, token: Option<&str>, len: usize) {
    let system = GateSystem::start().await;
    let headers = content_length(MAX_BODY_BYTES);
    let mut crowd = system.open_crowd(count, line, token, &headers).await;
    crowd.send_in_pieces(len, PIECE_BYTES).await;
    system.check(crowd).await;
}

#[test]
fn bodies_whole() {
    let token = caller_token(ORGANISATION);
    run_alone(hold_bodies(2 * CROWD, CHAT, Some(&token), MAX_BODY_BYTES));
}

#[test]
fn bodies_one_byte_short() {
    let token = caller_token(ORGANISATION);
    let len = MAX_BODY_BYTES - 1;
    run_alone(hold_bodies(2 * CROWD, CHAT, Some(&token), len));
}

/// A body of a caller without a token costs no memory.
#[test]
fn bodies_without_token() {
    run_alone(hold_bodies(2 * CROWD, CHAT, None, MAX_BODY_BYTES - 1));
}

#[test]
fn announcements_without_token() {
    run_alone(hold_bodies(2 * CROWD, ANNOUNCE, None, MAX_BODY_BYTES - 1));
}

#[test]
fn announcements_one_byte_short() {
    let len = MAX_BODY_BYTES - 1;
    run_alone(hold_bodies(2 * CROWD, ANNOUNCE, Some(TARGET_TOKEN), len));
}

#[test]
fn service_calls_one_byte_short() {
    let token = caller_token(ORGANISATION);
    let line = format!("PUT /svc/{SERVICE}/runs");
    let len = MAX_BODY_BYTES - 1;
    run_alone(async move { hold_bodies(2 * CROWD, &line, Some(&token), len).await });
}

#[test]
fn large_chunks_without_end() {
    run_alone(async {
        let system = GateSystem::start().await;
        let token = caller_token(ORGANISATION);
        let crowd = system.open_crowd(2 * CROWD, CHAT, Some(&token), CHUNKED);
        let mut crowd = crowd.await;
        let count = MAX_BODY_BYTES / PIECE_BYTES;
        crowd.send_chunks(count, &vec![b'x'; PIECE_BYTES]).await;
        system.check(crowd).await;
    });
}

#[test]
fn one_byte_chunks_without_end() {
    run_alone(async {
        let system = GateSystem::start().await;
        let token = caller_token(ORGANISATION);
        let mut crowd = system.open_crowd(10, CHAT, Some(&token), CHUNKED).await;
        crowd.send_chunks(512 << 10, b"x").await;
        system.check(crowd).await;
    });
}

#[test]
fn sent_far_over_the_limit() {
    run_alone(async {
        let system = GateSystem::start().await;
        let token = caller_token(ORGANISATION);
        let mut crowd = system.open_crowd(CROWD, CHAT, Some(&token), CHUNKED).await;
        let count = 2 * MAX_BODY_BYTES / PIECE_BYTES;
        crowd.send_chunks(count, &vec![b'x'; PIECE_BYTES]).await;
        system.check(crowd).await;
    });
}

/// Sends the start of a request on more connections than there are descriptors.
async fn hold_connections(choose: fn(&GateSystem) -> SocketAddr, sent: &[u8]) {
    let system = GateSystem::start().await;
    let mut crowd = Crowd::connect(choose(&system), CONNECTIONS).await;
    crowd.send(sent).await;
    system.check(crowd).await;
}

#[test]
fn callers_silent() {
    run_alone(hold_connections(|system| system.http, b""));
}

#[test]
fn heads_without_end() {
    let head = b"POST /v1/completions HTTP/1.1\r\nhost: a.exam";
    run_alone(hold_connections(|system| system.http, head));
}

/// Prior knowledge of HTTP/2 opens no way around the limits.
#[test]
fn http2_without_end() {
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    run_alone(hold_connections(|system| system.http, preface));
}

#[test]
fn links_silent() {
    run_alone(hold_connections(|system| system.links, b""));
}

#[test]
fn unfinished_bodies_up_to_the_descriptors() {
    run_alone(async {
        let system = GateSystem::start_on(FULL_MACHINE).await;
        let headers = content_length(9);
        let token = caller_token(ORGANISATION);
        let crowd = system.open_crowd(ALL_DESCRIPTORS, CHAT, Some(&token), &headers);
        let mut crowd = crowd.await;
        crowd.send(b"not all").await;
        system.check(crowd).await;
    });
}

/// What arrives while a process stands still is in the receive buffers of its connections.
#[test]
fn bodies_while_paused() {
    run_alone(async {
        let system = GateSystem::start_on(FULL_MACHINE).await;
        let headers = content_length(MAX_BODY_BYTES);
        let token = caller_token(ORGANISATION);
        let crowd = system.open_crowd(LARGE_CROWD, CHAT, Some(&token), &headers);
        let mut crowd = crowd.await;
        crowd.send_in_pieces(2 * PIECE_BYTES, PIECE_BYTES).await;
        system.gate.pause();
        let rest = MAX_BODY_BYTES - 1 - 2 * PIECE_BYTES;
        crowd.send_in_pieces(rest, MAX_BODY_BYTES / 4).await;
        system.gate.resume();
        system.check(crowd).await;
    });
}

/// Each call in progress takes a descriptor for its caller and one for its target.
#[test]
fn calls_that_wait_for_a_target() {
    run_alone(async {
        let system = GateSystem::start().await;
        let _silent = system.add_silent_service().await;
        let token = caller_token(ORGANISATION);
        let crowd = system.open_crowd(CONNECTIONS, "GET /svc/held/runs", Some(&token), "");
        let crowd = crowd.await;
        system.check(crowd).await;
    });
}

#[test]
fn largest_body_in_calm() {
    run_alone(async {
        let system = GateSystem::start().await;
        let token = caller_token(ORGANISATION);
        let call = Call::new(system.http, &format!("POST /svc/{SERVICE}/runs"))
            .with_header("authorization", &format!("Bearer {token}"))
            .with_header("idempotency-key", "largest")
            .with_body(vec![b'x'; MAX_BODY_BYTES]);
        call.wait_until_served().await;
        let crowd = Crowd::connect(system.http, 0).await;
        system.check(crowd).await;
    });
}

/// Holds a crowd of callers that send these bytes whenever they come back.
async fn hold_returning(choose: fn(&GateSystem) -> SocketAddr, bytes: Vec<u8>) {
    let system = GateSystem::start().await;
    let crowd = ReturningCrowd::start(choose(&system), RETURNING, bytes).await;
    system.check_beside(crowd).await;
}

#[test]
fn bodies_that_return() {
    let bytes = unfinished_request(CHAT, MAX_BODY_BYTES);
    run_alone(hold_returning(|system| system.http, bytes));
}

#[test]
fn heads_that_return() {
    run_alone(hold_returning(|system| system.http, b"GET /met".into()));
}

#[test]
fn links_that_return() {
    run_alone(hold_returning(|system| system.links, UPGRADE.into()));
}
