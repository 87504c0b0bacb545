//! Crowds of callers that take memory and connections of a process and don't give them back.
//!
//! Each test holds one crowd open and checks that the process lives, that its memory and descriptors
//! stay under a bound, and that it answers an ordinary request. The tests run one at a time.

mod client;
mod control;
mod crowd;
mod gate;
mod ingress;
mod links;
mod machine;
#[expect(dead_code, reason = "the testsuite uses the rest")]
#[path = "../testsuite/platform_support.rs"]
mod platform_support;
mod returning;
mod system;
mod usage;

use std::sync::{Mutex, PoisonError};

use crowd::Crowd;
use platform_support::TargetAction;
use system::{MAX_BODY_BYTES, System};

/// Callers whose largest legal bodies need more memory than the machine has.
const CROWD: usize = 60;
/// Size of the pieces in which bodies are sent, in bytes.
const PIECE_BYTES: usize = 256 << 10;
/// Callers whose connections need more descriptors than the process may open.
const CONNECTIONS: usize = 300;
/// Callers that come back whenever their connection is closed.
const RETURNING: usize = 280;
/// Header lines of a request with a chunked body.
const CHUNKED: &str = "transfer-encoding: chunked\r\n";
/// An answer whose body never ends.
const ENDLESS: TargetAction = TargetAction::Hang(&["x"]);

/// Runs a test while no other one runs.
fn run_alone(test: impl Future<Output = ()>) {
    static RUNNING: Mutex<()> = Mutex::new(());
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(test);
}

/// Returns the bytes of a request whose body lacks its last byte; `head` is its line and headers.
fn unfinished_request(head: &str, len: usize) -> Vec<u8> {
    let length = content_length(len);
    let mut bytes = format!("{head} HTTP/1.1\r\nhost: a.example\r\n{length}\r\n").into_bytes();
    bytes.resize(bytes.len() + len - 1, b'x');
    bytes
}

fn content_length(len: usize) -> String {
    format!("content-length: {len}\r\n")
}

#[test]
fn bodies_whole() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let headers = content_length(MAX_BODY_BYTES);
        let mut crowd = system.open_crowd(CROWD, &headers).await;
        crowd.send_in_pieces(MAX_BODY_BYTES, MAX_BODY_BYTES).await;
        system.check(crowd).await;
    });
}

#[test]
fn bodies_one_byte_short() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let headers = content_length(MAX_BODY_BYTES);
        let mut crowd = system.open_crowd(CROWD, &headers).await;
        crowd.send_in_pieces(MAX_BODY_BYTES - 1, PIECE_BYTES).await;
        system.check(crowd).await;
    });
}

#[test]
fn large_chunks_whole() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let mut crowd = system.open_crowd(CROWD, CHUNKED).await;
        let count = MAX_BODY_BYTES / PIECE_BYTES;
        crowd.send_chunks(count, &vec![b'x'; PIECE_BYTES]).await;
        crowd.send(b"0\r\n\r\n").await;
        system.check(crowd).await;
    });
}

#[test]
fn large_chunks_without_end() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let mut crowd = system.open_crowd(CROWD, CHUNKED).await;
        let count = MAX_BODY_BYTES / PIECE_BYTES;
        crowd.send_chunks(count, &vec![b'x'; PIECE_BYTES]).await;
        system.check(crowd).await;
    });
}

/// One-byte chunks cost many times their content if each is kept on its own.
#[test]
fn one_byte_chunks_without_end() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let mut crowd = system.open_crowd(10, CHUNKED).await;
        crowd.send_chunks(512 << 10, b"x").await;
        system.check(crowd).await;
    });
}

#[test]
fn chunks_with_long_extensions_and_trailers() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let mut crowd = system.open_crowd(CROWD, CHUNKED).await;
        let extension = format!("1;{}\r\nx\r\n", "e".repeat(PIECE_BYTES));
        for _ in 0..MAX_BODY_BYTES / PIECE_BYTES {
            crowd.send(extension.as_bytes()).await;
        }
        let mut others = system.open_crowd(CROWD, CHUNKED).await;
        others.send(b"0\r\n").await;
        let trailer = format!("t: {}\r\n", "t".repeat(PIECE_BYTES));
        for _ in 0..MAX_BODY_BYTES / PIECE_BYTES {
            others.send(trailer.as_bytes()).await;
        }
        system.check(others).await;
        drop(crowd);
    });
}

#[test]
fn announced_far_over_the_limit() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let headers = content_length(MAX_BODY_BYTES << 10);
        let mut crowd = system.open_crowd(CROWD, &headers).await;
        crowd.send_in_pieces(2 * MAX_BODY_BYTES, PIECE_BYTES).await;
        system.check(crowd).await;
    });
}

#[test]
fn sent_far_over_the_limit() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let mut crowd = system.open_crowd(CROWD, CHUNKED).await;
        let count = 2 * MAX_BODY_BYTES / PIECE_BYTES;
        crowd.send_chunks(count, &vec![b'x'; PIECE_BYTES]).await;
        system.check(crowd).await;
    });
}

#[test]
fn heads_without_end() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let mut crowd = Crowd::connect(system.address(), CONNECTIONS).await;
        crowd.send(b"POST /held/ HTTP/1.1\r\nhost: a.exam").await;
        system.check(crowd).await;
    });
}

#[test]
fn connections_that_send_nothing() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let crowd = Crowd::connect(system.address(), CONNECTIONS).await;
        system.check(crowd).await;
    });
}

/// A connection whose request has begun doesn't give way, but its body has a deadline.
#[test]
fn bodies_without_end_on_all_connections() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let mut crowd = system.open_crowd(CONNECTIONS, &content_length(9)).await;
        crowd.send(b"not all").await;
        system.check(crowd).await;
    });
}

#[test]
fn answers_never_read() {
    run_alone(async {
        let large = "x".repeat(MAX_BODY_BYTES).leak();
        let system = System::start(TargetAction::Answer(200, large)).await;
        let crowd = system.open_crowd(CROWD, &content_length(0)).await;
        system.check(crowd).await;
    });
}

#[test]
fn largest_body_in_calm() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let body = vec![b'x'; MAX_BODY_BYTES];
        system.wait_until_served(&body).await;
        let crowd = Crowd::connect(system.address(), 0).await;
        system.check(crowd).await;
    });
}
