//! Choice of targets to which a probe connects, and what a successful probe changes.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use rand::seq::SliceRandom as _;
use toucanshelf_core::registration::Readiness;

use super::Targets;

impl Targets {
    /// Returns the addresses of up to `per_zone` ready targets in each zone, at random.
    ///
    /// Targets in `failed` are chosen only where a zone has too few others: a probe of targets that have
    /// crashed says nothing about the network of this instance.
    pub fn probe_addresses(
        &self,
        per_zone: usize,
        failed: &BTreeSet<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let ready = self
            .arena
            .iter()
            .filter(|(_, target)| target.record.readiness == Readiness::Ready);
        let mut ready: Vec<_> = ready
            .map(|(_, target)| (target.zone, target.record.address))
            .collect();
        ready.shuffle(&mut rand::rng());
        ready.sort_by_key(|(_, address)| failed.contains(address));
        let mut chosen: HashMap<u16, usize> = HashMap::new();
        ready.retain(|(zone, _)| {
            let count = chosen.entry(*zone).or_default();
            *count += 1;
            *count <= per_zone
        });
        ready.into_iter().map(|(_, address)| address).collect()
    }

    /// Makes targets usable again that were marked down at `since` or later; returns their number.
    ///
    /// `since` is in milliseconds since the ingress started.
    pub fn forget_failures(&mut self, since: u64) -> usize {
        let keys: Vec<_> = self.arena.iter().map(|(key, _)| key).collect();
        let mut forgotten = 0;
        for key in keys {
            let Some(target) = self.arena.get_mut(key) else {
                continue;
            };
            if target.failures > 0 && target.marked_down_at >= since {
                target.failures = 0;
                target.down_until = 0;
                target.refused_until = 0;
                forgotten += 1;
            }
        }
        forgotten
    }
}
