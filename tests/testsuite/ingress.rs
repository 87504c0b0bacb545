//! Tests of requests through an ingress: forwarding, refusals, retries and resumed streams.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::platform_support::{DeploymentBuilder, Platform, Target, TargetAction, send};

/// Header that gives a request the identifier `r1`, which the targets' stall reports name.
const ID: (&str, &str) = ("x-toucanshelf-request-id", "r1");

/// Returns a deployment with an idempotent and a non-idempotent route to one service.
fn document() -> DeploymentBuilder {
    DeploymentBuilder::new(1)
        .route("read", "a.example", "/read/", "plain")
        .route_of_kind("book", "/book/", "plain", "non_idempotent")
}

#[tokio::test]
async fn forwarded_byte_for_byte() {
    let target = Target::start([TargetAction::Answer(200, "answer")]).await;
    let document = document().organisation("crew", &["k1"]).build();
    let platform = Platform::start(&document, &[("plain", &target)]).await;
    let headers = [
        ID,
        ("api-key", "k1"),
        ("x-toucanshelf-tenant", "forged"),
        ("x-toucanshelf-deadline-ms", "1500"),
        ("x-other", "kept"),
        ("connection", "x-hop"),
        ("x-hop", "dropped"),
    ];
    let response = platform.call("POST", "/read/a%20b?q=%2F&r", &headers).await;
    assert_eq!((response.status, &*response.body), (200, "answer"));
    assert!(
        response.headers["x-toucanshelf-response-seal"]
            .to_str()
            .unwrap()
            .starts_with("sealed")
    );
    let forwarded = &target.received_requests()[0];
    assert_eq!(
        (forwarded.method.as_str(), &*forwarded.path),
        ("POST", "/read/a%20b?q=%2F&r")
    );
    assert_eq!(&*forwarded.body, b"body");
    assert_eq!(forwarded.header("x-toucanshelf-tenant"), "crew");
    assert_eq!(forwarded.header("x-toucanshelf-expect-instance"), "t0");
    assert_eq!(forwarded.header("x-other"), "kept");
    assert_eq!(forwarded.header("api-key"), "");
    assert_eq!(forwarded.header("x-hop"), "");
    let left: u64 = forwarded
        .header("x-toucanshelf-deadline-ms")
        .parse()
        .unwrap();
    assert!(left <= 1_500);
}

#[tokio::test]
async fn denied_by_deployment() {
    let target = Target::start([]).await;
    let document = document().organisation("crew", &["k1"]).build();
    let platform = Platform::start(&document, &[("plain", &target)]).await;
    assert_eq!(platform.call("GET", "/read/", &[ID]).await.status, 401);
    let wrong = [ID, ("api-key", "k2")];
    assert_eq!(platform.call("GET", "/read/", &wrong).await.status, 401);
    let right = [ID, ("api-key", "k1")];
    assert_eq!(platform.call("GET", "/nowhere/", &right).await.status, 404);
    assert!(target.received_requests().is_empty());
}

#[tokio::test]
async fn failed_read_tried_elsewhere() {
    let targets = [
        Target::start([
            TargetAction::Answer(500, "broken"),
            TargetAction::Answer(500, "broken"),
        ])
        .await,
        Target::start([
            TargetAction::Answer(500, "broken"),
            TargetAction::Answer(500, "broken"),
        ])
        .await,
    ];
    let targets_by_service = [("plain", &targets[0]), ("plain", &targets[1])];
    let platform = Platform::start(&document().build(), &targets_by_service).await;
    let response = platform.call("GET", "/read/", &[ID]).await;
    assert_eq!(
        (response.status, &*response.body),
        (500, "broken"),
        "the error response of the target is passed on"
    );
    assert_eq!(
        targets[0].received_requests().len() + targets[1].received_requests().len(),
        2,
        "each target gets the request once"
    );
}

#[tokio::test]
async fn lost_booking_sent_once() {
    let targets = [
        Target::start([
            TargetAction::Break(&["half"]),
            TargetAction::Break(&["half"]),
        ])
        .await,
        Target::start([
            TargetAction::Break(&["half"]),
            TargetAction::Break(&["half"]),
        ])
        .await,
    ];
    let targets_by_service = [("plain", &targets[0]), ("plain", &targets[1])];
    let platform = Platform::start(&document().build(), &targets_by_service).await;
    let response = platform.call("POST", "/book/", &[ID]).await;
    assert_eq!(
        response.status, 502,
        "the response must not claim that the booking has not run"
    );
    assert_eq!(
        targets[0].received_requests().len() + targets[1].received_requests().len(),
        1
    );
}

#[tokio::test]
async fn answer_of_another_request() {
    let target = Target::start([TargetAction::AnswerOtherRequest]).await;
    let platform = Platform::start(&document().build(), &[("plain", &target)]).await;
    let response = platform.call("POST", "/book/", &[ID]).await;
    assert_eq!(response.status, 502);
    assert!(!response.body.contains("another caller"));
}

#[tokio::test]
async fn not_run_is_true() {
    let target = Target::start([TargetAction::NotRun(None)]).await;
    let platform = Platform::start(&document().build(), &[("plain", &target)]).await;
    let response = platform.call("POST", "/book/", &[ID]).await;
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(
        target.received_requests().len(),
        1,
        "the only target is not tried again"
    );
}

#[tokio::test]
async fn no_target_is_refused() {
    let platform = Platform::start(&document().build(), &[]).await;
    let response = platform.call("POST", "/book/", &[ID]).await;
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn body_too_large() {
    let target = Target::start([]).await;
    let platform = Platform::start(&document().build(), &[("plain", &target)]).await;
    let request = Request::post("/read/").header("host", "a.example");
    let request = request.body("x".repeat(70_000)).unwrap();
    assert_eq!(send(platform.ingress.address(), request).await.status, 413);
    assert!(target.received_requests().is_empty());
}

/// Returns a deployment with the model's service `model` and a streaming route `/draft/` to it.
pub fn model_document() -> DeploymentBuilder {
    let document = DeploymentBuilder::new(1).model_service("model");
    document.route_of_kind("draft", "/draft/", "model", "streaming")
}

/// Starts a platform and registers `targets` as engines of a model.
///
/// `placed` gives the zone of each engine and the range of its layers. The ranges must cover the
/// model's layers, because the function waits until a route exists.
pub async fn with_engines(targets: &[&Target], placed: &[(&str, u32, u32)]) -> Platform {
    with_engines_on(&model_document(), targets, placed).await
}

/// Starts a platform with the deployment `document` and registers `targets` as engines.
///
/// `placed` is as in [`with_engines`]; the model's service is named `model`.
pub async fn with_engines_on(
    document: &DeploymentBuilder,
    targets: &[&Target],
    placed: &[(&str, u32, u32)],
) -> Platform {
    let addresses: Vec<_> = targets.iter().map(|target| target.address).collect();
    with_engines_at(document, &addresses, placed).await
}

/// Does the same as [`with_engines_on`] for engines at `addresses`.
pub async fn with_engines_at(
    document: &DeploymentBuilder,
    addresses: &[SocketAddr],
    placed: &[(&str, u32, u32)],
) -> Platform {
    let platform = Platform::start(&document.build(), &[]).await;
    for (n, (address, (zone, from, to))) in addresses.iter().zip(placed).enumerate() {
        let id = format!("e{n}");
        platform
            .register_engine(&id, *address, zone, *from..*to)
            .await;
    }
    let routes = async {
        while platform
            .ingress
            .shared()
            .targets()
            .choose_route("model", &[], 0)
            .is_none()
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_mins(1), routes)
        .await
        .unwrap();
    platform
}

#[tokio::test]
async fn stream_goes_on_elsewhere() {
    let first = Target::start([TargetAction::Break(&[
        "id: 1\n\nid: 2\nda",
        "ta: x\n\nid: 3\ndat",
    ])])
    .await;
    let second = Target::start([TargetAction::Stream(&["id: 3\ndata: y\n\n", "id: 4\n\n"])]).await;
    let later = Target::start([]).await;
    // The second engine is in another zone, so that it is chosen only after the first.
    let placed = [("z", 0, 2), ("y", 0, 2), ("z", 2, 4)];
    let platform = with_engines(&[&first, &second, &later], &placed).await;
    let response = platform.call("POST", "/draft/", &[ID]).await;
    assert_eq!(response.status, 200);
    assert!(response.is_complete);
    assert_eq!(
        response.body,
        "id: 1\n\nid: 2\ndata: x\n\nid: 3\ndata: y\n\nid: 4\n\n"
    );
    assert_eq!(second.received_requests()[0].header("last-event-id"), "2");
    let seal = response.headers["x-toucanshelf-response-seal"]
        .to_str()
        .unwrap();
    assert_eq!(
        seal,
        format!("sealed-by-{}", first.address.port()),
        "the response head is that of the first engine"
    );
}

#[tokio::test]
async fn hops_name_every_layer() {
    let first = Target::start([TargetAction::Stream(&["id: 1\n\n"])]).await;
    let later = Target::start([]).await;
    let platform = with_engines(&[&first, &later], &[("z", 0, 2), ("z", 2, 4)]).await;
    assert_eq!(platform.call("POST", "/draft/", &[ID]).await.status, 200);
    let hops = format!("{}=0-2,{}=2-4", first.address, later.address);
    assert_eq!(
        first.received_requests()[0].header("x-toucanshelf-hops"),
        hops
    );
}

#[tokio::test]
async fn stream_that_breaks_twice() {
    let broken = || {
        [
            TargetAction::Break(&["id: 1\n\n"]),
            TargetAction::Break(&["id: 2\n\n"]),
            TargetAction::Break(&[]),
        ]
    };
    let first = Target::start(broken()).await;
    let later = Target::start([]).await;
    let platform = with_engines(&[&first, &later], &[("z", 0, 2), ("z", 2, 4)]).await;
    let response = platform.call("POST", "/draft/", &[ID]).await;
    assert!(
        !response.is_complete,
        "a truncated response must not look complete"
    );
    assert!(
        first.received_requests().len() <= 2,
        "the route allows at most two runs"
    );
}

/// Guards against more runs than the route allows when streams stall.
///
/// The second engine stalls on every route while the first engines stay alive, so each attempt
/// counts as a run.
#[tokio::test]
async fn stalls_count_as_runs() {
    let hang = || [TargetAction::Hang(&["id: 1\n\n"])];
    let first_engines = [
        Target::start(hang()).await,
        Target::start(hang()).await,
        Target::start(hang()).await,
    ];
    let later_engines = [
        Target::start([]).await,
        Target::start([]).await,
        Target::start([]).await,
    ];
    for (first, later) in first_engines.iter().zip(&later_engines) {
        first.report_stall_at(later.address);
    }
    let engines: Vec<_> = first_engines.iter().chain(&later_engines).collect();
    let placed = [
        ("z", 0, 2),
        ("y", 0, 2),
        ("x", 0, 2),
        ("z", 2, 4),
        ("y", 2, 4),
        ("x", 2, 4),
    ];
    let platform = with_engines(&engines, &placed).await;
    let response = platform.call("POST", "/draft/", &[ID]).await;
    assert!(!response.is_complete);
    let runs: usize = first_engines
        .iter()
        .map(|first| first.received_requests().len())
        .sum();
    assert_eq!(
        runs, 2,
        "the route allows two runs, and no first engine has failed"
    );
}

/// A platform whose first engine sends no reports, beside two that break off each stream.
struct SilentEngine {
    platform: Platform,
    silent: Target,
    others: [Target; 2],
    _later: Target,
}

impl SilentEngine {
    /// Starts the engines; the first one answers as `script` says.
    async fn start(script: impl IntoIterator<Item = TargetAction>) -> Self {
        let silent = Target::start(script).await;
        silent.hide_reports();
        let breaking = || {
            [
                TargetAction::Break(&["id: 2\n\n"]),
                TargetAction::Break(&[]),
            ]
        };
        let others = [
            Target::start(breaking()).await,
            Target::start(breaking()).await,
        ];
        let later = Target::start([]).await;
        let engines = [&silent, &others[0], &others[1], &later];
        let placed = [("z", 0, 2), ("y", 0, 2), ("x", 0, 2), ("z", 2, 4)];
        let platform = with_engines(&engines, &placed).await;
        Self {
            platform,
            silent,
            others,
            _later: later,
        }
    }

    /// Returns the number of requests that the engines which break off have received.
    fn other_runs(&self) -> usize {
        let others = self.others.iter();
        others.map(|other| other.received_requests().len()).sum()
    }
}

/// Guards against more runs than the route allows when a silent engine is taken for failed.
///
/// The first engine sends neither events nor reports and is marked down, but it still runs the
/// request. The second one breaks off, so that the limit of two runs is reached.
#[tokio::test]
async fn silent_engine_counts_as_run() {
    let engines = SilentEngine::start([TargetAction::Hang(&["id: 1\n\n"])]).await;
    let response = engines.platform.call("POST", "/draft/", &[ID]).await;
    assert!(!response.is_complete);
    assert_eq!(
        engines.silent.received_requests().len(),
        1,
        "the silent engine runs the request first"
    );
    assert_eq!(
        engines.other_runs(),
        1,
        "the route allows two runs, and the silent engine hasn't ended"
    );
}

/// Guards against a third run because the stream that may move still waits on its first route.
///
/// The first engine stalls but lives on. The second one answers with the response of another request,
/// so that it may have run this one.
#[tokio::test]
async fn stalled_run_counts_while_replaced() {
    let stalled = Target::start([TargetAction::Hang(&["id: 1\n\n"])]).await;
    let others = [
        Target::start([TargetAction::AnswerOtherRequest]).await,
        Target::start([TargetAction::AnswerOtherRequest]).await,
    ];
    let later_engines = [Target::start([]).await, Target::start([]).await];
    stalled.report_stall_at(later_engines[0].address);
    let engines = [
        &stalled,
        &others[0],
        &others[1],
        &later_engines[0],
        &later_engines[1],
    ];
    let placed = [
        ("z", 0, 2),
        ("y", 0, 2),
        ("x", 0, 2),
        ("z", 2, 4),
        ("y", 2, 4),
    ];
    let platform = with_engines(&engines, &placed).await;
    let response = platform.call("POST", "/draft/", &[ID]).await;
    assert!(!response.is_complete);
    let runs: Vec<_> = others.iter().flat_map(Target::received_requests).collect();
    assert_eq!(stalled.received_requests().len(), 1);
    assert_eq!(
        runs.len(),
        1,
        "the route allows two runs, and no engine has ended: {runs:?}"
    );
}

/// Guards against uncounted runs at an engine that was taken for ended because of a cut.
///
/// A cut may refuse connections as an address does at which nothing listens. The engine then answers
/// again under the same registration, and later falls silent.
#[tokio::test]
async fn engine_reached_again_counts_as_run() {
    let script = [
        TargetAction::Stream(&["id: 1\n\n"]),
        TargetAction::Hang(&["id: 1\n\n"]),
    ];
    let engines = SilentEngine::start(script).await;
    let platform = &engines.platform;
    platform.ingress.shared().targets().record_ended("e0");
    assert_eq!(platform.call("POST", "/draft/", &[ID]).await.status, 200);
    assert!(!platform.call("POST", "/draft/", &[ID]).await.is_complete);
    assert_eq!(engines.silent.received_requests().len(), 2);
    assert_eq!(
        engines.other_runs(),
        1,
        "the route allows two runs, and no engine has ended"
    );
}

#[tokio::test]
async fn held_up_stream_is_kept() {
    let events = &["id: 1\n\n", "id: 2\n\n"];
    let pause = Duration::from_millis(2_200);
    let first = Target::start([TargetAction::Pause(pause, events)]).await;
    let second = Target::start([TargetAction::NotRun(None), TargetAction::NotRun(None)]).await;
    let later = Target::start([]).await;
    let placed = [("z", 0, 2), ("y", 0, 2), ("z", 2, 4)];
    let platform = with_engines(&[&first, &second, &later], &placed).await;
    let response = platform.call("POST", "/draft/", &[ID]).await;
    assert!(
        response.is_complete,
        "a stalled stream is kept if the other route refuses the request"
    );
    assert_eq!(response.body, "id: 1\n\nid: 2\n\n");
    assert!(
        !second.received_requests().is_empty(),
        "the other route was tried"
    );
}

#[tokio::test]
async fn first_engine_is_not_blamed() {
    let first = Target::start([TargetAction::Hang(&["id: 1\n\n"])]).await;
    let later = Target::start([]).await;
    // The first engine reports itself as the cause of the stall, as it does when the path back to
    // it from another zone is interrupted.
    first.report_stall_at(first.address);
    let platform = with_engines(&[&first, &later], &[("z", 0, 2), ("y", 2, 4)]).await;
    assert!(!platform.call("POST", "/draft/", &[ID]).await.is_complete);
    let shared = platform.ingress.shared();
    let targets = shared.targets();
    let key = targets.at_address(first.address).unwrap();
    assert!(
        !targets.has_unrecovered_failure(key),
        "the first engine has answered the report call"
    );
}

#[tokio::test]
async fn deployment_read_back() {
    let target = Target::start([]).await;
    let document = document().build();
    let platform = Platform::start(&document, &[("plain", &target)]).await;
    let read = || async {
        let request = Request::get("/api/config").header("host", "control");
        send(
            platform.control_api_address(),
            request.body(String::new()).unwrap(),
        )
        .await
    };
    assert_eq!(read().await.body, document);
    let other = DeploymentBuilder::new(1).build();
    assert_eq!(
        platform.put_deployment(&other).await,
        200,
        "the same version is accepted and changes nothing"
    );
    assert_eq!(read().await.body, document);
    assert_eq!(
        platform.put_deployment(&other[..other.len() - 2]).await,
        400,
        "an invalid document is rejected even with an old version"
    );
    let newer = DeploymentBuilder::new(7).build();
    assert_eq!(platform.put_deployment(&newer).await, 200);
    assert_eq!(read().await.body, newer);
    platform.wait_until_in_sync().await;
    assert_eq!(platform.call("GET", "/read/", &[ID]).await.status, 404);
}

#[tokio::test]
async fn drained_target_gets_nothing() {
    let targets = [Target::start([]).await, Target::start([]).await];
    let targets_by_service = [("plain", &targets[0]), ("plain", &targets[1])];
    let platform = Platform::start(&document().build(), &targets_by_service).await;
    let drains = serde_json::json!({
        "service": "plain", "address": targets[0].address, "zone": "z", "version": "v1",
        "slots": 8, "state": "draining", "cold_left_ms": 0, "seq": 2, "born": 1000
    });
    assert_eq!(platform.send_heartbeat("t0", &drains).await, 200);
    // The response to the heartbeat means that every ingress has applied it, so the test does not
    // wait.
    for _ in 0..6 {
        assert_eq!(platform.call("GET", "/read/", &[ID]).await.status, 200);
    }
    assert!(targets[0].received_requests().is_empty());
    assert_eq!(targets[1].received_requests().len(), 6);
}

#[tokio::test]
async fn malformed_heartbeat_is_refused() {
    let target = Target::start([]).await;
    let platform = Platform::start(&document().build(), &[("plain", &target)]).await;
    let broken = serde_json::json!({ "service": "plain", "address": 7, "state": "ready" });
    assert_eq!(platform.send_heartbeat("t0", &broken).await, 400);
    let unknown = serde_json::json!({
        "service": "plain", "address": target.address, "zone": "z", "version": "v1",
        "slots": 8, "state": "odd", "cold_left_ms": 0, "seq": 3, "born": 1000
    });
    assert_eq!(platform.send_heartbeat("t0", &unknown).await, 400);
    assert_eq!(
        platform.call("GET", "/read/", &[ID]).await.status,
        200,
        "the last valid heartbeat stays in effect"
    );
}

/// Guards against streams that move from engine to engine while each of them goes on serving.
///
/// An engine that leaves may deregister first and serve on for seconds. It hasn't failed: a run on
/// it counts, and its stream needs no other engine.
#[tokio::test(flavor = "multi_thread")]
async fn deregistered_engine_keeps_stream() {
    let events = (1..=300).map(|id| &*format!("id: {id}\n\n").leak());
    let events: &[&str] = events.collect::<Vec<_>>().leak();
    let first = Target::start([TargetAction::Stream(events)]).await;
    let other = Target::start([]).await;
    let later = Target::start([]).await;
    let document = DeploymentBuilder::new(1)
        .model_service("model")
        .route_of_kind("draft", "/draft/", "model", "streaming");
    let placed = [("z", 0, 2), ("y", 0, 2), ("z", 2, 4)];
    let platform = with_engines_on(&document, &[&first, &other, &later], &placed).await;
    let deregister = async {
        while first.received_requests().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let request = Request::delete("/api/instances/e0").header("host", "control");
        let request = request.body(r#"{"born":1000}"#.into()).unwrap();
        let status = send(platform.control_api_address(), request).await.status;
        assert_eq!(status, 200);
    };
    let (response, ()) = tokio::join!(platform.call("POST", "/draft/", &[ID]), deregister);
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, events.concat());
    assert_eq!(other.received_requests().len(), 0);
}

/// Guards against a request line that ends the connection of its caller without an answer.
#[tokio::test]
async fn absolute_form_without_path() {
    let target = Target::start([]).await;
    let document = DeploymentBuilder::new(1)
        .route("root", "a.example", "/", "plain")
        .build();
    let platform = Platform::start(&document, &[("plain", &target)]).await;
    for (line, path) in [
        ("GET http://a.example?x=1 HTTP/1.1", "/?x=1"),
        ("GET http://a.example HTTP/1.1", "/"),
        ("GET http://a.example/p?x=1 HTTP/1.1", "/p?x=1"),
    ] {
        let head = format!(
            "{line}\r\nhost: a.example\r\nx-toucanshelf-request-id: r1\r\nconnection: close\r\n\r\n"
        );
        let mut stream = TcpStream::connect(platform.ingress.address())
            .await
            .unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{line}: {answer:?}");
        let received = target.received_requests();
        assert_eq!(received.last().unwrap().path, path);
    }
}
