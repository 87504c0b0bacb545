//! Attribution of target crashes to the content of the requests that they ran.
//!
//! A crash ends all requests at the target, of which one may be its cause. Content that is common
//! to the requests of several crashes becomes a suspect, unless other content explains these
//! crashes better. Requests with a suspect are sent one at a time, as trials. A request that is
//! answered to the end clears the suspect; after a trial that crashes another target, requests with the
//! content are refused for some time.
//!
//! Content that a target answers on crashes none, so that parts of requests answered lately are
//! remembered as sound. A sound part isn't blamed for crashes that another content explains as well.
//! Without such an answer, parts that were in the same crashes are told apart by a request that lacks
//! one of them: it is sent as a trial, and only requests with all of these parts are refused.
//!
//! A ledger merges the findings of all ingresses. Crashes and answers are kept as sets, so that
//! findings may arrive in any order and more than once. Sound parts are known to one ingress only.

use std::collections::{BTreeMap, BTreeSet};

use toucanshelf_core::crash::{Content, Finding, Outcome};
use toucanshelf_core::ids::{CrashId, PromptPart};

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
/// Time for which a part counts as sound after a request with it was answered, in milliseconds.
pub const SOUND_RETENTION_MS: u64 = 10 * 60 * 1_000;
/// Maximum number of sound parts of one service that are remembered.
pub const MAX_SOUND_PARTS: usize = 4_096;
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

/// Whether and how a request may be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may be sent now.
    Send {
        /// Contents of which it is a trial; none for a request without suspects.
        trial: Vec<Content>,
    },
    /// Another request with the same suspect is on trial.
    Wait {
        /// Time until which that trial lasts at most, in milliseconds.
        busy_until: u64,
    },
    /// It must not be sent.
    Refuse {
        /// Time at which the next trial may start, in milliseconds.
        until: u64,
    },
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
        let crashes = self.unexplained();
        crashes.filter(|id| self.is_tried_in(*id)).count() as u32
    }

    /// Returns the number of crashes that this content may have caused, and `other` may not.
    fn crashes_without(&self, other: &Self) -> usize {
        let own = self.unexplained();
        own.filter(|id| !other.may_have_caused(*id)).count()
    }

    /// Returns whether `other` was tried as well in each trial of this content that crashed a target.
    fn trials_are_shared_with(&self, other: &Self) -> bool {
        let mut trials = self.unexplained().filter(|id| self.is_tried_in(*id));
        trials.all(|id| other.may_have_caused(id) && other.is_tried_in(id))
    }

    fn is_tried_in(&self, crash: CrashId) -> bool {
        self.crashes.get(&crash) == Some(&true)
    }

    fn may_have_caused(&self, crash: CrashId) -> bool {
        self.crashes.contains_key(&crash) && !self.cleared.contains(&crash)
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
        better && self.crashes_without(other) == 0
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
    /// Parts of requests that targets of this ingress have answered, with the time of the last answer
    /// in milliseconds.
    sound: BTreeMap<PromptPart, u64>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no content is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.sound.is_empty()
    }

    /// Remembers that a target has answered a request with these parts to the end.
    ///
    /// `now` is in milliseconds. Of more than [`MAX_SOUND_PARTS`], those answered last are kept.
    pub fn record_sound(&mut self, now: u64, parts: &[PromptPart]) {
        for part in parts {
            self.sound.insert(*part, now);
        }
        while self.sound.len() > MAX_SOUND_PARTS {
            let oldest = self.sound.iter().min_by_key(|(_, time)| **time);
            let Some(oldest) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.sound.remove(&oldest);
        }
    }

    /// Returns whether a target has lately answered a request with `content`.
    ///
    /// `now` is in milliseconds. Only parts of requests to this ingress are known as sound.
    pub fn is_sound(&self, content: Content, now: u64) -> bool {
        let Content::Part(part) = content else {
            return false;
        };
        let answered = self.sound.get(&part);
        answered.is_some_and(|time| now < time + SOUND_RETENTION_MS)
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

    /// Decides whether a request with these contents may be sent at the time `now`, in milliseconds.
    pub fn admit(&self, request: &[Content], now: u64) -> Admission {
        let mut trial = Vec::new();
        let mut latest = 0;
        for content in request {
            match self.handling_in(request, *content, now) {
                Handling::Refused { until } => return Admission::Refuse { until },
                Handling::Trial { busy_until } => {
                    latest = busy_until.max(latest);
                    trial.push(*content);
                }
                Handling::Normal => {}
            }
        }
        if now < latest {
            Admission::Wait { busy_until: latest }
        } else {
            Admission::Send { trial }
        }
    }

    /// Returns the contents of a request that its trial counts against if its target crashes.
    ///
    /// These are the contents in `trial`, and those that are not known to be sound: any of them may be
    /// the cause. `now` is in milliseconds.
    pub fn tried(&self, request: &[Content], trial: &[Content], now: u64) -> Vec<Content> {
        if trial.is_empty() {
            return Vec::new();
        }
        let contents = request.iter().copied();
        contents
            .filter(|content| trial.contains(content) || !self.is_sound(*content, now))
            .collect()
    }

    /// Returns how a request with no other content than `content` is handled.
    ///
    /// `now` is in milliseconds.
    pub fn handling(&self, content: Content, now: u64) -> Handling {
        self.handling_in(&[content], content, now)
    }

    /// Returns how a request with the contents `request` is handled because of one of them.
    ///
    /// `now` is in milliseconds.
    pub fn handling_in(&self, request: &[Content], content: Content, now: u64) -> Handling {
        let Some(entry) = self.entries.get(&content) else {
            return Handling::Normal;
        };
        let crashes = entry.unexplained().count();
        let trial_crashes = entry.trial_crashes();
        let trial = Handling::Trial {
            busy_until: entry.trial_until_ms,
        };
        if crashes < MIN_SUSPECT_CRASHES {
            return Handling::Normal;
        }
        let suspects = Suspects {
            ledger: self,
            content,
            entry,
            now,
        };
        if suspects.exonerate_content() {
            Handling::Normal
        } else if crashes >= MIN_REFUSED_CRASHES && trial_crashes > 0 {
            let until = entry.last_crash_ms + refusal_ms(trial_crashes);
            if now < until && !suspects.share_trials(request) {
                Handling::Refused { until }
            } else {
                trial
            }
        } else if suspects.explain_better() {
            Handling::Normal
        } else {
            trial
        }
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
        self.sound
            .retain(|_, time| now < *time + SOUND_RETENTION_MS);
    }
}

/// Other contents that may have caused the crashes of one content.
struct Suspects<'a> {
    ledger: &'a CrashLedger,
    content: Content,
    entry: &'a Entry,
    /// Current time, in milliseconds.
    now: u64,
}

impl Suspects<'_> {
    /// Returns the other contents, except those that are sound while this one is not known to be.
    fn others(&self) -> impl Iterator<Item = (Content, &Entry)> {
        let is_sound = self.is_sound(self.content);
        let others = self.ledger.entries.iter();
        others
            .map(|(other, entry)| (*other, entry))
            .filter(move |(other, _)| *other != self.content)
            .filter(move |(other, _)| is_sound || !self.is_sound(*other))
    }

    fn is_sound(&self, content: Content) -> bool {
        self.ledger.is_sound(content, self.now)
    }

    /// Whether this content and `other` are both parts of prompts.
    fn are_parts_with(&self, other: Content) -> bool {
        matches!((self.content, other), (Content::Part(_), Content::Part(_)))
    }

    /// Whether the content is sound, and one that isn't known to be was in all of its crashes.
    fn exonerate_content(&self) -> bool {
        self.is_sound(self.content)
            && self.others().any(|(other, entry)| {
                !self.is_sound(other) && self.entry.crashes_without(entry) == 0
            })
    }

    /// Whether another content explains the crashes better.
    fn explain_better(&self) -> bool {
        self.others().any(|(other, entry)| {
            let both_parts = self.are_parts_with(other);
            self.entry.is_explained_better_by(entry, both_parts)
        })
    }

    /// Whether another part explains the crashes in trials of the content as well.
    ///
    /// The other one was tried in all of these trials. It counts if the content is sound and it isn't,
    /// or if it was in all crashes but one at most and `request` lacks it, so that the outcome of that
    /// request tells the two apart.
    fn share_trials(&self, request: &[Content]) -> bool {
        let is_sound = self.is_sound(self.content);
        self.others().any(|(other, entry)| {
            let is_alternative = || {
                let is_likely = self.entry.crashes_without(entry) < MIN_SUSPECT_CRASHES;
                (is_sound && !self.is_sound(other)) || (is_likely && !request.contains(&other))
            };
            self.are_parts_with(other)
                && self.entry.trials_are_shared_with(entry)
                && is_alternative()
        })
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
        self.ledger(&finding.service).apply(now, finding)
    }

    /// Remembers that a target of `service` has answered a request with these parts to the end.
    ///
    /// `now` is in milliseconds.
    pub fn record_sound(&mut self, service: &str, now: u64, parts: &[PromptPart]) {
        if !parts.is_empty() {
            self.ledger(service).record_sound(now, parts);
        }
    }

    fn ledger(&mut self, service: &str) -> &mut CrashLedger {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.into(), CrashLedger::new());
        }
        let ledger = self.by_service.get_mut(service);
        ledger.expect("the ledger was inserted if it was missing")
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
