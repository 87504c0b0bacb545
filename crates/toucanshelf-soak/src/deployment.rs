//! Starts a deployment of the real programs on loopback.
//!
//! The gates reach each control instance through a [`Proxy`] that can disturb the connections.
//! Stand-ins for engines and for a service run in this process and announce themselves to the
//! gates. A booking is a non-idempotent `POST` to the service.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tempfile::TempDir;
use tokio::sync::Mutex;
use toucanshelf_core::digest::Digest;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_replay::layout::{Addresses, MODEL, SERVICE, caller_token};
use toucanshelf_standin::engine::StandinEngine;
use toucanshelf_standin::service::{ServiceSettings, StandinService};
use toucanshelf_standin::settings::EngineSettings;

use crate::plan::{CONTROL_COUNT, GATE_COUNT};
use crate::process::Process;
use crate::proxy::Proxy;

/// Id of the organisation that sends all requests of the soak.
pub const ORGANISATION: &str = "skippers";
const LINK_KEY: &str = "soak-link-key-0123456789";
const TARGET_TOKEN: &str = "soak-target";
/// Bearer token of the operator that applies tickets.
pub const OPERATOR_TOKEN: &str = "soak-operator";
const ZONE: &str = "a";
/// Number of layers of the tested model; two engines serve each half of them.
const LAYERS: u32 = 8;
/// Time that the stand-in service takes to respond to a `POST`, in milliseconds.
const BOOKING_DURATION_MS: u64 = 30;

/// A program of the deployment that faults can stop and start again.
#[derive(Debug)]
pub struct ManagedProgram {
    program: PathBuf,
    settings: PathBuf,
    /// The running process, or `None` before the first start.
    ///
    /// A fault that stops or signals the program holds the lock until the program runs again.
    pub process: Mutex<Option<Process>>,
}

impl ManagedProgram {
    fn new(programs: &Path, program: &str, settings: PathBuf) -> Self {
        Self {
            program: programs.join(program),
            settings,
            process: Mutex::new(None),
        }
    }

    /// Starts the program with its settings file.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started or ends before it listens.
    pub fn start(&self) -> io::Result<Process> {
        Process::start(&self.program, &self.settings)
    }
}

/// A running deployment: control instances, gates, proxies, engines and a service.
#[derive(Debug)]
pub struct Deployment {
    /// Programs of the control instances, indexed by instance number.
    pub controls: Vec<ManagedProgram>,
    /// Programs of the gates, indexed by gate number.
    pub gates: Vec<ManagedProgram>,
    /// One proxy per control instance, through which the gates connect to it.
    pub control_proxies: Vec<Proxy>,
    /// Address of each gate for callers and operators.
    pub gate_addresses: Vec<SocketAddr>,
    /// Address of each control instance for operators.
    pub control_addresses: Vec<SocketAddr>,
    /// Stand-in service that runs the non-idempotent `POST` calls and records them.
    pub service: StandinService,
    _engines: Vec<StandinEngine>,
    folder: TempDir,
}

impl Deployment {
    /// Starts all programs and stand-ins; `programs` is the folder of the executables.
    ///
    /// # Errors
    ///
    /// Fails when a program or a stand-in can't be started.
    pub async fn start(programs: &Path) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let mut addresses = Addresses::new();
        let links = addresses.allocate_many(CONTROL_COUNT);
        let control_addresses = addresses.allocate_many(CONTROL_COUNT);
        let gate_addresses = addresses.allocate_many(GATE_COUNT);
        let gate_links = addresses.allocate_many(GATE_COUNT);
        let mut control_proxies = Vec::new();
        for link in &links {
            control_proxies.push(Proxy::start(*link).await?);
        }
        drop(addresses);
        let controls = (0..CONTROL_COUNT).map(|n| {
            let settings = folder.path().join(format!("control-{n}.toml"));
            ManagedProgram::new(programs, "toucanshelf-control", settings)
        });
        let gates = (0..GATE_COUNT).map(|n| {
            let settings = folder.path().join(format!("gate-{n}.toml"));
            ManagedProgram::new(programs, "toucanshelf-gate", settings)
        });
        let (controls, gates): (Vec<_>, Vec<_>) = (controls.collect(), gates.collect());
        for (n, program) in controls.iter().enumerate() {
            let listen = control_addresses[n];
            let write = |bootstrap| {
                let text = control_settings(n, listen, &links, folder.path(), bootstrap);
                std::fs::write(&program.settings, text)
            };
            write(n == 0)?;
            *program.process.lock().await = Some(program.start()?);
            // Only the first start of instance 0 creates the replicated log. An instance that
            // restarts without its data must join the other replicas and not create a second log.
            write(false)?;
        }
        for (n, program) in gates.iter().enumerate() {
            std::fs::write(
                &program.settings,
                gate_settings(n, gate_addresses[n], &gate_links, &control_proxies),
            )?;
            *program.process.lock().await = Some(program.start()?);
        }
        // Starting a stand-in blocks the thread on another tokio runtime, which tokio allows only
        // inside `block_in_place`.
        let (engines, service) = tokio::task::block_in_place(|| start_targets(&gate_addresses))?;
        Ok(Self {
            controls,
            gates,
            control_proxies,
            gate_addresses,
            control_addresses,
            service,
            _engines: engines,
            folder,
        })
    }

    /// Temporary folder that holds the settings files and data folders of all programs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Data folder of control instance number `n`.
    pub fn data_folder(&self, n: usize) -> PathBuf {
        data_folder(self.folder.path(), n)
    }
}

fn data_folder(folder: &Path, n: usize) -> PathBuf {
    folder.join(format!("data-{n}"))
}

fn start_targets(gates: &[SocketAddr]) -> io::Result<(Vec<StandinEngine>, StandinService)> {
    let mut engines = Vec::new();
    for n in 0..4 {
        let first_layer = (n % 2) * LAYERS / 2;
        let layers =
            LayerRange::new(first_layer, first_layer + LAYERS / 2).expect("a half has layers");
        let name = format!("engine-{n}");
        let settings = EngineSettings::new(name, ZONE, MODEL, layers, gates.to_vec(), TARGET_TOKEN);
        engines
            .push(StandinEngine::start(settings).map_err(|e| io::Error::other(String::from(e)))?);
    }
    let name = "service-0";
    let mut settings = ServiceSettings::new(name, SERVICE, ZONE, gates.to_vec(), TARGET_TOKEN);
    settings.delay_ms = BOOKING_DURATION_MS;
    let service = StandinService::start(settings).map_err(|e| io::Error::other(String::from(e)))?;
    Ok((engines, service))
}

fn quoted_list(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let quoted_addresses: Vec<_> = addresses.map(|address| format!("\"{address}\"")).collect();
    quoted_addresses.join(", ")
}

fn control_settings(
    n: usize,
    listen: SocketAddr,
    links: &[SocketAddr],
    folder: &Path,
    bootstrap: bool,
) -> String {
    let others = links.iter().enumerate().filter(|(i, _)| *i != n);
    format!(
        "name = 'control-{n}'\nzone = '{ZONE}'\nlisten = '{listen}'\nlink-listen = '{}'\n\
         link-key = '{LINK_KEY}'\ndata-folder = '{}'\nreplicas = [{}]\nbootstrap = {bootstrap}\n\
         operator-token-digests = ['{}']\n",
        links[n],
        data_folder(folder, n).display(),
        quoted_list(others.map(|(_, address)| *address)),
        Digest::of(OPERATOR_TOKEN.as_bytes()),
    )
}

fn gate_settings(
    n: usize,
    listen: SocketAddr,
    links: &[SocketAddr],
    control_proxies: &[Proxy],
) -> String {
    let target = Digest::of(TARGET_TOKEN.as_bytes());
    let operator = Digest::of(OPERATOR_TOKEN.as_bytes());
    let others = links.iter().enumerate().filter(|(i, _)| *i != n);
    format!(
        "name = 'gate-{n}'\nzone = '{ZONE}'\nlisten = '{listen}'\nlink-listen = '{}'\n\
         link-key = '{LINK_KEY}'\ncontrol = [{}]\npeers = [{}]\n\
         target-token-digests = ['{target}']\noperator-token-digests = ['{operator}']\n",
        links[n],
        quoted_list(control_proxies.iter().map(Proxy::address)),
        quoted_list(others.map(|(_, address)| *address)),
    )
}

/// Returns the first ticket, which creates the organisation, the model and the service.
pub fn first_ticket() -> String {
    let token = Digest::of(caller_token(ORGANISATION).as_bytes());
    format!(
        "number = 1\noperator = 'soak'\n\
         [[organisation]]\nid = '{ORGANISATION}'\nweight = 1\ntoken-digests = ['{token}']\n\
         [[model]]\nid = '{MODEL}'\nlayers = {LAYERS}\n\
         [[service]]\nid = '{SERVICE}'\nclass = 'interactive'\n"
    )
}
