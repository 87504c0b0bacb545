//! Tests of the responses to request bodies that an ingress doesn't read in full.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;
use toucanshelf_ingress::Ingress;
use toucanshelf_platform::PlatformDialect;

use crate::platform_support::{
    DeploymentBuilder, Platform, Target, WAIT_TIMEOUT, ingress_settings_text, start_control,
};

const LARGE: usize = 4 << 20;

fn document() -> DeploymentBuilder {
    DeploymentBuilder::new(1)
        .max_body_bytes(LARGE)
        .route("read", "a.example", "/read/", "plain")
}

/// Sends a request head and a part of its body, and returns the response.
///
/// The connection stays open until the ingress closes it.
async fn response_to(address: SocketAddr, headers: &str, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("POST /read/ HTTP/1.1\r\nhost: a.example\r\n{headers}\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    let mut response = Vec::new();
    let end = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut response)).await;
    assert!(end.is_ok(), "the connection was not closed");
    String::from_utf8(response).unwrap()
}

fn assert_refused(response: &str, status: u16, target: &Target) {
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")),
        "{response}"
    );
    assert!(response.contains("connection: close"), "{response}");
    assert!(target.received_requests().is_empty());
}

#[tokio::test]
async fn announced_too_large() {
    let target = Target::start([]).await;
    let platform = Platform::start(&document().build(), &[("plain", &target)]).await;
    let headers = format!("content-length: {}\r\n", LARGE + 1);
    let response = response_to(platform.ingress.address(), &headers, b"").await;
    assert_refused(&response, 413, &target);
}

/// Guards against a response that is lost because the connection closes with unread bytes.
#[tokio::test]
async fn sent_too_large() {
    let target = Target::start([]).await;
    let platform = Platform::start(&document().build(), &[("plain", &target)]).await;
    let len = 2 * LARGE;
    let mut body = format!("{len:x}\r\n").into_bytes();
    body.resize(body.len() + len, b'x');
    body.extend_from_slice(b"\r\n0\r\n\r\n");
    let headers = "transfer-encoding: chunked\r\n";
    let response = response_to(platform.ingress.address(), headers, &body).await;
    assert_refused(&response, 413, &target);
}

#[tokio::test]
async fn stopped_before_its_end() {
    let target = Target::start([]).await;
    let document = document().idle_timeout_ms(300).build();
    let platform = Platform::start(&document, &[("plain", &target)]).await;
    let headers = "content-length: 9\r\n";
    let response = response_to(platform.ingress.address(), headers, b"not all").await;
    assert_refused(&response, 408, &target);
}

#[tokio::test]
async fn slower_than_the_deadline() {
    let target = Target::start([]).await;
    let platform = Platform::start(&document().build(), &[("plain", &target)]).await;
    let headers = "content-length: 9\r\nx-toucanshelf-deadline-ms: 300\r\n";
    let response = response_to(platform.ingress.address(), headers, b"not all").await;
    assert_refused(&response, 408, &target);
}

#[tokio::test]
async fn no_memory() {
    let target = Target::start([]).await;
    let (control, folder) = start_control().await;
    let text = ingress_settings_text("i1", &["127.0.0.1"], control.link_address().port());
    let text = format!("{text}body-memory-bytes = 1048576\n");
    let settings = toucanshelf_runtime::settings::parse("ingress.toml", &text).unwrap();
    let ingress = Ingress::start(settings, std::sync::Arc::new(PlatformDialect));
    let ingress = ingress.await.unwrap();
    let targets = [("plain", &target)];
    let platform =
        Platform::with_ingress(control, folder, ingress, &document().build(), &targets).await;
    let headers = format!("content-length: {LARGE}\r\n");
    let body = vec![b'x'; LARGE];
    let response = response_to(platform.ingress.address(), &headers, &body).await;
    assert_refused(&response, 503, &target);
    assert!(response.contains("retry-after: 1.00"), "{response}");
    assert_eq!(platform.ingress.shared().bodies.used_bytes(), 0);
}

/// Guards against memory that stays reserved after its request has ended.
#[tokio::test]
async fn memory_given_back() {
    let target = Target::start([]).await;
    let platform = Platform::start(&document().build(), &[("plain", &target)]).await;
    for len in [1, 70_000, LARGE] {
        let headers = format!("content-length: {len}\r\nconnection: close\r\n");
        let body = vec![b'x'; len];
        let response = response_to(platform.ingress.address(), &headers, &body).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        let received = target.received_requests().pop().unwrap();
        assert!(received.body == body, "the body has changed");
    }
    let released = async {
        while platform.ingress.shared().bodies.used_bytes() > 0 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, released).await.unwrap();
}
