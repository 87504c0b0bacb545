//! Control process: tickets, claims and the replicated log.
//!
//! [`driver`] runs the replica on a thread of its own and applies committed commands to the
//! [`toucanshelf_core::state::ControlState`]. [`peers`] links the control instances,
//! [`sessions`] feeds the gates, [`api`] serves operators; [`directory`] serves a platform:
//! deployments, registrations of targets and the placement of layers. [`Control::start`] puts them together,
//! also inside other programs and tests.
//!
//! ```no_run
//! # async fn start() -> Result<(), Box<str>> {
//! let settings = toucanshelf_runtime::settings::load("control.toml".as_ref());
//! let control = toucanshelf_control::Control::start(settings.unwrap()).await?;
//! println!("operators: http://{}", control.address());
//! # Ok(())
//! # }
//! ```

pub mod api;
pub mod directory;
pub mod driver;
pub mod peers;
pub mod sessions;
pub mod settings;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_link::dialect::Dialect;
use toucanshelf_link::frame::SubmitError;
use toucanshelf_link::handshake::{Hello, PeerRole};
use toucanshelf_link::link::{self, Link};

use crate::directory::Directory;
use crate::driver::Driver;
use crate::peers::Peers;
use crate::sessions::Sessions;
use crate::settings::ControlSettings;

/// Time for which a command waits for a leader before it is refused.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between tries to find a leader.
const LEADER_POLL: Duration = Duration::from_millis(50);

/// A running control instance.
pub struct Control {
    parts: Arc<Parts>,
    address: SocketAddr,
    link_address: SocketAddr,
    platform_address: Option<SocketAddr>,
    server: dropshot::HttpServer<Arc<Parts>>,
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Parts of a control instance that handlers share.
#[derive(Debug)]
pub struct Parts {
    /// Checked settings.
    pub settings: ControlSettings,
    /// The replica.
    pub driver: Driver,
    /// Links to the other control instances.
    pub peers: Peers,
    /// Links to gates.
    pub sessions: Sessions,
    /// Part that serves a platform, where the settings ask for it.
    pub directory: Option<Directory>,
}

impl Control {
    /// Starts a control instance.
    ///
    /// # Errors
    ///
    /// Fails when the data folder or an address can't be used.
    pub async fn start(settings: ControlSettings) -> Result<Self, Box<str>> {
        Self::start_with_dialect(settings, None).await
    }

    /// Starts a control instance that serves a platform in its dialect.
    ///
    /// # Errors
    ///
    /// Fails when the data folder or an address can't be used.
    pub async fn start_with_dialect(
        settings: ControlSettings,
        dialect: Option<Arc<dyn Dialect>>,
    ) -> Result<Self, Box<str>> {
        let key = settings.shared_key()?;
        let listener = TcpListener::bind(settings.link_listen)
            .await
            .map_err(|e| format!("listening on {}: {e}", settings.link_listen))?;
        let link_address = listener.local_addr().map_err(|e| e.to_string())?;
        let driver = Driver::open(&settings).map_err(|e| e.to_string())?;
        let hello = Hello::for_control(
            settings.name.clone(),
            settings.zone.clone(),
            driver.replica(),
        );
        let peers = Peers::new(&settings, hello.clone(), key.clone());
        let sessions = Sessions::new();
        let directory = match (&settings.deployment, dialect) {
            (Some(deployment), Some(dialect)) => Some(Directory::new(deployment, dialect)),
            (Some(_), None) => return Err("deployment: this program speaks no platform".into()),
            (None, _) => None,
        };
        let parts = Arc::new(Parts {
            settings,
            driver,
            peers,
            sessions,
            directory,
        });
        parts.driver.start(&parts.settings, Arc::clone(&parts));
        parts.peers.start(&parts);
        let (links_tx, links) = mpsc::channel(64);
        tokio::spawn(link::serve(listener, hello, key, links_tx));
        tokio::spawn(accept_links(Arc::clone(&parts), links));
        let platform_address = directory::start(&parts).await?;
        let server = api::serve(&parts)?;
        let address = server.local_addr();
        tracing::info!(event = "TS2001", http = %address, link = %link_address, "control listens");
        Ok(Self {
            parts,
            address,
            link_address,
            platform_address,
            server,
        })
    }

    /// Address for operators.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address for gates and other control instances.
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Address for the platform's operators and targets, where one is served.
    pub fn platform_address(&self) -> Option<SocketAddr> {
        self.platform_address
    }

    /// Parts that handlers share.
    pub fn parts(&self) -> &Arc<Parts> {
        &self.parts
    }

    /// Stops in order.
    pub async fn stop(self) {
        self.parts.driver.stop();
        let _ = self.server.close().await;
        tracing::info!(event = "TS2002", "control stopped");
    }
}

async fn accept_links(parts: Arc<Parts>, mut links: mpsc::Receiver<Link>) {
    while let Some(link) = links.recv().await {
        let parts = Arc::clone(&parts);
        match link.peer.role {
            PeerRole::Gate => tokio::spawn(sessions::serve(parts, link)),
            PeerRole::Control => tokio::spawn(peers::serve(parts, link)),
            PeerRole::Ingress => tokio::spawn(directory::ingresses::serve(parts, link)),
        };
    }
}

impl Parts {
    /// Commits a command, here or at the leader, and returns the answer of the state machine.
    ///
    /// # Errors
    ///
    /// Fails with [`SubmitError::NotTaken`] only when the command will never be committed.
    pub async fn submit(&self, body: CommandBody, forward: bool) -> Result<Reply, SubmitError> {
        let due = tokio::time::Instant::now() + SUBMIT_TIMEOUT;
        loop {
            let result = match self.driver.leader() {
                Some(leader) if leader == self.driver.replica() => {
                    self.driver.submit(body.clone()).await
                }
                Some(leader) if forward => self.peers.forward(leader, body.clone()).await,
                _ => Err(SubmitError::NotTaken("no leader is known".into())),
            };
            let retry = matches!(result, Err(SubmitError::NotTaken(_))) && forward;
            if !retry || tokio::time::Instant::now() + LEADER_POLL > due {
                return result;
            }
            tokio::time::sleep(LEADER_POLL).await;
        }
    }
}

/// Runs a control instance as a program until it is asked to stop.
///
/// # Errors
///
/// Fails when it can't start or its disk fails.
pub async fn run_program(
    settings: ControlSettings,
    dialect: Arc<dyn Dialect>,
) -> Result<(), Box<str>> {
    let control = Control::start_with_dialect(settings, Some(dialect)).await?;
    let failure = tokio::select! {
        () = toucanshelf_runtime::shutdown::requested() => None,
        cause = control.parts.driver.failed() => Some(cause),
    };
    control.stop().await;
    failure.map_or(Ok(()), Err)
}
