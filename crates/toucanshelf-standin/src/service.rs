//! Stand-in plain service that records every call that it runs.
//!
//! A plain service is a target for ordinary HTTP calls, as opposed to an engine. A `POST` to any
//! path is a call and runs at once. A `GET` of any path lists the calls that have run.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpResponseOk, Path, RequestContext, ServerBuilder,
    UntypedBody, endpoint,
};
use http::Response;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};
use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::target::{Announcement, TargetPhase, TargetRole};
use toucanshelf_runtime::http::{ApiError, json_response};
use toucanshelf_runtime::logs::slog_bridge;
use toucanshelf_runtime::program::DaemonSettings;
use toucanshelf_runtime::settings::LogSettings;
use toucanshelf_runtime::shutdown::ShutdownSignals;

use crate::announce::announce;

/// Maximum size of a call's body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Settings of a stand-in service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceSettings {
    /// Name under which this stand-in announces itself as a target.
    pub name: Box<str>,
    /// Id of the service that the target belongs to.
    pub service: Box<str>,
    /// Availability zone of this stand-in.
    pub zone: Box<str>,
    /// Address to listen on; with port 0, the operating system chooses a port.
    pub listen: SocketAddr,
    /// Addresses of the gates to which the stand-in announces itself.
    pub gates: Vec<SocketAddr>,
    /// Bearer token that authorises announcements at the gates.
    pub target_token: Box<str>,
    /// Time from the start of a call to its response, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Settings of logs and traces.
    #[serde(default)]
    pub log: LogSettings,
}

impl ServiceSettings {
    /// Creates settings of a service that listens on a free port of loopback.
    pub fn new(
        name: impl Into<Box<str>>,
        service: impl Into<Box<str>>,
        zone: impl Into<Box<str>>,
        gates: Vec<SocketAddr>,
        target_token: impl Into<Box<str>>,
    ) -> Self {
        Self {
            name: name.into(),
            service: service.into(),
            zone: zone.into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            gates,
            target_token: target_token.into(),
            delay_ms: 0,
            log: LogSettings::default(),
        }
    }
}

impl DaemonSettings for ServiceSettings {
    fn check(&self) -> Result<(), Box<str>> {
        if self.gates.is_empty() {
            return Err("gates: at least one address is needed".into());
        }
        Ok(())
    }

    fn log(&self) -> &LogSettings {
        &self.log
    }
}

/// Record of one call that the service ran.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct Run {
    /// Path of the call, with a leading slash.
    pub path: Box<str>,
    /// Body of the call, as text.
    pub body: Box<str>,
}

/// State shared by the request handlers and the [`StandinService`].
#[derive(Debug)]
struct Shared {
    settings: ServiceSettings,
    runs: Mutex<Vec<Run>>,
    start_tx: mpsc::UnboundedSender<Run>,
}

/// A running stand-in service; dropping it kills the service.
#[derive(Debug)]
pub struct StandinService {
    shared: Arc<Shared>,
    address: SocketAddr,
    phase: watch::Sender<TargetPhase>,
    start_rx: Option<mpsc::UnboundedReceiver<Run>>,
    runtime: Option<tokio::runtime::Runtime>,
}

impl StandinService {
    /// Starts the service on a tokio runtime of its own.
    ///
    /// # Errors
    ///
    /// Fails when the runtime can't be started or the address can't be listened on.
    pub fn start(settings: ServiceSettings) -> Result<Self, Box<str>> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .map_err(|e| format!("starting the runtime: {e}"))?;
        let (start_tx, start_rx) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            settings,
            runs: Mutex::default(),
            start_tx,
        });
        let address = runtime.block_on(async { listen(&shared) })?;
        let (phase, phase_rx) = watch::channel(TargetPhase::Ready);
        let settings = &shared.settings;
        let announcement = Announcement {
            name: settings.name.clone(),
            incarnation: Incarnation(crate::engine::unix_ms()),
            zone: settings.zone.clone(),
            address,
            role: TargetRole::Service {
                service: settings.service.clone(),
            },
            phase: TargetPhase::Ready,
            slots: 64,
        };
        let token = settings.target_token.clone();
        runtime.spawn(announce(
            announcement,
            settings.gates.clone(),
            token,
            phase_rx,
        ));
        let (runtime, start_rx) = (Some(runtime), Some(start_rx));
        Ok(Self {
            shared,
            address,
            phase,
            start_rx,
            runtime,
        })
    }

    /// Address on which the service accepts calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns all calls that have started to run, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().expect("no holder panics").clone()
    }

    /// Takes the receiver that gets each client's call when it starts to run.
    ///
    /// Returns `None` if the receiver was already taken.
    pub fn take_start_receiver(&mut self) -> Option<mpsc::UnboundedReceiver<Run>> {
        self.start_rx.take()
    }

    /// Announces that the service will stop, so that the gates no longer use it.
    pub fn leave(&self) {
        self.phase.send_replace(TargetPhase::Left);
    }

    /// Stops the service as a crash would: every connection breaks at once.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for StandinService {
    fn drop(&mut self) {
        self.kill();
    }
}

fn listen(shared: &Arc<Shared>) -> Result<SocketAddr, Box<str>> {
    let mut api = ApiDescription::new();
    api.register(list_runs)
        .expect("the endpoint is well-formed");
    api.register(call).expect("the endpoint is well-formed");
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

#[derive(Debug, Deserialize, JsonSchema)]
struct CallPath {
    path: Vec<Box<str>>,
}

/// Response to a call: its number, counted from 1, and its path.
#[derive(Serialize)]
struct CallReceipt {
    number: usize,
    path: Box<str>,
}

/// Lists all calls that have started to run; every path gives the same list.
#[endpoint { method = GET, path = "/{path:.*}", unpublished = true }]
async fn list_runs(
    rqctx: RequestContext<Arc<Shared>>,
    _path: Path<CallPath>,
) -> Result<HttpResponseOk<Vec<Run>>, ApiError> {
    Ok(HttpResponseOk(
        rqctx
            .context()
            .runs
            .lock()
            .expect("no holder panics")
            .clone(),
    ))
}

/// Records a call and responds with its number after the configured delay.
#[endpoint { method = POST, path = "/{path:.*}", unpublished = true }]
async fn call(
    rqctx: RequestContext<Arc<Shared>>,
    path: Path<CallPath>,
    body: UntypedBody,
) -> Result<Response<Body>, ApiError> {
    let shared = rqctx.context();
    let path: Box<str> = format!("/{}", path.into_inner().path.join("/")).into();
    let body = String::from_utf8_lossy(body.as_bytes()).into();
    let run = Run {
        path: path.clone(),
        body,
    };
    let number = {
        let mut runs = shared.runs.lock().expect("no holder panics");
        runs.push(run.clone());
        runs.len()
    };
    let _ = shared.start_tx.send(run);
    tokio::time::sleep(Duration::from_millis(shared.settings.delay_ms)).await;
    Ok(json_response(201, &CallReceipt { number, path }))
}

/// Runs a stand-in service as a program until it is asked to stop.
///
/// # Errors
///
/// Fails when the service can't start.
pub async fn run_program(settings: ServiceSettings) -> Result<(), Box<str>> {
    let mut signals = ShutdownSignals::register();
    let started = tokio::task::spawn_blocking(|| StandinService::start(settings)).await;
    let service = started.map_err(|e| e.to_string())??;
    tracing::info!(event = "TS9004", address = %service.address(), "stand-in service listens");
    signals.received().await;
    service.leave();
    tokio::time::sleep(Duration::from_millis(300)).await;
    Ok(())
}
