//! Tests of how a deployment reaches the ingresses: its cost, and requests that get no answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use toucanshelf_coordination::replica::ReplicaId;
use toucanshelf_link::frame::Frame;
use toucanshelf_link::handshake::{Hello, SharedKey};
use toucanshelf_link::link;
use toucanshelf_link::pending::PendingHandshakes;

use crate::platform_support::{
    DeploymentBuilder, Platform, WAIT_TIMEOUT, link_key, start_control, start_linked_ingress,
};

/// Starts a proxy in front of `target` and returns its port and the number of bytes from the target.
async fn counting_proxy(target: SocketAddr) -> (u16, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let bytes = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&bytes);
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(target).await.unwrap();
            let (mut client_rx, mut client_tx) = client.into_split();
            let (server_rx, mut server_tx) = server.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut client_rx, &mut server_tx).await });
            let counter = Arc::clone(&counter);
            tokio::spawn(async move {
                let mut buf = vec![0; 64 * 1024];
                loop {
                    server_rx.readable().await.unwrap();
                    let len = match server_rx.try_read(&mut buf) {
                        Ok(0) => return,
                        Ok(len) => len,
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
                        Err(_) => return,
                    };
                    counter.fetch_add(len as u64, Ordering::Relaxed);
                    let written = tokio::io::AsyncWriteExt::write_all(&mut client_tx, &buf[..len]);
                    if written.await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (port, bytes)
}

/// Returns a deployment of `version` with 3,000 routes and one with the name `version`.
fn large_document(version: u64) -> String {
    let mut document = DeploymentBuilder::new(version);
    for i in 0..3_000 {
        let prefix = format!("/{i}-{}/", i * 7_919 % 3_000);
        document = document.route(&format!("r{i}"), "a.example", &prefix, "plain");
    }
    document
        .route("changed", "a.example", &format!("/v{version}/"), "plain")
        .build()
}

/// Guards against deployments that arrive late because each change is sent as a whole document.
///
/// All ingresses receive each version. If its size follows the document instead of the change, the
/// links of the control instances are busy for seconds.
#[tokio::test(flavor = "multi_thread")]
async fn change_of_large_deployment() {
    let (control, folder) = start_control().await;
    let (port, bytes) = counting_proxy(control.link_address()).await;
    let ingress = start_linked_ingress("i1", &["127.0.0.1"], port).await;
    let platform = Platform::with_ingress(control, folder, ingress, &large_document(1), &[]).await;
    let before = bytes.load(Ordering::Relaxed);
    let changed = large_document(2);
    assert_eq!(platform.put_deployment(&changed).await, 200);
    platform.wait_until_in_sync().await;
    assert_eq!(platform.ingress.shared().version(), Some(2));
    let sent = bytes.load(Ordering::Relaxed) - before;
    let limit = changed.len() as u64 / 10;
    assert!(sent < limit, "{sent} bytes for one route, limit {limit}");
}

/// A control instance that announces version 1 once, on each link, and answers nothing.
///
/// It sends its address to `requests` when an ingress requests the deployment.
async fn silent_control(
    ip: &str,
    port: u16,
    requests: mpsc::UnboundedSender<SocketAddr>,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, port)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, mut links) = mpsc::channel(4);
    let hello = Hello::for_control(ip, "z", ReplicaId(1));
    let key = SharedKey::new(link_key()).unwrap();
    tokio::spawn(link::serve(
        listener,
        hello,
        key,
        PendingHandshakes::new(8),
        tx,
    ));
    tokio::spawn(async move {
        while let Some(mut link) = links.recv().await {
            let members = serde_json::json!({ "Members": { "links": [], "ingress_zones": ["z"] } });
            let mut buf = Vec::new();
            ciborium::into_writer(&members, &mut buf).unwrap();
            let members = ciborium::from_reader(&*buf).unwrap();
            link.tx.send(members).await.unwrap();
            link.tx
                .send(Frame::DeploymentHead { version: 1 })
                .await
                .unwrap();
            let requests = requests.clone();
            tokio::spawn(async move {
                // The link closes once its sender is dropped.
                let _tx = link.tx;
                while let Some(frame) = link.rx.recv().await {
                    if matches!(frame, Frame::FetchDeployment) {
                        let _ = requests.send(address);
                    }
                }
            });
        }
    });
    address
}

/// Guards against an ingress that keeps an old deployment after an unanswered request.
///
/// The instance that was asked may be cut off. The ingress must then ask another one by itself,
/// rather than when a version is announced the next time.
#[tokio::test(flavor = "multi_thread")]
async fn unanswered_request() {
    let (tx, mut requests) = mpsc::unbounded_channel();
    let first = silent_control("127.0.0.1", 0, tx.clone()).await;
    silent_control("127.0.0.2", first.port(), tx).await;
    let _ingress = start_linked_ingress("i1", &["127.0.0.1", "127.0.0.2"], first.port()).await;
    let both = async {
        let first = requests.recv().await.unwrap();
        while requests.recv().await.unwrap() == first {}
    };
    // The silent instances never announce the version again.
    tokio::time::timeout(WAIT_TIMEOUT, both)
        .await
        .expect("the ingress asks the other control instance");
}
