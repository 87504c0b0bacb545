//! Stand-in engine: holds a range of layers, passes requests along the route.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpResponseUpdatedNoContent, RequestContext,
    ServerBuilder, UntypedBody, endpoint,
};
use futures_util::StreamExt as _;
use http::{HeaderMap, Response};
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Deserialize;
use tokio::sync::{mpsc, watch};
use toucanshelf_core::engine::{
    CancelRequest, EngineLine, EngineOrder, Fence, Hop, RunRequest, TokenFrame,
};
use toucanshelf_core::ids::{Attempt, Incarnation};
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::outcome::{Code, Refusal};
use toucanshelf_core::target::{Announcement, TargetPhase, TargetRole};
use toucanshelf_link::engine::{EngineClient as _, EngineError, HttpEngineClient};
use toucanshelf_runtime::http::{ApiError, bytes_response, refusal_response};
use toucanshelf_runtime::logs::slog_bridge;
use toucanshelf_runtime::program::DaemonSettings;
use toucanshelf_runtime::settings::LogSettings;
use toucanshelf_runtime::trace;
use tracing::Instrument as _;

use crate::announce::announce;
use crate::answer::Chain;
use crate::pace::Pace;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Lines that may wait for a slow reader.
const QUEUED_LINES: usize = 64;

/// Settings of a stand-in engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EngineSettings {
    /// Name in any scheme.
    pub name: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Gates to announce to.
    pub gates: Vec<SocketAddr>,
    /// Token that the gates know.
    pub target_token: Box<str>,
    /// Model, by any of its names.
    pub model: Box<str>,
    /// Version of the weights.
    #[serde(default = "default_version")]
    pub version: Box<str>,
    /// Layers that the engine holds.
    pub layers: LayerRange,
    /// Tokens per second over all requests.
    #[serde(default = "default_rate")]
    pub tokens_per_s: f64,
    /// Time between two tokens of one request, in milliseconds.
    #[serde(default = "default_interval")]
    pub token_interval_ms: u64,
    /// Requests at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Kind of accelerator.
    #[serde(default = "default_accelerator")]
    pub accelerator: Box<str>,
    /// Whether orders with an old fencing number are refused.
    #[serde(default)]
    pub keeps_fence: bool,
    /// A prompt that contains this text crashes the engine.
    #[serde(default)]
    pub poison: Option<Box<str>>,
    /// Number of this start; by default the time in milliseconds.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Logs and traces.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_version() -> Box<str> {
    "v1".into()
}

fn default_rate() -> f64 {
    1_000.0
}

fn default_interval() -> u64 {
    10
}

fn default_slots() -> u32 {
    64
}

fn default_accelerator() -> Box<str> {
    "standin".into()
}

impl EngineSettings {
    /// Settings of an engine on loopback.
    pub fn new(
        name: impl Into<Box<str>>,
        zone: impl Into<Box<str>>,
        model: impl Into<Box<str>>,
        layers: LayerRange,
        gates: Vec<SocketAddr>,
        target_token: impl Into<Box<str>>,
    ) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            gates,
            target_token: target_token.into(),
            model: model.into(),
            version: default_version(),
            layers,
            tokens_per_s: default_rate(),
            token_interval_ms: default_interval(),
            slots: default_slots(),
            accelerator: default_accelerator(),
            keeps_fence: false,
            poison: None,
            incarnation: None,
            log: LogSettings::default(),
        }
    }
}

impl DaemonSettings for EngineSettings {
    fn check(&self) -> Result<(), Box<str>> {
        if self.gates.is_empty() {
            return Err("gates: at least one address is needed".into());
        }
        if !(self.tokens_per_s.is_finite() && self.tokens_per_s > 0.0) {
            return Err("tokens-per-s: must be greater than 0".into());
        }
        Ok(())
    }

    fn log(&self) -> &LogSettings {
        &self.log
    }
}

#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    incarnation: Incarnation,
    pace: Pace,
    in_flight: AtomicU32,
    draining: AtomicBool,
    crash: mpsc::Sender<()>,
    client: HttpEngineClient,
    cancelled: Mutex<BTreeMap<Box<str>, Attempt>>,
    obeyed: Mutex<Vec<EngineOrder>>,
}

/// A running stand-in engine.
#[derive(Debug)]
pub struct StandinEngine {
    shared: Arc<Shared>,
    address: SocketAddr,
    phase: watch::Sender<TargetPhase>,
    runtime: Option<tokio::runtime::Runtime>,
    crashed: Option<mpsc::Receiver<()>>,
}

impl StandinEngine {
    /// Starts the engine on threads of its own.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub fn start(settings: EngineSettings) -> Result<Self, Box<str>> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .map_err(|e| format!("starting threads: {e}"))?;
        let incarnation = Incarnation(settings.incarnation.unwrap_or_else(unix_ms));
        let (crash, crashed) = mpsc::channel(1);
        let shared = Arc::new(Shared {
            incarnation,
            pace: Pace::new(settings.tokens_per_s),
            in_flight: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            crash,
            client: HttpEngineClient::new(),
            cancelled: Mutex::default(),
            obeyed: Mutex::default(),
            settings,
        });
        let address = runtime.block_on(async { listen(&shared) })?;
        let (phase, phase_rx) = watch::channel(TargetPhase::Ready);
        let announcement = announcement(&shared, address);
        let gates = shared.settings.gates.clone();
        let token = shared.settings.target_token.clone();
        runtime.spawn(announce(announcement, gates, token, phase_rx));
        let (runtime, crashed) = (Some(runtime), Some(crashed));
        Ok(Self {
            shared,
            address,
            phase,
            runtime,
            crashed,
        })
    }

    /// Name of the engine.
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// Address that takes calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests that are running.
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Orders that the engine has obeyed, in order.
    pub fn obeyed(&self) -> Vec<EngineOrder> {
        self.shared.obeyed.lock().expect("no holder panics").clone()
    }

    /// Crashes: every connection breaks at once.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Freezes or thaws: connections stay open, nothing moves.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.pace.set_frozen(frozen);
    }

    /// Announces that nothing new shall come.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
        self.phase.send_replace(TargetPhase::Draining);
    }

    /// Announces that the engine leaves.
    pub fn leave(&self) {
        self.phase.send_replace(TargetPhase::Left);
    }

    /// Receiver that gets a message when a prompt has crashed the engine.
    pub fn take_crashed(&mut self) -> Option<mpsc::Receiver<()>> {
        self.crashed.take()
    }
}

impl Drop for StandinEngine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Time since the Unix epoch in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

fn announcement(shared: &Shared, address: SocketAddr) -> Announcement {
    let settings = &shared.settings;
    Announcement {
        name: settings.name.clone(),
        incarnation: shared.incarnation,
        zone: settings.zone.clone(),
        address,
        role: TargetRole::Engine {
            model: settings.model.clone(),
            version: settings.version.clone(),
            layers: settings.layers,
            accelerator: settings.accelerator.clone(),
            tokens_per_s: settings.tokens_per_s,
            keeps_fence: settings.keeps_fence,
        },
        phase: TargetPhase::Ready,
        slots: settings.slots,
    }
}

fn listen(shared: &Arc<Shared>) -> Result<SocketAddr, Box<str>> {
    let mut api = ApiDescription::new();
    api.register(pipeline_run)
        .expect("the endpoint is well-formed");
    api.register(pipeline_cancel)
        .expect("the endpoint is well-formed");
    api.register(orders).expect("the endpoint is well-formed");
    let config = ConfigDropshot {
        bind_address: shared.settings.listen,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    let server = ServerBuilder::new(api, Arc::clone(shared), slog_bridge())
        .config(config)
        .start()
        .map_err(|e| format!("listening on {}: {e}", shared.settings.listen))?;
    let address = server.local_addr();
    // The server ends with the runtime.
    tokio::spawn(server);
    Ok(address)
}

fn parse<T: serde::de::DeserializeOwned>(body: &UntypedBody) -> Result<T, ApiError> {
    serde_json::from_slice(body.as_bytes())
        .map_err(|e| Refusal::not_run(Code::BadRequest, format!("reading the body: {e}")).into())
}

/// Runs one attempt of a request and streams its token frames as lines of JSON.
#[endpoint { method = POST, path = "/v1/pipeline/run" }]
async fn pipeline_run(
    rqctx: RequestContext<Arc<Shared>>,
    body: UntypedBody,
) -> Result<Response<Body>, ApiError> {
    let shared = Arc::clone(rqctx.context());
    shared.pace.unfrozen().await;
    let request: RunRequest = parse(&body)?;
    if let Err(refusal) = admit(&shared, &request) {
        return Ok(refusal_response(&refusal));
    }
    let span = tracing::info_span!("engine", engine = %shared.settings.name, request = %request.request, attempt = request.attempt.0);
    trace::continue_trace(&span, rqctx.request.headers());
    let mut headers = HeaderMap::new();
    headers.extend(
        trace::traceparent(&span).map(|v| (http::HeaderName::from_static(trace::TRACEPARENT), v)),
    );
    let (tx, rx) = mpsc::channel(QUEUED_LINES);
    shared.in_flight.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(
        async move {
            run(&shared, request, headers, &tx).await;
            shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        }
        .instrument(span),
    );
    let lines = futures_util::stream::unfold(rx, |mut rx| async move {
        let line: EngineLine = rx.recv().await?;
        let mut buf = serde_json::to_vec(&line).expect("lines are serialisable");
        buf.push(b'\n');
        Some((
            Ok::<_, std::convert::Infallible>(Frame::data(Bytes::from(buf))),
            rx,
        ))
    });
    let body = Body::wrap(StreamBody::new(lines));
    let mut response = bytes_response(200, "application/x-ndjson", Vec::new());
    *response.body_mut() = body;
    Ok(response)
}

fn admit(shared: &Shared, request: &RunRequest) -> Result<(), Refusal> {
    let settings = &shared.settings;
    let Some(hop) = request.route.first() else {
        return Err(Refusal::not_run(Code::BadRequest, "the route is empty"));
    };
    let ours = hop.engine == settings.name && hop.incarnation == shared.incarnation;
    if !ours {
        let what = format!(
            "this is {} incarnation {}",
            settings.name, shared.incarnation
        );
        return Err(Refusal::not_run(Code::BadRequest, what));
    }
    if !settings.layers.covers(hop.layers) {
        let what = format!("layers {} are not held here", hop.layers);
        return Err(Refusal::not_run(Code::BadRequest, what));
    }
    if shared.draining.load(Ordering::Relaxed) {
        return Err(Refusal::not_run(Code::NotReady, "draining"));
    }
    if shared.in_flight.load(Ordering::Relaxed) >= settings.slots {
        return Err(Refusal::not_run(Code::Overloaded, "no slot is free"));
    }
    Ok(())
}

async fn run(
    shared: &Shared,
    request: RunRequest,
    headers: HeaderMap,
    tx: &mpsc::Sender<EngineLine>,
) {
    if shared
        .settings
        .poison
        .as_deref()
        .is_some_and(|poison| request.prompt.contains(poison))
    {
        tracing::error!(event = "TS9002", "the prompt crashes this engine");
        let _ = shared.crash.try_send(());
        std::future::pending::<()>().await;
    }
    if request.route.len() > 1 {
        relay(shared, request, headers, tx).await;
    } else {
        generate(shared, request, tx).await;
    }
}

async fn generate(shared: &Shared, request: RunRequest, tx: &mpsc::Sender<EngineLine>) {
    let mut chain = Chain::new(&request.prompt);
    for token in &request.delivered {
        chain.push(token);
    }
    let end = chain.length().min(request.max_tokens);
    let interval = Duration::from_millis(shared.settings.token_interval_ms);
    let mut due = tokio::time::Instant::now();
    for position in request.delivered.len() as u32..end {
        due += interval;
        tokio::time::sleep_until(due).await;
        shared.pace.token().await;
        if is_cancelled(shared, &request) {
            return;
        }
        let token = chain.next_token();
        chain.push(&token);
        let frame = TokenFrame {
            request: request.request.clone(),
            attempt: request.attempt,
            position,
            layers: request.route.iter().map(|hop| hop.layers).collect(),
            token,
            last: position + 1 == end,
        };
        if tx.send(EngineLine::Token(frame)).await.is_err() {
            return;
        }
    }
}

async fn relay(
    shared: &Shared,
    mut request: RunRequest,
    headers: HeaderMap,
    tx: &mpsc::Sender<EngineLine>,
) {
    let own: Hop = request.route.remove(0);
    let next = request.route[0].clone();
    let (id, attempt) = (request.request.clone(), request.attempt);
    let broken = |error: &EngineError| EngineLine::Broken {
        engine: next.engine.clone(),
        reason: error.to_string().into(),
        not_run: matches!(error, EngineError::NotSent(_) | EngineError::Refused { .. }),
    };
    let probe = RunRequest {
        route: Vec::new(),
        prompt: "".into(),
        ..request.clone()
    };
    let mut lines = match shared.client.run(next.address, request, headers).await {
        Ok(lines) => lines,
        Err(e) => {
            let _ = tx.send(broken(&e)).await;
            return;
        }
    };
    let mut finished = false;
    while let Some(line) = lines.next().await {
        let line = match line {
            Ok(EngineLine::Token(mut frame)) => {
                shared.pace.token().await;
                finished = frame.last;
                frame.layers.insert(0, own.layers);
                EngineLine::Token(frame)
            }
            Ok(other) => other,
            Err(e) => broken(&e),
        };
        let failed = matches!(line, EngineLine::Broken { .. });
        if tx.send(line).await.is_err() || is_cancelled(shared, &probe) {
            // The next engine sees the closed connection, but may be waiting for its pace.
            shared
                .client
                .cancel(
                    next.address,
                    CancelRequest {
                        request: id,
                        attempt,
                    },
                )
                .await;
            return;
        }
        if failed {
            return;
        }
    }
    if !finished {
        let _ = tx
            .send(broken(&EngineError::Broken(
                "the stream ended early".into(),
            )))
            .await;
    }
}

fn is_cancelled(shared: &Shared, request: &RunRequest) -> bool {
    let cancelled = shared.cancelled.lock().expect("no holder panics");
    cancelled
        .get(&request.request)
        .is_some_and(|attempt| request.attempt <= *attempt)
}

/// Stops an attempt.
#[endpoint { method = POST, path = "/v1/pipeline/cancel" }]
async fn pipeline_cancel(
    rqctx: RequestContext<Arc<Shared>>,
    body: UntypedBody,
) -> Result<HttpResponseUpdatedNoContent, ApiError> {
    let request: CancelRequest = parse(&body)?;
    let mut cancelled = rqctx.context().cancelled.lock().expect("no holder panics");
    let attempt = cancelled.entry(request.request).or_default();
    *attempt = (*attempt).max(request.attempt);
    Ok(HttpResponseUpdatedNoContent())
}

/// Takes an order to change what the engine holds.
#[endpoint { method = POST, path = "/v1/orders" }]
async fn orders(
    rqctx: RequestContext<Arc<Shared>>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let shared = rqctx.context();
    shared.pace.unfrozen().await;
    let order: EngineOrder = serde_json::from_slice(body.as_bytes())
        .map_err(|e| HttpError::for_bad_request(None, e.to_string()))?;
    let mut obeyed = shared.obeyed.lock().expect("no holder panics");
    let newest = obeyed
        .iter()
        .map(|order| order.fence)
        .max()
        .unwrap_or(Fence::default());
    if shared.settings.keeps_fence && order.fence <= newest {
        let what = format!("fencing number {:?} is not above {newest:?}", order.fence);
        return Ok(refusal_response(&Refusal::not_run(Code::Conflict, what)));
    }
    obeyed.push(order);
    Ok(bytes_response(200, "application/json", b"{}".to_vec()))
}

/// Runs a stand-in engine as a program until it is asked to stop.
///
/// # Errors
///
/// Fails when the engine can't start.
pub async fn run_program(settings: EngineSettings) -> Result<(), Box<str>> {
    let started = tokio::task::spawn_blocking(|| StandinEngine::start(settings)).await;
    let mut engine = started.map_err(|e| e.to_string())??;
    tracing::info!(event = "TS9003", name = engine.name(), address = %engine.address(), "stand-in engine listens");
    let mut crashed = engine.take_crashed().expect("taken once");
    tokio::select! {
        () = toucanshelf_runtime::shutdown::requested() => {}
        _ = crashed.recv() => return Err("crashed by a prompt".into()),
    }
    engine.drain();
    while engine.in_flight() > 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    engine.leave();
    tokio::time::sleep(Duration::from_millis(300)).await;
    Ok(())
}
