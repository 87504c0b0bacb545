//! Crowds at the listeners of an ingress for probes, metrics, relays and links, and mixed crowds.

use std::net::SocketAddr;

use crate::crowd::Crowd;
use crate::links::UPGRADE;
use crate::machine::Machine;
use crate::platform_support::TargetAction;
use crate::returning::ReturningCrowd;
use crate::system::{
    FULL_MACHINE, HELD, Listeners, MAX_BODY_BYTES, SMALL_MACHINE, STREAMED, System,
};
use crate::{
    CHUNKED, CONNECTIONS, CROWD, ENDLESS, PIECE_BYTES, RETURNING, content_length, run_alone,
    unfinished_request,
};

/// Size of the data of large events, in bytes.
const LARGE_EVENT_BYTES: usize = 100_000;
/// Size of the data of small events, in bytes.
const SMALL_EVENT_BYTES: usize = 400;
/// Size of the data of all events of a stream, in bytes.
const STREAM_BYTES: usize = 8_000_000;
/// Callers whose bodies fill the receive buffers of a process that reads late.
const LARGE_CROWD: usize = 1_000;
/// Callers that need all descriptors of a machine for themselves.
const ALL_DESCRIPTORS: usize = 3_900;
/// Parts of a body that are sent to a process that reads late.
const LATE_PIECES: usize = 4;

/// Opens a crowd at each of the listeners, silent or with an unfinished request.
async fn hold_listener(choose: fn(&Listeners) -> SocketAddr, sent: &[u8]) {
    let system = System::start(ENDLESS).await;
    let mut crowd = Crowd::connect(choose(&system.listeners), CONNECTIONS).await;
    crowd.send(sent).await;
    system.check(crowd).await;
}

/// A body of which a few bytes are missing.
const UNFINISHED: &[u8] =
    b"POST /held/ HTTP/1.1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\nnot all";

#[test]
fn probes_silent() {
    run_alone(hold_listener(|listeners| listeners.ready, b""));
}

#[test]
fn probes_unfinished() {
    run_alone(hold_listener(|listeners| listeners.ready, UNFINISHED));
}

#[test]
fn metrics_silent() {
    run_alone(hold_listener(|listeners| listeners.metrics, b""));
}

#[test]
fn metrics_unfinished() {
    run_alone(hold_listener(|listeners| listeners.metrics, UNFINISHED));
}

#[test]
fn relays_silent() {
    run_alone(hold_listener(|listeners| listeners.relay, b""));
}

#[test]
fn relays_unfinished() {
    run_alone(hold_listener(|listeners| listeners.relay, UNFINISHED));
}

/// A relayed connection that asks for a link leaves the bound of relays.
#[test]
fn relays_upgraded() {
    run_alone(hold_listener(|listeners| listeners.relay, UPGRADE));
}

#[test]
fn links_silent() {
    run_alone(hold_listener(|listeners| listeners.link, b""));
}

#[test]
fn relayed_bodies_one_byte_short() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let headers = content_length(MAX_BODY_BYTES);
        let mut crowd = Crowd::open(system.listeners.relay, CROWD, HELD, &headers).await;
        crowd.send_in_pieces(MAX_BODY_BYTES - 1, PIECE_BYTES).await;
        system.check(crowd).await;
    });
}

/// A probe or scrape has no body, and one that is sent costs no memory.
#[test]
fn bodies_of_probes_and_metrics() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let headers = content_length(MAX_BODY_BYTES);
        let Listeners { ready, metrics, .. } = system.listeners;
        let mut crowd = Crowd::open(ready, CROWD, "GET /api/ready", &headers).await;
        crowd.join(Crowd::open(metrics, CROWD, "GET /metrics", &headers).await);
        crowd.send_in_pieces(MAX_BODY_BYTES - 1, PIECE_BYTES).await;
        system.check(crowd).await;
    });
}

/// Each request in progress takes a descriptor for its caller and one for its target.
#[test]
fn requests_that_wait_for_a_target() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let crowd = system.open_crowd(CONNECTIONS, &content_length(0)).await;
        system.check(crowd).await;
    });
}

#[test]
fn requests_that_wait_up_to_the_descriptors() {
    run_alone(async {
        let system = System::start_on(FULL_MACHINE, ENDLESS).await;
        let crowd = system.open_crowd(ALL_DESCRIPTORS, &content_length(0)).await;
        system.check(crowd).await;
    });
}

#[test]
fn unfinished_bodies_up_to_the_descriptors() {
    run_alone(async {
        let system = System::start_on(FULL_MACHINE, ENDLESS).await;
        let mut crowd = system.open_crowd(ALL_DESCRIPTORS, &content_length(9)).await;
        crowd.send(b"not all").await;
        system.check(crowd).await;
    });
}

#[test]
fn bodies_of_thousands() {
    run_alone(async {
        let system = System::start_on(FULL_MACHINE, ENDLESS).await;
        let headers = content_length(MAX_BODY_BYTES);
        let mut crowd = system.open_crowd(3 * LARGE_CROWD, &headers).await;
        crowd
            .send_in_pieces(MAX_BODY_BYTES - 1, MAX_BODY_BYTES)
            .await;
        system.check(crowd).await;
    });
}

/// All kinds at the same time, in equal parts.
#[test]
fn mixed_kinds() {
    run_alone(async {
        let system = System::start_on(FULL_MACHINE, ENDLESS).await;
        let count = LARGE_CROWD / 6;
        let mut crowd = Crowd::connect(system.address(), count).await;
        crowd.send(b"POST /held/ HTTP/1.1\r\nhost: a.exam").await;
        crowd.join(system.open_crowd(count, &content_length(0)).await);
        let headers = content_length(MAX_BODY_BYTES);
        let mut short = system.open_crowd(count, &headers).await;
        let headers = content_length(MAX_BODY_BYTES << 10);
        let mut far_over = system.open_crowd(count, &headers).await;
        let mut large_chunks = system.open_crowd(count, CHUNKED).await;
        let mut small_chunks = system.open_crowd(count, CHUNKED).await;
        let piece = vec![b'x'; PIECE_BYTES];
        let pieces = MAX_BODY_BYTES / PIECE_BYTES;
        tokio::join!(
            short.send_in_pieces(MAX_BODY_BYTES - 1, PIECE_BYTES),
            far_over.send_in_pieces(2 * MAX_BODY_BYTES, PIECE_BYTES),
            large_chunks.send_chunks(pieces, &piece),
            small_chunks.send_chunks(128 << 10, b"x"),
        );
        for other in [short, far_over, large_chunks, small_chunks] {
            crowd.join(other);
        }
        system.check(crowd).await;
    });
}

/// What arrives while a process stands still is in the receive buffers of its connections.
#[test]
fn bodies_while_paused() {
    run_alone(async {
        let system = System::start_on(FULL_MACHINE, ENDLESS).await;
        let headers = content_length(MAX_BODY_BYTES);
        let mut crowd = system.open_crowd(LARGE_CROWD, &headers).await;
        crowd.send_in_pieces(2 * PIECE_BYTES, PIECE_BYTES).await;
        system.ingress.pause();
        let rest = MAX_BODY_BYTES - 1 - 2 * PIECE_BYTES;
        crowd
            .send_in_pieces(rest, MAX_BODY_BYTES / LATE_PIECES)
            .await;
        let mut others = system.open_crowd(LARGE_CROWD, CHUNKED).await;
        others.send_chunks(1, &vec![b'x'; PIECE_BYTES]).await;
        system.ingress.resume();
        crowd.join(others);
        system.check(crowd).await;
    });
}

#[test]
fn bodies_with_a_small_processor_share() {
    run_alone(async {
        let system = System::start_on(FULL_MACHINE, ENDLESS).await;
        let share = system.ingress.share_processor();
        let headers = content_length(MAX_BODY_BYTES);
        let mut crowd = system.open_crowd(LARGE_CROWD, &headers).await;
        let len = MAX_BODY_BYTES - 1;
        crowd
            .send_in_pieces(len, MAX_BODY_BYTES / LATE_PIECES)
            .await;
        drop(share);
        system.check(crowd).await;
    });
}

/// Bodies that were read in full stay until their requests end, beside those that are being read.
#[test]
fn whole_bodies_beside_unfinished_ones() {
    run_alone(async {
        let system = System::start_on(FULL_MACHINE, ENDLESS).await;
        let headers = content_length(MAX_BODY_BYTES);
        let mut crowd = system.open_crowd(LARGE_CROWD / 2, &headers).await;
        let mut others = system.open_crowd(LARGE_CROWD / 2, &headers).await;
        tokio::join!(
            crowd.send_in_pieces(MAX_BODY_BYTES, MAX_BODY_BYTES),
            others.send_in_pieces(MAX_BODY_BYTES - 1, MAX_BODY_BYTES),
        );
        crowd.join(others);
        system.check(crowd).await;
    });
}

/// Callers that read nothing, of a target whose answers are large.
#[test]
fn answers_never_read_up_to_the_descriptors() {
    run_alone(async {
        let large = "x".repeat(MAX_BODY_BYTES).leak();
        let answer = TargetAction::Answer(200, large);
        let system = System::start_on(FULL_MACHINE, answer).await;
        let crowd = system.open_crowd(LARGE_CROWD, &content_length(0)).await;
        system.check(crowd).await;
    });
}

/// Holds a crowd of callers that read nothing of streams with events of this size.
async fn hold_streams(machine: Machine, count: usize, event_bytes: usize) {
    let data = "x".repeat(event_bytes);
    let event = |id: usize| &*format!("id: {id}\ndata: {data}\n\n").leak();
    let events: Vec<_> = (1..=STREAM_BYTES / event_bytes).map(event).collect();
    let system = System::start_on(machine, TargetAction::Stream(events.leak())).await;
    let crowd = Crowd::open(system.address(), count, STREAMED, &content_length(0)).await;
    system.check(crowd).await;
}

#[test]
fn streams_never_read() {
    run_alone(hold_streams(SMALL_MACHINE, CROWD, LARGE_EVENT_BYTES));
}

#[test]
fn streams_never_read_up_to_the_descriptors() {
    run_alone(hold_streams(FULL_MACHINE, LARGE_CROWD, LARGE_EVENT_BYTES));
}

#[test]
fn small_events_never_read_up_to_the_descriptors() {
    run_alone(hold_streams(FULL_MACHINE, LARGE_CROWD, SMALL_EVENT_BYTES));
}

/// Holds a crowd of callers that send these bytes whenever they come back.
async fn hold_returning(choose: fn(&System) -> SocketAddr, bytes: Vec<u8>) {
    let system = System::start(ENDLESS).await;
    let crowd = ReturningCrowd::start(choose(&system), RETURNING, bytes).await;
    system.check_beside(crowd).await;
}

#[test]
fn bodies_that_return() {
    let bytes = unfinished_request(HELD, MAX_BODY_BYTES);
    run_alone(hold_returning(System::address, bytes));
}

#[test]
fn bodies_that_return_with_a_small_processor_share() {
    run_alone(async {
        let system = System::start(ENDLESS).await;
        let share = system.ingress.share_processor();
        let bytes = unfinished_request(HELD, MAX_BODY_BYTES);
        let crowd = ReturningCrowd::start(system.address(), RETURNING, bytes).await;
        system.check_beside((crowd, share)).await;
    });
}

#[test]
fn heads_that_return() {
    run_alone(hold_returning(System::address, b"GET /held/ HT".into()));
}

#[test]
fn requests_that_return() {
    let bytes = b"POST /held/ HTTP/1.1\r\nhost: a.example\r\ncontent-length: 0\r\n\r\n";
    run_alone(hold_returning(System::address, bytes.into()));
}

#[test]
fn relayed_bodies_that_return() {
    let bytes = unfinished_request(HELD, MAX_BODY_BYTES);
    run_alone(hold_returning(|system| system.listeners.relay, bytes));
}

#[test]
fn probes_that_return() {
    let bytes = b"GET /api/ready HT".into();
    run_alone(hold_returning(|system| system.listeners.ready, bytes));
}
