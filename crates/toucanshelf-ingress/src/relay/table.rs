//! Ingresses to which requests may be sent, with the load of each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use rand::seq::IteratorRandom as _;
use tokio::time::Instant;

use crate::shared::Shared;

/// Time for which a relay that has refused a request is chosen only for lack of others.
const REFUSAL_AVOIDANCE: Duration = Duration::from_millis(500);

/// What this ingress knows of a relay from its own requests.
#[derive(Clone, Copy, Debug, Default)]
struct RelayState {
    /// Number of requests in flight at the relay.
    in_flight: u32,
    /// Time at which the relay last refused a request.
    refused_at: Option<Instant>,
}

impl RelayState {
    fn has_refused(&self) -> bool {
        self.refused_at
            .is_some_and(|refused_at| refused_at.elapsed() < REFUSAL_AVOIDANCE)
    }
}

/// Ingresses that reach targets, as control has listed them.
#[derive(Debug, Default)]
pub struct Relays {
    /// Address at which this ingress accepts requests of others, if it does.
    own: OnceLock<SocketAddr>,
    addresses: Mutex<Vec<SocketAddr>>,
    states: Mutex<HashMap<SocketAddr, RelayState>>,
}

impl Relays {
    fn states(&self) -> MutexGuard<'_, HashMap<SocketAddr, RelayState>> {
        self.states.lock().expect("no holder panics")
    }

    /// Returns the address at which this ingress accepts requests of others, if it does.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.own.get().copied()
    }

    pub(crate) fn set_own_address(&self, address: SocketAddr) {
        self.own.get_or_init(|| address);
    }

    /// Replaces the known relays, unless the new list is empty.
    pub fn update(&self, addresses: Vec<SocketAddr>) {
        if !addresses.is_empty() {
            *self.addresses.lock().expect("no holder panics") = addresses;
        }
    }

    /// Chooses the less loaded of two random relays that are not in `tried`.
    ///
    /// One that has refused a request lately is chosen only if all others have, too.
    // A relay that refuses at once has few requests in flight, and would attract most of them.
    pub fn choose(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let addresses = self.addresses.lock().expect("no holder panics");
        let states = self.states();
        let state = |address: &SocketAddr| states.get(address).copied().unwrap_or_default();
        let untried = addresses
            .iter()
            .copied()
            .filter(|address| !tried.contains(address));
        let (refusing, others): (Vec<_>, Vec<_>) =
            untried.partition(|address| state(address).has_refused());
        let candidates = if others.is_empty() { refusing } else { others };
        let two = candidates.into_iter().sample(&mut rand::rng(), 2);
        two.into_iter()
            .min_by_key(|address| state(address).in_flight)
    }

    /// Records that the relay at `address` has refused a request.
    pub fn record_refusal(&self, address: SocketAddr) {
        self.states().entry(address).or_default().refused_at = Some(Instant::now());
    }
}

/// Guard that counts a request towards the load of its relay until dropped.
pub(super) struct RelayLoad {
    shared: Arc<Shared>,
    pub(super) address: SocketAddr,
}

impl RelayLoad {
    pub(super) fn new(shared: &Arc<Shared>, address: SocketAddr) -> Self {
        shared.relays.states().entry(address).or_default().in_flight += 1;
        let shared = Arc::clone(shared);
        Self { shared, address }
    }
}

impl Drop for RelayLoad {
    fn drop(&mut self) {
        let mut states = self.shared.relays.states();
        if let Some(state) = states.get_mut(&self.address) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}
