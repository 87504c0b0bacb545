//! Edge proxy that forwards requests to targets and resumes interrupted streams.
//!
//! A deployment is the versioned configuration of the system. Its routes map hosts and paths to
//! services. A target is a back end of a service. A target of a plain service answers requests
//! alone. A target that holds layers of a model is an engine; a request runs on several engines,
//! which together have all layers. Their sequence is also called a route. Sending a request to a
//! target once is an attempt.
//!
//! [`front`] handles callers' requests; [`plain`] and [`stream`] proxy them over [`pool`]ed
//! connections to targets. [`control`] receives the deployment and the registrations, and
//! [`targets`] holds the state that routing decides on. A [`Dialect`] implements the platform's
//! message formats.
//!
//! ```no_run
//! # async fn start(dialect: std::sync::Arc<dyn toucanshelf_link::dialect::Dialect>) {
//! let settings = toucanshelf_runtime::settings::load("ingress.toml".as_ref()).unwrap();
//! let ingress = toucanshelf_ingress::Ingress::start(settings, dialect).await.unwrap();
//! println!("callers: http://{}", ingress.address());
//! # }
//! ```

pub mod attempt;
pub mod content_guard;
pub mod control;
pub mod deployments;
pub mod discovery;
pub mod event_sender;
pub mod events;
pub mod front;
pub mod isolation;
pub mod live_route;
pub mod loads;
pub mod metrics;
pub mod permits;
pub mod plain;
pub mod pool;
pub mod relay;
pub mod reports;
pub mod request;
pub mod response;
pub mod response_buffer;
pub mod rooms;
pub mod settings;
pub mod shared;
pub mod stream;
pub mod targets;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use toucanshelf_link::dialect::Dialect;
use toucanshelf_link::link;
use toucanshelf_runtime::connections::{Connections, share_of_descriptors};
use toucanshelf_runtime::in_flight::STOP_POLL_INTERVAL;
use toucanshelf_runtime::listen::{ListenLimits, listen};
use toucanshelf_runtime::serve::{ConnectionLimits, serve_bounded};
use toucanshelf_runtime::shutdown::ShutdownSignals;

use crate::discovery::LinkAcceptor;
use crate::pool::{Connector, TcpConnector};
use crate::settings::IngressSettings;
use crate::shared::Shared;

/// Time from the start of a stop for which new connections are still accepted.
// The platform sends callers to other ingresses only after two failed readiness probes, which are
// one second apart.
const STOP_GRACE_PERIOD: Duration = Duration::from_millis(2_800);
/// Maximum number of connections for readiness probes, and of those for metrics.
const MAX_PROBE_CONNECTIONS: usize = 32;
/// Descriptors of the process for each such connection.
const PROBES_DIVISOR: usize = 32;

/// A running ingress with its listeners for callers, readiness probes and metrics.
pub struct Ingress {
    shared: Arc<Shared>,
    address: SocketAddr,
    /// Server of callers, which ends with its last connection.
    callers: StoppableServer,
    /// Server of other ingresses' requests, if there is one.
    relay: Option<StoppableServer>,
}

/// A server that runs until it is stopped and its connections have closed.
struct StoppableServer {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl StoppableServer {
    /// Serves requests on `listener` with the connection limits of the deployment.
    fn new<H, F>(
        listener: TcpListener,
        shared: &Shared,
        connections: Arc<Connections>,
        handler: H,
    ) -> Self
    where
        H: Clone + Fn(http::Request<hyper::body::Incoming>) -> F + Send + 'static,
        F: Future<Output = response::ProxyResponse> + Send + 'static,
    {
        let (stop, stop_rx) = watch::channel(false);
        let limits = shared.connection_limits();
        let task = tokio::spawn(serve_bounded(
            listener,
            limits,
            connections,
            stop_rx,
            handler,
        ));
        Self { stop, task }
    }

    /// Accepts no more connections, and waits until the open ones have closed.
    async fn stop(&mut self) {
        self.stop.send_replace(true);
        // The task ends early only if the runtime shuts down.
        let _ = (&mut self.task).await;
    }
}

impl fmt::Debug for Ingress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ingress")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Ingress {
    /// Binds the listeners, connects to the control instances and serves callers.
    ///
    /// # Errors
    ///
    /// Fails if the setting `link-key` is too short or a listening address can't be bound.
    pub async fn start(
        settings: IngressSettings,
        dialect: Arc<dyn Dialect>,
    ) -> Result<Self, Box<str>> {
        Self::start_with_connector(settings, dialect, Arc::new(TcpConnector)).await
    }

    /// Starts an ingress like [`Ingress::start`] that connects to targets through `connector`.
    ///
    /// # Errors
    ///
    /// Fails as [`Ingress::start`] does.
    #[expect(
        clippy::unused_async,
        reason = "listeners and tasks need the runtime of the caller"
    )]
    pub async fn start_with_connector(
        settings: IngressSettings,
        dialect: Arc<dyn Dialect>,
        connector: Arc<dyn Connector>,
    ) -> Result<Self, Box<str>> {
        let key = settings.shared_key()?;
        let front = listen(settings.listen, ListenLimits::CALLERS)?;
        let ready = listen(settings.ready_listen, ListenLimits::FEW)?;
        let metrics = listen(settings.metrics_listen, ListenLimits::FEW)?;
        let relay = settings.relay_listen;
        let relay = relay.map(|address| listen(address, ListenLimits::FEW));
        let relay = relay.transpose()?;
        let links = settings.link_listen;
        let links = links.map(|address| listen(address, ListenLimits::FEW));
        let links = links.transpose()?;
        let address = front.local_addr().map_err(|e| e.to_string())?;
        let shared = Arc::new(Shared::new(settings, dialect, connector));
        let context = Arc::clone(&shared);
        let handler = move |req| front::handle(Arc::clone(&context), req);
        let connections = Arc::clone(&shared.connections);
        let callers = StoppableServer::new(front, &shared, connections, handler);
        let acceptor = LinkAcceptor::new(&shared, &key);
        let relay = match relay {
            Some(listener) => {
                let address = listener.local_addr().map_err(|e| e.to_string())?;
                shared.relays.set_own_address(address);
                shared.control.set_own_address(address);
                Some(serve_other_instances(listener, &shared, &acceptor))
            }
            None => None,
        };
        if let Some(listener) = links {
            let address = listener.local_addr().map_err(|e| e.to_string())?;
            shared.control.set_own_address(address);
            acceptor.listen(listener);
        }
        control::start(&shared, &key);
        tokio::spawn(discovery::run(Arc::clone(&shared), key));
        tokio::spawn(isolation::run(Arc::clone(&shared)));
        loads::start(&shared);
        start_probes(&shared, ready, metrics);
        tracing::info!(event = "TS4001", %address, "ingress listens");
        Ok(Self {
            shared,
            address,
            callers,
            relay,
        })
    }

    /// Returns the address on which the ingress accepts callers' requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address on which the ingress accepts links, if it does.
    pub fn link_address(&self) -> Option<SocketAddr> {
        self.shared.control.own_address()
    }

    /// Returns the state shared by all request handlers of the ingress.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops the ingress gracefully.
    ///
    /// The ingress first reports itself as not ready, then stops accepting connections, and finally
    /// waits for the requests in flight and the connections, until `stop_timeout_ms` after the start
    /// of the stop.
    pub async fn stop(mut self) {
        let started = tokio::time::Instant::now();
        self.shared.begin_stop();
        self.shared.report_relay_status();
        let under_way = self.shared.under_way().get();
        tracing::info!(event = "TS4002", under_way, "ingress stopping");
        tokio::time::sleep(STOP_GRACE_PERIOD).await;
        let limit = Duration::from_millis(self.shared.settings.stop_timeout_ms);
        let idle = async {
            // A request whose head is still being read isn't counted yet, but its connection is open.
            self.callers.stop().await;
            self.shared.under_way().wait_until_idle().await;
            // Until here, isolated ingresses may have no other one to send their requests to.
            if let Some(relay) = &mut self.relay {
                relay.stop().await;
            }
        };
        if tokio::time::timeout_at(started + limit, idle)
            .await
            .is_err()
        {
            let under_way = self.shared.under_way().get();
            tracing::error!(
                event = "TS4003",
                under_way,
                "stop timeout, aborting requests"
            );
        }
        // The last responses may not have been written to the sockets yet, so the stop waits a
        // little longer.
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        tracing::info!(event = "TS4004", "ingress stopped");
    }
}

/// Serves the requests that other ingresses relay, and links of all instances, on one address.
fn serve_other_instances(
    listener: TcpListener,
    shared: &Arc<Shared>,
    acceptor: &LinkAcceptor,
) -> StoppableServer {
    let (context, acceptor) = (Arc::clone(shared), acceptor.clone());
    let handler = move |req| {
        let (context, acceptor) = (Arc::clone(&context), acceptor.clone());
        async move {
            if link::is_link_request(&req) {
                return acceptor.accept(req);
            }
            front::handle_relayed(context, req).await
        }
    };
    let connections = Connections::new(shared.settings.max_relay_connections());
    StoppableServer::new(listener, shared, connections, handler)
}

fn start_probes(shared: &Arc<Shared>, ready: TcpListener, metrics: TcpListener) {
    let context = Arc::clone(shared);
    let handler = move |req| std::future::ready(front::probe(&context, &req));
    tokio::spawn(serve_forever(ready, handler));
    let context = Arc::clone(shared);
    let handler = move |_| std::future::ready(front::metrics(&context));
    tokio::spawn(serve_forever(metrics, handler));
}

/// Serves requests on `listener` until the process exits, even during a stop.
async fn serve_forever<H, F>(listener: TcpListener, handler: H)
where
    H: Clone + Fn(http::Request<hyper::body::Incoming>) -> F + Send + 'static,
    F: Future<Output = response::ProxyResponse> + Send + 'static,
{
    let (_limits, limits) = watch::channel(ConnectionLimits::default());
    let (_stop, stop) = watch::channel(false);
    let max = share_of_descriptors(PROBES_DIVISOR, MAX_PROBE_CONNECTIONS);
    let connections = Connections::new(max);
    serve_bounded(listener, limits, connections, stop, handler).await;
}

/// Runs an ingress until the process is asked to shut down.
///
/// # Errors
///
/// Fails if the ingress can't start.
pub async fn run_program(
    settings: IngressSettings,
    dialect: Arc<dyn Dialect>,
) -> Result<(), Box<str>> {
    let mut signals = ShutdownSignals::register();
    let ingress = Ingress::start(settings, dialect).await?;
    signals.received().await;
    ingress.stop().await;
    Ok(())
}
