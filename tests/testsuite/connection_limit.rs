//! Tests of a server that has more connections than it may keep.
//!
//! Guards against callers that are refused because others keep connections that they don't use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{Empty, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use toucanshelf_runtime::connections::Connections;
use toucanshelf_runtime::serve::{ConnectionLimits, serve_bounded};

use crate::platform_support::WAIT_TIMEOUT;

const MAX_CONNECTIONS: usize = 3;

/// A server that answers `/now` at once, and `/wait` when the test allows it.
struct Server {
    address: SocketAddr,
    /// Requests for `/wait` that have arrived.
    arrived: Arc<Semaphore>,
    /// Requests for `/wait` that may be answered.
    allowed: Arc<Semaphore>,
    /// The server stops when this is dropped.
    _stop: watch::Sender<bool>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let [arrived, allowed] = [0, 0].map(|count| Arc::new(Semaphore::new(count)));
        let (stop, stop_rx) = watch::channel(false);
        let semaphores = (Arc::clone(&arrived), Arc::clone(&allowed));
        let handler = move |req: Request<Incoming>| {
            let (arrived, allowed) = semaphores.clone();
            async move {
                if req.uri().path() == "/wait" {
                    arrived.add_permits(1);
                    allowed.acquire().await.unwrap().forget();
                }
                Response::new(Full::new(Bytes::from_static(b"{}")))
            }
        };
        tokio::spawn(async move {
            let (_limits, limits) = watch::channel(ConnectionLimits::default());
            let table = Connections::with_excess(MAX_CONNECTIONS);
            serve_bounded(listener, limits, table, stop_rx, handler).await;
        });
        Self {
            address,
            arrived,
            allowed,
            _stop: stop,
        }
    }

    async fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.address).await.unwrap();
        let (tx, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        Caller { tx }
    }
}

/// A caller that keeps its connection.
struct Caller {
    tx: SendRequest<Empty<Bytes>>,
}

impl Caller {
    /// Returns whether a request for `path` is answered.
    async fn call(&mut self, path: &str) -> bool {
        let req = Request::get(path).header("host", "a.example");
        let req = req.body(Empty::new()).unwrap();
        self.tx.ready().await.is_ok() && self.tx.send_request(req).await.is_ok()
    }

    async fn wait_until_closed(&self) {
        let closed = async {
            while !self.tx.is_closed() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, closed).await.unwrap();
    }
}

#[tokio::test]
async fn oldest_idle_closes() {
    let server = Server::start().await;
    let mut callers = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut caller = server.connect().await;
        assert!(caller.call("/now").await);
        callers.push(caller);
    }
    assert!(callers[0].call("/now").await);
    let mut new = server.connect().await;
    assert!(new.call("/now").await);
    callers[1].wait_until_closed().await;
    for caller in [&mut new, &mut callers[0]] {
        assert!(caller.call("/now").await);
    }
    assert!(callers[2].call("/now").await);
}

#[tokio::test]
async fn busy_connections_stay() {
    let server = Server::start().await;
    let mut busy = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut caller = server.connect().await;
        busy.push(tokio::spawn(async move { caller.call("/wait").await }));
    }
    let all = server.arrived.acquire_many(MAX_CONNECTIONS as u32);
    let all = tokio::time::timeout(WAIT_TIMEOUT, all).await.unwrap();
    all.unwrap().forget();
    let mut new = server.connect().await;
    assert!(new.call("/now").await, "a caller above the limit is served");
    server.allowed.add_permits(MAX_CONNECTIONS);
    for caller in busy {
        assert!(caller.await.unwrap());
    }
}

/// Guards against a server that closes the connections of its latest callers.
#[tokio::test]
async fn every_caller_is_answered() {
    let server = Server::start().await;
    let mut callers = Vec::new();
    for n in 0..20 * MAX_CONNECTIONS {
        let mut caller = server.connect().await;
        assert!(caller.call("/now").await, "caller {n}");
        callers.push(caller);
    }
    let kept = callers.split_off(callers.len() - MAX_CONNECTIONS);
    for caller in callers {
        caller.wait_until_closed().await;
    }
    assert!(kept.iter().all(|caller| !caller.tx.is_closed()));
}
