//! A deployment of real programs on loopback, with proxies before the control instances.

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

use crate::plan::{CONTROLS, GATES};
use crate::process::Process;
use crate::proxy::Proxy;

/// Organisation that calls.
pub const ORGANISATION: &str = "skippers";
const LINK_KEY: &str = "soak-link-key-0123456789";
const TARGET_TOKEN: &str = "soak-target";
/// Token of the operator.
pub const OPERATOR_TOKEN: &str = "soak-operator";
const ZONE: &str = "a";
/// Layers of the model; each of its halves is held twice.
const LAYERS: u32 = 8;
/// Time that a booking takes at its target, in milliseconds.
const BOOKING_MS: u64 = 30;

/// A program that can be ended and started again.
#[derive(Debug)]
pub struct Slot {
    program: PathBuf,
    settings: PathBuf,
    /// Held for as long as a fault of this program lasts.
    pub process: Mutex<Option<Process>>,
}

impl Slot {
    fn new(programs: &Path, program: &str, settings: PathBuf) -> Self {
        Self {
            program: programs.join(program),
            settings,
            process: Mutex::new(None),
        }
    }

    /// Starts the program.
    ///
    /// # Errors
    ///
    /// Fails when it does not come to listen.
    pub fn start(&self) -> io::Result<Process> {
        Process::start(&self.program, &self.settings)
    }
}

/// The deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Control instances.
    pub controls: Vec<Slot>,
    /// Gates.
    pub gates: Vec<Slot>,
    /// Proxies between the gates and each control instance.
    pub paths: Vec<Proxy>,
    /// Addresses of the gates for callers.
    pub gate_addresses: Vec<SocketAddr>,
    /// Addresses of the control instances for operators.
    pub control_addresses: Vec<SocketAddr>,
    /// Target of the bookings.
    pub service: StandinService,
    _engines: Vec<StandinEngine>,
    folder: TempDir,
}

impl Deployment {
    /// Starts everything; `programs` is the folder of the built programs.
    ///
    /// # Errors
    ///
    /// Fails when a program or a stand-in can't be started.
    pub async fn start(programs: &Path) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let mut addresses = Addresses::new();
        let links = addresses.allocate_many(CONTROLS);
        let control_addresses = addresses.allocate_many(CONTROLS);
        let gate_addresses = addresses.allocate_many(GATES);
        let gate_links = addresses.allocate_many(GATES);
        let mut paths = Vec::new();
        for link in &links {
            paths.push(Proxy::start(*link).await?);
        }
        drop(addresses);
        let controls = (0..CONTROLS).map(|n| {
            let settings = folder.path().join(format!("control-{n}.toml"));
            Slot::new(programs, "toucanshelf-control", settings)
        });
        let gates = (0..GATES).map(|n| {
            let settings = folder.path().join(format!("gate-{n}.toml"));
            Slot::new(programs, "toucanshelf-gate", settings)
        });
        let (controls, gates): (Vec<_>, Vec<_>) = (controls.collect(), gates.collect());
        for (n, slot) in controls.iter().enumerate() {
            let listen = control_addresses[n];
            let write = |founds| {
                let text = control_settings(n, listen, &links, folder.path(), founds);
                std::fs::write(&slot.settings, text)
            };
            write(n == 0)?;
            *slot.process.lock().await = Some(slot.start()?);
            // One that has lost its disk must not found the log anew.
            write(false)?;
        }
        for (n, slot) in gates.iter().enumerate() {
            std::fs::write(
                &slot.settings,
                gate_settings(n, gate_addresses[n], &gate_links, &paths),
            )?;
            *slot.process.lock().await = Some(slot.start()?);
        }
        // Stand-ins run on runtimes of their own.
        let (engines, service) = tokio::task::block_in_place(|| start_targets(&gate_addresses))?;
        Ok(Self {
            controls,
            gates,
            paths,
            gate_addresses,
            control_addresses,
            service,
            _engines: engines,
            folder,
        })
    }

    /// Folder with the settings and the data of all programs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Data folder of control instance `n`.
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
        let from = (n % 2) * LAYERS / 2;
        let layers = LayerRange::new(from, from + LAYERS / 2).expect("a half has layers");
        let name = format!("engine-{n}");
        let settings = EngineSettings::new(name, ZONE, MODEL, layers, gates.to_vec(), TARGET_TOKEN);
        engines
            .push(StandinEngine::start(settings).map_err(|e| io::Error::other(String::from(e)))?);
    }
    let name = "service-0";
    let mut settings = ServiceSettings::new(name, SERVICE, ZONE, gates.to_vec(), TARGET_TOKEN);
    settings.delay_ms = BOOKING_MS;
    let service = StandinService::start(settings).map_err(|e| io::Error::other(String::from(e)))?;
    Ok((engines, service))
}

fn quoted(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let quoted: Vec<_> = addresses.map(|address| format!("\"{address}\"")).collect();
    quoted.join(", ")
}

fn control_settings(
    n: usize,
    listen: SocketAddr,
    links: &[SocketAddr],
    folder: &Path,
    founds: bool,
) -> String {
    let others = links.iter().enumerate().filter(|(i, _)| *i != n);
    format!(
        "name = 'control-{n}'\nzone = '{ZONE}'\nlisten = '{listen}'\nlink-listen = '{}'\n\
         link-key = '{LINK_KEY}'\ndata-folder = '{}'\nreplicas = [{}]\nbootstrap = {founds}\n\
         operator-token-digests = ['{}']\n",
        links[n],
        data_folder(folder, n).display(),
        quoted(others.map(|(_, address)| *address)),
        Digest::of(OPERATOR_TOKEN.as_bytes()),
    )
}

fn gate_settings(n: usize, listen: SocketAddr, links: &[SocketAddr], paths: &[Proxy]) -> String {
    let target = Digest::of(TARGET_TOKEN.as_bytes());
    let operator = Digest::of(OPERATOR_TOKEN.as_bytes());
    let others = links.iter().enumerate().filter(|(i, _)| *i != n);
    format!(
        "name = 'gate-{n}'\nzone = '{ZONE}'\nlisten = '{listen}'\nlink-listen = '{}'\n\
         link-key = '{LINK_KEY}'\ncontrol = [{}]\npeers = [{}]\n\
         target-token-digests = ['{target}']\noperator-token-digests = ['{operator}']\n",
        links[n],
        quoted(paths.iter().map(Proxy::address)),
        quoted(others.map(|(_, address)| *address)),
    )
}

/// First ticket: the organisation, the model and the service of the soak.
pub fn first_ticket() -> String {
    let token = Digest::of(caller_token(ORGANISATION).as_bytes());
    format!(
        "number = 1\noperator = 'soak'\n\
         [[organisation]]\nid = '{ORGANISATION}'\nweight = 1\ntoken-digests = ['{token}']\n\
         [[model]]\nid = '{MODEL}'\nlayers = {LAYERS}\n\
         [[service]]\nid = '{SERVICE}'\nclass = 'interactive'\n"
    )
}
