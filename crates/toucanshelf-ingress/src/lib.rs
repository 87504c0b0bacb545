//! Ingress process: routes of a platform's deployment, streams and recovery.
//!
//! [`front`] answers callers; [`plain`] and [`stream`] run their requests over [`pool`]ed
//! connections to targets. [`control`] keeps the deployment and the registrations in step,
//! [`targets`] holds what routing decides on. The platform's manner of speaking comes in as a
//! [`Dialect`].
//!
//! ```no_run
//! # async fn start(dialect: std::sync::Arc<dyn toucanshelf_link::dialect::Dialect>) {
//! let settings = toucanshelf_runtime::settings::load("ingress.toml".as_ref()).unwrap();
//! let ingress = toucanshelf_ingress::Ingress::start(settings, dialect).await.unwrap();
//! println!("callers: http://{}", ingress.address());
//! # }
//! ```

pub mod answer;
pub mod attempt;
pub mod control;
pub mod events;
pub mod front;
pub mod live_route;
pub mod metrics;
pub mod plain;
pub mod pool;
pub mod reports;
pub mod request;
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
use toucanshelf_link::dialect::Dialect;
use toucanshelf_runtime::in_flight::STOP_POLL_INTERVAL;
use toucanshelf_runtime::serve::{ConnectionLimits, serve};

use crate::settings::IngressSettings;
use crate::shared::Shared;

/// Time after a stop for which new connections are still taken.
// The platform needs two missed probes, a second apart, to send callers elsewhere.
const STOP_NOTICE: Duration = Duration::from_millis(2_800);

/// A running ingress.
pub struct Ingress {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl fmt::Debug for Ingress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ingress")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Box<str>> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|e| format!("listening on {address}: {e}").into())
}

impl Ingress {
    /// Starts an ingress.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be used.
    pub async fn start(
        settings: IngressSettings,
        dialect: Arc<dyn Dialect>,
    ) -> Result<Self, Box<str>> {
        let key = settings.shared_key()?;
        let front = listen(settings.listen).await?;
        let ready = listen(settings.ready_listen).await?;
        let metrics = listen(settings.metrics_listen).await?;
        let address = front.local_addr().map_err(|e| e.to_string())?;
        let shared = Arc::new(Shared::new(settings, dialect));
        let (stop, stop_rx) = watch::channel(false);
        control::start(&shared, &key);
        let context = Arc::clone(&shared);
        let handler = move |req| front::handle(Arc::clone(&context), req);
        let limits = shared.connection_limits();
        tokio::spawn(serve(front, limits, stop_rx, handler));
        start_probes(&shared, ready, metrics);
        tracing::info!(event = "TS4001", %address, "ingress listens");
        Ok(Self {
            shared,
            address,
            stop,
        })
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// State that handlers share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops in order: is not ready, then takes nothing new, then finishes what is under way.
    pub async fn stop(self) {
        let started = tokio::time::Instant::now();
        self.shared.begin_stop();
        let under_way = self.shared.under_way().get();
        tracing::info!(event = "TS4002", under_way, "ingress stops");
        tokio::time::sleep(STOP_NOTICE).await;
        self.stop.send_replace(true);
        let limit = Duration::from_millis(self.shared.settings.stop_timeout_ms);
        let idle = self.shared.under_way().wait_until_idle();
        if tokio::time::timeout_at(started + limit, idle)
            .await
            .is_err()
        {
            let under_way = self.shared.under_way().get();
            tracing::error!(event = "TS4003", under_way, "stop timeout; work is cut off");
        }
        // The last answers may still be on their way to the sockets.
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        tracing::info!(event = "TS4004", "ingress stopped");
    }
}

fn start_probes(shared: &Arc<Shared>, ready: TcpListener, metrics: TcpListener) {
    let context = Arc::clone(shared);
    let handler = move |req| std::future::ready(front::probe(&context, &req));
    tokio::spawn(serve_for_ever(ready, handler));
    let context = Arc::clone(shared);
    let handler = move |_| std::future::ready(front::metrics(&context));
    tokio::spawn(serve_for_ever(metrics, handler));
}

/// Serves until the process ends, also while the ingress stops.
async fn serve_for_ever<H, F>(listener: TcpListener, handler: H)
where
    H: Clone + Fn(http::Request<hyper::body::Incoming>) -> F + Send + 'static,
    F: Future<Output = answer::Answer> + Send + 'static,
{
    let (_limits, limits) = watch::channel(ConnectionLimits::default());
    let (_stop, stop) = watch::channel(false);
    serve(listener, limits, stop, handler).await;
}

/// Runs an ingress as a program until it is asked to stop.
///
/// # Errors
///
/// Fails when it can't start.
pub async fn run_program(
    settings: IngressSettings,
    dialect: Arc<dyn Dialect>,
) -> Result<(), Box<str>> {
    let ingress = Ingress::start(settings, dialect).await?;
    toucanshelf_runtime::shutdown::requested().await;
    ingress.stop().await;
    Ok(())
}
