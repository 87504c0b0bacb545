//! A small platform on loopback: a control instance, an ingress and scripted targets.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use toucanshelf_control::Control;
use toucanshelf_core::deployment::Deployment;
use toucanshelf_ingress::Ingress;
use toucanshelf_link::dialect::Dialect as _;
use toucanshelf_platform::PlatformDialect;
use toucanshelf_runtime::serve::{ConnectionLimits, serve};

const LINK_KEY: &str = "a key for the links of these tests";
const DIGEST: &str = "cadaee6d96cfc6f48b78f8783c9493f48be29ff3e90ac85c219f014cb73b1eae";
/// Time that a state may take to be reached; tests fail only when it never is.
const PATIENCE: Duration = Duration::from_mins(1);

/// Deployment document of the platform.
pub struct DeploymentBuilder {
    version: u64,
    routes: Vec<serde_json::Value>,
    services: Vec<serde_json::Value>,
    organisations: Vec<serde_json::Value>,
}

impl DeploymentBuilder {
    pub fn new(version: u64) -> Self {
        Self {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            organisations: Vec::new(),
        }
        .service("plain")
    }

    fn push_route(
        mut self,
        name: &str,
        host: &str,
        prefix: &str,
        more: &serde_json::Value,
    ) -> Self {
        let mut route = serde_json::json!({
            "name": name, "host": host, "path_prefix": prefix, "kind": "idempotent",
            "timeout_ms": 2000, "slo_ms": 200, "priority": 1, "max_attempts": 2, "public": false
        });
        let fields = more.as_object().unwrap().clone();
        route.as_object_mut().unwrap().extend(fields);
        self.routes.push(route);
        self
    }

    pub fn route(self, name: &str, host: &str, prefix: &str, service: &str) -> Self {
        self.push_route(
            name,
            host,
            prefix,
            &serde_json::json!({ "service": service }),
        )
    }

    pub fn route_of_kind(self, name: &str, prefix: &str, service: &str, kind: &str) -> Self {
        let timeout_ms = if kind == "streaming" { 6_000 } else { 2_000 };
        let more = serde_json::json!({
            "service": service, "kind": kind, "resumable": true, "timeout_ms": timeout_ms
        });
        self.push_route(name, "a.example", prefix, &more)
    }

    pub fn split_route(self, name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Self {
        let split = split.iter();
        let split: Vec<_> = split
            .map(|(service, weight)| serde_json::json!({ "service": service, "weight": weight }))
            .collect();
        self.push_route(name, host, prefix, &serde_json::json!({ "split": split }))
    }

    pub fn service(mut self, name: &str) -> Self {
        self.services
            .push(serde_json::json!({ "name": name, "max_conns": 50 }));
        self
    }

    /// A service whose engines hold the layers of a model of 4 layers.
    pub fn model_service(mut self, name: &str) -> Self {
        self.services.push(serde_json::json!({
            "name": name, "max_conns": 50, "engine": {
                "slots": 8, "kv_token_bytes": 4000.0, "step_ms": 1.0, "per_seq_ms": 0.01,
                "read_per_s": 1000.0, "models": [{ "load_s": 0.1 }], "layers": 4,
                "layer_mb": 10.0, "kinds": [
                    { "name": "card", "size_mb": 30.0, "pace": 1.0, "read_factor": 1.0 }
                ]
            }
        }));
        self
    }

    pub fn organisation(mut self, name: &str, keys: &[&str]) -> Self {
        let organisation = serde_json::json!({ "name": name, "api_keys": keys });
        self.organisations.push(organisation);
        self
    }

    pub fn build(&self) -> String {
        let limits = serde_json::json!({
            "max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000
        });
        let document = serde_json::json!({
            "version": self.version, "routes": self.routes, "services": self.services,
            "limits": limits, "tenants": self.organisations
        });
        document.to_string()
    }
}

pub fn deployment(document: &str) -> Deployment {
    let deployment = PlatformDialect.deployment(document.as_bytes()).unwrap();
    deployment.check().unwrap();
    deployment
}

/// A request as a target has seen it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub method: Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Seen {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }
}

/// What a target does with one request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Answers with this status and body.
    Answer(u16, &'static str),
    /// Says that it has not run the request, naming an engine at fault.
    NotRun(Option<SocketAddr>),
    /// Sends these bytes of a stream, then ends it.
    Stream(&'static [&'static str]),
    /// Sends these bytes of a stream, then breaks the connection off.
    Break(&'static [&'static str]),
    /// Sends these bytes of a stream, then nothing more.
    Hang(&'static [&'static str]),
    /// Sends these bytes of a stream with a pause of 2.2 s before each.
    Pause(&'static [&'static str]),
    /// Answers another request.
    AnswerOther,
}

/// A target that follows a script and answers 200 after its end.
pub struct Target {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    stalled: Arc<Mutex<Option<SocketAddr>>>,
    _stop: watch::Sender<bool>,
}

type TargetBody = BoxBody<Bytes, std::io::Error>;

impl Target {
    pub async fn start(script: impl IntoIterator<Item = Act>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let script = Arc::new(Mutex::new(script.into_iter().collect::<VecDeque<_>>()));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&seen);
        let stalled = Arc::new(Mutex::new(None));
        let at = Arc::clone(&stalled);
        let handler = move |req| {
            let stalled = *at.lock().unwrap();
            act(Arc::clone(&script), Arc::clone(&log), address, stalled, req)
        };
        let (stop, stop_rx) = watch::channel(false);
        tokio::spawn(async move {
            let (_limits, limits) = watch::channel(ConnectionLimits::default());
            serve(listener, limits, stop_rx, handler).await;
        });
        Self {
            address,
            seen,
            stalled,
            _stop: stop,
        }
    }

    /// Makes the target's reports name an engine at which request `r1` stalls.
    pub fn stall_at(&self, address: SocketAddr) {
        *self.stalled.lock().unwrap() = Some(address);
    }

    /// Requests of callers that have arrived.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

async fn act(
    script: Arc<Mutex<VecDeque<Act>>>,
    seen: Arc<Mutex<Vec<Seen>>>,
    address: SocketAddr,
    stalled: Option<SocketAddr>,
    req: Request<Incoming>,
) -> Response<TargetBody> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    // No order is known here; reports tell only what stalls.
    if parts.uri.path().starts_with("/api/") {
        let status = if parts.method == Method::POST {
            404
        } else {
            200
        };
        let stalled = stalled.iter();
        let stalled: Vec<_> = stalled
            .map(|address| serde_json::json!({ "id": "r1", "address": address }))
            .collect();
        let report = serde_json::json!({ "stalled": stalled }).to_string();
        return respond(status, &HeaderMap::new(), text(report.into()));
    }
    let id = parts.headers.get("x-toucanshelf-request-id").cloned();
    seen.lock().unwrap().push(Seen {
        method: parts.method,
        path: parts.uri.to_string(),
        headers: parts.headers,
        body,
    });
    let act = script.lock().unwrap().pop_front();
    let mut headers = HeaderMap::new();
    if let Some(id) = id {
        headers.insert("x-toucanshelf-request-id", id);
    }
    let seal = format!("sealed-by-{}", address.port());
    headers.insert("x-toucanshelf-response-seal", seal.parse().unwrap());
    match act.unwrap_or(Act::Answer(200, "done")) {
        Act::Answer(status, text) => respond(status, &headers, full(text)),
        Act::NotRun(at_fault) => {
            headers.insert("x-toucanshelf-not-executed", "1".parse().unwrap());
            if let Some(address) = at_fault {
                headers.insert("at-server", address.to_string().parse().unwrap());
            }
            respond(503, &headers, full(""))
        }
        Act::Stream(chunks) => respond(200, &headers, stream(chunks, End::Whole)),
        Act::Break(chunks) => respond(200, &headers, stream(chunks, End::Breaks)),
        Act::Hang(chunks) => respond(200, &headers, stream(chunks, End::Never)),
        Act::Pause(chunks) => respond(200, &headers, stream(chunks, End::Late)),
        Act::AnswerOther => {
            headers.insert("x-toucanshelf-request-id", "another".parse().unwrap());
            respond(200, &headers, full("for another caller"))
        }
    }
}

fn respond(status: u16, headers: &HeaderMap, body: TargetBody) -> Response<TargetBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    *response.headers_mut() = headers.clone();
    response
}

fn full(content: &'static str) -> TargetBody {
    text(Bytes::from_static(content.as_bytes()))
}

fn text(content: Bytes) -> TargetBody {
    let body = Full::new(content);
    body.map_err(|never: Infallible| match never {}).boxed()
}

/// How a stream ends.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Whole,
    Late,
    Breaks,
    Never,
}

fn stream(chunks: &'static [&'static str], end: End) -> TargetBody {
    let good = chunks
        .iter()
        .map(|chunk| Ok(Frame::data(Bytes::from_static(chunk.as_bytes()))));
    let cut = (end == End::Breaks).then(|| Err(std::io::Error::other("breaks off")));
    let chunks: Vec<_> = good.chain(cut).collect();
    // A pause lets what was sent leave before the connection breaks.
    let pause = Duration::from_millis(if end == End::Late { 2_200 } else { 5 });
    let chunks = futures_util::stream::iter(chunks).then(move |chunk| async move {
        tokio::time::sleep(pause).await;
        chunk
    });
    let silence = futures_util::stream::pending().take(usize::from(end == End::Never));
    let chunks = chunks.chain(silence);
    let body = StreamBody::new(SyncStream(Mutex::new(Box::pin(chunks))));
    BoxBody::new(body)
}

type Chunks =
    std::pin::Pin<Box<dyn futures_util::Stream<Item = std::io::Result<Frame<Bytes>>> + Send>>;

/// A stream that may be shared between threads.
struct SyncStream(Mutex<Chunks>);

impl futures_util::Stream for SyncStream {
    type Item = std::io::Result<Frame<Bytes>>;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.get_mut().0.get_mut().unwrap().poll_next_unpin(cx)
    }
}

/// A whole answer; the body is cut where the connection broke off.
#[derive(Debug)]
pub struct Got {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
    pub whole: bool,
}

/// Sends one request on a connection of its own.
pub async fn send(address: SocketAddr, request: Request<String>) -> Got {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let request = request.map(|body| Full::new(Bytes::from(body)));
    let (parts, mut body) = sender.send_request(request).await.unwrap().into_parts();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            whole = false;
            break;
        };
        bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
    }
    Got {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: String::from_utf8(bytes).unwrap(),
        whole,
    }
}

/// A control instance and an ingress in one process.
pub struct Platform {
    pub control: Control,
    pub ingress: Ingress,
    _folder: tempfile::TempDir,
}

impl Platform {
    /// Starts both, puts `document` and registers targets by service.
    pub async fn start(document: &str, targets: &[(&str, &Target)]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let settings = format!(
            "name = '127.0.0.1'\nzone = 'z'\nlisten = '127.0.0.1:0'\nlink-listen = '127.0.0.1:0'\n\
             link-key = '{LINK_KEY}'\ndata-folder = '{}'\noperator-token-digests = ['{DIGEST}']\n\
             [deployment]\nlisten = '127.0.0.1:0'\nseeds = ['127.0.0.1:0']\nbootstrap = true\n\
             tolerated-losses = 0\n",
            folder.path().display()
        );
        let settings = toucanshelf_runtime::settings::parse("control.toml", &settings).unwrap();
        let dialect = Arc::new(PlatformDialect);
        let control = Control::start_with_dialect(settings, Some(dialect.clone()));
        let control = control.await.unwrap();
        let settings = format!(
            "name = 'i1'\nzone = 'z'\nlisten = '127.0.0.1:0'\nready-listen = '127.0.0.1:0'\n\
             metrics-listen = '127.0.0.1:0'\nlink-key = '{LINK_KEY}'\nseeds = ['127.0.0.1:1']\n\
             link-port = {}\nrepeat-slack = 100.0\n",
            control.link_address().port()
        );
        let settings = toucanshelf_runtime::settings::parse("ingress.toml", &settings).unwrap();
        let ingress = Ingress::start(settings, dialect).await.unwrap();
        let platform = Self {
            control,
            ingress,
            _folder: folder,
        };
        let put = async {
            while platform.put(document).await != 200 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(PATIENCE, put).await.unwrap();
        for (n, (service, target)) in targets.iter().enumerate() {
            let beat = serde_json::json!({
                "service": service, "address": target.address, "zone": "z", "version": "v1",
                "slots": 8, "state": "ready", "seq": 1, "born": 1000 + n
            });
            assert_eq!(platform.beat(&format!("t{n}"), &beat).await, 200);
        }
        platform.in_step().await;
        platform
    }

    pub fn calls(&self) -> SocketAddr {
        self.control.platform_address().unwrap()
    }

    /// Puts a deployment; returns the status.
    pub async fn put(&self, document: &str) -> u16 {
        let request = Request::put("/api/config").header("host", "control");
        send(self.calls(), request.body(document.into()).unwrap())
            .await
            .status
    }

    /// Sends a heartbeat; returns the status.
    pub async fn beat(&self, id: &str, beat: &serde_json::Value) -> u16 {
        let request = Request::put(format!("/api/instances/{id}")).header("host", "control");
        send(self.calls(), request.body(beat.to_string()).unwrap())
            .await
            .status
    }

    /// Waits until the ingress has the deployment that control has.
    pub async fn in_step(&self) {
        let shared = self.ingress.shared();
        let wait = async {
            while shared.version() != self.control.shared().driver.state().deployment_version() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(PATIENCE, wait).await.unwrap();
    }

    /// Sends a caller's request.
    pub async fn call(&self, method: &str, path: &str, headers: &[(&str, &str)]) -> Got {
        let mut request = Request::builder().method(method).uri(path);
        request = request.header("host", "a.example");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = if method == "POST" { "body" } else { "" };
        send(self.ingress.address(), request.body(body.into()).unwrap()).await
    }
}
