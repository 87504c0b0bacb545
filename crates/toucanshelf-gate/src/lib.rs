//! Gate process: accepts callers' requests and routes them to targets.
//!
//! [`api`] defines the HTTP interface. [`completions`] runs requests over pipelines of engines, and
//! [`services`] calls plain services, which run no model. [`control_link`] keeps the configuration
//! up to date and commits claims, which let a non-idempotent call run at most once. [`gossip`]
//! exchanges records of the targets' availability with the other gates. [`fleets`] holds the targets
//! among which the planners choose. [`Gate::start`] runs a gate, also inside other programs.
//!
//! ```no_run
//! # async fn start() -> Result<(), Box<str>> {
//! let settings = toucanshelf_runtime::settings::load("gate.toml".as_ref()).unwrap();
//! let gate = toucanshelf_gate::Gate::start(settings).await?;
//! println!("callers: http://{}", gate.address());
//! # Ok(())
//! # }
//! ```

pub mod api;
pub mod callers;
pub mod completions;
pub mod control_link;
pub mod fleets;
pub mod gossip;
pub mod metrics;
pub mod policy;
pub mod services;
pub mod settings;
pub mod shared;
pub mod targets;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use toucanshelf_link::handshake::Hello;
use toucanshelf_link::link;
use toucanshelf_link::pending::PendingHandshakes;
use toucanshelf_runtime::api::ApiServer;
use toucanshelf_runtime::connections::share_of_descriptors;
use toucanshelf_runtime::listen::{ListenLimits, listen};
use toucanshelf_runtime::shutdown::ShutdownSignals;

use crate::settings::GateSettings;
use crate::shared::Shared;

/// Time after the last request during which a stopping gate still answers with refusals.
///
/// To a caller, a connection that closes during a request is indistinguishable from a crash.
const SHUTDOWN_LINGER: Duration = Duration::from_secs(1);

/// Maximum number of accepted connections whose link handshake isn't complete.
const MAX_PENDING_HANDSHAKES: usize = 512;
/// Descriptors of the process for each such connection.
const HANDSHAKES_DIVISOR: usize = 8;

/// A running gate.
pub struct Gate {
    shared: Arc<Shared>,
    address: SocketAddr,
    link_address: SocketAddr,
    server: ApiServer,
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Gate {
    /// Starts a gate and its listeners.
    ///
    /// # Errors
    ///
    /// Fails if the link key is invalid or an address cannot be bound.
    #[expect(
        clippy::unused_async,
        reason = "listeners and tasks need the runtime of the caller"
    )]
    pub async fn start(settings: GateSettings) -> Result<Self, Box<str>> {
        let key = settings.shared_key()?;
        let listener = listen(settings.link_listen, ListenLimits::LINKS)?;
        let callers = listen(settings.listen, ListenLimits::CALLERS)?;
        let link_address = listener.local_addr().map_err(|e| e.to_string())?;
        let hello = Hello::for_gate(settings.name.clone(), settings.zone.clone());
        let shared = Arc::new(Shared::new(settings));
        let (links_tx, links) = mpsc::channel(64);
        let max_pending = share_of_descriptors(HANDSHAKES_DIVISOR, MAX_PENDING_HANDSHAKES);
        let pending = PendingHandshakes::new(max_pending);
        let accept = link::serve(listener, hello.clone(), key.clone(), pending, links_tx);
        tokio::spawn(accept);
        control_link::start(&shared, &hello, &key);
        gossip::start(&shared, &hello, &key, links);
        let server = api::serve(&shared, callers)?;
        let address = server.local_addr();
        tracing::info!(event = "TS3001", http = %address, link = %link_address, "gate listens");
        Ok(Self {
            shared,
            address,
            link_address,
            server,
        })
    }

    /// Returns the address for callers and targets.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for links from other gates.
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Returns the state that the modules of the gate share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops the gate gracefully.
    ///
    /// Refuses new requests, waits up to `stop-timeout-ms` for the requests in flight, and then
    /// closes all connections.
    pub async fn stop(self) {
        self.shared.begin_stop();
        tracing::info!(
            event = "TS3002",
            under_way = self.shared.requests_in_flight().get(),
            "gate is shutting down"
        );
        let limit = Duration::from_millis(self.shared.settings.stop_timeout_ms);
        let idle = self.shared.requests_in_flight().wait_until_idle();
        if tokio::time::timeout(limit, idle).await.is_err() {
            tracing::error!(
                event = "TS3003",
                under_way = self.shared.requests_in_flight().get(),
                "shutdown timed out; aborting the remaining requests"
            );
        }
        // Callers with open connections get a refusal that tells them to close the connection.
        tokio::time::sleep(SHUTDOWN_LINGER).await;
        self.shared.mark_stopped();
        self.server.close().await;
        tracing::info!(event = "TS3004", "gate stopped");
    }
}

/// Runs a gate until the process is asked to stop.
///
/// # Errors
///
/// Fails if the gate cannot start.
pub async fn run_program(settings: GateSettings) -> Result<(), Box<str>> {
    let mut signals = ShutdownSignals::register();
    let gate = Gate::start(settings).await?;
    signals.received().await;
    gate.stop().await;
    Ok(())
}
