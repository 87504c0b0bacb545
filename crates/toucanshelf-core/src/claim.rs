//! Claims on calls that may run at most once.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use serde::{Deserialize, Serialize};
use toucanshelf_chart::{Chart, Machine};

use crate::digest::Digest;
use crate::ids::LogTimeMs;

/// Time for which a recorded answer is kept: 24 hours.
pub const ANSWER_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

static CHART: LazyLock<Chart> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../charts/claim.toml")).expect("charts/claim.toml is checked")
});

/// What a claim is for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// Organisation of the caller, by canonical id.
    pub organisation: Box<str>,
    /// Service that is called, by canonical id.
    pub service: Box<str>,
    /// Key that the caller chose.
    pub key: Box<str>,
}

/// Answer of a target, kept for resends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Box<str>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Change of a claim, by the gate that holds it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimCommand {
    /// Asks to run the call.
    Acquire {
        /// Digest of method, path and body.
        body: Digest,
        /// Nonce of the gate's attempt; only its holder may record or release.
        holder: u64,
        /// Time after which the claim's fate counts as unknown, in ms from now.
        deadline_ms: u64,
    },
    /// Records the answer.
    Record {
        /// Nonce given with the claim.
        holder: u64,
        /// Answer of the target.
        answer: RecordedAnswer,
    },
    /// Gives the claim back: no byte went to a target, or the target refused before running.
    Release {
        /// Nonce given with the claim.
        holder: u64,
    },
    /// Says that the call may have run and can't be known.
    Abandon {
        /// Nonce given with the claim.
        holder: u64,
    },
}

/// Answer to a [`ClaimCommand`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The holder may run the call.
    Granted,
    /// The call has run; this is its answer.
    Recorded(RecordedAnswer),
    /// Another holder runs the call now.
    InProgress,
    /// The call may have run; it never runs again.
    Unknown,
    /// The call has run; its answer is no longer kept.
    Spent,
    /// The key was used with another body.
    KeyReused,
    /// The change has been made, or was already.
    Done,
    /// The claim is not held by this holder.
    NotHolder,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Claim {
    body: Digest,
    holder: u64,
    state: Box<str>,
    answer: Option<RecordedAnswer>,
    expires: LogTimeMs,
}

impl Claim {
    /// Moves along `charts/claim.toml`; the state stays as it is where the chart has no such step.
    fn fire(&mut self, event: &str) -> bool {
        let mut machine = Machine::with_state(&CHART, &self.state).expect("a state of the chart");
        let moved = machine.fire(event).is_ok();
        self.state = machine.state().into();
        moved
    }

    fn age(&mut self, now: LogTimeMs) {
        if now < self.expires {
            return;
        }
        match &*self.state {
            "held" => {
                self.fire("expire");
                self.expires = LogTimeMs(self.expires.0 + ANSWER_RETENTION_MS);
            }
            "recorded" | "unknown" => {
                self.fire("forget");
                self.answer = None;
            }
            _ => {}
        }
    }

    fn resend_reply(&self) -> ClaimReply {
        match &*self.state {
            "held" => ClaimReply::InProgress,
            "recorded" => self
                .answer
                .clone()
                .map_or(ClaimReply::Spent, ClaimReply::Recorded),
            "unknown" => ClaimReply::Unknown,
            _ => ClaimReply::Spent,
        }
    }
}

/// All claims.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Claims {
    claims: BTreeMap<ClaimKey, Claim>,
}

impl Claims {
    /// Number of claims kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies a change at log time `now`.
    pub fn apply(&mut self, now: LogTimeMs, key: &ClaimKey, command: ClaimCommand) -> ClaimReply {
        if let Some(claim) = self.claims.get_mut(key) {
            claim.age(now);
        }
        match command {
            ClaimCommand::Acquire {
                body,
                holder,
                deadline_ms,
            } => self.acquire(now, key, body, holder, deadline_ms),
            ClaimCommand::Record { holder, answer } => {
                self.finish(key, holder, "record", |claim| {
                    claim.answer = Some(answer);
                    claim.expires = LogTimeMs(now.0 + ANSWER_RETENTION_MS);
                })
            }
            ClaimCommand::Abandon { holder } => self.finish(key, holder, "expire", |claim| {
                claim.expires = LogTimeMs(now.0 + ANSWER_RETENTION_MS);
            }),
            ClaimCommand::Release { holder } => {
                let reply = self.finish(key, holder, "release", |_| {});
                if self
                    .claims
                    .get(key)
                    .is_some_and(|claim| &*claim.state == "released")
                {
                    self.claims.remove(key);
                }
                reply
            }
        }
    }

    fn acquire(
        &mut self,
        now: LogTimeMs,
        key: &ClaimKey,
        body: Digest,
        holder: u64,
        deadline_ms: u64,
    ) -> ClaimReply {
        match self.claims.get(key) {
            Some(claim) if claim.body != body => ClaimReply::KeyReused,
            // The same command can be committed twice when its first answer was lost.
            Some(claim) if claim.holder == holder && &*claim.state == "held" => ClaimReply::Granted,
            Some(claim) => claim.resend_reply(),
            None => {
                let expires = LogTimeMs(now.0 + deadline_ms);
                let state = Machine::new(&CHART).state().into();
                let claim = Claim {
                    body,
                    holder,
                    state,
                    answer: None,
                    expires,
                };
                self.claims.insert(key.clone(), claim);
                ClaimReply::Granted
            }
        }
    }

    fn finish(
        &mut self,
        key: &ClaimKey,
        holder: u64,
        event: &str,
        change: impl FnOnce(&mut Claim),
    ) -> ClaimReply {
        let Some(claim) = self.claims.get_mut(key) else {
            return ClaimReply::NotHolder;
        };
        if claim.holder != holder {
            return ClaimReply::NotHolder;
        }
        if claim.fire(event) {
            change(claim);
        }
        ClaimReply::Done
    }
}
