//! Tests of what targets say of themselves in their answers: that they leave, or want no requests.

use std::time::Duration;

use crate::platform_support::{DeploymentBuilder, Platform, Target, TargetAction};

const ID: (&str, &str) = ("x-toucanshelf-request-id", "r1");

/// Returns the statuses of `count` requests, and the number that each target has received of them.
async fn statuses(
    platform: &Platform,
    targets: [&Target; 2],
    count: usize,
) -> (Vec<u16>, [usize; 2]) {
    let received = || targets.map(|target| target.received_requests().len());
    let before = received();
    let mut statuses = Vec::new();
    for _ in 0..count {
        statuses.push(platform.call("GET", "/read/", &[ID]).await.status);
    }
    let after = received();
    (statuses, [after[0] - before[0], after[1] - before[1]])
}

async fn platform(targets: [&Target; 2]) -> Platform {
    let document = DeploymentBuilder::new(1).route("read", "a.example", "/read/", "plain");
    let registered = targets.map(|target| ("plain", target));
    Platform::start(&document.build(), &registered).await
}

/// Guards against requests to a target that has said in an answer that it leaves.
///
/// Its registration may still say that it is ready.
#[tokio::test]
async fn leaving_target() {
    let (leaving, other) = (Target::start([]).await, Target::start([]).await);
    let platform = platform([&leaving, &other]).await;
    leaving.add_header("server-leaving", Some("1"));
    while leaving.received_requests().is_empty() {
        assert_eq!(platform.call("GET", "/read/", &[ID]).await.status, 200);
    }
    let (statuses, received) = statuses(&platform, [&leaving, &other], 20).await;
    assert_eq!((statuses, received), (vec![200; 20], [0, 20]));
}

/// Guards against requests to a target that has turned one away and named a time to wait.
#[tokio::test]
async fn target_that_wants_no_requests() {
    let refusing = Target::start([TargetAction::NotRun(None)]).await;
    let other = Target::start([]).await;
    let platform = platform([&refusing, &other]).await;
    refusing.add_header("retry-after", Some("600"));
    while refusing.received_requests().is_empty() {
        assert_eq!(platform.call("GET", "/read/", &[ID]).await.status, 200);
    }
    // Any refusal makes the target less likely to be chosen for a quarter of a second.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (statuses, received) = statuses(&platform, [&refusing, &other], 20).await;
    assert_eq!((statuses, received), (vec![200; 20], [0, 20]));
}

/// Guards against callers that wait, or come back too early, while no target wants requests.
#[tokio::test]
async fn no_target_wants_requests() {
    let script = || [TargetAction::NotRun(None)];
    let targets = [Target::start(script()).await, Target::start(script()).await];
    let platform = platform([&targets[0], &targets[1]]).await;
    targets[0].add_header("retry-after", Some("600"));
    targets[1].add_header("retry-after", Some("40.5"));
    platform.call("GET", "/read/", &[ID]).await;
    let response = platform.call("GET", "/read/", &[ID]).await;
    assert_eq!(response.status, 503);
    let wait = response.headers["retry-after"].to_str().unwrap();
    let wait: f64 = wait.parse().unwrap();
    assert!((30.0..=40.5).contains(&wait), "{wait}");
    assert_eq!(
        targets.map(|target| target.received_requests().len()),
        [1, 1]
    );
}
