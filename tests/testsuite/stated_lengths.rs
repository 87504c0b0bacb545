//! Tests of streams whose engines state in their heads what holds for their own bytes only.

use crate::ingress::{model_document, with_engines_at};
use crate::platform_support::{CallerResponse, DeploymentBuilder, Platform, Target, TargetAction};
use crate::relay::relayed_stream_with;

const ID: (&str, &str) = ("x-toucanshelf-request-id", "r1");
const SHORT: &[&str] = &["id: 2\n\n"];
const LONG: &[&str] = &["id: 2\ndata: much longer\n\n", "id: 3\n\n"];
/// Body of a plain answer, as long as [`LONG`].
const PLAIN: &str = "a plain answer of 32 characters.";

/// Statements of a head about the bytes of one body, with the length of [`LONG`].
const STATEMENTS: [(&str, &str); 7] = [
    ("accept-ranges", "bytes"),
    ("content-digest", "sha-256=:AAAA:"),
    ("content-length", "32"),
    ("content-md5", "AAAA"),
    ("digest", "sha-256=AAAA"),
    ("etag", "\"v1\""),
    ("repr-digest", "sha-256=:AAAA:"),
];

/// Starts an engine that states a length, and answers one request with `action`.
async fn sized_engine(length: &'static str, action: TargetAction) -> Target {
    let engine = Target::start([action]).await;
    engine.add_header("content-length", Some(length));
    engine
}

/// Sends a stream to `path` at an engine, with a second one to resume it.
async fn stream_over(path: &str, first: &Target, second: &Target) -> CallerResponse {
    let later = Target::start([]).await;
    let addresses = [first.address, second.address, later.address];
    // The second engine is in another zone, so that it is chosen only after the first.
    let placed = [("z", 0, 2), ("y", 0, 2), ("z", 2, 4)];
    let document = model_document().unresumable_route("once", "/once/", "model");
    let platform = with_engines_at(&document, &addresses, &placed).await;
    platform.call("POST", path, &[ID]).await
}

/// Guards against a resumed stream that ends inside an event and looks complete, or that is cut.
///
/// The caller got the length that the first engine had stated for its own events.
#[tokio::test]
async fn resumed_by_engine_with_other_events() {
    for (rest, length) in [(LONG, "32"), (SHORT, "7")] {
        let first = sized_engine("16", TargetAction::Break(&["id: 1\n\n"])).await;
        let second = sized_engine(length, TargetAction::Stream(rest)).await;
        let response = stream_over("/draft/", &first, &second).await;
        let expected = format!("id: 1\n\n{}", rest.concat());
        assert_eq!(response.body, expected, "length {length}");
        assert!(response.is_complete, "length {length}");
        assert_eq!(second.received_requests().len(), 1);
    }
}

/// Guards against the same at the ingress to which an isolated one relays the request.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_at_other_ingress() {
    let broken = TargetAction::Break(&["id: 1\n\n"]);
    let script = [broken, TargetAction::Stream(LONG)];
    let (response, runs) = relayed_stream_with(&script, &["i2", "i3"], &STATEMENTS).await;
    assert_eq!(response.body, format!("id: 1\n\n{}", LONG.concat()));
    assert!(response.is_complete);
    assert_eq!(runs, 2);
    assert_unstated(&response);
}

/// Guards against a stream that is cut because events, which the caller has, are left out of it.
#[tokio::test]
async fn repeated_event_left_out() {
    let first = Target::start([TargetAction::Break(&["id: 1\n\n"])]).await;
    let repeated = TargetAction::Stream(&["id: 1\n\n", "id: 2\n\n"]);
    let second = sized_engine("14", repeated).await;
    let response = stream_over("/draft/", &first, &second).await;
    assert_eq!(response.body, "id: 1\n\nid: 2\n\n");
    assert!(response.is_complete);

    let repeated = TargetAction::Stream(&["id: 1\n\n", "id: 1\n\n", "id: 2\n\n"]);
    let first = sized_engine("21", repeated).await;
    let response = stream_over("/draft/", &first, &Target::start([]).await).await;
    assert_eq!(response.body, "id: 1\n\nid: 2\n\n");
    assert!(response.is_complete);
}

/// Guards against a stream without the stated length that looks complete, also if nobody resumes it.
#[tokio::test]
async fn unresumable_stream_broken() {
    let first = sized_engine("16", TargetAction::Break(&["id: 1\n\n"])).await;
    let second = Target::start([TargetAction::Stream(SHORT)]).await;
    let response = stream_over("/once/", &first, &second).await;
    assert_eq!(response.body, "id: 1\n\n");
    assert!(!response.is_complete);
    assert!(second.received_requests().is_empty());
}

/// Guards against digests and tags of one engine's bytes beside the events of several engines.
#[tokio::test]
async fn statements_about_bytes() {
    let first = Target::start([TargetAction::Break(&["id: 1\n\n"])]).await;
    for (name, value) in STATEMENTS {
        first.add_header(name, Some(value));
    }
    let second = Target::start([TargetAction::Stream(LONG)]).await;
    let response = stream_over("/draft/", &first, &second).await;
    assert_eq!(response.body, format!("id: 1\n\n{}", LONG.concat()));
    assert!(response.is_complete);
    assert_unstated(&response);
    assert!(response.headers.contains_key("x-toucanshelf-response-seal"));
}

/// Guards against a run that answers otherwise, or with a range, and is joined to the first one.
#[tokio::test]
async fn resumed_with_other_status() {
    let first = Target::start([TargetAction::Break(&["id: 1\n\n"])]).await;
    let second = Target::start([TargetAction::Answer(206, "id: 2\n\n")]).await;
    let response = stream_over("/draft/", &first, &second).await;
    assert_eq!((response.status, &*response.body), (200, "id: 1\n\n"));
    assert!(!response.is_complete);
}

fn assert_unstated(response: &CallerResponse) {
    for (name, _) in STATEMENTS {
        assert!(!response.headers.contains_key(name), "{name}");
    }
}

/// Guards against losing what a head states about a plain answer, which is passed on as it is.
#[tokio::test]
async fn statements_of_plain_answer() {
    let target = Target::start([TargetAction::Answer(200, PLAIN)]).await;
    for (name, value) in STATEMENTS {
        target.add_header(name, Some(value));
    }
    let document = DeploymentBuilder::new(1).route("read", "a.example", "/read/", "plain");
    let platform = Platform::start(&document.build(), &[("plain", &target)]).await;
    let response = platform.call("GET", "/read/", &[ID]).await;
    assert!(response.is_complete);
    assert_eq!(response.body, PLAIN);
    for (name, value) in STATEMENTS {
        assert_eq!(response.headers[name], value);
    }
}
