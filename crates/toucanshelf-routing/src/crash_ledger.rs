//! Attribution of target crashes to the content of the requests that they ran.
//!
//! A crash ends all requests at the target, of which one may be its cause. Content that is common
//! to the requests of several crashes becomes a suspect, unless other content explains these
//! crashes better. Requests with a suspect are sent one at a time, as trials. A request that is
//! answered to the end clears the suspect; after a trial that crashes another target, requests with the
//! content are refused for some time.
//!
//! A ledger merges the findings of all ingresses. Crashes and answers are kept as sets, so that
//! findings may arrive in any order and more than once.

use std::collections::{BTreeMap, BTreeSet};

use toucanshelf_core::crash::{Content, Finding, Outcome};
use toucanshelf_core::ids::CrashId;

/// Number of crashes from which requests with the content are sent as trials only.
pub const MIN_SUSPECT_CRASHES: usize = 2;
/// Number of crashes, one of them in a trial, from which requests with the content are refused.
pub const MIN_REFUSED_CRASHES: usize = 4;
/// Time after which another trial may start although one has not ended, in milliseconds.
pub const MAX_TRIAL_MS: u64 = 2_000;
/// Time for which content is refused after its first trial that crashed a target, in milliseconds.
pub const MIN_REFUSAL_MS: u64 = 60_000;
/// Factor by which each further trial that crashes a target prolongs the next refusal.
const REFUSAL_FACTOR: u64 = 8;
/// Time after its last crash for which content is remembered, and longest refusal, in milliseconds.
pub const RETENTION_MS: u64 = 60 * 60 * 1_000;
/// Time for which cleared content is remembered, in milliseconds.
///
/// Copies of a finding that arrive late through another control instance must not count again.
const CLEARED_RETENTION_MS: u64 = 60_000;
/// Maximum number of contents of one service that are remembered.
pub const MAX_CONTENTS: usize = 8_192;
/// Maximum number of crashes that are remembered for one content.
const MAX_CRASHES: usize = 64;

/// How requests with some content are handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Handling {
    /// They are sent without restriction.
    Normal,
    /// They are sent one at a time.
    Trial {
        /// Time before which no further trial starts, in milliseconds.
        busy_until: u64,
    },
    /// They are not sent.
    Refused {
        /// Time at which the next trial may start, in milliseconds.
        until: u64,
    },
}

impl Handling {
    /// Returns the name of the handling in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Trial { .. } => "trial",
            Self::Refused { .. } => "refused",
        }
    }
}

/// What is known of one content.
#[derive(Clone, Debug, Default)]
struct Entry {
    /// Latest position of the content in a request, as in [`Finding::position`].
    position: u8,
    /// Crashes of targets that ran requests with the content; the value tells if in a trial.
    crashes: BTreeMap<CrashId, bool>,
    /// Crashes that the content has not caused, because a later request with it was answered.
    cleared: BTreeSet<CrashId>,
    /// Time of the last crash that was added, in milliseconds.
    last_crash_ms: u64,
    /// Time of the last change, in milliseconds.
    changed_ms: u64,
    /// Time before which no further trial starts, in milliseconds.
    trial_until_ms: u64,
}

impl Entry {
    /// Returns the crashes that the content may have caused.
    fn unexplained(&self) -> impl Iterator<Item = CrashId> {
        let crashes = self.crashes.keys();
        crashes.filter(|id| !self.cleared.contains(id)).copied()
    }

    /// Returns the number of crashes in trials that the content may have caused.
    fn trial_crashes(&self) -> u32 {
        let in_trial = self.crashes.iter();
        let in_trial = in_trial.filter(|(id, in_trial)| **in_trial && !self.cleared.contains(id));
        in_trial.count() as u32
    }

    /// Returns whether `other` explains the crashes better than this content.
    ///
    /// It does if it was present in more crashes, including all of these. If it was present in the
    /// same ones, the later part of the prompt explains them better, because fewer requests have it.
    /// `both_parts` tells whether both contents are parts of prompts.
    fn is_explained_better_by(&self, other: &Self, both_parts: bool) -> bool {
        let own = self.unexplained().count();
        if other.crashes.len() < own {
            return false;
        }
        let others = other.unexplained().count();
        let more_specific = both_parts && other.position > self.position;
        let better = others > own || (others == own && more_specific);
        let includes_all = || {
            let mut own = self.unexplained();
            own.all(|id| other.crashes.contains_key(&id) && !other.cleared.contains(&id))
        };
        better && includes_all()
    }

    /// Adds a crash and returns whether that changed anything.
    fn add_crash(&mut self, now: u64, crash: CrashId, in_trial: bool) -> bool {
        let known = self.crashes.get(&crash);
        let changed = match known {
            Some(known_in_trial) => in_trial && !known_in_trial,
            None => self.crashes.len() < MAX_CRASHES,
        };
        // A copy of a crash that is known to have ended a trial says nothing about the current one.
        if in_trial && known != Some(&true) {
            self.trial_until_ms = 0;
        }
        if changed {
            self.crashes.insert(crash, in_trial);
            self.last_crash_ms = now;
        }
        changed
    }

    fn is_expired(&self, now: u64) -> bool {
        let expires_at = if self.unexplained().next().is_none() {
            self.changed_ms + CLEARED_RETENTION_MS
        } else {
            self.last_crash_ms + RETENTION_MS
        };
        now >= expires_at
    }
}

/// Crashes that requests to one service were involved in, by content.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    entries: BTreeMap<Content, Entry>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no content is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a finding at the time `now`, in milliseconds.
    ///
    /// Returns whether it was new. A finding about new content is dropped if [`MAX_CONTENTS`] are
    /// remembered.
    pub fn apply(&mut self, now: u64, finding: &Finding) -> bool {
        if !self.entries.contains_key(&finding.content) {
            let about_trial =
                matches!(finding.outcome, Outcome::TrialStarted | Outcome::TrialEnded);
            if about_trial {
                return false;
            }
            if self.entries.len() >= MAX_CONTENTS {
                self.prune(now);
            }
            if self.entries.len() >= MAX_CONTENTS {
                return false;
            }
        }
        let entry = self.entries.entry(finding.content).or_default();
        entry.position = entry.position.max(finding.position);
        let changed = match &finding.outcome {
            Outcome::Crashed { crash, in_trial } => entry.add_crash(now, *crash, *in_trial),
            Outcome::Served { despite } => {
                entry.trial_until_ms = 0;
                let before = entry.cleared.len();
                // The crashes may be reported later than the answer, on another way.
                let room = MAX_CRASHES.saturating_sub(before);
                entry.cleared.extend(despite.iter().take(room));
                entry.cleared.len() > before
            }
            Outcome::TrialStarted => {
                let free = now >= entry.trial_until_ms;
                entry.trial_until_ms = now + MAX_TRIAL_MS;
                free
            }
            Outcome::TrialEnded => std::mem::take(&mut entry.trial_until_ms) > now,
        };
        if changed {
            entry.changed_ms = now;
        }
        changed
    }

    /// Returns the crashes that `content` may have caused.
    pub fn unexplained(&self, content: Content) -> Vec<CrashId> {
        let entry = self.entries.get(&content);
        entry.map_or_else(Vec::new, |entry| entry.unexplained().collect())
    }

    /// Returns how requests with `content` are handled at the time `now`, in milliseconds.
    pub fn handling(&self, content: Content, now: u64) -> Handling {
        let Some(entry) = self.entries.get(&content) else {
            return Handling::Normal;
        };
        let crashes = entry.unexplained().count();
        let trial_crashes = entry.trial_crashes();
        let trial = Handling::Trial {
            busy_until: entry.trial_until_ms,
        };
        if crashes < MIN_SUSPECT_CRASHES {
            Handling::Normal
        } else if crashes >= MIN_REFUSED_CRASHES && trial_crashes > 0 {
            let until = entry.last_crash_ms + refusal_ms(trial_crashes);
            if now < until {
                Handling::Refused { until }
            } else {
                trial
            }
        } else if self.is_explained_by_other(content, entry) {
            Handling::Normal
        } else {
            trial
        }
    }

    fn is_explained_by_other(&self, content: Content, entry: &Entry) -> bool {
        let mut others = self.entries.iter().filter(|(other, _)| **other != content);
        others.any(|(other, other_entry)| {
            let both_parts = matches!((content, other), (Content::Part(_), Content::Part(_)));
            entry.is_explained_better_by(other_entry, both_parts)
        })
    }

    /// Returns the findings from which another ledger of `service` reaches the same state.
    ///
    /// Trials in progress are left out.
    pub fn findings(&self, service: &str) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (content, entry) in &self.entries {
            let mut add = |outcome| {
                findings.push(Finding {
                    service: service.into(),
                    content: *content,
                    position: entry.position,
                    outcome,
                });
            };
            for (crash, in_trial) in &entry.crashes {
                add(Outcome::Crashed {
                    crash: *crash,
                    in_trial: *in_trial,
                });
            }
            if !entry.cleared.is_empty() {
                add(Outcome::Served {
                    despite: entry.cleared.iter().copied().collect(),
                });
            }
        }
        findings
    }

    /// Forgets content without recent crashes; `now` is in milliseconds.
    pub fn prune(&mut self, now: u64) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
    }
}

/// Returns for how long content is refused after `trial_crashes` trials that crashed a target.
fn refusal_ms(trial_crashes: u32) -> u64 {
    let factor = REFUSAL_FACTOR.saturating_pow(trial_crashes.saturating_sub(1));
    MIN_REFUSAL_MS.saturating_mul(factor).min(RETENTION_MS)
}

/// Crash ledgers of all services.
#[derive(Clone, Debug, Default)]
pub struct CrashLedgers {
    by_service: BTreeMap<Box<str>, CrashLedger>,
}

impl CrashLedgers {
    /// Creates the ledgers without any findings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the ledger of a service, or `None` if nothing is known.
    pub fn get(&self, service: &str) -> Option<&CrashLedger> {
        let ledger = self.by_service.get(service);
        ledger.filter(|ledger| !ledger.is_empty())
    }

    /// Adds a finding at the time `now`, in milliseconds, and returns whether it was new.
    pub fn apply(&mut self, now: u64, finding: &Finding) -> bool {
        if !self.by_service.contains_key(&finding.service) {
            self.by_service
                .insert(finding.service.clone(), CrashLedger::new());
        }
        let ledger = self.by_service.get_mut(&finding.service);
        ledger.is_some_and(|ledger| ledger.apply(now, finding))
    }

    /// Returns the findings from which other ledgers reach the same state.
    pub fn findings(&self) -> Vec<Finding> {
        let ledgers = self.by_service.iter();
        ledgers
            .flat_map(|(service, ledger)| ledger.findings(service))
            .collect()
    }

    /// Forgets content without recent crashes; `now` is in milliseconds.
    pub fn prune(&mut self, now: u64) {
        for ledger in self.by_service.values_mut() {
            ledger.prune(now);
        }
        self.by_service.retain(|_, ledger| !ledger.is_empty());
    }
}
