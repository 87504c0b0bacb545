//! Announcements of a stand-in to the gates.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use tokio::sync::watch;
use toucanshelf_core::target::{Announcement, TargetPhase};

/// Time between announcements when no gate has answered yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a gate counts as out of reach.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
struct Lease {
    renew_after_ms: u64,
}

/// Announces to any of the gates and renews the lease until `phase` is closed.
pub async fn announce(
    announcement: Announcement,
    gates: Vec<SocketAddr>,
    token: Box<str>,
    mut phase: watch::Receiver<TargetPhase>,
) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut turn = announcement.incarnation.0 as usize;
    loop {
        let mut current = announcement.clone();
        current.phase = *phase.borrow_and_update();
        let gate = gates[turn % gates.len()];
        let wait = if let Some(lease) = post(&client, gate, &current, &token).await {
            Duration::from_millis(lease.renew_after_ms)
        } else {
            turn += 1;
            RETRY_INTERVAL
        };
        if let Ok(Err(_)) = tokio::time::timeout(wait, phase.changed()).await {
            return;
        }
    }
}

async fn post(
    client: &Client<HttpConnector, Full<Bytes>>,
    gate: SocketAddr,
    announcement: &Announcement,
    token: &str,
) -> Option<Lease> {
    let body = serde_json::to_vec(announcement).expect("announcements are serialisable");
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{gate}/v1/targets/announce"))
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(body.into()))
        .expect("the gate's address makes a valid request");
    let exchange = async {
        let response = client.request(request).await.ok()?;
        let ok = response.status().is_success();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        if !ok {
            let answer = String::from_utf8_lossy(&body);
            tracing::warn!(event = "TS9001", %gate, %answer, "announcement refused");
            return None;
        }
        serde_json::from_slice(&body).ok()
    };
    tokio::time::timeout(REQUEST_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}
