//! Tests of targets that state for how long they keep idle connections open.

use std::time::Duration;

use crate::ingress::with_engines;
use crate::platform_support::{DeploymentBuilder, Platform, Target, TargetAction, WAIT_TIMEOUT};

const ID: (&str, &str) = ("x-toucanshelf-request-id", "r1");

/// Timeouts around the largest ones that fit into a time, and ones that are no number of 64 bits.
const TIMEOUTS: [&str; 6] = [
    "timeout=0",
    "timeout=9223372036854775807",
    "timeout=9223372036854775808",
    "timeout=18446744073709551615",
    "timeout=18446744073709551616",
    "timeout=-1",
];

/// Guards against callers that lose their answers because a stated timeout is added to the time.
#[tokio::test]
async fn plain_answer_with_large_timeout() {
    let target = Target::start([]).await;
    let document = DeploymentBuilder::new(1)
        .route("read", "a.example", "/read/", "plain")
        .route_of_kind("book", "/book/", "plain", "non_idempotent")
        .build();
    let platform = Platform::start(&document, &[("plain", &target)]).await;
    for timeout in TIMEOUTS {
        target.add_header("keep-alive", Some(timeout));
        for path in ["/read/", "/book/", "/read/"] {
            let response = platform.call("POST", path, &[ID]).await;
            assert_eq!(
                (response.status, response.is_complete),
                (200, true),
                "{timeout}"
            );
        }
    }
}

/// Guards against a stream whose task ends at the same place, so that its outcome isn't recorded.
#[tokio::test]
async fn stream_with_large_timeout() {
    let events = TargetAction::Stream(&["id: 1\n\n", "id: 2\n\n"]);
    let engine = Target::start(vec![events; TIMEOUTS.len()]).await;
    let platform = with_engines(&[&engine], &[("z", 0, 4)]).await;
    for timeout in TIMEOUTS {
        engine.add_header("keep-alive", Some(timeout));
        let response = platform.call("POST", "/draft/", &[ID]).await;
        assert_eq!(response.body, "id: 1\n\nid: 2\n\n", "{timeout}");
        assert!(response.is_complete, "{timeout}");
    }
    let requests = &platform.ingress.shared().metrics.requests;
    let served = requests.with_label_values(&["stream", "served"]);
    let counted = async {
        while served.get() < TIMEOUTS.len() as u64 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let counted = tokio::time::timeout(WAIT_TIMEOUT, counted).await;
    assert!(counted.is_ok(), "each stream ends as served");
}
