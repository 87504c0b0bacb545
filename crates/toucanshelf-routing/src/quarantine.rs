//! Requests that are suspected of crashing the targets that run them.
//!
//! A crash ends every request in flight at the target. A request that was starting there, with no
//! token of the attempt delivered yet, is the likely cause; one that was streaming rarely is. The
//! two kinds of loss are therefore counted separately. A request that was streaming is retried at
//! once, and one that was starting is retried in isolation. A request with two losses, of which
//! at least one came while it was starting, is refused.
//!
//! A request is identified by its fingerprint, a hash of the model and the prompt.

use std::collections::BTreeMap;

/// Number of lost targets at which a request with a starting loss is refused.
pub const MAX_LOSSES: u32 = 2;
/// Number of streaming losses at which a request without a starting loss is refused.
pub const MAX_STREAMING_LOSSES: u32 = 3;
/// Time for which the losses of a fingerprint count, in milliseconds.
///
/// It runs from the first count that is recorded for the fingerprint.
pub const RETENTION_MS: u64 = 60 * 60 * 1_000;
/// Maximum number of fingerprints that are kept.
pub const MAX_FINGERPRINTS: usize = 65_536;
/// Minimum delay before a request runs in isolation, in milliseconds.
///
/// Requests that were streaming on the lost target receive their next token in this time.
const MIN_ISOLATION_DELAY_MS: u64 = 100;
/// Time between the starts of two delay slots, in milliseconds.
const ISOLATION_SLOT_MS: u64 = 60;
/// Number of delay slots, which are assigned by fingerprint.
const ISOLATION_SLOTS: u64 = 8;

/// How a request may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Handling {
    /// The request runs on any engine.
    Normal,
    /// The request runs on engines that no other suspect of this gate uses.
    Isolated,
    /// The request is refused.
    Refused,
}

/// Numbers of targets that were lost while a request ran there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Losses {
    /// Losses before the attempt had delivered a token.
    pub starting: u32,
    /// Losses after the attempt had delivered a token.
    pub streaming: u32,
}

impl Losses {
    /// Total number of lost targets.
    pub fn total(self) -> u32 {
        self.starting + self.streaming
    }
}

/// Losses that one gate has counted for one fingerprint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LossCount {
    /// Version of the count, raised by each change; the highest version applies.
    pub version: u32,
    /// Losses counted by the gate.
    pub losses: Losses,
}

/// Loss counts of one fingerprint.
#[derive(Clone, Debug)]
struct Suspect {
    /// Losses counted by each gate; their sum decides the handling.
    by_gate: BTreeMap<Box<str>, LossCount>,
    /// Time at which the first count was recorded, in milliseconds.
    first_seen: u64,
    /// Whether a loss has been discounted as part of an outage.
    ///
    /// This is done at most once.
    outage_discounted: bool,
}

/// Fingerprints of requests that were in flight when targets were lost.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<u64, Suspect>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the loss of a target and returns the gate's new count.
    pub fn record_loss(
        &mut self,
        now: u64,
        fingerprint: u64,
        gate: &str,
        streaming: bool,
    ) -> LossCount {
        let mut count = self.count(fingerprint, gate);
        count.version += 1;
        if streaming {
            count.losses.streaming += 1;
        } else {
            count.losses.starting += 1;
        }
        self.merge(now, fingerprint, gate, count);
        count
    }

    /// Reverts a starting loss counted in advance for an attempt that lost no target.
    ///
    /// Returns the gate's new count if it has one.
    pub fn revert_loss(&mut self, fingerprint: u64, gate: &str) -> Option<LossCount> {
        let count = self.suspects.get_mut(&fingerprint)?.by_gate.get_mut(gate)?;
        count.version += 1;
        count.losses.starting = count.losses.starting.saturating_sub(1);
        Some(*count)
    }

    /// Discounts one of the gate's losses as part of an outage.
    ///
    /// A starting loss is discounted before a streaming one. Only the first call for a recorded
    /// fingerprint has an effect; the mark for this is not part of the counts that gates exchange.
    /// Returns the gate's new count, or `None` if there was an earlier call or the gate has no
    /// count. The version of the count rises even if there was no loss left to discount.
    pub fn discount_outage(&mut self, fingerprint: u64, gate: &str) -> Option<LossCount> {
        let suspect = self
            .suspects
            .get_mut(&fingerprint)
            .filter(|suspect| !suspect.outage_discounted)?;
        suspect.outage_discounted = true;
        let count = suspect.by_gate.get_mut(gate)?;
        count.version += 1;
        if count.losses.starting > 0 {
            count.losses.starting -= 1;
        } else {
            count.losses.streaming = count.losses.streaming.saturating_sub(1);
        }
        Some(*count)
    }

    /// Clears the starting losses of a request that has now started successfully.
    ///
    /// A request that crashes targets at its start would have done so again. Returns the gate's
    /// new count if it changed.
    pub fn clear_starting_losses(&mut self, fingerprint: u64, gate: &str) -> Option<LossCount> {
        let count = self.suspects.get_mut(&fingerprint)?.by_gate.get_mut(gate)?;
        if count.losses.starting == 0 {
            return None;
        }
        count.version += 1;
        count.losses.starting = 0;
        Some(*count)
    }

    /// Clears the losses of a request that has completed.
    ///
    /// Returns the gate's new count if it changed.
    pub fn clear(&mut self, fingerprint: u64, gate: &str) -> Option<LossCount> {
        let count = self.suspects.get_mut(&fingerprint)?.by_gate.get_mut(gate)?;
        if count.losses.total() == 0 {
            return None;
        }
        count.version += 1;
        count.losses = Losses::default();
        Some(*count)
    }

    /// Merges a count of `gate` and returns whether it replaced an older one.
    ///
    /// The count of a new fingerprint is dropped if [`MAX_FINGERPRINTS`] are already kept.
    pub fn merge(&mut self, now: u64, fingerprint: u64, gate: &str, count: LossCount) -> bool {
        if self.suspects.len() >= MAX_FINGERPRINTS {
            self.suspects
                .retain(|_, suspect| now < suspect.first_seen + RETENTION_MS);
        }
        let full = self.suspects.len() >= MAX_FINGERPRINTS;
        if full && !self.suspects.contains_key(&fingerprint) {
            return false;
        }
        let new_suspect = || Suspect {
            by_gate: BTreeMap::new(),
            first_seen: now,
            outage_discounted: false,
        };
        let suspect = self.suspects.entry(fingerprint).or_insert_with(new_suspect);
        let known = suspect.by_gate.entry(gate.into()).or_default();
        let changed = count.version > known.version;
        if changed {
            *known = count;
        }
        changed
    }

    fn count(&self, fingerprint: u64, gate: &str) -> LossCount {
        let suspect = self.suspects.get(&fingerprint);
        suspect
            .and_then(|suspect| suspect.by_gate.get(gate))
            .copied()
            .unwrap_or_default()
    }

    /// Losses of a fingerprint, summed over all gates.
    ///
    /// They no longer count after [`RETENTION_MS`].
    pub fn losses(&self, now: u64, fingerprint: u64) -> Losses {
        let suspect = self.suspects.get(&fingerprint);
        let Some(suspect) = suspect.filter(|suspect| now < suspect.first_seen + RETENTION_MS)
        else {
            return Losses::default();
        };
        suspect
            .by_gate
            .values()
            .fold(Losses::default(), |sum, count| Losses {
                starting: sum.starting + count.losses.starting,
                streaming: sum.streaming + count.losses.streaming,
            })
    }

    /// Determines how a request with this fingerprint must be run.
    pub fn handling(&self, now: u64, fingerprint: u64) -> Handling {
        let losses = self.losses(now, fingerprint);
        if losses.starting == 0 && losses.streaming < MAX_STREAMING_LOSSES {
            return Handling::Normal;
        }
        if losses.total() < MAX_LOSSES {
            Handling::Isolated
        } else {
            Handling::Refused
        }
    }

    /// Delay before a request runs in isolation, in milliseconds.
    ///
    /// The delay depends on the fingerprint, so that two suspects rarely run at the same time, even
    /// at different gates.
    pub fn isolation_delay_ms(fingerprint: u64) -> u64 {
        MIN_ISOLATION_DELAY_MS + fingerprint % ISOLATION_SLOTS * ISOLATION_SLOT_MS
    }
}
