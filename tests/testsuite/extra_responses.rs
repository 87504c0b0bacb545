//! Tests of targets that send an extra response of an earlier request where the next one is expected.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};

use crate::ingress::{model_document, with_engines_at};
use crate::platform_support::{CallerResponse, DeploymentBuilder, Platform, Target};
use crate::raw_target::{header, read_request};

/// Requests that each target has run.
type Runs = Arc<Mutex<Vec<Box<str>>>>;

/// Starts a target that keeps its connections open.
///
/// From the second request on a connection, it first repeats the identifier of the one before in a
/// response with `status`, which says that it has not run.
async fn start_target(status: &'static str, runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::clone(runs);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, status, Arc::clone(&runs)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, status: &'static str, runs: Runs) {
    let mut previous: Option<Box<str>> = None;
    while let Some(head) = read_request(&mut stream).await {
        if head.contains(" /api/") {
            let rejection = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
            let _ = stream.write_all(rejection).await;
            continue;
        }
        let id: Box<str> = header(&head, "x-toucanshelf-request-id").unwrap().into();
        let extra = previous.replace(id.clone()).map_or(String::new(), |id| {
            format!(
                "HTTP/1.1 {status}\r\nx-toucanshelf-request-id: {id}\r\n\
                 x-toucanshelf-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            )
        });
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-toucanshelf-request-id: {id}\r\n\
             x-toucanshelf-response-seal: s\r\ncontent-length: 7\r\n\r\nid: 1\n\n"
        );
        runs.lock().unwrap().push(id);
        if stream
            .write_all((extra + &answer).as_bytes())
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Sends a request to `path` and then another one, and returns the second's response.
async fn call_twice(platform: &Platform, path: &str) -> CallerResponse {
    let call = async |id| {
        let headers = [("x-toucanshelf-request-id", id)];
        platform.call("POST", path, &headers).await
    };
    assert_eq!(call("r1").await.status, 200);
    call("r2").await
}

fn count(runs: &Runs, id: &str) -> usize {
    let runs = runs.lock().unwrap();
    runs.iter().filter(|run| ***run == *id).count()
}

/// Guards against a second run of a stream that can't be resumed.
#[tokio::test]
async fn unresumable_stream() {
    for status in ["503 Service Unavailable", "421 Misdirected Request"] {
        let runs = Runs::default();
        let engines = [
            start_target(status, &runs).await,
            start_target(status, &runs).await,
            Target::start([]).await.address,
        ];
        let placed = [("z", 0, 2), ("y", 0, 2), ("z", 2, 4)];
        let document = model_document().unresumable_route("once", "/once/", "model");
        let platform = with_engines_at(&document, &engines, &placed).await;
        let response = call_twice(&platform, "/once/").await;
        assert_eq!((response.status, count(&runs, "r2")), (200, 1), "{status}");
    }
}

/// Guards against a run that isn't counted, and against a refusal of a request that has run.
#[tokio::test]
async fn idempotent_request_that_may_run_once() {
    for status in ["503 Service Unavailable", "421 Misdirected Request"] {
        let runs = Runs::default();
        let overrides = serde_json::json!({ "service": "plain", "max_attempts": 1 });
        let document = DeploymentBuilder::new(1).custom_route("read", "/read/", &overrides);
        let platform = Platform::start(&document.build(), &[]).await;
        let address = start_target(status, &runs).await;
        platform.register("t0", "plain", address).await;
        let response = call_twice(&platform, "/read/").await;
        assert_eq!((response.status, count(&runs, "r2")), (502, 1), "{status}");
    }
}
