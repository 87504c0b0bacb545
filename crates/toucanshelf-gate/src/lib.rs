//! Gate process: callers, targets and routing.
//!
//! [`api`] is the HTTP interface. [`completions`] runs requests over pipelines of engines,
//! [`services`] calls plain services. [`control_link`] keeps the configuration in step and
//! commits claims, [`gossip`] shares target records with the other gates, [`fleets`] holds what
//! the planners work on. [`Gate::start`] puts them together, also inside other programs.
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

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use toucanshelf_link::handshake::Hello;
use toucanshelf_link::link;

use crate::settings::GateSettings;
use crate::shared::Shared;

/// Time after the last request for which a stopping gate still refuses new ones.
// A connection that closes under a caller's request looks like a crash to the caller.
const STOP_LINGER: Duration = Duration::from_secs(1);

/// A running gate.
pub struct Gate {
    shared: Arc<Shared>,
    address: SocketAddr,
    link_address: SocketAddr,
    server: dropshot::HttpServer<Arc<Shared>>,
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Gate {
    /// Starts a gate.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be used.
    pub async fn start(settings: GateSettings) -> Result<Self, Box<str>> {
        let key = settings.shared_key()?;
        let listener = TcpListener::bind(settings.link_listen)
            .await
            .map_err(|e| format!("listening on {}: {e}", settings.link_listen))?;
        let link_address = listener.local_addr().map_err(|e| e.to_string())?;
        let hello = Hello::for_gate(settings.name.clone(), settings.zone.clone());
        let shared = Arc::new(Shared::new(settings));
        let (links_tx, links) = mpsc::channel(64);
        tokio::spawn(link::serve(listener, hello.clone(), key.clone(), links_tx));
        control_link::start(&shared, &hello, &key);
        gossip::start(&shared, &hello, &key, links);
        let server = api::serve(&shared)?;
        let address = server.local_addr();
        tracing::info!(event = "TS3001", http = %address, link = %link_address, "gate listens");
        Ok(Self {
            shared,
            address,
            link_address,
            server,
        })
    }

    /// Address for callers and targets.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address for other gates.
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// State that handlers share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops in order: takes nothing new, finishes what is under way, then closes.
    pub async fn stop(self) {
        self.shared.begin_stop();
        tracing::info!(
            event = "TS3002",
            under_way = self.shared.under_way().get(),
            "gate stops"
        );
        let limit = Duration::from_millis(self.shared.settings.stop_timeout_ms);
        let idle = self.shared.under_way().wait_until_idle();
        if tokio::time::timeout(limit, idle).await.is_err() {
            tracing::error!(
                event = "TS3003",
                under_way = self.shared.under_way().get(),
                "stop timeout; work is cut off"
            );
        }
        // Callers that kept their connections get an answer that closes them.
        tokio::time::sleep(STOP_LINGER).await;
        self.shared.end();
        let _ = self.server.close().await;
        tracing::info!(event = "TS3004", "gate stopped");
    }
}

/// Runs a gate as a program until it is asked to stop.
///
/// # Errors
///
/// Fails when it can't start.
pub async fn run_program(settings: GateSettings) -> Result<(), Box<str>> {
    let gate = Gate::start(settings).await?;
    toucanshelf_runtime::shutdown::requested().await;
    gate.stop().await;
    Ok(())
}
