//! Requests that are suspected of crashing the targets that run them.
//!
//! A crash ends every request in flight at the target. A request that was starting there, with no
//! token of the attempt delivered yet, is the likely cause; one that was streaming rarely is. The
//! two kinds of loss are therefore counted separately. A request that was streaming is retried at
//! once, and one that was starting is retried in isolation. A request with two losses, of which
//! at least one came while it was starting, is refused.
//!
//! A request is identified by its fingerprint, a hash of the model and the prompt. A suspect is a
//! fingerprint with recorded losses, where a loss is a target that failed while it ran the request.
//! A suspect with a starting loss runs in isolation: on engines that no other suspect of the gate
//! uses, after a delay. The fingerprint selects the delay out of a fixed number of delay slots.

use std::collections::BTreeMap;

/// Number of failed targets at which a suspected request is refused.
///
/// It applies if at least one of them failed before the attempt had delivered a token.
pub const MAX_LOSSES: u32 = 2;
/// Number of failed targets at which a request that delivered tokens is refused.
///
/// It applies if each of them failed after the attempt had delivered a token.
pub const MAX_STREAMING_LOSSES: u32 = 3;
/// Time for which the losses of a fingerprint count, in milliseconds.
///
/// It starts when this gate first records a count for the fingerprint, its own or another gate's.
pub const RETENTION_MS: u64 = 60 * 60 * 1_000;
/// Maximum number of fingerprints for which losses are kept.
pub const MAX_FINGERPRINTS: usize = 65_536;
/// Minimum delay before a request runs in isolation, in milliseconds.
///
/// In this time, the requests that were streaming on the lost target receive their next token from
/// another target.
const MIN_ISOLATION_DELAY_MS: u64 = 100;
/// Difference between two successive delays before isolated runs, in milliseconds.
const ISOLATION_SLOT_MS: u64 = 60;
/// Number of different delays before isolated runs.
const ISOLATION_SLOTS: u64 = 8;

/// How a request may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Handling {
    /// The request runs on any engine.
    Normal,
    /// The request runs on engines that no other suspect of this gate uses.
    Isolated,
    /// The request is not run; the caller gets a refusal.
    Refused,
}

/// Numbers of targets that failed while they ran a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Losses {
    /// Number of targets that failed before the attempt had delivered a token.
    pub starting: u32,
    /// Number of targets that failed after the attempt had delivered a token.
    pub streaming: u32,
}

impl Losses {
    /// Number of all targets that failed while they ran the request.
    pub fn total(self) -> u32 {
        self.starting + self.streaming
    }
}

/// Losses that one gate has counted for one fingerprint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LossCount {
    /// Version of the count, raised by each change.
    ///
    /// Of two counts that come from the same gate, the one with the higher version applies.
    pub version: u32,
    /// Losses that the gate has counted and not reverted, discounted or cleared.
    pub losses: Losses,
}

/// Loss counts of one fingerprint, from all gates.
#[derive(Clone, Debug)]
struct Suspect {
    /// Targets that failed while they ran this fingerprint's requests, as counted by each gate.
    ///
    /// The starting and the streaming losses are each added up over all gates. The two sums decide
    /// whether a request with this fingerprint runs normally, in isolation or not at all.
    by_gate: BTreeMap<Box<str>, LossCount>,
    /// Time at which the fingerprint was first recorded, in milliseconds.
    first_seen: u64,
    /// Whether [`Quarantine::discount_outage`] has been called for the fingerprint.
    ///
    /// Only the first call may subtract a failed target from the count.
    outage_discounted: bool,
}

/// Loss counts of all fingerprints that were in flight when targets failed.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<u64, Suspect>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target failed while it ran a request.
    ///
    /// `streaming` tells whether the attempt had delivered a token. Returns the gate's new count;
    /// `now` is in milliseconds.
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

    /// Subtracts a target that was counted as failed before the attempt's outcome was known.
    ///
    /// It is called when no target failed during the attempt. The target was counted as one that
    /// failed before the first token. Returns the gate's new count, or `None` if the gate has no
    /// count.
    pub fn revert_loss(&mut self, fingerprint: u64, gate: &str) -> Option<LossCount> {
        let count = self.suspects.get_mut(&fingerprint)?.by_gate.get_mut(gate)?;
        count.version += 1;
        count.losses.starting = count.losses.starting.saturating_sub(1);
        Some(*count)
    }

    /// Subtracts one failed target from the gate's count because of an outage.
    ///
    /// A target that fails in an outage was not crashed by the request. A failure before the first
    /// token is subtracted in preference to a later one. Only the first call for a recorded
    /// fingerprint has an effect; gates don't tell each other that the call was made. Returns the
    /// gate's new count, or `None` if there was an earlier call or the gate has no count. The
    /// version of the count rises even if the count was already 0.
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

    /// Clears the gate's starting losses for a request that has now started successfully.
    ///
    /// A request that crashes targets at its start would have crashed this one too, so it is not
    /// the cause of the earlier failures. Returns the gate's new count if it changed.
    pub fn clear_starting_losses(&mut self, fingerprint: u64, gate: &str) -> Option<LossCount> {
        let count = self.suspects.get_mut(&fingerprint)?.by_gate.get_mut(gate)?;
        if count.losses.starting == 0 {
            return None;
        }
        count.version += 1;
        count.losses.starting = 0;
        Some(*count)
    }

    /// Clears all losses that the gate has counted for a completed request.
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

    /// Stores a count of `gate` if its version is higher than the stored one.
    ///
    /// Returns whether the count was stored. The count of a new fingerprint is dropped if
    /// [`MAX_FINGERPRINTS`] are already kept.
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

    /// Numbers of failed targets for a fingerprint, summed over all gates.
    ///
    /// They are 0 once [`RETENTION_MS`] have passed since this gate first recorded the fingerprint.
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
