//! Control instance, which manages tickets, claims and deployments in a replicated log.
//!
//! A ticket is an operator's numbered change of the configuration. A claim lets a non-idempotent
//! call run at most once. A deployment is a document with routes, services and organisations, which
//! the operators of a platform replace as a whole.
//!
//! [`driver`] runs the replica on its own thread and applies committed commands to the
//! [`toucanshelf_core::state::ControlState`]. [`peers`] links the control instances, [`sessions`]
//! sends the configuration to gates, and [`api`] serves operators. [`directory`] serves a
//! platform: it stores the deployment, collects the registrations of targets and decides which
//! engine holds which layers of a model.
//! [`Control::start`] runs an instance inside any program or test.
//!
//! ```no_run
//! # async fn start() -> Result<(), Box<str>> {
//! let settings = toucanshelf_runtime::settings::load("control.toml".as_ref());
//! let control = toucanshelf_control::Control::start(settings.unwrap()).await?;
//! println!("operators: http://{}", control.address());
//! # Ok(())
//! # }
//! ```

pub mod address_book;
pub mod api;
pub mod directory;
pub mod driver;
mod hand_over;
pub mod peers;
mod seeds;
pub mod sessions;
pub mod settings;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use toucanshelf_coordination::store::{DataFolder, OpenStore, StoreError};
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_link::dialect::Dialect;
use toucanshelf_link::frame::SubmitError;
use toucanshelf_link::handshake::{Hello, PeerRole};
use toucanshelf_link::link::{self, Link};
use toucanshelf_link::pending::PendingHandshakes;
use toucanshelf_runtime::api::ApiServer;
use toucanshelf_runtime::body::BodyMemory;
use toucanshelf_runtime::connections::share_of_descriptors;
use toucanshelf_runtime::listen::{ListenLimits, listen};
use toucanshelf_runtime::shutdown::ShutdownSignals;

use crate::directory::Directory;
use crate::driver::{Driver, next_reopen_delay};
use crate::peers::Peers;
use crate::sessions::Sessions;
use crate::settings::ControlSettings;

/// Time for which [`Shared::submit`] retries a command that no leader accepts.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before [`Shared::submit`] retries a command.
const SUBMIT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without any byte after which the body of a call counts as stopped.
pub(crate) const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which the body of a call must arrive.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of accepted connections whose link handshake isn't complete.
const MAX_PENDING_HANDSHAKES: usize = 512;
/// Descriptors of the process for each such connection.
const HANDSHAKES_DIVISOR: usize = 8;

/// A running control instance.
pub struct Control {
    shared: Arc<Shared>,
    address: SocketAddr,
    link_address: SocketAddr,
    platform_address: Option<SocketAddr>,
    server: ApiServer,
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// State that the tasks and request handlers of a control instance share.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the control instance.
    pub settings: ControlSettings,
    /// Handle to the thread that runs this instance's replica of the replicated log.
    pub driver: Driver,
    /// Links to the other control instances.
    pub peers: Peers,
    /// Gates that are linked to this instance or were within the last minute.
    pub sessions: Sessions,
    /// Memory of the bodies of all calls.
    pub bodies: Arc<BodyMemory>,
    /// Deployment and targets of the platform whose API this instance serves.
    ///
    /// It is `None` if [`ControlSettings::deployment`] is, which means that no platform is served.
    pub directory: Option<Directory>,
}

impl Control {
    /// Starts a control instance without the API of a platform.
    ///
    /// # Errors
    ///
    /// Fails when the link key is too short, the data folder or a listen address cannot be used, or
    /// the settings enable a platform.
    pub async fn start(settings: ControlSettings) -> Result<Self, Box<str>> {
        Self::start_with_dialect(settings, None).await
    }

    /// Starts a control instance, with a platform's API if the settings enable it.
    ///
    /// `dialect` encodes and decodes the messages of that API.
    ///
    /// # Errors
    ///
    /// Fails when the link key is too short, the data folder or a listen address cannot be used, or
    /// the settings enable a platform and `dialect` is `None`.
    pub async fn start_with_dialect(
        settings: ControlSettings,
        dialect: Option<Arc<dyn Dialect>>,
    ) -> Result<Self, Box<str>> {
        let folder = DataFolder::new(settings.data_folder.clone());
        Self::start_on_store(settings, dialect, Arc::new(folder)).await
    }

    /// Starts a control instance whose replica keeps its state in the store that `opener` opens.
    ///
    /// Waits while the store is unavailable, for example because the disk is full.
    ///
    /// # Errors
    ///
    /// Fails as [`Control::start_with_dialect`] does.
    pub async fn start_on_store(
        settings: ControlSettings,
        dialect: Option<Arc<dyn Dialect>>,
        opener: Arc<dyn OpenStore>,
    ) -> Result<Self, Box<str>> {
        let key = settings.shared_key()?;
        let listener = listen(settings.link_listen, ListenLimits::LINKS)?;
        let link_address = listener.local_addr().map_err(|e| e.to_string())?;
        let driver = open_driver(&settings, &opener)
            .await
            .map_err(|e| e.to_string())?;
        let hello = Hello::for_control(
            settings.name.clone(),
            settings.zone.clone(),
            driver.replica(),
        );
        let peers = Peers::new(&settings, hello.clone(), key.clone());
        let sessions = Sessions::new();
        let directory = match (&settings.deployment, dialect) {
            (Some(deployment), Some(dialect)) => Some(Directory::new(deployment, dialect)),
            (Some(_), None) => return Err("deployment: this program supports no platform".into()),
            (None, _) => None,
        };
        let shared = Arc::new(Shared {
            bodies: BodyMemory::new(settings.memory_limits()),
            settings,
            driver,
            peers,
            sessions,
            directory,
        });
        shared.driver.start(&shared.settings, Arc::clone(&shared));
        shared.peers.start(&shared);
        address_book::read(&shared);
        tokio::spawn(address_book::run(Arc::clone(&shared)));
        tokio::spawn(seeds::run(Arc::clone(&shared)));
        let (links_tx, links) = mpsc::channel(64);
        let max_pending = share_of_descriptors(HANDSHAKES_DIVISOR, MAX_PENDING_HANDSHAKES);
        let pending = PendingHandshakes::new(max_pending);
        tokio::spawn(link::serve(listener, hello, key, pending, links_tx));
        tokio::spawn(accept_links(Arc::clone(&shared), links));
        let platform_address = directory::start(&shared)?;
        let operators = listen(shared.settings.listen, ListenLimits::FEW)?;
        let server = api::serve(&shared, operators)?;
        let address = server.local_addr();
        tracing::info!(event = "TS2001", http = %address, link = %link_address, "control listens");
        Ok(Self {
            shared,
            address,
            link_address,
            platform_address,
            server,
        })
    }

    /// Returns the listen address of the operators' API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the listen address for links from gates, ingresses and control instances.
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Returns the listen address of the platform's API, if the settings enable it.
    pub fn platform_address(&self) -> Option<SocketAddr> {
        self.platform_address
    }

    /// Returns the state that the tasks and request handlers share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops the replica's thread and the server of the operators' API.
    pub async fn stop(self) {
        self.shared.driver.stop();
        self.server.close().await;
        tracing::info!(event = "TS2002", "control stopped");
    }
}

/// Opens the driver's store, and tries again as long as the store is unavailable.
async fn open_driver(
    settings: &ControlSettings,
    opener: &Arc<dyn OpenStore>,
) -> Result<Driver, StoreError> {
    let mut delay = Duration::ZERO;
    loop {
        match Driver::open(settings, Arc::clone(opener)) {
            Err(e) if e.may_recover() => {
                tracing::warn!(event = "TS2109", cause = %e, "waiting for the store of the replica");
                delay = next_reopen_delay(delay);
                tokio::time::sleep(delay).await;
            }
            result => return result,
        }
    }
}

async fn accept_links(shared: Arc<Shared>, mut links: mpsc::Receiver<Link>) {
    while let Some(link) = links.recv().await {
        let shared = Arc::clone(&shared);
        match link.peer.role {
            PeerRole::Gate => tokio::spawn(sessions::serve(shared, link)),
            PeerRole::Control => tokio::spawn(peers::serve(shared, link)),
            PeerRole::Ingress => tokio::spawn(directory::ingresses::serve(shared, link)),
        };
    }
}

impl Shared {
    /// Commits a command to the replicated log and returns the state machine's reply.
    ///
    /// If `forward` is set, the command may be forwarded to the leader, and it is retried for up
    /// to 3 seconds until a leader accepts it.
    ///
    /// # Errors
    ///
    /// Fails with [`SubmitError::NotTaken`] only when the command will never be committed.
    pub async fn submit(&self, body: CommandBody, forward: bool) -> Result<Reply, SubmitError> {
        let deadline = tokio::time::Instant::now() + SUBMIT_TIMEOUT;
        loop {
            let result = match self.driver.leader() {
                Some(leader) if leader == self.driver.replica() => {
                    self.driver.submit(body.clone()).await
                }
                Some(leader) if forward => self.peers.forward(leader, body.clone()).await,
                _ => Err(SubmitError::NotTaken("no leader is known".into())),
            };
            let retry = matches!(result, Err(SubmitError::NotTaken(_))) && forward;
            if !retry || tokio::time::Instant::now() + SUBMIT_RETRY_DELAY > deadline {
                return result;
            }
            tokio::time::sleep(SUBMIT_RETRY_DELAY).await;
        }
    }
}

/// Waits until the process is asked to stop and this instance has handed its vote over.
async fn stop_requested(signals: &mut ShutdownSignals, shared: &Shared) {
    signals.received().await;
    hand_over::run(shared).await;
}

/// Runs a control instance until SIGTERM, SIGINT or lasting damage of its store.
///
/// # Errors
///
/// Fails when the instance cannot start or the store of its replica is damaged.
pub async fn run_program(
    settings: ControlSettings,
    dialect: Arc<dyn Dialect>,
) -> Result<(), Box<str>> {
    let mut signals = ShutdownSignals::register();
    let control = Control::start_with_dialect(settings, Some(dialect)).await?;
    let failure = tokio::select! {
        () = stop_requested(&mut signals, &control.shared) => None,
        cause = control.shared.driver.failed() => Some(cause),
    };
    control.stop().await;
    failure.map_or(Ok(()), Err)
}
