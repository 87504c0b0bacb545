//! Addresses, settings and ticket of a deployment.

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

/// Name of the model.
pub const MODEL: &str = "model";
/// Name of the plain service.
pub const SERVICE: &str = "dispatch-app";
const LINK_KEY: &str = "replay-link-key-0123456789";
pub(crate) const TARGET_TOKEN: &str = "replay-target";
const OPERATOR_TOKEN: &str = "replay-operator";

/// Token of an organisation's callers.
pub fn caller_token(organisation: &str) -> String {
    format!("replay-{organisation}")
}

/// Addresses of one deployment, on a loopback address of its own.
///
/// A port that was free a moment ago may be taken by any outgoing connection, but those come from
/// 127.0.0.1.
#[derive(Debug)]
pub struct Addresses {
    ip: Ipv4Addr,
    /// Held until all addresses are given out, so that none is given twice.
    held: Vec<TcpListener>,
}

impl Default for Addresses {
    fn default() -> Self {
        Self::new()
    }
}

impl Addresses {
    /// Takes a loopback address that no other deployment of this process has.
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
            held: Vec::new(),
        }
    }

    /// Address with a free port.
    pub fn take(&mut self) -> SocketAddr {
        let listener = TcpListener::bind((self.ip, 0)).expect("loopback has free ports");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        self.held.push(listener);
        address
    }

    /// Addresses with free ports.
    pub fn take_many(&mut self, count: usize) -> Vec<SocketAddr> {
        (0..count).map(|_| self.take()).collect()
    }
}

/// Link addresses of a deployment.
#[derive(Debug)]
pub(crate) struct Links {
    pub(crate) controls: Vec<SocketAddr>,
    pub(crate) gates: Vec<SocketAddr>,
}

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
        deployment: None,
        log: LogSettings::default(),
    }
}

pub(crate) fn gate_settings(
    trace: &Trace,
    n: usize,
    planner: PlannerKind,
    zones: &[Box<str>],
    listen: SocketAddr,
    links: &Links,
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
        planner,
        links: Vec::new(),
        log: LogSettings::default(),
    }
}

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
