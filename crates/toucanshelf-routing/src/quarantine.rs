//! Requests that are suspected of crashing the targets that run them.

use std::collections::BTreeMap;

/// Targets that may be lost to one fingerprint in the whole system.
pub const MAX_LOSSES: u32 = 2;
/// Time for which a fingerprint is remembered, in milliseconds.
pub const MEMORY_MS: u64 = 60 * 60 * 1_000;
/// Most fingerprints that are remembered.
pub const MAX_FINGERPRINTS: usize = 65_536;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Handling {
    /// Runs beside others.
    Normal,
    /// Runs on engines that no other suspect of this gate uses.
    Alone,
    /// Is refused.
    Refused,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Losses counted by each gate; the sum is what counts.
    by_gate: BTreeMap<Box<str>, u32>,
    since: u64,
}

/// Fingerprints of requests that were under way when targets were lost.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<u64, Suspect>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a target was lost at `gate` while the request ran; returns that gate's count.
    pub fn record_loss(&mut self, now: u64, fingerprint: u64, gate: &str) -> u32 {
        let suspect = self.suspects.get(&fingerprint);
        let known = suspect
            .and_then(|suspect| suspect.by_gate.get(gate))
            .copied();
        let losses = known.unwrap_or(0) + 1;
        self.merge(now, fingerprint, gate, losses);
        losses
    }

    /// Takes what `gate` has counted; returns whether that was news.
    pub fn merge(&mut self, now: u64, fingerprint: u64, gate: &str, losses: u32) -> bool {
        if self.suspects.len() >= MAX_FINGERPRINTS {
            self.suspects
                .retain(|_, suspect| now < suspect.since + MEMORY_MS);
        }
        let full = self.suspects.len() >= MAX_FINGERPRINTS;
        if full && !self.suspects.contains_key(&fingerprint) {
            return false;
        }
        let fresh = || Suspect {
            by_gate: BTreeMap::new(),
            since: now,
        };
        let suspect = self.suspects.entry(fingerprint).or_insert_with(fresh);
        let known = suspect.by_gate.entry(gate.into()).or_default();
        let news = losses > *known;
        *known = losses.max(*known);
        news
    }

    /// Clears a request that has run to its end.
    pub fn clear(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    /// Targets lost with this fingerprint.
    pub fn losses(&self, now: u64, fingerprint: u64) -> u32 {
        let suspect = self.suspects.get(&fingerprint);
        let remembered = suspect.filter(|suspect| now < suspect.since + MEMORY_MS);
        remembered.map_or(0, |suspect| suspect.by_gate.values().sum())
    }

    /// How a request must be handled.
    pub fn handling(&self, now: u64, fingerprint: u64) -> Handling {
        match self.losses(now, fingerprint) {
            0 => Handling::Normal,
            losses if losses < MAX_LOSSES => Handling::Alone,
            _ => Handling::Refused,
        }
    }
}
