//! A small platform on loopback: a control instance, an ingress and scripted targets.
//!
//! The targets speak the platform's dialect and answer as each test prescribes.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use toucanshelf_control::Control;
use toucanshelf_coordination::store::{DataFolder, OpenStore};
use toucanshelf_core::deployment::Deployment;
use toucanshelf_ingress::Ingress;
use toucanshelf_ingress::pool::Connector;
use toucanshelf_ingress::settings::IngressSettings;
use toucanshelf_link::dialect::Dialect as _;
use toucanshelf_platform::PlatformDialect;
use toucanshelf_runtime::serve::{ConnectionLimits, serve};

/// Returns the key of the links between control instances and ingresses.
///
/// Another test process has another one, so that no link leads to a process that has taken over a port.
pub fn link_key() -> Box<str> {
    format!("a key for the links of test process {}", std::process::id()).into()
}
/// SHA-256 digest of the operator token `example-operator-token`.
const OPERATOR_TOKEN_DIGEST: &str =
    "cadaee6d96cfc6f48b78f8783c9493f48be29ff3e90ac85c219f014cb73b1eae";
/// Timeout for a state to be reached.
///
/// It is so long that a test fails only if the state is never reached.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Builds a deployment document in the platform's JSON form.
pub struct DeploymentBuilder {
    version: u64,
    routes: Vec<serde_json::Value>,
    services: Vec<serde_json::Value>,
    organisations: Vec<serde_json::Value>,
    /// Largest body of a caller's request, in bytes.
    max_body_bytes: usize,
    /// Time for which a caller's connection may be idle, in milliseconds.
    idle_timeout_ms: u64,
}

impl DeploymentBuilder {
    /// Starts a document with the service `plain`, without routes and organisations.
    pub fn new(version: u64) -> Self {
        Self {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            organisations: Vec::new(),
            max_body_bytes: 65_536,
            idle_timeout_ms: 15_000,
        }
        .service("plain")
    }

    /// Sets the largest body of a caller's request, in bytes.
    pub fn max_body_bytes(mut self, bytes: usize) -> Self {
        self.max_body_bytes = bytes;
        self
    }

    /// Sets the time for which a caller's connection may be idle, in milliseconds.
    pub fn idle_timeout_ms(mut self, ms: u64) -> Self {
        self.idle_timeout_ms = ms;
        self
    }

    /// Adds a route with default settings, which the fields of the object `overrides` replace.
    fn push_route(
        mut self,
        name: &str,
        host: &str,
        prefix: &str,
        overrides: &serde_json::Value,
    ) -> Self {
        let mut route = serde_json::json!({
            "name": name, "host": host, "path_prefix": prefix, "kind": "idempotent",
            "timeout_ms": 2000, "slo_ms": 200, "priority": 1, "max_attempts": 2, "public": false
        });
        let fields = overrides.as_object().unwrap().clone();
        route.as_object_mut().unwrap().extend(fields);
        self.routes.push(route);
        self
    }

    /// Adds a route for the host `a.example`, whose fields `overrides` replaces or adds.
    pub fn custom_route(self, name: &str, prefix: &str, overrides: &serde_json::Value) -> Self {
        self.push_route(name, "a.example", prefix, overrides)
    }

    /// Adds an idempotent route to `service`.
    pub fn route(self, name: &str, host: &str, prefix: &str, service: &str) -> Self {
        self.push_route(
            name,
            host,
            prefix,
            &serde_json::json!({ "service": service }),
        )
    }

    /// Adds a resumable route of `kind` for the host `a.example`.
    ///
    /// A streaming route gets a longer timeout than the others.
    pub fn route_of_kind(self, name: &str, prefix: &str, service: &str, kind: &str) -> Self {
        let timeout_ms = if kind == "streaming" { 6_000 } else { 2_000 };
        self.timed_route(name, prefix, service, kind, timeout_ms)
    }

    /// Adds a resumable route of `kind` for the host `a.example`, with a timeout in milliseconds.
    pub fn timed_route(
        self,
        name: &str,
        prefix: &str,
        service: &str,
        kind: &str,
        timeout_ms: u64,
    ) -> Self {
        let overrides = serde_json::json!({
            "service": service, "kind": kind, "resumable": true, "timeout_ms": timeout_ms
        });
        self.push_route(name, "a.example", prefix, &overrides)
    }

    /// Adds a streaming route for the host `a.example` whose streams can't be resumed.
    pub fn unresumable_route(self, name: &str, prefix: &str, service: &str) -> Self {
        let overrides = serde_json::json!({
            "service": service, "kind": "streaming", "resumable": false, "timeout_ms": 6_000
        });
        self.push_route(name, "a.example", prefix, &overrides)
    }

    /// Adds a route that divides its requests by weight, from `(service, weight)` pairs.
    pub fn split_route(self, name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Self {
        let split = split.iter();
        let split: Vec<_> = split
            .map(|(service, weight)| serde_json::json!({ "service": service, "weight": weight }))
            .collect();
        self.push_route(name, host, prefix, &serde_json::json!({ "split": split }))
    }

    /// Adds a service without a model.
    pub fn service(mut self, name: &str) -> Self {
        self.services
            .push(serde_json::json!({ "name": name, "max_conns": 50 }));
        self
    }

    /// Adds a service whose engines hold layers of a model of 4 layers.
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

    /// Adds an organisation with its API keys.
    pub fn organisation(mut self, name: &str, keys: &[&str]) -> Self {
        let organisation = serde_json::json!({ "name": name, "api_keys": keys });
        self.organisations.push(organisation);
        self
    }

    /// Adds an organisation with its API keys and its priority, which may be absent.
    pub fn ranked_organisation(self, name: &str, keys: &[&str], priority: Option<u8>) -> Self {
        let mut document = self.organisation(name, keys);
        let organisation = document.organisations.last_mut().unwrap();
        if let Some(priority) = priority {
            organisation["priority"] = priority.into();
        }
        document
    }

    /// Returns the document as JSON text.
    pub fn build(&self) -> String {
        let limits = serde_json::json!({
            "max_header_bytes": 16384, "max_body_bytes": self.max_body_bytes,
            "header_timeout_ms": 3000, "idle_timeout_ms": self.idle_timeout_ms
        });
        let document = serde_json::json!({
            "version": self.version, "routes": self.routes, "services": self.services,
            "limits": limits, "tenants": self.organisations
        });
        document.to_string()
    }
}

/// Decodes and checks a deployment document.
pub fn deployment(document: &str) -> Deployment {
    let deployment = PlatformDialect.deployment(document.as_bytes()).unwrap();
    deployment.check().unwrap();
    deployment
}

/// A request as a target received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub method: Method,
    /// Path with the query.
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl ReceivedRequest {
    /// Returns the value of a header, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }
}

/// The way in which a target answers one request.
#[derive(Clone, Debug)]
pub enum TargetAction {
    /// Answers with this status and body.
    Answer(u16, &'static str),
    /// Answers that it has not run the request, and may name the engine at fault.
    NotRun(Option<SocketAddr>),
    /// Sends these chunks of a stream, then ends it properly.
    Stream(&'static [&'static str]),
    /// Sends these chunks of a stream, then aborts the connection.
    Break(&'static [&'static str]),
    /// Sends these chunks of a stream, then nothing more, and keeps the connection open.
    Hang(&'static [&'static str]),
    /// Sends these chunks of a stream, each after a pause, then ends it properly.
    Pause(Duration, &'static [&'static str]),
    /// Sends a response with the identifier of another request.
    AnswerOtherRequest,
}

/// Keeps the port of a target that has ended until the test ends.
///
/// Otherwise a target of another test could listen there and receive this test's requests.
async fn reserve_after(mut stop: watch::Receiver<bool>, address: SocketAddr) {
    if stop.wait_for(|stop| *stop).await.is_ok() {
        reserve_port(address).await;
    }
}

/// Binds a socket to `address` once it is free, and never listens or returns.
pub async fn reserve_port(address: SocketAddr) {
    loop {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        if socket.bind(address).is_ok() {
            let _reserved = socket;
            return std::future::pending().await;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// A target that takes one action of its script per request.
///
/// After the end of the script it answers every request with status 200.
pub struct Target {
    /// Address on which the target listens.
    pub address: SocketAddr,
    received_requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// Answers to the next requests.
    script: Arc<Mutex<VecDeque<TargetAction>>>,
    /// Engine that the target's reports name as the one at which a request stalls.
    stalled: Arc<Mutex<Option<SocketAddr>>>,
    /// Whether the target fails calls for its report.
    hides_reports: Arc<AtomicBool>,
    api: Arc<EngineApi>,
    /// Set to stop the target; dropping the sender stops it as well.
    stop: Arc<watch::Sender<bool>>,
    /// Headers that the target adds to every answer.
    headers: Arc<Mutex<HeaderMap>>,
}

/// State of a target's own API, which takes orders and reports the state of an engine.
#[derive(Default)]
struct EngineApi {
    /// Identity of the engine, which refuses calls for any other one.
    ///
    /// Without it, the target takes all calls and rejects every order.
    id: Mutex<Option<&'static str>>,
    /// Start time that the reports state.
    born: Mutex<Option<u64>>,
    /// Bodies of the orders that the engine has begun.
    orders_begun: Mutex<Vec<Bytes>>,
    /// Number of calls that were for another engine.
    misdirected: AtomicUsize,
}

/// Body of a target's response.
type TargetBody = BoxBody<Bytes, std::io::Error>;

impl Target {
    /// Starts a target with its script.
    pub async fn start(script: impl IntoIterator<Item = TargetAction>) -> Self {
        Self::start_crashing(script, |_| false).await
    }

    /// Starts a target that crashes as it begins to answer a request for which `crashes` holds.
    ///
    /// It sends the head of the response, aborts the connection and accepts no further one.
    pub async fn start_crashing(
        script: impl IntoIterator<Item = TargetAction>,
        crashes: impl Fn(&ReceivedRequest) -> bool + Send + Sync + 'static,
    ) -> Self {
        Self::start_crashing_after(&[], script, crashes).await
    }

    /// Does the same with a target that sends these chunks of a stream before it crashes.
    pub async fn start_crashing_after(
        sent: &'static [&'static str],
        script: impl IntoIterator<Item = TargetAction>,
        crashes: impl Fn(&ReceivedRequest) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let script = Arc::new(Mutex::new(script.into_iter().collect::<VecDeque<_>>()));
        let received_requests = Arc::new(Mutex::new(Vec::new()));
        let handler_requests = Arc::clone(&received_requests);
        let stalled = Arc::new(Mutex::new(None));
        let handler_stalled = Arc::clone(&stalled);
        let (stop, stop_rx) = watch::channel(false);
        let stop = Arc::new(stop);
        let headers = Arc::default();
        let hides_reports = Arc::default();
        let api = Arc::default();
        let behaviour = Arc::new(Behaviour {
            hides_reports: Arc::clone(&hides_reports),
            api: Arc::clone(&api),
            headers: Arc::clone(&headers),
            script: Arc::clone(&script),
            crashes: Box::new(crashes),
            sent_before_crash: sent,
            stop: Arc::downgrade(&stop),
        });
        let handler = move |req| {
            let stalled = *handler_stalled.lock().unwrap();
            handle_request(
                Arc::clone(&behaviour),
                Arc::clone(&handler_requests),
                address,
                stalled,
                req,
            )
        };
        tokio::spawn(async move {
            let (_limits, limits) = watch::channel(ConnectionLimits::default());
            let reserved = tokio::spawn(reserve_after(stop_rx.clone(), address));
            serve(listener, limits, stop_rx, handler).await;
            let _ = reserved.await;
        });
        Self {
            address,
            received_requests,
            script,
            stalled,
            hides_reports,
            api,
            stop,
            headers,
        }
    }

    /// Makes the target fail all calls for its report, as one whose reports are held up.
    pub fn hide_reports(&self) {
        self.hides_reports.store(true, Ordering::Relaxed);
    }

    /// Makes the target take orders, and refuse calls of its API that are for another engine.
    pub fn identify_as(&self, id: &'static str) {
        *self.api.id.lock().unwrap() = Some(id);
    }

    /// Makes the target's reports state its start time.
    pub fn report_born(&self, born: u64) {
        *self.api.born.lock().unwrap() = Some(born);
    }

    /// Returns the number of orders that the target has begun.
    pub fn orders_begun(&self) -> usize {
        self.api.orders_begun.lock().unwrap().len()
    }

    /// Returns the number of calls of the target's API that were for another engine.
    pub fn misdirected_calls(&self) -> usize {
        self.api.misdirected.load(Ordering::Relaxed)
    }

    /// Makes the target name a limit in its answers, in requests a second, or none.
    pub fn name_limit(&self, rate: Option<&'static str>) {
        self.add_header("server-limit", rate);
    }

    /// Makes the target refuse the next 50 requests without running them.
    pub fn refuse_all(&self) {
        let refusals = std::iter::repeat_n(TargetAction::NotRun(None), 50);
        self.script.lock().unwrap().extend(refusals);
    }

    /// Makes the target add a header to its answers, or none of this name any more.
    pub fn add_header(&self, name: &'static str, value: Option<&'static str>) {
        let mut headers = self.headers.lock().unwrap();
        headers.remove(name);
        if let Some(value) = value {
            headers.insert(name, value.parse().unwrap());
        }
    }

    /// Whether the target has crashed.
    pub fn has_crashed(&self) -> bool {
        *self.stop.borrow()
    }

    /// Makes the target's reports name an engine at which request `r1` stalls.
    pub fn report_stall_at(&self, address: SocketAddr) {
        *self.stalled.lock().unwrap() = Some(address);
    }

    /// Returns the callers' requests that have arrived, without calls of the target's own API.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.received_requests.lock().unwrap().clone()
    }
}

/// How a target answers requests.
struct Behaviour {
    /// Whether the target fails calls for its report.
    hides_reports: Arc<AtomicBool>,
    api: Arc<EngineApi>,
    script: Arc<Mutex<VecDeque<TargetAction>>>,
    /// Whether a request crashes the target.
    crashes: Box<dyn Fn(&ReceivedRequest) -> bool + Send + Sync>,
    /// Chunks of a stream that the target sends before it crashes.
    sent_before_crash: &'static [&'static str],
    stop: Weak<watch::Sender<bool>>,
    /// Headers that the target adds to every answer.
    headers: Arc<Mutex<HeaderMap>>,
}

/// Answers a call of the target's API, or a caller's request as the script says.
async fn handle_request(
    behaviour: Arc<Behaviour>,
    received_requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    address: SocketAddr,
    stalled: Option<SocketAddr>,
    req: Request<Incoming>,
) -> Response<TargetBody> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    if parts.uri.path().starts_with("/api/") {
        let api = &behaviour.api;
        let id = *api.id.lock().unwrap();
        let expected = parts.headers.get("x-toucanshelf-expect-instance");
        if id.is_some() && expected.is_some_and(|expected| expected != id.unwrap()) {
            api.misdirected.fetch_add(1, Ordering::Relaxed);
            return respond(421, &HeaderMap::new(), static_body(""));
        }
        let status = match (parts.method, id) {
            (Method::POST, None) => 404,
            (Method::POST, Some(_)) => {
                api.orders_begun.lock().unwrap().push(body);
                202
            }
            _ => 200,
        };
        if behaviour.hides_reports.load(Ordering::Relaxed) {
            return respond(503, &HeaderMap::new(), static_body(""));
        }
        let stalled = stalled.iter();
        let stalled: Vec<_> = stalled
            .map(|address| serde_json::json!({ "id": "r1", "address": address }))
            .collect();
        let born = *api.born.lock().unwrap();
        let report =
            serde_json::json!({ "busy": false, "seq": 0, "stalled": stalled, "born": born });
        let report = report.to_string();
        return respond(status, &HeaderMap::new(), bytes_body(report.into()));
    }
    let id = parts.headers.get("x-toucanshelf-request-id").cloned();
    let received = ReceivedRequest {
        method: parts.method,
        path: parts.uri.to_string(),
        headers: parts.headers,
        body,
    };
    let crashes = (behaviour.crashes)(&received);
    received_requests.lock().unwrap().push(received);
    let action = if crashes {
        if let Some(stop) = behaviour.stop.upgrade() {
            stop.send_replace(true);
        }
        Some(TargetAction::Break(behaviour.sent_before_crash))
    } else {
        behaviour.script.lock().unwrap().pop_front()
    };
    let mut headers = HeaderMap::new();
    if let Some(id) = id {
        headers.insert("x-toucanshelf-request-id", id);
    }
    headers.extend(behaviour.headers.lock().unwrap().clone());
    let seal = format!("sealed-by-{}", address.port());
    headers.insert("x-toucanshelf-response-seal", seal.parse().unwrap());
    match action.unwrap_or(TargetAction::Answer(200, "done")) {
        TargetAction::Answer(status, text) => respond(status, &headers, static_body(text)),
        TargetAction::NotRun(at_fault) => {
            headers.insert("x-toucanshelf-not-executed", "1".parse().unwrap());
            if let Some(address) = at_fault {
                headers.insert("at-server", address.to_string().parse().unwrap());
            }
            respond(503, &headers, static_body(""))
        }
        TargetAction::Stream(chunks) => {
            respond(200, &headers, stream_body(chunks, StreamEnd::Regular))
        }
        TargetAction::Break(chunks) => {
            respond(200, &headers, stream_body(chunks, StreamEnd::Aborted))
        }
        TargetAction::Hang(chunks) => {
            respond(200, &headers, stream_body(chunks, StreamEnd::Stalled))
        }
        TargetAction::Pause(pause, chunks) => respond(
            200,
            &headers,
            paused_stream_body(chunks, StreamEnd::Regular, pause),
        ),
        TargetAction::AnswerOtherRequest => {
            headers.insert("x-toucanshelf-request-id", "another".parse().unwrap());
            respond(200, &headers, static_body("for another caller"))
        }
    }
}

/// Returns a response with the given status, headers and body.
fn respond(status: u16, headers: &HeaderMap, body: TargetBody) -> Response<TargetBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    *response.headers_mut() = headers.clone();
    response
}

/// Returns a body of fixed content.
fn static_body(content: &'static str) -> TargetBody {
    bytes_body(Bytes::from_static(content.as_bytes()))
}

/// Returns a body that is sent as a whole.
fn bytes_body(content: Bytes) -> TargetBody {
    let body = Full::new(content);
    body.map_err(|never: Infallible| match never {}).boxed()
}

/// The way in which a target sends and ends a stream.
#[derive(Clone, Copy, PartialEq)]
enum StreamEnd {
    /// The stream ends properly.
    Regular,
    /// The connection is aborted.
    Aborted,
    /// Nothing more is sent, and the connection stays open.
    Stalled,
}

/// Returns a body that sends `chunks` and ends as `end` says.
fn stream_body(chunks: &'static [&'static str], end: StreamEnd) -> TargetBody {
    // The short pause lets sent chunks leave the process before the connection is aborted.
    paused_stream_body(chunks, end, Duration::from_millis(5))
}

/// Returns a body that sends `chunks`, each after `pause`, and ends as `end` says.
fn paused_stream_body(
    chunks: &'static [&'static str],
    end: StreamEnd,
    pause: Duration,
) -> TargetBody {
    let frames = chunks
        .iter()
        .map(|chunk| Ok(Frame::data(Bytes::from_static(chunk.as_bytes()))));
    let abort = (end == StreamEnd::Aborted)
        .then(|| Err(std::io::Error::other("the target aborts the stream")));
    let chunks: Vec<_> = frames.chain(abort).collect();
    let chunks = futures_util::stream::iter(chunks).then(move |chunk| async move {
        tokio::time::sleep(pause).await;
        chunk
    });
    let endless = futures_util::stream::pending().take(usize::from(end == StreamEnd::Stalled));
    let chunks = chunks.chain(endless);
    let body = StreamBody::new(SyncStream(Mutex::new(Box::pin(chunks))));
    BoxBody::new(body)
}

/// Frames of a streamed body, of which an error aborts the connection.
type Chunks =
    std::pin::Pin<Box<dyn futures_util::Stream<Item = std::io::Result<Frame<Bytes>>> + Send>>;

/// A stream that may be shared between threads, as `BoxBody` requires.
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

/// A response as the caller received it.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the body arrived in full, rather than up to a lost connection.
    pub is_complete: bool,
}

/// Sends one request on a new connection and reads the response to its end.
pub async fn send(address: SocketAddr, request: Request<String>) -> CallerResponse {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let request = request.map(|body| Full::new(Bytes::from(body)));
    let (parts, mut body) = sender.send_request(request).await.unwrap().into_parts();
    let mut bytes = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            is_complete = false;
            break;
        };
        bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
    }
    CallerResponse {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: String::from_utf8(bytes).unwrap(),
        is_complete,
    }
}

/// A control instance and an ingress in one process.
pub struct Platform {
    pub control: Control,
    pub ingress: Ingress,
    /// Data folder of the control instance, which is deleted with the platform.
    _folder: tempfile::TempDir,
}

impl Platform {
    /// Starts a control instance and an ingress, and deploys `document`.
    ///
    /// Registers the targets, given as `(service, target)` pairs, and waits until the ingress has
    /// the deployment and knows the targets.
    pub async fn start(document: &str, targets: &[(&str, &Target)]) -> Self {
        let (control, folder) = start_control().await;
        Self::with_control(control, folder, document, targets).await
    }

    /// Does the same as [`Platform::start`] with a control instance that runs already.
    pub async fn with_control(
        control: Control,
        folder: tempfile::TempDir,
        document: &str,
        targets: &[(&str, &Target)],
    ) -> Self {
        let ingress = start_ingress("i1", &control).await;
        Self::with_ingress(control, folder, ingress, document, targets).await
    }

    /// Does the same as [`Platform::with_control`] with an ingress that runs already.
    pub async fn with_ingress(
        control: Control,
        folder: tempfile::TempDir,
        ingress: Ingress,
        document: &str,
        targets: &[(&str, &Target)],
    ) -> Self {
        let platform = Self {
            control,
            ingress,
            _folder: folder,
        };
        let put = async {
            while platform.put_deployment(document).await != 200 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, put).await.unwrap();
        for (n, (service, target)) in targets.iter().enumerate() {
            let heartbeat = serde_json::json!({
                "service": service, "address": target.address, "zone": "z", "version": "v1",
                "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1000 + n
            });
            assert_eq!(
                platform.send_heartbeat(&format!("t{n}"), &heartbeat).await,
                200
            );
        }
        platform.wait_until_in_sync().await;
        for (_, target) in targets {
            platform.wait_until_known(target.address).await;
        }
        platform
    }

    /// Returns the address of the platform's API at the control instance.
    pub fn control_api_address(&self) -> SocketAddr {
        self.control.platform_address().unwrap()
    }

    /// Deploys a document and returns the HTTP status.
    pub async fn put_deployment(&self, document: &str) -> u16 {
        let request = Request::put("/api/config").header("host", "control");
        send(
            self.control_api_address(),
            request.body(document.into()).unwrap(),
        )
        .await
        .status
    }

    /// Sends the heartbeat of target `id` and returns the HTTP status.
    pub async fn send_heartbeat(&self, id: &str, heartbeat: &serde_json::Value) -> u16 {
        let request = Request::put(format!("/api/instances/{id}")).header("host", "control");
        send(
            self.control_api_address(),
            request.body(heartbeat.to_string()).unwrap(),
        )
        .await
        .status
    }

    /// Registers a target of a plain service, and waits until the ingress knows it.
    pub async fn register(&self, id: &str, service: &str, address: SocketAddr) {
        let heartbeat = serde_json::json!({
            "service": service, "address": address, "zone": "z", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1000
        });
        assert_eq!(self.send_heartbeat(id, &heartbeat).await, 200);
        self.wait_until_known(address).await;
    }

    /// Waits until the ingress has the registration of the target at `address`.
    ///
    /// The registration isn't ordered with the deployment, which may arrive first.
    async fn wait_until_known(&self, address: SocketAddr) {
        let shared = self.ingress.shared();
        let known = async {
            while shared.targets().at_address(address).is_none() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, known).await.unwrap();
    }

    /// Registers an engine of the service `model` that holds `layers`, without waiting.
    pub async fn register_engine(
        &self,
        id: &str,
        address: SocketAddr,
        zone: &str,
        layers: Range<u32>,
    ) {
        let heartbeat = serde_json::json!({
            "service": "model", "address": address, "zone": zone, "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1000, "kind": "card",
            "layers": { "from": layers.start, "target": layers.end, "version": 1 }
        });
        assert_eq!(self.send_heartbeat(id, &heartbeat).await, 200);
    }

    /// Waits until the ingress has the deployment version of the control instance.
    pub async fn wait_until_in_sync(&self) {
        let shared = self.ingress.shared();
        let wait = async {
            while shared.version() != self.control.shared().driver.state().deployment_version() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, wait).await.unwrap();
    }

    /// Sends a caller's request for the host `a.example` to the ingress.
    ///
    /// A POST request gets a short body, any other request an empty one.
    pub async fn call(&self, method: &str, path: &str, headers: &[(&str, &str)]) -> CallerResponse {
        call_ingress(&self.ingress, method, path, headers).await
    }
}

/// Sends a caller's request as [`Platform::call`] does, to any ingress.
pub async fn call_ingress(
    ingress: &Ingress,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> CallerResponse {
    let mut request = Request::builder().method(method).uri(path);
    request = request.header("host", "a.example");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = if method == "POST" { "body" } else { "" };
    send(ingress.address(), request.body(body.into()).unwrap()).await
}

/// Starts an ingress that is linked to `control`.
pub async fn start_ingress(name: &str, control: &Control) -> Ingress {
    start_linked_ingress(name, &["127.0.0.1"], control.link_address().port()).await
}

/// Starts an ingress that connects to control instances at the IP addresses `seeds`.
pub async fn start_linked_ingress(name: &str, seeds: &[&str], link_port: u16) -> Ingress {
    start_ingress_with_key(&link_key(), name, seeds, link_port).await
}

/// Does the same with an ingress that has its own link key.
pub async fn start_ingress_with_key(
    key: &str,
    name: &str,
    seeds: &[&str],
    link_port: u16,
) -> Ingress {
    let settings = ingress_settings(key, name, seeds, link_port);
    let dialect = Arc::new(PlatformDialect);
    Ingress::start(settings, dialect).await.unwrap()
}

/// Starts an ingress that is linked to `control` and connects to targets through `connector`.
pub async fn start_ingress_with_connector(
    name: &str,
    control: &Control,
    connector: impl Connector + 'static,
) -> Ingress {
    let link_port = control.link_address().port();
    let settings = ingress_settings(&link_key(), name, &["127.0.0.1"], link_port);
    let dialect = Arc::new(PlatformDialect);
    let started = Ingress::start_with_connector(settings, dialect, Arc::new(connector));
    started.await.unwrap()
}

/// Returns the settings of an ingress that connects to control instances at `seeds`.
fn ingress_settings(key: &str, name: &str, seeds: &[&str], link_port: u16) -> IngressSettings {
    let text = settings_text_with_key(key, name, seeds, link_port);
    toucanshelf_runtime::settings::parse("ingress.toml", &text).unwrap()
}

/// Returns the text of a settings file for an ingress with the key of this test process.
pub fn ingress_settings_text(name: &str, seeds: &[&str], link_port: u16) -> String {
    settings_text_with_key(&link_key(), name, seeds, link_port)
}

fn settings_text_with_key(key: &str, name: &str, seeds: &[&str], link_port: u16) -> String {
    let seeds: Vec<_> = seeds.iter().map(|ip| format!("'{ip}:1'")).collect();
    format!(
        "name = '{name}'\nzone = 'z'\nlisten = '127.0.0.1:0'\nready-listen = '127.0.0.1:0'\n\
         metrics-listen = '127.0.0.1:0'\nrelay-listen = '127.0.0.1:0'\n\
         link-listen = '127.0.0.1:0'\nlink-key = '{key}'\nseeds = [{}]\n\
         link-port = {link_port}\nrepeat-slack = 100.0\n",
        seeds.join(", ")
    )
}

/// Starts a control instance, and returns it with its data folder.
pub async fn start_control() -> (Control, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let store = DataFolder::new(folder.path());
    (start_control_on(Arc::new(store)).await, folder)
}

/// Starts a control instance whose replica keeps its state in the store that `opener` opens.
pub async fn start_control_on(opener: Arc<dyn OpenStore>) -> Control {
    start_control_at("127.0.0.1:0".parse().unwrap(), &["127.0.0.1"], opener).await
}

/// Starts one of several control instances, which accepts links at `link_listen`.
///
/// The others accept them at the IP addresses `seeds`, on the same port.
pub async fn start_control_at(
    link_listen: SocketAddr,
    seeds: &[&str],
    opener: Arc<dyn OpenStore>,
) -> Control {
    start_control_with_key(&link_key(), link_listen, seeds, opener).await
}

/// Does the same with a control instance that has its own link key.
pub async fn start_control_with_key(
    key: &str,
    link_listen: SocketAddr,
    seeds: &[&str],
    opener: Arc<dyn OpenStore>,
) -> Control {
    start_voting_control(key, link_listen, seeds, 0, opener).await
}

/// Does the same with a log that survives the loss of `tolerated_losses` instances.
pub async fn start_voting_control(
    key: &str,
    link_listen: SocketAddr,
    seeds: &[&str],
    tolerated_losses: usize,
    opener: Arc<dyn OpenStore>,
) -> Control {
    let seeds: Vec<_> = seeds.iter().map(|ip| format!("'{ip}:0'")).collect();
    let settings = format!(
        "name = '{}'\nzone = 'z'\nlisten = '127.0.0.1:0'\nlink-listen = '{link_listen}'\n\
             link-key = '{key}'\ndata-folder = 'unused'\n\
             operator-token-digests = ['{OPERATOR_TOKEN_DIGEST}']\n\
             [deployment]\nlisten = '127.0.0.1:0'\nseeds = [{}]\nbootstrap = true\n\
             tolerated-losses = {tolerated_losses}\n",
        link_listen.ip(),
        seeds.join(", ")
    );
    let settings = toucanshelf_runtime::settings::parse("control.toml", &settings).unwrap();
    let dialect = Arc::new(PlatformDialect);
    let control = Control::start_on_store(settings, Some(dialect), opener);
    control.await.unwrap()
}
