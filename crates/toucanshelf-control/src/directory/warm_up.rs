//! Decides when a new leader knows enough engines to assign layers.
//!
//! A leader that has just started learns of engines only as they send heartbeats, and a plan for a
//! part of them would load layers that the others hold. The leader waits for most of the engines
//! that it knew before, or until the number of engines that have reported hardly grows any more.
//! Times are in milliseconds since the start of this control instance.

use toucanshelf_core::registration::Readiness;
use toucanshelf_core::registry::Registry;

/// Time for which a new leader waits at least, in heartbeat intervals.
const MIN_HEARTBEATS: f64 = 1.4;
/// Time after which a new leader waits no longer, in heartbeat intervals.
// A gap that engines have left stays open until then.
const MAX_HEARTBEATS: f64 = 8.0;
/// Share of the engines known before that have to report.
///
/// The rest may have ended together with the previous leader.
const REPORTED_SHARE: f64 = 0.9;
/// Growth of the number of engines within a heartbeat interval that counts as none.
const STABLE_GROWTH: f64 = 0.05;

/// Wait of a new leader for the reports of engines.
#[derive(Debug)]
pub struct WarmUp {
    since_ms: u64,
    heartbeat_ms: u64,
    /// Time of the latest sample and the number of engines that had reported by then.
    sample: (u64, usize),
    is_over: bool,
}

/// Numbers of ready engines and other targets in the registry.
#[derive(Debug, Default)]
struct Counts {
    /// Targets that were known before the wait.
    known: usize,
    /// Targets that were known before the wait and have reported since.
    reported: usize,
    /// Targets that have first reported during the wait.
    arrived: usize,
    /// Whether an engine holds layers, so that there was an earlier placement.
    holds_layers: bool,
}

impl WarmUp {
    /// Starts to wait at `now`, when this replica became leader.
    ///
    /// `heartbeat_ms` is the interval of the targets' heartbeats.
    pub fn new(now: u64, heartbeat_ms: u64) -> Self {
        Self {
            since_ms: now,
            heartbeat_ms,
            sample: (now, 0),
            is_over: false,
        }
    }

    /// Returns whether layers may be assigned to the engines in `registry` at `now`.
    ///
    /// Once it has returned `true`, it always does.
    pub fn is_over(&mut self, registry: &Registry, now: u64) -> bool {
        if self.is_over {
            return true;
        }
        let counts = Counts::new(registry, self.since_ms);
        self.is_over = self.has_enough(&counts, now);
        if self.is_over {
            tracing::info!(
                event = "TS2529",
                waited_ms = now.saturating_sub(self.since_ms),
                known = counts.known,
                reported = counts.reported,
                arrived = counts.arrived,
                "enough engines have reported; layers may be assigned"
            );
        }
        self.is_over
    }

    fn has_enough(&mut self, counts: &Counts, now: u64) -> bool {
        let heartbeats = now.saturating_sub(self.since_ms) as f64 / self.heartbeat_ms as f64;
        let is_stable = self.is_stable(counts.reported + counts.arrived, now);
        if heartbeats < MIN_HEARTBEATS {
            return false;
        }
        // The first placement of all engines has its own wait for those that register late.
        !counts.holds_layers || counts.are_most_known() || is_stable || heartbeats >= MAX_HEARTBEATS
    }

    /// Returns whether the number of engines hardly grew over the last heartbeat interval.
    fn is_stable(&mut self, count: usize, now: u64) -> bool {
        let (sampled_ms, sampled) = self.sample;
        if now < sampled_ms + self.heartbeat_ms {
            return false;
        }
        self.sample = (now, count);
        count as f64 <= sampled as f64 * (1.0 + STABLE_GROWTH)
    }
}

impl Counts {
    fn new(registry: &Registry, since_ms: u64) -> Self {
        let mut counts = Self::default();
        let ready = registry.entries();
        for entry in ready.filter(|entry| entry.record.readiness == Readiness::Ready) {
            counts.holds_layers |= entry.record.layers.is_some();
            if entry.first_seen_ms >= since_ms {
                counts.arrived += 1;
            } else {
                counts.known += 1;
                counts.reported += usize::from(entry.last_seen_ms >= since_ms);
            }
        }
        counts
    }

    /// Returns whether the leader knew nearly all engines before, and most of these have reported.
    fn are_most_known(&self) -> bool {
        let known = self.known as f64;
        self.reported as f64 >= known * REPORTED_SHARE
            && self.arrived as f64 <= known * STABLE_GROWTH
    }
}
