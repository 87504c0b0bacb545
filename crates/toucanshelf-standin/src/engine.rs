//! Stand-in engine that serves a range of layers and relays requests along their routes.
//!
//! A route lists the engines that run the layers of a model, in order. An attempt is one run of a
//! request over one route. Each engine passes the request on to the next engine of the route and
//! sends a stream of response lines back: JSON objects, most of which carry one token. An order
//! from control tells an engine which layers to hold; its fencing number, which grows with every
//! order, shows whether it is outdated.

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
use http::{HeaderMap, Response};
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::{mpsc, watch};
use toucanshelf_core::engine::{CancelRequest, EngineLine, EngineOrder, Fence, RunRequest};
use toucanshelf_core::ids::{Attempt, Incarnation};
use toucanshelf_core::outcome::{Code, Refusal};
use toucanshelf_core::target::{Announcement, TargetPhase, TargetRole};
use toucanshelf_link::engine::HttpEngineClient;
use toucanshelf_runtime::http::{ApiError, bytes_response, refusal_response};
use toucanshelf_runtime::logs::slog_bridge;
use toucanshelf_runtime::shutdown::ShutdownSignals;
use toucanshelf_runtime::trace;
use tracing::Instrument as _;

use crate::announce::announce;
use crate::pipeline::{admit, run_attempt};
use crate::rate_limiter::RateLimiter;
use crate::settings::EngineSettings;

/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Number of response lines that are buffered for a client that reads slowly.
const LINE_QUEUE_CAPACITY: usize = 64;

/// State shared by the request handlers and the [`StandinEngine`].
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: EngineSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) rate_limiter: RateLimiter,
    pub(crate) in_flight: AtomicU32,
    pub(crate) draining: AtomicBool,
    /// Sends a message when a prompt crashes the engine.
    pub(crate) crash_tx: mpsc::Sender<()>,
    pub(crate) client: HttpEngineClient,
    /// Highest cancelled attempt number of each request, by request id.
    pub(crate) cancelled: Mutex<BTreeMap<Box<str>, Attempt>>,
    /// Accepted orders from control that tell the engine which layers to hold, oldest first.
    pub(crate) accepted_orders: Mutex<Vec<EngineOrder>>,
}

/// A running stand-in engine; dropping it kills the engine.
#[derive(Debug)]
pub struct StandinEngine {
    shared: Arc<Shared>,
    address: SocketAddr,
    phase: watch::Sender<TargetPhase>,
    runtime: Option<tokio::runtime::Runtime>,
    crash_rx: Option<mpsc::Receiver<()>>,
}

impl StandinEngine {
    /// Starts the engine on a tokio runtime of its own.
    ///
    /// # Errors
    ///
    /// Fails when the runtime can't be started or the address can't be listened on.
    pub fn start(settings: EngineSettings) -> Result<Self, Box<str>> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .map_err(|e| format!("starting the runtime: {e}"))?;
        let incarnation = Incarnation(settings.incarnation.unwrap_or_else(unix_ms));
        let (crash_tx, crash_rx) = mpsc::channel(1);
        let shared = Arc::new(Shared {
            incarnation,
            rate_limiter: RateLimiter::new(settings.tokens_per_s),
            in_flight: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            crash_tx,
            client: HttpEngineClient::new(),
            cancelled: Mutex::default(),
            accepted_orders: Mutex::default(),
            settings,
        });
        let address = runtime.block_on(async { listen(&shared) })?;
        let (phase, phase_rx) = watch::channel(TargetPhase::Ready);
        let announcement = announcement(&shared, address);
        let gates = shared.settings.gates.clone();
        let token = shared.settings.target_token.clone();
        runtime.spawn(announce(announcement, gates, token, phase_rx));
        let (runtime, crash_rx) = (Some(runtime), Some(crash_rx));
        Ok(Self {
            shared,
            address,
            phase,
            runtime,
            crash_rx,
        })
    }

    /// Name under which the engine announces itself.
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// Address on which the engine accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of attempts that the engine is running.
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Accepted orders from control that tell the engine which layers to hold, oldest first.
    pub fn accepted_orders(&self) -> Vec<EngineOrder> {
        self.shared
            .accepted_orders
            .lock()
            .expect("no holder panics")
            .clone()
    }

    /// Stops the engine as a crash would: every connection breaks at once.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Freezes the engine, or lets it continue if `frozen` is false.
    ///
    /// While it is frozen, connections stay open, but no request makes progress.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.rate_limiter.set_frozen(frozen);
    }

    /// Refuses new requests from now on and announces that the engine is draining.
    ///
    /// Requests in flight continue.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
        self.phase.send_replace(TargetPhase::Draining);
    }

    /// Announces that the engine will stop, so that the gates no longer use it.
    pub fn leave(&self) {
        self.phase.send_replace(TargetPhase::Left);
    }

    /// Takes the receiver that gets a message when a prompt crashes the engine.
    ///
    /// Returns `None` if the receiver was already taken.
    pub fn take_crash_receiver(&mut self) -> Option<mpsc::Receiver<()>> {
        self.crash_rx.take()
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
    // The server task runs until the runtime is shut down.
    tokio::spawn(server);
    Ok(address)
}

/// Parses the JSON body of a request.
///
/// A malformed body is refused with the statement that nothing was run.
fn parse_body<T: serde::de::DeserializeOwned>(body: &UntypedBody) -> Result<T, ApiError> {
    serde_json::from_slice(body.as_bytes())
        .map_err(|e| Refusal::not_run(Code::BadRequest, format!("reading the body: {e}")).into())
}

/// Runs an attempt of a request and streams its response lines.
#[endpoint { method = POST, path = "/v1/pipeline/run" }]
async fn pipeline_run(
    rqctx: RequestContext<Arc<Shared>>,
    body: UntypedBody,
) -> Result<Response<Body>, ApiError> {
    let shared = Arc::clone(rqctx.context());
    shared.rate_limiter.wait_until_thawed().await;
    let request: RunRequest = parse_body(&body)?;
    if let Err(refusal) = admit(&shared, &request) {
        return Ok(refusal_response(&refusal));
    }
    let span = tracing::info_span!("engine", engine = %shared.settings.name, request = %request.request, attempt = request.attempt.0);
    trace::continue_trace(&span, rqctx.request.headers());
    let mut headers = HeaderMap::new();
    headers.extend(
        trace::traceparent(&span).map(|v| (http::HeaderName::from_static(trace::TRACEPARENT), v)),
    );
    let (tx, rx) = mpsc::channel(LINE_QUEUE_CAPACITY);
    shared.in_flight.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(
        async move {
            run_attempt(&shared, request, headers, &tx).await;
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

/// Cancels an attempt and all earlier attempts of the same request.
#[endpoint { method = POST, path = "/v1/pipeline/cancel" }]
async fn pipeline_cancel(
    rqctx: RequestContext<Arc<Shared>>,
    body: UntypedBody,
) -> Result<HttpResponseUpdatedNoContent, ApiError> {
    let request: CancelRequest = parse_body(&body)?;
    let mut cancelled = rqctx.context().cancelled.lock().expect("no holder panics");
    let attempt = cancelled.entry(request.request).or_default();
    *attempt = (*attempt).max(request.attempt);
    Ok(HttpResponseUpdatedNoContent())
}

/// Accepts and records an order from control to hold certain layers.
///
/// The stand-in does not change its layers. With the setting `keeps-fence`, it refuses an order
/// whose fencing number is not higher than those of all orders accepted before.
#[endpoint { method = POST, path = "/v1/orders" }]
async fn orders(
    rqctx: RequestContext<Arc<Shared>>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let shared = rqctx.context();
    shared.rate_limiter.wait_until_thawed().await;
    let order: EngineOrder = serde_json::from_slice(body.as_bytes())
        .map_err(|e| HttpError::for_bad_request(None, e.to_string()))?;
    let mut accepted_orders = shared.accepted_orders.lock().expect("no holder panics");
    let newest = accepted_orders
        .iter()
        .map(|order| order.fence)
        .max()
        .unwrap_or(Fence::default());
    if shared.settings.keeps_fence && order.fence <= newest {
        let message = format!("fencing number {:?} is not above {newest:?}", order.fence);
        return Ok(refusal_response(&Refusal::not_run(Code::Conflict, message)));
    }
    accepted_orders.push(order);
    Ok(bytes_response(200, "application/json", b"{}".to_vec()))
}

/// Runs a stand-in engine as a program until it is asked to stop.
///
/// The engine then finishes its requests in flight and announces that it will stop.
///
/// # Errors
///
/// Fails when the engine can't start, and when a prompt crashes it.
pub async fn run_program(settings: EngineSettings) -> Result<(), Box<str>> {
    let mut signals = ShutdownSignals::register();
    let started = tokio::task::spawn_blocking(|| StandinEngine::start(settings)).await;
    let mut engine = started.map_err(|e| e.to_string())??;
    tracing::info!(event = "TS9003", name = engine.name(), address = %engine.address(), "stand-in engine listens");
    let mut crash_rx = engine.take_crash_receiver().expect("taken once");
    tokio::select! {
        () = signals.received() => {}
        _ = crash_rx.recv() => return Err("the prompt contained the configured poison text".into()),
    }
    engine.drain();
    while engine.in_flight() > 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    engine.leave();
    tokio::time::sleep(Duration::from_millis(300)).await;
    Ok(())
}
