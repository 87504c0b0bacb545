//! Tests of sound targets that fall silent for a second or so and then go on.

use std::time::Duration;

use crate::ingress::with_engines;
use crate::platform_support::{DeploymentBuilder, Platform, Target, TargetAction};

const ID: (&str, &str) = ("x-toucanshelf-request-id", "r1");
/// Time for which a target is silent before each chunk.
const SILENCE: Duration = Duration::from_millis(1_200);
const EVENTS: &[&str] = &["id: 1\n\n", "id: 2\n\n"];

/// Starts an engine that is silent before each event of its first stream, and whose reports are held up.
async fn silent_engine() -> Target {
    let script = [
        TargetAction::Pause(SILENCE, EVENTS),
        TargetAction::Stream(EVENTS),
    ];
    let engine = Target::start(script).await;
    engine.hide_reports();
    engine
}

/// Guards against streams that are cut because their engine is silent for a second.
#[tokio::test]
async fn stream_without_alternative() {
    let (first, later) = (silent_engine().await, Target::start([]).await);
    let platform = with_engines(&[&first, &later], &[("z", 0, 2), ("z", 2, 4)]).await;
    let response = platform.call("POST", "/draft/", &[ID]).await;
    assert!(response.is_complete);
    assert_eq!(response.body, "id: 1\n\nid: 2\n\n");
    assert_eq!(first.received_requests().len(), 1);
}

/// Guards against events that are lost or sent twice when a stream leaves a silent engine.
#[tokio::test]
async fn stream_with_alternative() {
    let (first, later) = (silent_engine().await, Target::start([]).await);
    let second = Target::start([TargetAction::Stream(EVENTS)]).await;
    let placed = [("z", 0, 2), ("y", 0, 2), ("z", 2, 4)];
    let platform = with_engines(&[&first, &second, &later], &placed).await;
    let response = platform.call("POST", "/draft/", &[ID]).await;
    assert!(response.is_complete);
    assert_eq!(response.body, "id: 1\n\nid: 2\n\n");
    let runs = first.received_requests().len() + second.received_requests().len();
    assert!(runs <= 2, "the route allows two runs");
}

/// Guards against callers that are refused although the only engine goes on after a silence.
#[tokio::test]
async fn engine_heard_again() {
    let (first, later) = (silent_engine().await, Target::start([]).await);
    let platform = with_engines(&[&first, &later], &[("z", 0, 2), ("z", 2, 4)]).await;
    assert!(platform.call("POST", "/draft/", &[ID]).await.is_complete);
    let response = platform.call("POST", "/draft/", &[ID]).await;
    assert_eq!(response.status, 200, "the engine has gone on");
}

/// Guards against a booking that is given up, or sent again, because its target is silent.
#[tokio::test]
async fn booking_at_silent_target() {
    let silent = || [TargetAction::Pause(SILENCE, &["done"])];
    let targets = [Target::start(silent()).await, Target::start(silent()).await];
    let document =
        DeploymentBuilder::new(1).route_of_kind("book", "/book/", "plain", "non_idempotent");
    let registered = targets.each_ref().map(|target| ("plain", target));
    let platform = Platform::start(&document.build(), &registered).await;
    let response = platform.call("POST", "/book/", &[ID]).await;
    assert_eq!((response.status, &*response.body), (200, "done"));
    let runs: usize = targets.iter().map(|t| t.received_requests().len()).sum();
    assert_eq!(runs, 1);
}
