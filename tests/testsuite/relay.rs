//! Tests of an ingress that can't reach any target while another one can.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use tokio::net::TcpStream;
use toucanshelf_ingress::Ingress;
use toucanshelf_ingress::pool::{Connector, TcpConnector};

use crate::platform_support::{
    CallerResponse, DeploymentBuilder, Platform, Target, TargetAction, WAIT_TIMEOUT, call_ingress,
    start_control, start_ingress, start_ingress_with_connector,
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
}

impl CutConnector {
    fn cut(&self, cut: Cut, targets: &[SocketAddr]) {
        *self.cut.lock().unwrap() = Some((cut, targets.iter().copied().collect()));
    }

    fn heal(&self) {
        *self.cut.lock().unwrap() = None;
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
            _ => TcpConnector.connect(address),
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
        let targets = [Target::start([]).await, Target::start([]).await];
        let document = DeploymentBuilder::new(1)
            .route("read", "a.example", "/read/", "plain")
            .route_of_kind("book", "/book/", "plain", "non_idempotent")
            .build();
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
    async fn start_other_ingress(&self) -> Ingress {
        let other = start_ingress("i2", &self.platform.control).await;
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
    let _other = cut_platform.start_other_ingress().await;
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

/// Guards against streams that an isolated ingress refuses, or passes on in part.
#[tokio::test(flavor = "multi_thread")]
async fn stream_with_connections_refused() {
    let events = &["id: 1\ndata: x\n\n", "id: 2\n\n"];
    let engine = Target::start([TargetAction::Stream(events), TargetAction::Stream(events)]).await;
    let later = Target::start([]).await;
    let addresses = [engine.address, later.address];
    let document = DeploymentBuilder::new(1)
        .model_service("model")
        .route_of_kind("draft", "/draft/", "model", "streaming");
    let (control, folder) = start_control().await;
    let connector = CutConnector::default();
    let ingress = start_ingress_with_connector("i1", &control, connector.clone()).await;
    let platform = Platform::with_ingress(control, folder, ingress, &document.build(), &[]).await;
    for (n, address) in addresses.iter().enumerate() {
        platform
            .register_engine(
                &format!("e{n}"),
                *address,
                "z",
                2 * n as u32..2 * n as u32 + 2,
            )
            .await;
    }
    let other = start_ingress("i2", &platform.control).await;
    served(&other, "POST", "/draft/").await;
    connector.cut(Cut::Refused, &addresses);
    let response = served(&platform.ingress, "POST", "/draft/").await;
    assert!(response.is_complete);
    assert_eq!(response.body, "id: 1\ndata: x\n\nid: 2\n\n");
}
