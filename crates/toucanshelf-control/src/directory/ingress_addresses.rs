//! Addresses of ingresses, which outlast the links to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time for which the address of an ingress is kept after its last link, in milliseconds.
const RETENTION_MS: u64 = 10 * 60 * 1_000;
/// Time without a link after which an ingress is called, in milliseconds.
// An ingress that starts again, or has lost a connection, opens its links by itself.
const CALL_AFTER_MS: u64 = 1_000;

/// Time in milliseconds, which may lie before the start of this instance.
type Time = i64;

/// Ingresses that are linked, or were within the last ten minutes.
///
/// A control instance that starts learns them from the others, so that the list outlasts each of
/// the instances as long as they are replaced one after the other.
#[derive(Debug, Default)]
pub struct IngressAddresses {
    /// Time at which the ingress was last known to be linked, by its address.
    last_linked: BTreeMap<SocketAddr, Time>,
}

impl IngressAddresses {
    /// Records that the ingress at `address` was linked `last_linked_ms` before `now`, in ms.
    pub fn record(&mut self, address: SocketAddr, last_linked_ms: u64, now: u64) {
        let linked_at = now as Time - last_linked_ms.min(RETENTION_MS) as Time;
        let known = self.last_linked.entry(address).or_insert(linked_at);
        *known = linked_at.max(*known);
    }

    /// Returns the time since the last link of each ingress, in milliseconds; `now` is in ms.
    pub fn ages(&self, now: u64) -> BTreeMap<SocketAddr, u64> {
        let ingresses = self.last_linked.iter();
        ingresses
            .map(|(address, linked_at)| (*address, (now as Time - linked_at).max(0) as u64))
            .collect()
    }

    /// Returns the ingresses to call: those that have not been linked for a second.
    ///
    /// Those in `linked` are linked now, and those that were lost ten minutes ago are forgotten.
    pub fn lost(&mut self, linked: &BTreeSet<SocketAddr>, now: u64) -> Vec<SocketAddr> {
        for address in linked {
            self.last_linked.insert(*address, now as Time);
        }
        let age = |linked_at: Time| (now as Time - linked_at).max(0) as u64;
        self.last_linked
            .retain(|_, linked_at| age(*linked_at) <= RETENTION_MS);
        let ingresses = self.last_linked.iter();
        let lost = ingresses.filter(|(_, linked_at)| age(**linked_at) >= CALL_AFTER_MS);
        lost.map(|(address, _)| *address).collect()
    }
}
