//! Addresses of ingresses, which outlast the links to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time for which the address of an ingress is kept after its last link, in milliseconds.
const RETENTION_MS: u64 = 10 * 60 * 1_000;

/// Ingresses that are linked, or were within the last ten minutes.
///
/// A control instance that starts learns them from the others, so that the list outlasts each of
/// the instances as long as they are replaced one after the other.
#[derive(Debug, Default)]
pub struct IngressAddresses {
    /// Time at which the ingress was last known to be linked, in milliseconds, by its address.
    last_linked: BTreeMap<SocketAddr, u64>,
}

impl IngressAddresses {
    /// Records that the ingress that accepts links at `address` is or was linked; `now` is in ms.
    pub fn record(&mut self, address: SocketAddr, now: u64) {
        self.last_linked.insert(address, now);
    }

    /// Returns all addresses.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.last_linked.keys().copied().collect()
    }

    /// Returns the ingresses that aren't among the `linked` ones, and forgets those lost for long.
    pub fn unlinked(&mut self, linked: &BTreeSet<SocketAddr>, now: u64) -> Vec<SocketAddr> {
        for address in linked {
            self.last_linked.insert(*address, now);
        }
        self.last_linked
            .retain(|_, last_linked| now <= *last_linked + RETENTION_MS);
        let known = self.last_linked.keys().copied();
        known.filter(|address| !linked.contains(address)).collect()
    }
}
