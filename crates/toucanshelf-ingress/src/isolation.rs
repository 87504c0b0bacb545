//! Detects that this ingress can't reach any target, and when it can again.
//!
//! Failed requests raise the suspicion. A probe opens connections to targets of all zones at once and
//! closes them without a request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::timeout;
use toucanshelf_routing::isolation::{IsolationDetector, Transition};

use crate::pool::ConnectError;
use crate::shared::Shared;

/// Shortest interval between probes, and the interval while no target can be reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the ingress asks for other ingresses that could relay its requests.
///
/// When it loses its targets, it may have lost control as well.
const RELAY_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Number of targets in each zone to which a probe connects in one round.
const PROBES_PER_ZONE: usize = 2;
/// Maximum number of rounds of a probe, each with other targets.
const MAX_PROBE_ROUNDS: usize = 4;

/// Whether this ingress reaches targets, and the evidence for it.
#[derive(Debug)]
pub struct Isolation {
    detector: Mutex<IsolationDetector>,
    /// Counter whose every change requests a probe.
    suspected: watch::Sender<u64>,
}

impl Isolation {
    /// Creates the state of an ingress that reaches its targets.
    pub fn new() -> Self {
        Self {
            detector: Mutex::default(),
            suspected: watch::Sender::new(0),
        }
    }

    fn detector(&self) -> MutexGuard<'_, IsolationDetector> {
        self.detector.lock().expect("no holder panics")
    }

    /// Returns whether no target can be reached.
    pub fn is_isolated(&self) -> bool {
        self.detector().is_isolated()
    }

    /// Records that the target at `address` accepts no connection or has fallen silent.
    ///
    /// `now` is in milliseconds since the ingress started.
    pub fn record_failure(&self, address: SocketAddr, now: u64) {
        if self.detector().record_failure(address, now) {
            self.suspected.send_modify(|count| *count += 1);
        }
    }

    /// Records that no target was usable for a request.
    pub fn record_no_target(&self) {
        if self.detector().suspects_at_refusal() {
            self.suspected.send_modify(|count| *count += 1);
        }
    }

    /// Records that a target has accepted a new connection.
    pub fn record_connection(&self) {
        self.detector().record_connection();
    }
}

impl Default for Isolation {
    fn default() -> Self {
        Self::new()
    }
}

/// Probes targets whenever several have failed, and repeatedly while none can be reached.
///
/// Meanwhile it keeps the list of relays up to date.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut suspected = shared.isolation.suspected.subscribe();
    loop {
        match timeout(RELAY_LIST_INTERVAL, suspected.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => {
                shared.control.ask_relays();
                shared.control.announce_own_address();
                continue;
            }
        }
        probe(&shared).await;
        tokio::time::sleep(PROBE_INTERVAL).await;
        while shared.isolation.is_isolated() {
            probe(&shared).await;
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Result of the connections to several targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeResult {
    /// A target has accepted a connection.
    Connected,
    /// All targets have refused the connection.
    Refused,
    /// No target has accepted a connection, and not all have refused it.
    Failed,
}

/// Connects to some targets in each zone, and records whether any accepts a connection.
///
/// A target that refuses connections may have ended, which says nothing about the network of this
/// instance. If all do so, others are tried.
async fn probe(shared: &Shared) {
    // If no target can be reached, requests need relays at once.
    shared.control.ask_relays();
    let mut tried = shared.isolation.detector().failed_targets().clone();
    let mut count = 0;
    let mut result = ProbeResult::Refused;
    for round in 0..MAX_PROBE_ROUNDS {
        let mut addresses = shared.targets().probe_addresses(PROBES_PER_ZONE, &tried);
        if round > 0 {
            addresses.retain(|address| !tried.contains(address));
        }
        if addresses.is_empty() || result != ProbeResult::Refused {
            break;
        }
        count += addresses.len();
        result = connect_any(shared, &addresses).await;
        tried.extend(addresses);
    }
    if count > 0 {
        record_result(shared, result == ProbeResult::Connected, count);
    }
}

/// Connects to all targets at once, until one accepts the connection.
async fn connect_any(shared: &Shared, addresses: &[SocketAddr]) -> ProbeResult {
    let connections = addresses
        .iter()
        .map(|address| shared.pool.connect(*address));
    let mut connections: FuturesUnordered<_> = connections.collect();
    let mut unconnected = ProbeResult::Refused;
    while let Some(result) = connections.next().await {
        match result {
            Ok(_) => return ProbeResult::Connected,
            Err(ConnectError::Refused(_)) => {}
            Err(_) => unconnected = ProbeResult::Failed,
        }
    }
    unconnected
}

/// Records the result of a probe of `count` targets, and logs a change.
fn record_result(shared: &Shared, connected: bool, count: usize) {
    let now = shared.now();
    let transition = shared.isolation.detector().record_probe(connected, now);
    match transition {
        Some(Transition::Isolated) => {
            shared.metrics.isolated.set(1);
            tracing::warn!(event = "TS4320", probed = count, "no target can be reached");
            shared.report_relay_status();
            // Wakes the streams, which then continue at other ingresses.
            shared.notify_failure();
        }
        Some(Transition::Reconnected { first_failure }) => {
            shared.metrics.isolated.set(0);
            let forgotten = shared.targets().forget_failures(first_failure);
            let after_ms = now.saturating_sub(first_failure);
            tracing::info!(
                event = "TS4321",
                after_ms,
                forgotten,
                "targets can be reached again"
            );
            shared.report_relay_status();
        }
        None => {}
    }
}
