//! Crowds at the listeners of a control instance for a platform and for operators.

use std::net::SocketAddr;

use tempfile::TempDir;
use toucanshelf_core::digest::Digest;
use toucanshelf_ingress::Ingress;
use toucanshelf_replay::layout::Addresses;

use crate::client::Call;
use crate::crowd::Crowd;
use crate::links::UPGRADE;
use crate::machine::{Machine, Watched};
use crate::platform_support::{DeploymentBuilder, link_key, start_linked_ingress};
use crate::returning::ReturningCrowd;
use crate::system::{heartbeat, heartbeat_call, wait_for_version};
use crate::{
    CHUNKED, CONNECTIONS, CROWD, PIECE_BYTES, RETURNING, content_length, run_alone,
    unfinished_request,
};

/// Machine of a control instance, whose process may open few descriptors.
const SMALL_MACHINE: Machine = Machine {
    bytes: 256_000_000,
    descriptors: 256,
    reserved_descriptors: 16,
};
/// The machine of a control instance.
const FULL_MACHINE: Machine = Machine {
    bytes: 256_000_000,
    descriptors: 4_096,
    reserved_descriptors: 200,
};
/// Size of the bodies of a crowd, in bytes.
const BODY_BYTES: usize = 4 << 20;
/// Largest legal ticket, in bytes.
const TICKET_BYTES: usize = 1 << 20;
/// Callers whose bodies fill the receive buffers of a process that reads late.
const LARGE_CROWD: usize = 1_000;
/// Callers that need all descriptors of a machine for themselves.
const ALL_DESCRIPTORS: usize = 3_900;
/// Operator's bearer token.
const TOKEN: &str = "hostile-test-operator";

const CONFIGURATION: &str = "PUT /api/config";
const HEARTBEAT: &str = "PUT /api/instances/held";
const TICKET: &str = "PUT /v1/tickets/7";

/// A control process and an ingress that is linked to it.
pub struct ControlSystem {
    pub control: Watched,
    ingress: Ingress,
    /// Address for targets and the platform's operators.
    platform: SocketAddr,
    /// Address for operators.
    operators: SocketAddr,
    /// Address for links.
    pub links: SocketAddr,
    _data: TempDir,
}

impl ControlSystem {
    pub async fn start() -> Self {
        Self::start_on(SMALL_MACHINE).await
    }

    /// Starts the processes, the control process on this machine.
    async fn start_on(machine: Machine) -> Self {
        let mut addresses = Addresses::new();
        let [platform, operators, links] = [(); 3].map(|()| addresses.allocate());
        drop(addresses);
        let data = tempfile::tempdir().unwrap();
        let text = format!(
            "name = 'c1'\nzone = 'z'\nlisten = '{operators}'\nlink-listen = '{links}'\n\
             link-key = '{}'\ndata-folder = '{}'\noperator-token-digests = ['{}']\n\
             [deployment]\nlisten = '{platform}'\nseeds = ['{}:0']\nbootstrap = true\n\
             tolerated-losses = 0\nmax-open-files = {}\n",
            link_key(),
            data.path().join("log").display(),
            Digest::of(TOKEN.as_bytes()),
            links.ip(),
            machine.descriptors,
        );
        // The instance is named by its IP address, as its seeds name it.
        let text = text.replace("'c1'", &format!("'{}'", links.ip()));
        let program = env!("CARGO_BIN_EXE_toucanshelf-control");
        let listeners = [platform, operators, links];
        let control = Watched::start(program, &text, machine, &[], &listeners);
        let system = Self {
            control,
            ingress: start_linked_ingress("i1", &[&links.ip().to_string()], links.port()).await,
            platform,
            operators,
            links,
            _data: data,
        };
        system.deploy(1).await;
        system
    }

    /// Opens a crowd at the platform's listener.
    async fn open_crowd(&self, count: usize, line: &str, headers: &str) -> Crowd {
        Crowd::open(self.platform, count, line, headers).await
    }

    /// Opens a crowd at the operators' listener, with or without an operator's token.
    async fn open_operators(&self, count: usize, token: Option<&str>, headers: &str) -> Crowd {
        let token = token.map(|token| format!("authorization: Bearer {token}\r\n"));
        let headers = format!("{}{headers}", token.unwrap_or_default());
        Crowd::open(self.operators, count, TICKET, &headers).await
    }

    /// Replaces the deployment, and waits until the ingress has it through its link.
    async fn deploy(&self, version: u64) {
        let document = DeploymentBuilder::new(version).build();
        let put = Call::new(self.platform, CONFIGURATION).with_body(document);
        put.wait_until_served().await;
        wait_for_version(&self.ingress, version).await;
    }

    /// Checks that the control instance withstands a crowd while it is open.
    ///
    /// Heartbeats, deployments, operators and links have to get through beside it.
    pub async fn check(self, crowd: Crowd) {
        self.control.settle().await;
        self.check_beside(crowd).await;
    }

    /// Does the same with any crowd, whether its bytes are read or not.
    pub async fn check_beside<C>(mut self, crowd: C) {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let heartbeat = heartbeat_call(self.platform, 1, &heartbeat("plain", address, 1));
        heartbeat.wait_until_served().await;
        self.deploy(2).await;
        let read = Call::new(self.platform, "GET /api/config");
        read.wait_until_served().await;
        let status = Call::new(self.operators, "GET /v1/status");
        let status = status.with_header("authorization", &format!("Bearer {TOKEN}"));
        status.wait_until_served().await;
        let scrape = Call::new(self.operators, "GET /metrics");
        scrape.wait_until_served().await;
        let ip = self.links.ip().to_string();
        let newcomer = start_linked_ingress("i2", &[&ip], self.links.port()).await;
        wait_for_version(&newcomer, 2).await;
        drop(crowd);
        self.control.check();
    }
}

/// Sends whole bodies to one of the platform's calls, or all but their last byte.
async fn hold_bodies(line: &str, len: usize) {
    let system = ControlSystem::start().await;
    let headers = content_length(BODY_BYTES);
    let mut crowd = system.open_crowd(CROWD, line, &headers).await;
    crowd.send_in_pieces(len, PIECE_BYTES).await;
    system.check(crowd).await;
}

#[test]
fn configurations_whole() {
    run_alone(hold_bodies(CONFIGURATION, BODY_BYTES));
}

#[test]
fn configurations_one_byte_short() {
    run_alone(hold_bodies(CONFIGURATION, BODY_BYTES - 1));
}

#[test]
fn heartbeats_whole() {
    run_alone(hold_bodies(HEARTBEAT, BODY_BYTES));
}

#[test]
fn heartbeats_one_byte_short() {
    run_alone(hold_bodies(HEARTBEAT, BODY_BYTES - 1));
}

#[test]
fn large_chunks_whole() {
    run_alone(async {
        let system = ControlSystem::start().await;
        let mut crowd = system.open_crowd(CROWD, CONFIGURATION, CHUNKED).await;
        let count = BODY_BYTES / PIECE_BYTES;
        crowd.send_chunks(count, &vec![b'x'; PIECE_BYTES]).await;
        crowd.send(b"0\r\n\r\n").await;
        system.check(crowd).await;
    });
}

#[test]
fn large_chunks_without_end() {
    run_alone(async {
        let system = ControlSystem::start().await;
        let mut crowd = system.open_crowd(CROWD, CONFIGURATION, CHUNKED).await;
        let count = BODY_BYTES / PIECE_BYTES;
        crowd.send_chunks(count, &vec![b'x'; PIECE_BYTES]).await;
        system.check(crowd).await;
    });
}

#[test]
fn one_byte_chunks_without_end() {
    run_alone(async {
        let system = ControlSystem::start().await;
        let mut crowd = system.open_crowd(10, CONFIGURATION, CHUNKED).await;
        crowd.send_chunks(512 << 10, b"x").await;
        system.check(crowd).await;
    });
}

#[test]
fn announced_far_over_the_limit() {
    run_alone(async {
        let system = ControlSystem::start().await;
        let headers = content_length(BODY_BYTES << 10);
        let mut crowd = system.open_crowd(CROWD, CONFIGURATION, &headers).await;
        crowd.send_in_pieces(8 * BODY_BYTES, PIECE_BYTES).await;
        system.check(crowd).await;
    });
}

#[test]
fn sent_far_over_the_limit() {
    run_alone(async {
        let system = ControlSystem::start().await;
        let mut crowd = system.open_crowd(CROWD, CONFIGURATION, CHUNKED).await;
        let count = 8 * BODY_BYTES / PIECE_BYTES;
        crowd.send_chunks(count, &vec![b'x'; PIECE_BYTES]).await;
        system.check(crowd).await;
    });
}

/// Sends the start of a request on more connections than there are descriptors.
async fn hold_connections(choose: fn(&ControlSystem) -> SocketAddr, sent: &[u8]) {
    let system = ControlSystem::start().await;
    let mut crowd = Crowd::connect(choose(&system), CONNECTIONS).await;
    crowd.send(sent).await;
    system.check(crowd).await;
}

/// A heartbeat of which a few bytes are missing.
const UNFINISHED: &[u8] =
    b"PUT /api/instances/held HTTP/1.1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\nnot all";
/// A ticket without a token, of which a few bytes are missing.
const UNFINISHED_TICKET: &[u8] =
    b"PUT /v1/tickets/7 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\nnot all";
/// A request head without its end.
const UNFINISHED_HEAD: &[u8] = b"GET /api/config HTTP/1.1\r\nhost: a.exam";

#[test]
fn platform_silent() {
    run_alone(hold_connections(|system| system.platform, b""));
}

#[test]
fn platform_heads_without_end() {
    run_alone(hold_connections(|system| system.platform, UNFINISHED_HEAD));
}

#[test]
fn platform_bodies_without_end() {
    run_alone(hold_connections(|system| system.platform, UNFINISHED));
}

#[test]
fn operators_silent() {
    run_alone(hold_connections(|system| system.operators, b""));
}

#[test]
fn operators_heads_without_end() {
    run_alone(hold_connections(|system| system.operators, UNFINISHED_HEAD));
}

#[test]
fn operators_bodies_without_end() {
    run_alone(hold_connections(
        |system| system.operators,
        UNFINISHED_TICKET,
    ));
}

/// A body of a caller without a token costs no memory.
#[test]
fn operators_without_token() {
    run_alone(async {
        let system = ControlSystem::start().await;
        let headers = content_length(BODY_BYTES);
        let mut crowd = system.open_operators(2 * CROWD, None, &headers).await;
        crowd.send_in_pieces(BODY_BYTES - 1, PIECE_BYTES).await;
        system.check(crowd).await;
    });
}

#[test]
fn tickets_one_byte_short() {
    run_alone(async {
        let system = ControlSystem::start_on(FULL_MACHINE).await;
        let headers = content_length(TICKET_BYTES);
        let mut crowd = system.open_operators(300, Some(TOKEN), &headers).await;
        crowd.send_in_pieces(TICKET_BYTES - 1, PIECE_BYTES).await;
        system.check(crowd).await;
    });
}

/// Operators that read none of the lists that they have asked for.
#[test]
fn answers_never_read() {
    run_alone(async {
        let system = ControlSystem::start().await;
        let mut crowd = system.open_crowd(CONNECTIONS, "GET /api/config", "").await;
        crowd.join(Crowd::open(system.operators, CONNECTIONS, "GET /metrics", "").await);
        system.check(crowd).await;
    });
}

/// Readers of a large configuration must not hold it once each.
#[test]
fn large_answers_never_read() {
    run_alone(async {
        let system = ControlSystem::start().await;
        let mut document = DeploymentBuilder::new(2).build().into_bytes();
        document.resize(BODY_BYTES, b' ');
        let put = Call::new(system.platform, CONFIGURATION).with_body(document);
        put.wait_until_served().await;
        wait_for_version(&system.ingress, 2).await;
        let crowd = system.open_crowd(2 * CROWD, "GET /api/config", "").await;
        crowd.wait_for_answers().await;
        system.check(crowd).await;
    });
}

/// Valid configurations that are as large as a body may be, and wait to be stored.
#[test]
fn large_configurations_at_once() {
    run_alone(async {
        let system = ControlSystem::start().await;
        let mut document = DeploymentBuilder::new(1).build().into_bytes();
        document.resize(BODY_BYTES, b' ');
        let headers = content_length(BODY_BYTES);
        let mut crowd = system.open_crowd(CROWD, CONFIGURATION, &headers).await;
        crowd.send(&document).await;
        system.check(crowd).await;
    });
}

#[test]
fn unfinished_bodies_up_to_the_descriptors() {
    run_alone(async {
        let system = ControlSystem::start_on(FULL_MACHINE).await;
        let mut crowd = Crowd::connect(system.platform, ALL_DESCRIPTORS).await;
        crowd.send(UNFINISHED).await;
        system.check(crowd).await;
    });
}

/// All kinds at all listeners at the same time.
#[test]
fn mixed_kinds() {
    run_alone(async {
        let system = ControlSystem::start_on(FULL_MACHINE).await;
        let count = LARGE_CROWD / 8;
        let mut crowd = Crowd::connect(system.platform, count).await;
        crowd.send(UNFINISHED_HEAD).await;
        crowd.join(Crowd::connect(system.operators, count).await);
        crowd.join(Crowd::connect(system.links, count).await);
        let headers = content_length(BODY_BYTES);
        let mut short = system.open_crowd(count, HEARTBEAT, &headers).await;
        let mut whole = system.open_crowd(count, CONFIGURATION, &headers).await;
        let mut tickets = system.open_operators(count, None, &headers).await;
        let mut large_chunks = system.open_crowd(count, CONFIGURATION, CHUNKED).await;
        let mut small_chunks = system.open_crowd(count, HEARTBEAT, CHUNKED).await;
        let piece = vec![b'x'; PIECE_BYTES];
        tokio::join!(
            short.send_in_pieces(BODY_BYTES - 1, PIECE_BYTES),
            whole.send_in_pieces(BODY_BYTES, PIECE_BYTES),
            tickets.send_in_pieces(BODY_BYTES - 1, PIECE_BYTES),
            large_chunks.send_chunks(BODY_BYTES / PIECE_BYTES, &piece),
            small_chunks.send_chunks(128 << 10, b"x"),
        );
        for other in [short, whole, tickets, large_chunks, small_chunks] {
            crowd.join(other);
        }
        system.check(crowd).await;
    });
}

/// What arrives while a process stands still is in the receive buffers of its connections.
#[test]
fn bodies_while_paused() {
    run_alone(async {
        let system = ControlSystem::start_on(FULL_MACHINE).await;
        let headers = content_length(BODY_BYTES);
        let mut crowd = system.open_crowd(LARGE_CROWD, HEARTBEAT, &headers).await;
        crowd.send_in_pieces(2 * PIECE_BYTES, PIECE_BYTES).await;
        system.control.pause();
        let rest = BODY_BYTES - 1 - 2 * PIECE_BYTES;
        crowd.send_in_pieces(rest, BODY_BYTES / 4).await;
        let mut others = system.open_operators(LARGE_CROWD, None, CHUNKED).await;
        others.send_chunks(1, &vec![b'x'; PIECE_BYTES]).await;
        system.control.resume();
        crowd.join(others);
        system.check(crowd).await;
    });
}

#[test]
fn bodies_with_a_small_processor_share() {
    run_alone(async {
        let system = ControlSystem::start_on(FULL_MACHINE).await;
        let share = system.control.share_processor();
        let headers = content_length(BODY_BYTES);
        let mut crowd = system.open_crowd(LARGE_CROWD, HEARTBEAT, &headers).await;
        crowd.send_in_pieces(BODY_BYTES - 1, BODY_BYTES / 4).await;
        drop(share);
        system.check(crowd).await;
    });
}

#[test]
fn largest_body_in_calm() {
    run_alone(async {
        let system = ControlSystem::start().await;
        let mut document = DeploymentBuilder::new(2).build().into_bytes();
        document.resize(BODY_BYTES, b' ');
        let put = Call::new(system.platform, CONFIGURATION).with_body(document);
        put.wait_until_served().await;
        wait_for_version(&system.ingress, 2).await;
        let crowd = Crowd::connect(system.platform, 0).await;
        system.check(crowd).await;
    });
}

/// Holds a crowd of callers that send these bytes whenever they come back.
async fn hold_returning(choose: fn(&ControlSystem) -> SocketAddr, bytes: Vec<u8>) {
    let system = ControlSystem::start().await;
    let crowd = ReturningCrowd::start(choose(&system), RETURNING, bytes).await;
    system.check_beside(crowd).await;
}

#[test]
fn configurations_that_return() {
    let bytes = unfinished_request(CONFIGURATION, BODY_BYTES);
    run_alone(hold_returning(|system| system.platform, bytes));
}

#[test]
fn configurations_that_return_with_a_small_processor_share() {
    run_alone(async {
        let system = ControlSystem::start().await;
        let share = system.control.share_processor();
        let bytes = unfinished_request(CONFIGURATION, BODY_BYTES);
        let crowd = ReturningCrowd::start(system.platform, RETURNING, bytes).await;
        system.check_beside((crowd, share)).await;
    });
}

#[test]
fn heartbeats_that_return() {
    let bytes = unfinished_request(HEARTBEAT, BODY_BYTES);
    run_alone(hold_returning(|system| system.platform, bytes));
}

#[test]
fn tickets_that_return() {
    let bytes = unfinished_request(TICKET, TICKET_BYTES);
    run_alone(hold_returning(|system| system.operators, bytes));
}

#[test]
fn links_that_return() {
    run_alone(hold_returning(|system| system.links, UPGRADE.into()));
}
