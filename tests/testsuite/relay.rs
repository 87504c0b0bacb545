//! Tests of an ingress that can't reach any target while another one can.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use toucanshelf_ingress::Ingress;
use toucanshelf_ingress::pool::{Connector, TcpConnector};
use toucanshelf_ingress::relay::Relays;
use toucanshelf_routing::budget::RepeatBudget;

use crate::platform_support::{
    CallerResponse, DeploymentBuilder, Platform, Target, TargetAction, WAIT_TIMEOUT, call_ingress,
    send, start_control, start_ingress, start_ingress_with_connector,
};

/// How connections to the targets behind a cut end.
#[derive(Clone, Copy, Debug)]
enum Cut {
    Refused,
    Hanging,
}

/// Targets behind a cut, with the way in which connections to them end.
type CutTargets = Option<(Cut, BTreeSet<SocketAddr>)>;

/// Connector that can't reach the targets of a cut.
#[derive(Clone, Debug, Default)]
struct CutConnector {
    cut: Arc<Mutex<CutTargets>>,
    /// Number of connections to targets that are not behind the cut.
    connections: Arc<AtomicUsize>,
}

impl CutConnector {
    fn cut(&self, cut: Cut, targets: &[SocketAddr]) {
        *self.cut.lock().unwrap() = Some((cut, targets.iter().copied().collect()));
    }

    fn heal(&self) {
        *self.cut.lock().unwrap() = None;
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

impl Connector for CutConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        match &*self.cut.lock().unwrap() {
            Some((Cut::Refused, targets)) if targets.contains(&address) => {
                std::future::ready(Err(io::ErrorKind::ConnectionRefused.into())).boxed()
            }
            Some((Cut::Hanging, targets)) if targets.contains(&address) => {
                std::future::pending().boxed()
            }
            _ => {
                self.connections.fetch_add(1, Ordering::Relaxed);
                TcpConnector.connect(address)
            }
        }
    }
}

/// Two targets of a plain service, and an ingress that can be cut off from them.
struct CutPlatform {
    platform: Platform,
    connector: CutConnector,
    targets: [Target; 2],
}

impl CutPlatform {
    async fn start() -> Self {
        let document = DeploymentBuilder::new(1)
            .route("read", "a.example", "/read/", "plain")
            .route_of_kind("book", "/book/", "plain", "non_idempotent");
        Self::start_on(&document).await
    }

    /// Starts the platform with a deployment in which callers may `GET` from `/read/` without a key.
    async fn start_on(document: &DeploymentBuilder) -> Self {
        let targets = [Target::start([]).await, Target::start([]).await];
        let document = document.build();
        let (control, folder) = start_control().await;
        let connector = CutConnector::default();
        let ingress = start_ingress_with_connector("i1", &control, connector.clone()).await;
        let registered = [("plain", &targets[0]), ("plain", &targets[1])];
        let platform = Platform::with_ingress(control, folder, ingress, &document, &registered);
        Self {
            platform: platform.await,
            connector,
            targets,
        }
    }

    /// Starts another ingress, and waits until it serves requests.
    async fn start_other_ingress(&self, name: &str) -> Ingress {
        let other = start_ingress(name, &self.platform.control).await;
        served(&other, "GET", "/read/").await;
        other
    }

    fn cut(&self, cut: Cut) {
        let addresses = self.targets.each_ref().map(|target| target.address);
        self.connector.cut(cut, &addresses);
    }

    fn runs(&self) -> usize {
        let runs = self.targets.iter();
        runs.map(|target| target.received_requests().len()).sum()
    }
}

async fn call(ingress: &Ingress, method: &str, path: &str) -> CallerResponse {
    call_ingress(ingress, method, path, &[("x-toucanshelf-request-id", "r1")]).await
}

/// Sends requests until one is served.
async fn served(ingress: &Ingress, method: &str, path: &str) -> CallerResponse {
    let served = async {
        loop {
            let response = call(ingress, method, path).await;
            if response.status == 200 {
                return response;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let served = tokio::time::timeout(WAIT_TIMEOUT, served);
    served.await.expect("requests are served again")
}

/// Guards against callers that are refused although another ingress reaches the targets.
///
/// The platform sends callers to this ingress as long as it is ready, and those that come back as well.
async fn plain_requests_during(cut: Cut) {
    let cut_platform = CutPlatform::start().await;
    let _other = cut_platform.start_other_ingress("i2").await;
    cut_platform.cut(cut);
    let ingress = &cut_platform.platform.ingress;
    served(ingress, "GET", "/read/").await;
    for _ in 0..20 {
        let response = call(ingress, "GET", "/read/").await;
        assert_eq!((response.status, &*response.body), (200, "done"));
    }
    let before = cut_platform.runs();
    assert_eq!(call(ingress, "POST", "/book/").await.status, 200);
    assert_eq!(cut_platform.runs() - before, 1, "the booking runs once");
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_request_with_connections_refused() {
    plain_requests_during(Cut::Refused).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_request_with_connections_hanging() {
    plain_requests_during(Cut::Hanging).await;
}

/// Guards against callers that are refused after the ingress has got its connections back.
///
/// Each target is marked down while it can't be reached. The marks say nothing about the targets.
#[tokio::test(flavor = "multi_thread")]
async fn targets_reachable_again() {
    let cut_platform = CutPlatform::start().await;
    cut_platform.cut(Cut::Refused);
    let ingress = &cut_platform.platform.ingress;
    let isolation = &ingress.shared().isolation;
    let cut_off = async {
        while !isolation.is_isolated() {
            assert_ne!(call(ingress, "GET", "/read/").await.status, 200);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, cut_off).await.unwrap();
    cut_platform.connector.heal();
    let healed = async {
        while isolation.is_isolated() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, healed).await.unwrap();
    assert_eq!(call(ingress, "GET", "/read/").await.status, 200);
}

/// Guards against an ingress that takes itself for isolated because it probes what has just failed.
///
/// Two of three targets have failed. Each probe connects to two.
#[tokio::test]
async fn failed_targets_probed_last() {
    let targets = [
        Target::start([]).await,
        Target::start([]).await,
        Target::start([]).await,
    ];
    let document = DeploymentBuilder::new(1).route("read", "a.example", "/read/", "plain");
    let registered = targets.each_ref().map(|target| ("plain", target));
    let platform = Platform::start(&document.build(), &registered).await;
    let shared = platform.ingress.shared();
    let failed = BTreeSet::from([targets[0].address, targets[1].address]);
    for _ in 0..64 {
        let probed = shared.targets().probe_addresses(2, &failed);
        assert!(probed.contains(&targets[2].address), "{probed:?}");
        assert_eq!(probed.len(), 2);
    }
}

/// Guards against an ingress that takes itself for isolated because a probe meets only ended targets.
///
/// Six of seven targets refuse connections, and two of them are known to have failed.
#[tokio::test(flavor = "multi_thread")]
async fn ended_targets_prove_nothing() {
    let mut targets = Vec::new();
    for _ in 0..7 {
        targets.push(Target::start([]).await);
    }
    let document = DeploymentBuilder::new(1).route("read", "a.example", "/read/", "plain");
    let document = document.build();
    let (control, folder) = start_control().await;
    let connector = CutConnector::default();
    let ingress = start_ingress_with_connector("i1", &control, connector.clone()).await;
    let registered: Vec<_> = targets.iter().map(|target| ("plain", target)).collect();
    let started = Platform::with_ingress(control, folder, ingress, &document, &registered);
    let platform = started.await;
    let ended: Vec<_> = targets[1..].iter().map(|target| target.address).collect();
    connector.cut(Cut::Refused, &ended);
    let isolation = &platform.ingress.shared().isolation;
    for _ in 0..8 {
        let before = connector.connections();
        let probed = async {
            while connector.connections() == before && !isolation.is_isolated() {
                for address in &ended[..2] {
                    isolation.record_failure(*address, platform.ingress.shared().now());
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, probed).await.unwrap();
        assert!(!isolation.is_isolated(), "a target accepts connections");
    }
}

/// Guards against a request that goes in circles between ingresses without targets.
#[tokio::test(flavor = "multi_thread")]
async fn both_ingresses_isolated() {
    let cut_platform = CutPlatform::start().await;
    let platform = &cut_platform.platform;
    let connector = cut_platform.connector.clone();
    let other = start_ingress_with_connector("i2", &platform.control, connector).await;
    served(&other, "GET", "/read/").await;
    cut_platform.cut(Cut::Refused);
    let ingresses = [&platform.ingress, &other];
    let both_isolated = async {
        for ingress in ingresses {
            while !ingress.shared().isolation.is_isolated() {
                assert_ne!(call(ingress, "POST", "/book/").await.status, 200);
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, both_isolated)
        .await
        .unwrap();
    let before = cut_platform.runs();
    for ingress in ingresses {
        let response = call(ingress, "POST", "/book/").await;
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key("retry-after"));
    }
    assert_eq!(cut_platform.runs(), before);
}

/// Guards against repeated sends beyond the budget, which each relay would count as first ones.
///
/// A relay that has offered the request to targets in vain has the final word.
#[tokio::test(flavor = "multi_thread")]
async fn targets_refuse_relayed_request() {
    let cut_platform = CutPlatform::start().await;
    let _others = [
        cut_platform.start_other_ingress("i2").await,
        cut_platform.start_other_ingress("i3").await,
    ];
    cut_platform.cut(Cut::Refused);
    let ingress = &cut_platform.platform.ingress;
    served(ingress, "GET", "/read/").await;
    for target in &cut_platform.targets {
        target.refuse_all();
    }
    let before = cut_platform.runs();
    let response = call(ingress, "GET", "/read/").await;
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
    let arrivals = cut_platform.runs() - before;
    assert!(arrivals <= cut_platform.targets.len(), "{arrivals}");
}

/// Guards against callers that are refused while all ingresses that reach targets are stopping.
///
/// Each of them goes on for seconds, until its last stream has ended.
#[tokio::test(flavor = "multi_thread")]
async fn relay_that_stops() {
    let cut_platform = CutPlatform::start().await;
    let other = cut_platform.start_other_ingress("i2").await;
    cut_platform.cut(Cut::Refused);
    let ingress = &cut_platform.platform.ingress;
    served(ingress, "GET", "/read/").await;
    // A request that is being read keeps the other ingress from ending.
    let address = other.address();
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all(b"GET /read/ HTTP/1.1\r\n").await.unwrap();
    let stop = tokio::spawn(other.stop());
    let closed = async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, closed).await.unwrap();
    for _ in 0..5 {
        assert_eq!(call(ingress, "POST", "/book/").await.status, 200);
    }
    assert!(!stop.is_finished());
    drop(caller);
    tokio::time::timeout(WAIT_TIMEOUT, stop)
        .await
        .expect("the stop ends")
        .unwrap();
}

/// Guards against a caller that sees an older deployment at the same ingress through a relay.
#[tokio::test(flavor = "multi_thread")]
async fn relay_with_older_deployment() {
    let cut_platform = CutPlatform::start().await;
    let relay = cut_platform.platform.ingress.shared().relays.own_address();
    let status_for = async |min_deployment: &str| {
        let request = http::Request::get("/read/")
            .header("host", "a.example")
            .header("x-toucanshelf-request-id", "r1")
            .header("toucanshelf-min-deployment", min_deployment);
        let request = request.body(String::new()).unwrap();
        send(relay.unwrap(), request).await.status
    };
    assert_eq!(status_for("2").await, 503);
    assert_eq!(cut_platform.runs(), 0);
    assert_eq!(status_for("1").await, 200);
    let received = cut_platform.targets.iter();
    let received = received.flat_map(Target::received_requests).next().unwrap();
    assert_eq!(received.header("toucanshelf-min-deployment"), "");
}

/// Guards against requests to a leaving target after the ingress has got its connections back.
///
/// The target has said that it leaves in an answer to the relay, and control may not know it.
#[tokio::test(flavor = "multi_thread")]
async fn target_leaves_during_cut() {
    let cut_platform = CutPlatform::start().await;
    let _other = cut_platform.start_other_ingress("i2").await;
    cut_platform.cut(Cut::Refused);
    let ingress = &cut_platform.platform.ingress;
    served(ingress, "GET", "/read/").await;
    let leaving = &cut_platform.targets[0];
    leaving.add_header("server-leaving", Some("1"));
    let before = leaving.received_requests().len();
    while leaving.received_requests().len() == before {
        let response = call(ingress, "GET", "/read/").await;
        assert_eq!(response.status, 200);
        let names = response.headers.keys();
        let internal: Vec<_> = names
            .filter(|name| name.as_str().starts_with("toucanshelf-"))
            .collect();
        assert!(internal.is_empty(), "{internal:?}");
    }
    cut_platform.connector.heal();
    let healed = async {
        while ingress.shared().isolation.is_isolated() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, healed).await.unwrap();
    let before = leaving.received_requests().len();
    for _ in 0..20 {
        assert_eq!(call(ingress, "GET", "/read/").await.status, 200);
    }
    assert_eq!(leaving.received_requests().len(), before);
}

/// Guards against an ingress that doesn't learn by which deployment its relay handled a request.
///
/// The header that says so applies to the connection, so that earlier builds don't pass it on.
#[tokio::test(flavor = "multi_thread")]
async fn relay_names_its_deployment() {
    let cut_platform = CutPlatform::start().await;
    let relay = cut_platform.platform.ingress.shared().relays.own_address();
    for path in ["/read/", "/unknown/"] {
        let request = http::Request::get(path)
            .header("host", "a.example")
            .header("x-toucanshelf-request-id", "r1");
        let request = request.body(String::new()).unwrap();
        let headers = send(relay.unwrap(), request).await.headers;
        let version = headers.get("toucanshelf-relay-deployment");
        assert_eq!(version.map(|version| version.to_str().unwrap()), Some("1"));
        let connection = headers.get_all("connection").iter();
        let connection: Vec<_> = connection.map(|value| value.to_str().unwrap()).collect();
        assert!(
            connection
                .join(",")
                .contains("toucanshelf-relay-deployment")
        );
    }
    let response = call(&cut_platform.platform.ingress, "GET", "/read/").await;
    assert!(
        !response
            .headers
            .contains_key("toucanshelf-relay-deployment")
    );
}

/// Guards against an ingress that falls behind the deployment that its callers have seen at a relay.
#[tokio::test(flavor = "multi_thread")]
async fn deployment_older_than_relays() {
    let cut_platform = CutPlatform::start().await;
    let other = cut_platform.start_other_ingress("i2").await;
    let ingress = &cut_platform.platform.ingress;
    let deployments = &ingress.shared().deployments;
    assert_eq!(deployments.relayed(), 0);
    cut_platform.cut(Cut::Refused);
    served(ingress, "GET", "/read/").await;
    assert_eq!(deployments.relayed(), 1, "the relay has named its version");
    cut_platform.connector.heal();
    let healed = async {
        while ingress.shared().isolation.is_isolated() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, healed).await.unwrap();
    deployments.record_relayed(9);
    let before = cut_platform.runs();
    for path in ["/read/", "/later/"] {
        let response = call(ingress, "GET", path).await;
        assert_eq!(response.status, 503, "{path}");
        assert!(response.headers.contains_key("retry-after"));
    }
    assert_eq!(cut_platform.runs(), before);
    let document = DeploymentBuilder::new(9)
        .route("read", "a.example", "/read/", "plain")
        .route("later", "a.example", "/later/", "plain")
        .build();
    let status = cut_platform.platform.put_deployment(&document).await;
    assert_eq!(status, 200);
    cut_platform.platform.wait_until_in_sync().await;
    assert_eq!(call(ingress, "GET", "/later/").await.status, 200);
    assert_eq!(call(ingress, "GET", "/unknown/").await.status, 404);
    drop(other);
}

/// Guards against a budget of repeated sends that grows because two ingresses count one request.
#[tokio::test(flavor = "multi_thread")]
async fn request_counted_at_sender() {
    let cut_platform = CutPlatform::start().await;
    let shared = cut_platform.platform.ingress.shared();
    let relay = shared.relays.own_address().unwrap();
    for _ in 0..200 {
        let request = http::Request::get("/read/")
            .header("host", "a.example")
            .header("x-toucanshelf-request-id", "r1")
            .header("toucanshelf-counted", "1");
        let request = request.body(String::new()).unwrap();
        let response = send(relay, request).await;
        assert_eq!(response.status, 200, "{}", response.body);
    }
    let mut repeats = 0;
    while shared.take_repeat("plain") {
        repeats += 1;
    }
    let mut without_requests = RepeatBudget::new(shared.settings.budget_limits());
    let mut expected = 0;
    while without_requests.take_repeat(0, 1) {
        expected += 1;
    }
    assert_eq!(repeats, expected);
    let received = cut_platform.targets.iter();
    let received = received.flat_map(Target::received_requests).next().unwrap();
    assert_eq!(received.header("toucanshelf-counted"), "");
}

/// Guards against a false "not run", and a run beyond the limit, for a request that has run before.
///
/// The ingress from which the request comes has counted its runs.
#[tokio::test(flavor = "multi_thread")]
async fn relay_told_of_earlier_runs() {
    let cut_platform = CutPlatform::start().await;
    let relay = cut_platform.platform.ingress.shared().relays.own_address();
    let status_for = async |earlier_runs: &str| {
        let request = http::Request::get("/read/")
            .header("host", "a.example")
            .header("x-toucanshelf-request-id", "r1")
            .header("toucanshelf-earlier-runs", earlier_runs);
        let request = request.body(String::new()).unwrap();
        send(relay.unwrap(), request).await.status
    };
    assert_eq!(status_for("2").await, 502);
    assert_eq!(cut_platform.runs(), 0, "the route allows two runs");
    assert_eq!(status_for("1").await, 200);
    let received = cut_platform.targets.iter();
    let received = received.flat_map(Target::received_requests).next().unwrap();
    assert_eq!(received.header("toucanshelf-earlier-runs"), "");
    for target in &cut_platform.targets {
        target.refuse_all();
    }
    assert_eq!(status_for("1").await, 502, "the request has run before");
}

/// An ingress that can be cut off from two engines, which hold all layers together.
struct CutEngines {
    platform: Platform,
    connector: CutConnector,
    engine: Target,
    later: Target,
}

impl CutEngines {
    /// Starts engines of which the first one answers as `script` says.
    async fn start(script: impl IntoIterator<Item = TargetAction>) -> Self {
        let (engine, later) = (Target::start(script).await, Target::start([]).await);
        let document = DeploymentBuilder::new(1)
            .model_service("model")
            .route("read", "a.example", "/read/", "plain")
            .route_of_kind("draft", "/draft/", "model", "streaming")
            .unresumable_route("once", "/once/", "model")
            .build();
        let (control, folder) = start_control().await;
        let connector = CutConnector::default();
        let ingress = start_ingress_with_connector("i1", &control, connector.clone()).await;
        let platform = Platform::with_ingress(control, folder, ingress, &document, &[]).await;
        platform
            .register_engine("e0", engine.address, "z", 0..2)
            .await;
        platform
            .register_engine("e1", later.address, "z", 2..4)
            .await;
        Self {
            platform,
            connector,
            engine,
            later,
        }
    }

    /// Waits until an ingress knows a route over both engines.
    async fn wait_for_route(ingress: &Ingress) {
        let route = async {
            while ingress
                .shared()
                .targets()
                .choose_route("model", &[], 0)
                .is_none()
            {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, route).await.unwrap();
    }

    /// Cuts the first ingress off, and waits until it knows that.
    async fn isolate(&self, cut: Cut) {
        let engines = [self.engine.address, self.later.address];
        self.connector.cut(cut, &engines);
        let shared = self.platform.ingress.shared();
        for engine in engines {
            shared.isolation.record_failure(engine, shared.now());
        }
        let isolated = async {
            while !shared.isolation.is_isolated() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, isolated).await.unwrap();
    }
}

/// Guards against streams that an isolated ingress refuses, or passes on in part.
#[tokio::test(flavor = "multi_thread")]
async fn stream_with_connections_refused() {
    let events = &["id: 1\ndata: x\n\n", "id: 2\n\n"];
    let engines = CutEngines::start([TargetAction::Stream(events)]).await;
    CutEngines::wait_for_route(&engines.platform.ingress).await;
    let other = start_ingress("i2", &engines.platform.control).await;
    CutEngines::wait_for_route(&other).await;
    let cut = [engines.engine.address, engines.later.address];
    engines.connector.cut(Cut::Refused, &cut);
    let response = served(&engines.platform.ingress, "POST", "/draft/").await;
    assert!(response.is_complete);
    assert_eq!(response.body, "id: 1\ndata: x\n\nid: 2\n\n");
}

/// Guards against relayed requests that lose their rank, or get the one that the caller has sent.
#[tokio::test(flavor = "multi_thread")]
async fn relayed_request_ranked() {
    let read = serde_json::json!({ "service": "plain", "priority": 1, "public": true });
    let buy = serde_json::json!({ "service": "plain", "priority": 0 });
    let document = DeploymentBuilder::new(1)
        .custom_route("read", "/read/", &read)
        .custom_route("buy", "/buy/", &buy)
        .ranked_organisation("crew", &["k1"], Some(0))
        .ranked_organisation("guests", &["k2"], Some(4));
    let cut_platform = CutPlatform::start_on(&document).await;
    let _other = cut_platform.start_other_ingress("i2").await;
    cut_platform.cut(Cut::Refused);
    let ingress = &cut_platform.platform.ingress;
    served(ingress, "GET", "/read/").await;
    let cases = [
        ("ranked-1", "/buy/", "k1", "0"),
        ("ranked-2", "/buy/", "k2", "2"),
        ("ranked-3", "/read/", "-", "3"),
    ];
    for (id, path, key, rank) in cases {
        let headers = [
            ("x-toucanshelf-request-id", id),
            ("x-toucanshelf-request-priority", "1"),
            ("api-key", key),
        ];
        let response = call_ingress(ingress, "GET", path, &headers).await;
        assert_eq!(response.status, 200, "{id}");
        let targets = cut_platform.targets.iter();
        let received = targets.flat_map(Target::received_requests);
        let ranks: Vec<_> = received
            .filter(|req| req.header("x-toucanshelf-request-id") == id)
            .map(|req| req.header("x-toucanshelf-request-priority").to_owned())
            .collect();
        assert_eq!(ranks, [rank], "{id}");
    }
}

/// Guards against streams that end with the connections of their ingress, or repeat events.
#[tokio::test(flavor = "multi_thread")]
async fn stream_silent_since_cut() {
    let first = &["id: 1\ndata: x\n\n"];
    let rest = &["id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"];
    let script = [TargetAction::Hang(first), TargetAction::Stream(rest)];
    let engines = CutEngines::start(script).await;
    CutEngines::wait_for_route(&engines.platform.ingress).await;
    let other = start_ingress("i2", &engines.platform.control).await;
    CutEngines::wait_for_route(&other).await;
    let ingress = &engines.platform.ingress;
    let isolate = async {
        while engines.engine.received_requests().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        engines.isolate(Cut::Refused).await;
    };
    let (response, ()) = tokio::join!(call(ingress, "POST", "/draft/"), isolate);
    assert!(response.is_complete);
    assert_eq!(response.body, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    let resumed = &engines.engine.received_requests()[1];
    assert_eq!(resumed.header("last-event-id"), "1");
}

/// Sends a stream to an ingress that is cut off once the engine has the request.
///
/// The cut is silent, so that nothing shows whether the engine still runs the request. Another
/// ingress reaches the engine. Returns the response and the engines.
async fn stream_during_silent_cut(
    path: &str,
    script: &[TargetAction],
    has_budget: bool,
) -> (CallerResponse, CutEngines) {
    let engines = CutEngines::start(script.iter().cloned()).await;
    let ingress = &engines.platform.ingress;
    CutEngines::wait_for_route(ingress).await;
    let other = start_ingress("i2", &engines.platform.control).await;
    CutEngines::wait_for_route(&other).await;
    let isolate = async {
        while engines.engine.received_requests().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        while !has_budget && ingress.shared().take_repeat("model") {}
        engines.isolate(Cut::Hanging).await;
    };
    let (response, ()) = tokio::join!(call(ingress, "POST", path), isolate);
    (response, engines)
}

/// Guards against more runs than the route allows because each ingress counts its own ones only.
///
/// The first ingress runs the stream once and relays it; the relay may run it once more.
#[tokio::test(flavor = "multi_thread")]
async fn runs_counted_over_ingresses() {
    let script = [
        TargetAction::Hang(&["id: 1\n\n"]),
        TargetAction::Break(&["id: 2\n\n"]),
        TargetAction::Break(&["id: 3\n\n"]),
        TargetAction::Break(&[]),
    ];
    let (response, engines) = stream_during_silent_cut("/draft/", &script, true).await;
    assert!(!response.is_complete);
    let runs = engines.engine.received_requests().len();
    assert_eq!(runs, 2, "the route allows two runs");
}

/// Guards against repeated sends beyond the budget when stalled streams move to other ingresses.
#[tokio::test(flavor = "multi_thread")]
async fn relayed_stall_needs_budget() {
    let script = [TargetAction::Hang(&["id: 1\n\n"])];
    let (response, engines) = stream_during_silent_cut("/draft/", &script, false).await;
    assert!(!response.is_complete);
    assert_eq!(engines.engine.received_requests().len(), 1);
}

/// Guards against a second run of a stream that can't be resumed, and against a false "not run".
#[tokio::test(flavor = "multi_thread")]
async fn unresumable_stream_sent_once() {
    let (response, engines) =
        stream_during_silent_cut("/once/", &[TargetAction::Hang(&[])], true).await;
    assert_eq!(engines.engine.received_requests().len(), 1);
    assert!(
        [502, 504].contains(&response.status),
        "the engine may have run it, so the status {} must not deny that",
        response.status
    );
}

/// Sends a stream to an isolated ingress, beside others that reach the engine.
///
/// Returns the response and the number of runs.
async fn relayed_stream(script: &[TargetAction], other_names: &[&str]) -> (CallerResponse, usize) {
    relayed_stream_with(script, other_names, &[]).await
}

/// Does the same with an engine that adds `headers` to its answers.
pub async fn relayed_stream_with(
    script: &[TargetAction],
    other_names: &[&str],
    headers: &[(&'static str, &'static str)],
) -> (CallerResponse, usize) {
    let engines = CutEngines::start(script.iter().cloned()).await;
    for (name, value) in headers {
        engines.engine.add_header(name, Some(value));
    }
    let ingress = &engines.platform.ingress;
    CutEngines::wait_for_route(ingress).await;
    let control = &engines.platform.control;
    let mut others = Vec::new();
    for name in other_names {
        let other = start_ingress(name, control).await;
        CutEngines::wait_for_route(&other).await;
        others.push(other);
    }
    engines.isolate(Cut::Hanging).await;
    let relays_known = async {
        let mut known = Vec::new();
        while known.len() < other_names.len() {
            if let Some(address) = ingress.shared().relays.choose(&known) {
                known.push(address);
            } else {
                known.clear();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, relays_known)
        .await
        .unwrap();
    let response = call(ingress, "POST", "/draft/").await;
    (response, engines.engine.received_requests().len())
}

/// Guards against an ingress that knows no other one when it loses its targets and control at once.
#[tokio::test(flavor = "multi_thread")]
async fn relays_known_in_advance() {
    let cut_platform = CutPlatform::start().await;
    let _other = cut_platform.start_other_ingress("i2").await;
    let shared = cut_platform.platform.ingress.shared();
    let known = async {
        while shared.relays.choose(&[]).is_none() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let known = tokio::time::timeout(WAIT_TIMEOUT, known).await;
    assert!(known.is_ok(), "no target has failed, and no probe was made");
}

/// Guards against a relay that attracts most requests because it refuses them at once.
#[tokio::test]
async fn refusing_relay_chosen_last() {
    let relays = Relays::default();
    let addresses = [1, 2, 3].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    relays.update(addresses.to_vec());
    relays.record_refusal(addresses[0]);
    relays.record_refusal(addresses[1]);
    for _ in 0..32 {
        assert_eq!(relays.choose(&[]), Some(addresses[2]));
    }
    assert!(relays.choose(&[addresses[2]]).is_some(), "the last resort");
}

/// Guards against a relayed stream that is cut although another run is allowed.
#[tokio::test(flavor = "multi_thread")]
async fn relayed_stream_breaks_once() {
    let script = [
        TargetAction::Break(&["id: 1\n\n"]),
        TargetAction::Stream(&["id: 2\n\n"]),
    ];
    for other_names in [&["i2", "i3"][..], &["i2"]] {
        let (response, runs) = relayed_stream(&script, other_names).await;
        assert!(response.is_complete, "{other_names:?}");
        assert_eq!((&*response.body, runs), ("id: 1\n\nid: 2\n\n", 2));
        assert!(!response.headers.contains_key("toucanshelf-relay-runs"));
    }
}

/// Guards against runs beyond the limit when stream after stream breaks off at relays.
#[tokio::test(flavor = "multi_thread")]
async fn relayed_stream_breaks_again() {
    let broken = |events: &'static [&'static str]| TargetAction::Break(events);
    let script = [
        broken(&["id: 1\n\n"]),
        broken(&["id: 2\n\n"]),
        broken(&["id: 3\n\n"]),
        broken(&["id: 4\n\n"]),
    ];
    let (response, runs) = relayed_stream(&script, &["i2", "i3"]).await;
    assert!(!response.is_complete);
    assert_eq!(runs, 2, "the route allows two runs");
}
