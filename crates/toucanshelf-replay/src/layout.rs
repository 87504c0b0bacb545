//! Addresses, settings and first configuration change of a deployment.
//!
//! A ticket is a numbered set of configuration changes; the first one has the number 1.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use tempfile::TempDir;
use toucanshelf_control::settings::ControlSettings;
use toucanshelf_core::digest::Digest;
use toucanshelf_core::document::{Class, Model, Organisation, Service};
use toucanshelf_core::ids::TicketNumber;
use toucanshelf_core::ticket::Ticket;
use toucanshelf_gate::settings::{GateSettings, PlannerKind};
use toucanshelf_runtime::settings::LogSettings;

use crate::trace::Trace;

/// Name of the model that all engines serve.
pub const MODEL: &str = "model";
/// Id of the plain service, which accepts `POST` requests and runs no model.
pub const SERVICE: &str = "dispatch-app";
/// Memory for the bodies of calls to a control instance, in bytes.
const CONTROL_BODY_MEMORY_BYTES: usize = 12 * 1024 * 1024;
const LINK_KEY: &str = "replay-link-key-0123456789";
pub(crate) const TARGET_TOKEN: &str = "replay-target";
const OPERATOR_TOKEN: &str = "replay-operator";

/// Returns the bearer token of an organisation's callers.
pub fn caller_token(organisation: &str) -> String {
    format!("replay-{organisation}")
}

/// Allocates addresses of one deployment on its own loopback IP address.
///
/// An outgoing connection may take a port that was found free shortly before. As such connections
/// come from 127.0.0.1, they don't conflict with ports on another loopback IP address.
#[derive(Debug)]
pub struct Addresses {
    ip: Ipv4Addr,
    /// Listeners that reserve the allocated ports until all addresses are allocated.
    listeners: Vec<TcpListener>,
}

impl Default for Addresses {
    fn default() -> Self {
        Self::new()
    }
}

impl Addresses {
    /// Selects a loopback IP address that no other deployment of this process uses.
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let ip = Ipv4Addr::new(
            127,
            (1 + process % 250) as u8,
            (n / 250) as u8,
            (1 + n % 250) as u8,
        );
        Self {
            ip,
            listeners: Vec::new(),
        }
    }

    /// Allocates an address with a free port.
    pub fn allocate(&mut self) -> SocketAddr {
        let listener = TcpListener::bind((self.ip, 0)).expect("a loopback port can be bound");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        self.listeners.push(listener);
        address
    }

    /// Allocates `count` addresses with free ports.
    pub fn allocate_many(&mut self, count: usize) -> Vec<SocketAddr> {
        (0..count).map(|_| self.allocate()).collect()
    }
}

/// Addresses at which control instances and gates accept links from other processes.
#[derive(Debug)]
pub(crate) struct LinkAddresses {
    pub(crate) controls: Vec<SocketAddr>,
    pub(crate) gates: Vec<SocketAddr>,
}

/// Returns the settings of the control instance with the index `n`.
pub(crate) fn control_settings(
    n: usize,
    zones: &[Box<str>],
    links: &[SocketAddr],
    listen: SocketAddr,
    folder: &TempDir,
) -> ControlSettings {
    let others = links.iter().enumerate().filter(|(i, _)| *i != n);
    ControlSettings {
        name: format!("control-{n}").into(),
        zone: zones[n % zones.len()].clone(),
        listen,
        link_listen: links[n],
        link_key: LINK_KEY.into(),
        data_folder: folder.path().join(format!("control-{n}")),
        replicas: others.map(|(_, address)| *address).collect(),
        bootstrap: n == 0,
        operator_token_digests: vec![Digest::of(OPERATOR_TOKEN.as_bytes())],
        body_memory_bytes: CONTROL_BODY_MEMORY_BYTES,
        deployment: None,
        file: None,
        log: LogSettings::default(),
    }
}

/// Returns the settings of the gate with the index `n`.
pub(crate) fn gate_settings(
    trace: &Trace,
    n: usize,
    planner: PlannerKind,
    zones: &[Box<str>],
    listen: SocketAddr,
    links: &LinkAddresses,
) -> GateSettings {
    let others = links.gates.iter().enumerate().filter(|(i, _)| *i != n);
    GateSettings {
        name: format!("gate-{n}").into(),
        zone: zones[n % zones.len()].clone(),
        listen,
        link_listen: links.gates[n],
        link_key: LINK_KEY.into(),
        control: links.controls.clone(),
        peers: others.map(|(_, address)| *address).collect(),
        target_token_digests: vec![Digest::of(TARGET_TOKEN.as_bytes())],
        operator_token_digests: vec![Digest::of(OPERATOR_TOKEN.as_bytes())],
        lease_ms: trace.lease_ms,
        deadline_ms: 60_000,
        service_timeout_ms: 10_000,
        stop_timeout_ms: 60_000,
        max_body_bytes: 1 << 20,
        body_memory_bytes: None,
        max_connections: None,
        planner,
        links: Vec::new(),
        log: LogSettings::default(),
    }
}

/// Builds the ticket that introduces the organisations, service and model of a trace.
pub(crate) fn ticket(trace: &Trace) -> Ticket {
    let mut organisations: BTreeMap<&str, Organisation> = BTreeMap::new();
    for load in &trace.loads {
        let token = caller_token(&load.organisation);
        let organisation = Organisation {
            id: load.organisation.clone(),
            weight: load.weight,
            token_digests: vec![Digest::of(token.as_bytes())],
            names: BTreeMap::new(),
        };
        organisations.insert(&load.organisation, organisation);
    }
    let service = Service {
        id: SERVICE.into(),
        model: None,
        class: Class::Interactive,
        repeatable_paths: Vec::new(),
    };
    Ticket {
        number: TicketNumber(1),
        operator: "replay".into(),
        schemes: Vec::new(),
        organisations: organisations.into_values().collect(),
        services: vec![service],
        models: vec![Model {
            id: MODEL.into(),
            layers: trace.model.layers,
            names: BTreeMap::new(),
        }],
        engines: Vec::new(),
        placements: Vec::new(),
        permissions: Vec::new(),
        removals: Vec::new(),
    }
}
