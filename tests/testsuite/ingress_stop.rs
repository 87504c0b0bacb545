//! Tests of the graceful stop of an ingress.

use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::platform_support::{DeploymentBuilder, Platform, Target, TargetAction, WAIT_TIMEOUT};

/// Guards against a request that is read just before the process ends, and cut off.
///
/// While its head arrives, the request isn't counted as in flight yet.
#[tokio::test(flavor = "multi_thread")]
async fn request_head_half_read() {
    let target = Target::start([TargetAction::Answer(200, "answer")]).await;
    let document = DeploymentBuilder::new(1).route("read", "a.example", "/read/", "plain");
    let platform = Platform::start(&document.build(), &[("plain", &target)]).await;
    let address = platform.ingress.address();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let head = b"GET /read/ HTTP/1.1\r\nhost: a.example\r\n";
    caller.write_all(head).await.unwrap();
    let stop = tokio::spawn(platform.ingress.stop());
    let closed = async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, closed).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!stop.is_finished(), "a request is still being read");
    let rest = b"x-toucanshelf-request-id: r1\r\n\r\n";
    caller.write_all(rest).await.unwrap();
    let mut response = String::new();
    caller.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with("answer"), "{response}");
    tokio::time::timeout(WAIT_TIMEOUT, stop)
        .await
        .expect("the stop ends with the last connection")
        .unwrap();
}
