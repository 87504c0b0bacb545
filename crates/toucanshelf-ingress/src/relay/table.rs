//! Ingresses to which requests may be sent, with the load of each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use rand::seq::IteratorRandom as _;

use crate::shared::Shared;

/// Ingresses that reach targets, as control has listed them.
#[derive(Debug, Default)]
pub struct Relays {
    /// Address at which this ingress accepts requests of others, if it does.
    own: OnceLock<SocketAddr>,
    addresses: Mutex<Vec<SocketAddr>>,
    /// Number of requests in flight at each relay.
    in_flight: Mutex<HashMap<SocketAddr, u32>>,
}

impl Relays {
    fn in_flight(&self) -> MutexGuard<'_, HashMap<SocketAddr, u32>> {
        self.in_flight.lock().expect("no holder panics")
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
    pub fn choose(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let addresses = self.addresses.lock().expect("no holder panics");
        let untried = addresses.iter().filter(|address| !tried.contains(address));
        let two = untried.copied().sample(&mut rand::rng(), 2);
        let in_flight = self.in_flight();
        let load = |address: &SocketAddr| in_flight.get(address).copied().unwrap_or(0);
        two.into_iter().min_by_key(load)
    }
}

/// Guard that counts a request towards the load of its relay until dropped.
pub(super) struct RelayLoad {
    shared: Arc<Shared>,
    pub(super) address: SocketAddr,
}

impl RelayLoad {
    pub(super) fn new(shared: &Arc<Shared>, address: SocketAddr) -> Self {
        *shared.relays.in_flight().entry(address).or_default() += 1;
        let shared = Arc::clone(shared);
        Self { shared, address }
    }
}

impl Drop for RelayLoad {
    fn drop(&mut self) {
        let mut in_flight = self.shared.relays.in_flight();
        if let Some(count) = in_flight.get_mut(&self.address) {
            *count = count.saturating_sub(1);
        }
    }
}
