//! Tests of targets that send bytes without an end, in a head or in a body.
//!
//! The ingress must close such a connection, buffer only a bounded number of bytes, and pass none of
//! them on as an answer.

use std::time::Duration;

use toucanshelf_ingress::response_buffer::ResponseBuffers;

use crate::ingress::with_engines_at;
use crate::platform_support::{CallerResponse, DeploymentBuilder, Platform, Target};
use crate::raw_target::{RawAnswer, RawTarget};

const ID: (&str, &str) = ("x-toucanshelf-request-id", "r1");
/// Bytes that one connection may take beyond what the ingress reads, in the sockets' buffers.
const MAX_SOCKET_BYTES: u64 = 8 * 1024 * 1024;
/// Bytes of one response that the ingress buffers at most.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;
/// Bytes of all responses together that the ingress buffers at most.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;

/// Waits until the ingress has closed all connections with endless answers.
async fn wait_until_closed(target: &RawTarget) {
    let closed = async {
        while target.closed() < target.requests() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_mins(1), closed)
        .await
        .expect("the ingress closes the connection");
}

async fn with_plain_target(target: &RawTarget) -> Platform {
    let document = DeploymentBuilder::new(1).route("read", "a.example", "/read/", "plain");
    let platform = Platform::start(&document.build(), &[]).await;
    platform.register("t0", "plain", target.address).await;
    platform
}

/// Sends a plain request to a target with this answer and checks that it fails in bounds.
async fn check_plain(answer: RawAnswer) {
    let target = RawTarget::start(answer).await;
    let platform = with_plain_target(&target).await;
    let response = platform.call("GET", "/read/", &[ID]).await;
    assert!(response.status >= 500, "{}", response.status);
    wait_until_closed(&target).await;
    assert!(target.endless_bytes() <= MAX_RESPONSE_BYTES + MAX_SOCKET_BYTES);
}

/// Sends a stream to an engine with this answer and returns what the caller gets.
async fn stream_from(answer: RawAnswer) -> CallerResponse {
    let first = RawTarget::start(answer).await;
    let later = Target::start([]).await;
    let addresses = [first.address, later.address];
    let document = DeploymentBuilder::new(1).model_service("model");
    let document = document.route_of_kind("draft", "/draft/", "model", "streaming");
    let platform = with_engines_at(&document, &addresses, &[("z", 0, 2), ("z", 2, 4)]).await;
    let response = platform.call("POST", "/draft/", &[ID]).await;
    wait_until_closed(&first).await;
    assert!(first.endless_bytes() <= MAX_RESPONSE_BYTES + 2 * MAX_SOCKET_BYTES);
    response
}

#[tokio::test]
async fn plain_head_of_one_line() {
    check_plain(RawAnswer::EndlessHead("x")).await;
}

#[tokio::test]
async fn plain_head_of_many_lines() {
    check_plain(RawAnswer::EndlessHead("x-more: y\r\n")).await;
}

#[tokio::test]
async fn plain_body() {
    check_plain(RawAnswer::EndlessBody("junk")).await;
}

/// Guards against a memory limit that is reached because many answers are buffered at once.
#[tokio::test]
async fn many_plain_bodies() {
    let target = RawTarget::start(RawAnswer::EndlessBody("junk")).await;
    let platform = with_plain_target(&target).await;
    let buffers = platform.ingress.shared().response_buffers.clone();
    let calls = (0..24).map(|_| platform.call("GET", "/read/", &[ID]));
    let calls = futures_util::future::join_all(calls);
    let mut most = 0;
    let watch = async {
        loop {
            most = most.max(buffers.buffered_bytes());
            tokio::task::yield_now().await;
        }
    };
    let responses = tokio::select! {
        responses = calls => responses,
        () = watch => unreachable!("the watch has no end"),
    };
    for response in responses {
        assert!(response.status >= 500, "{}", response.status);
    }
    wait_until_closed(&target).await;
    assert!(most <= MAX_BUFFERED_BYTES, "{most} bytes");
    assert_eq!(buffers.buffered_bytes(), 0);
}

#[test]
fn buffers_are_bounded_together() {
    let buffers = ResponseBuffers::default();
    let chunk = vec![0; 1024 * 1024];
    let mut open: Vec<_> = (0..24).map(|_| buffers.new_buffer()).collect();
    let mut accepted = 0;
    for _ in 0..20 {
        for buffer in &mut open {
            accepted += usize::from(buffer.push(&chunk).is_ok()) * chunk.len();
        }
    }
    assert_eq!(
        (accepted, buffers.buffered_bytes()),
        (MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
    );
    drop(open.swap_remove(0));
    assert!(open[0].push(&chunk).is_ok(), "a dropped buffer makes room");
}

#[tokio::test]
async fn stream_head() {
    let response = stream_from(RawAnswer::EndlessHead("x-more: y\r\n")).await;
    assert_eq!(response.status, 502);
}

#[tokio::test]
async fn stream_without_event() {
    let response = stream_from(RawAnswer::EndlessBody("junk")).await;
    assert_eq!(response.status, 502);
}

/// Guards against passing on bytes as events because empty lines separate them.
#[tokio::test]
async fn stream_of_empty_lines() {
    for junk in ["\n", "junk\n\n", "\u{1}:\n\n"] {
        let response = stream_from(RawAnswer::EndlessBody(junk)).await;
        assert_eq!(response.status, 502, "{junk:?}");
    }
}
