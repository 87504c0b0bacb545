//! Tests of answers with neither a length nor chunks, which end with their connection.

use std::net::SocketAddr;

use crate::ingress::{model_document, with_engines_at};
use crate::platform_support::{CallerResponse, DeploymentBuilder, Platform, Target, TargetAction};
use crate::raw_target::{RawAnswer, RawTarget};

const ID: (&str, &str) = ("x-toucanshelf-request-id", "r1");

/// Sends a stream to the engine at `first`, with a second one in another zone.
async fn stream_over(first: SocketAddr, second: &Target) -> CallerResponse {
    let later = Target::start([]).await;
    let addresses = [first, second.address, later.address];
    let placed = [("z", 0, 2), ("y", 0, 2), ("z", 2, 4)];
    let platform = with_engines_at(&model_document(), &addresses, &placed).await;
    platform.call("POST", "/draft/", &[ID]).await
}

/// Sends a stream to a raw target, with a second engine in another zone, and returns its body.
///
/// The second engine continues with events 2 and 3.
async fn stream_after(answer: RawAnswer) -> (String, usize) {
    let first = RawTarget::start(answer).await;
    let script = [TargetAction::Stream(&["id: 2\ndata: y\n\n", "id: 3\n\n"])];
    let second = Target::start(script).await;
    let response = stream_over(first.address, &second).await;
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(first.requests(), 1);
    (response.body, second.received_requests().len())
}

#[tokio::test]
async fn stream_ended_between_events() {
    let answer = RawAnswer::Unframed("id: 1\n\nid: 2\n\n");
    assert_eq!(stream_after(answer).await, ("id: 1\n\nid: 2\n\n".into(), 0));
}

/// Guards against passing on a stream that was broken off inside an event as complete.
#[tokio::test]
async fn stream_ended_inside_event() {
    let answer = RawAnswer::Unframed("id: 1\n\nid: 2\nda");
    let expected = "id: 1\n\nid: 2\ndata: y\n\nid: 3\n\n";
    assert_eq!(stream_after(answer).await, (expected.into(), 1));
}

/// Guards against passing on such a stream because its chunks end as they should.
#[tokio::test]
async fn chunked_stream_ended_inside_event() {
    let first = Target::start([TargetAction::Stream(&["id: 1\n\nid: 2\nda"])]).await;
    let second = Target::start([TargetAction::Stream(&["id: 2\ndata: y\n\n"])]).await;
    let response = stream_over(first.address, &second).await;
    assert!(response.is_complete);
    assert_eq!(response.body, "id: 1\n\nid: 2\ndata: y\n\n");
    assert_eq!(second.received_requests()[0].header("last-event-id"), "1");
}

/// Guards against taking an engine that ends before its first event for an empty stream.
#[tokio::test]
async fn stream_ended_before_first_event() {
    let expected = "id: 2\ndata: y\n\nid: 3\n\n";
    let answer = RawAnswer::Unframed("");
    assert_eq!(stream_after(answer).await, (expected.into(), 1));
}

#[tokio::test]
async fn plain_answer_without_length() {
    let target = RawTarget::start(RawAnswer::Unframed("whole answer")).await;
    let document = DeploymentBuilder::new(1).route("read", "a.example", "/read/", "plain");
    let platform = Platform::start(&document.build(), &[]).await;
    platform.register("t0", "plain", target.address).await;
    let response = platform.call("GET", "/read/", &[ID]).await;
    assert_eq!((response.status, &*response.body), (200, "whole answer"));
}
