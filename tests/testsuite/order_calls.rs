//! Test of a leader that orders many engines at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use toucanshelf_control::directory::orders::MAX_CONCURRENT_CALLS;

use crate::platform_support::{DeploymentBuilder, Platform, WAIT_TIMEOUT};

const ENGINES: usize = MAX_CONCURRENT_CALLS + 40;

/// Time that an engine takes to answer, in which the leader calls as many others as it may.
const ANSWER_DELAY: Duration = Duration::from_millis(50);
const ACCEPTED: &[u8] = b"HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";

/// Calls to engines that accept each order.
#[derive(Default)]
struct Calls {
    open: AtomicUsize,
    most_open: AtomicUsize,
    all: AtomicUsize,
}

impl Calls {
    async fn accept(&self, listener: TcpListener) {
        while let Ok((mut stream, _)) = listener.accept().await {
            let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
            self.most_open.fetch_max(open, Ordering::SeqCst);
            self.all.fetch_add(1, Ordering::SeqCst);
            let _ = stream.read(&mut [0; 4_096]).await;
            tokio::time::sleep(ANSWER_DELAY).await;
            // The call counts until the leader may know that it has ended.
            self.open.fetch_sub(1, Ordering::SeqCst);
            let _ = stream.write_all(ACCEPTED).await;
        }
    }
}

/// Guards against a leader that runs out of descriptors at the first placement.
#[tokio::test(flavor = "multi_thread")]
async fn calls_to_many_engines() {
    let document = DeploymentBuilder::new(1).model_service("model").build();
    let platform = Platform::start(&document, &[]).await;
    let calls = Arc::new(Calls::default());
    let mut addresses = Vec::new();
    for _ in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        let calls = Arc::clone(&calls);
        tokio::spawn(async move { calls.accept(listener).await });
    }
    let beats = async {
        let mut sequence = 0;
        while calls.all.load(Ordering::SeqCst) < ENGINES {
            sequence += 1;
            for (n, address) in addresses.iter().enumerate() {
                let heartbeat = serde_json::json!({
                    "service": "model", "address": address, "zone": "z", "version": "v1", "slots": 8,
                    "state": "ready", "cold_left_ms": 0, "seq": sequence, "born": 1000, "kind": "card"
                });
                let status = platform.send_heartbeat(&format!("e{n}"), &heartbeat).await;
                assert_eq!(status, 200);
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, beats).await.unwrap();
    let most_open = calls.most_open.load(Ordering::SeqCst);
    assert!(most_open <= MAX_CONCURRENT_CALLS, "{most_open} at once");
}
