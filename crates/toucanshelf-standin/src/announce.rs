//! Announces a stand-in to the gates and renews its lease.
//!
//! A gate that accepts an announcement gives the target a lease. It counts the target as lost when
//! the lease expires, so the target renews the lease by announcing itself again.

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

/// Time to wait after a failed announcement before the next gate is tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an announcement without a complete response has failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Part of a gate's response to an accepted announcement.
#[derive(Debug, Deserialize)]
struct Lease {
    renew_after_ms: u64,
}

/// Announces a target and renews its lease until the sender of `phase` is dropped.
///
/// All announcements go to the same gate until one fails; the next gate of the list follows. A
/// change of `phase`, the state of the target, is announced at once.
pub async fn announce(
    announcement: Announcement,
    gates: Vec<SocketAddr>,
    token: Box<str>,
    mut phase: watch::Receiver<TargetPhase>,
) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut gate_index = announcement.incarnation.0 as usize;
    loop {
        let mut current = announcement.clone();
        current.phase = *phase.borrow_and_update();
        let gate = gates[gate_index % gates.len()];
        let wait = if let Some(lease) = send_announcement(&client, gate, &current, &token).await {
            Duration::from_millis(lease.renew_after_ms)
        } else {
            gate_index += 1;
            RETRY_INTERVAL
        };
        if let Ok(Err(_)) = tokio::time::timeout(wait, phase.changed()).await {
            return;
        }
    }
}

/// Sends one announcement to a gate and returns the lease.
///
/// Returns `None` if the request fails or the gate refuses it.
async fn send_announcement(
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
        let succeeded = response.status().is_success();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        if !succeeded {
            let answer = String::from_utf8_lossy(&body);
            tracing::warn!(event = "TS9001", %gate, %answer, "gate refused the announcement");
            return None;
        }
        serde_json::from_slice(&body).ok()
    };
    tokio::time::timeout(REQUEST_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}
