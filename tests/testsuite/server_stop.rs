//! Tests of a server that stops while requests arrive.
//!
//! Guards against requests that are sent before a server stops and cut off without an answer.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use toucanshelf_runtime::serve::{ConnectionLimits, serve};

/// Callers of a test.
const CALLERS: usize = 32;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a.example\r\n\r\n";

/// Starts a server that answers each request at once, on the thread of the test.
async fn start(stop: watch::Receiver<bool>) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler =
        |_: Request<Incoming>| async { Response::new(Full::new(Bytes::from_static(b"answer"))) };
    let server = tokio::spawn(async move {
        let (_limits, limits) = watch::channel(ConnectionLimits::default());
        serve(listener, limits, stop, handler).await;
    });
    (address, server)
}

/// Returns how many connections end after a whole answer.
fn count_answers(callers: Vec<TcpStream>) -> usize {
    let answered = callers.into_iter().filter_map(|mut caller| {
        let mut response = String::new();
        caller.read_to_string(&mut response).ok()?;
        response.ends_with("answer").then_some(())
    });
    answered.count()
}

#[tokio::test]
async fn connections_that_wait_to_be_accepted() {
    let (stop, stop_rx) = watch::channel(false);
    let (address, server) = start(stop_rx).await;
    // The server doesn't run until the test waits for it.
    let connect = |_| {
        let mut caller = TcpStream::connect(address).unwrap();
        caller.write_all(REQUEST).unwrap();
        caller
    };
    let callers: Vec<_> = (0..CALLERS).map(connect).collect();
    stop.send_replace(true);
    server.await.unwrap();
    assert_eq!(count_answers(callers), CALLERS);
}

#[tokio::test]
async fn requests_on_kept_connections() {
    let (stop, stop_rx) = watch::channel(false);
    let (address, server) = start(stop_rx).await;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let caller = tokio::task::spawn_blocking(move || {
            let mut caller = TcpStream::connect(address).unwrap();
            caller.write_all(REQUEST).unwrap();
            let mut response = Vec::new();
            while !response.ends_with(b"answer") {
                let mut buf = [0; 512];
                let len = caller.read(&mut buf).unwrap();
                assert_ne!(len, 0, "the connection is kept");
                response.extend_from_slice(&buf[..len]);
            }
            caller
        });
        callers.push(caller.await.unwrap());
    }
    for caller in &mut callers {
        caller.write_all(REQUEST).unwrap();
    }
    stop.send_replace(true);
    server.await.unwrap();
    assert_eq!(count_answers(callers), CALLERS);
}

/// The server knows the connection, but no byte of its request.
#[tokio::test]
async fn first_request_on_its_way() {
    let (stop, stop_rx) = watch::channel(false);
    let (address, server) = start(stop_rx).await;
    let mut callers: Vec<_> = (0..CALLERS)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    let run_server = async || {
        for _ in 0..2 * CALLERS {
            tokio::task::yield_now().await;
        }
    };
    run_server().await;
    stop.send_replace(true);
    run_server().await;
    for caller in &mut callers {
        caller.write_all(REQUEST).unwrap();
    }
    server.await.unwrap();
    assert_eq!(count_answers(callers), CALLERS);
}
