//! Claims that let a non-idempotent call run at most once.
//!
//! A claim is a record in the replicated state that reserves an idempotency key for one call. Its
//! holder is the attempt of a gate that acquired it, identified by a nonce. A gate acquires the
//! claim before it sends the call, and afterwards records the answer, releases the claim or
//! abandons it. While an answer is recorded, a resend of the call under the same key gets that
//! answer. After a release, a resend may run, because the call did not. Any other resend is
//! refused, because the call is running or may have run. The states of a claim are defined by the
//! state chart `charts/claim.toml`.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use serde::{Deserialize, Serialize};
use toucanshelf_chart::{Chart, Machine};

use crate::digest::Digest;
use crate::ids::LogTimeMs;

/// Time for which recorded answers and unknown outcomes are kept, in milliseconds (24 hours).
pub const ANSWER_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

static CLAIM_CHART: LazyLock<Chart> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../charts/claim.toml"))
        .expect("charts/claim.toml is a valid chart")
});

/// Identifies the call that a claim covers.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// Canonical id of the caller's organisation.
    pub organisation: Box<str>,
    /// Canonical id of the called service.
    pub service: Box<str>,
    /// Idempotency key chosen by the caller.
    pub key: Box<str>,
}

/// A target's answer, stored to be returned to resends of the call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status code of the answer.
    pub status: u16,
    /// Media type of the answer's body.
    pub content_type: Box<str>,
    /// Body of the answer.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Change that a gate requests on a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimCommand {
    /// Acquires the claim, so that the gate may run the call.
    Acquire {
        /// Digest of the request's method, path and body.
        body: Digest,
        /// Nonce that the gate chose for this attempt; its later commands must repeat it.
        holder: u64,
        /// Maximum duration for which the gate holds the claim, in milliseconds.
        ///
        /// If the call has not finished by then, its outcome counts as unknown.
        deadline_ms: u64,
    },
    /// Stores the answer of the call.
    Record {
        /// Nonce with which the gate acquired the claim.
        holder: u64,
        /// Answer received from the target.
        answer: RecordedAnswer,
    },
    /// Releases the claim after a call that did not run.
    ///
    /// Either no byte was sent to a target, or the target refused before running the call.
    Release {
        /// Nonce with which the gate acquired the claim.
        holder: u64,
    },
    /// Marks the outcome of the call as unknown, because it may have run.
    Abandon {
        /// Nonce with which the gate acquired the claim.
        holder: u64,
    },
}

/// Result of a [`ClaimCommand`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The requester holds the claim and may run the call.
    Granted,
    /// The call has run and returned this answer.
    Recorded(RecordedAnswer),
    /// Another attempt holds the claim and may be running the call.
    InProgress,
    /// The call may have run, so it must not run again.
    Unknown,
    /// The call ran or may have run, and no answer is stored any more.
    Spent,
    /// The idempotency key was used before for a request with a different digest.
    KeyReused,
    /// The command came from the holder of the claim and was processed.
    ///
    /// The claim is unchanged if its state does not accept the command, for example if the gate
    /// sent the command twice.
    Done,
    /// The claim does not exist or is held by another attempt.
    NotHolder,
}

/// Stored claim on one call, with its current state in the state chart.
///
/// `expires` is the time at which a held, recorded or unknown state ends, in milliseconds since
/// the Unix epoch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Claim {
    body: Digest,
    holder: u64,
    state: Box<str>,
    answer: Option<RecordedAnswer>,
    expires: LogTimeMs,
}

impl Claim {
    /// Applies `event` to the claim's state and returns whether the state chart allows it.
    ///
    /// If the chart does not allow the event, the state stays the same.
    fn fire(&mut self, event: &str) -> bool {
        let mut machine = Machine::with_state(&CLAIM_CHART, &self.state)
            .expect("the stored state exists in the chart");
        let transitioned = machine.fire(event).is_ok();
        self.state = machine.state().into();
        transitioned
    }

    /// Moves the claim to its next state if the current one has expired.
    ///
    /// A held claim becomes unknown. A recorded or unknown claim becomes spent: its answer is
    /// deleted, and the call still must not run again.
    fn advance_time(&mut self, now: LogTimeMs) {
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

/// All stored claims, by key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Claims {
    claims: BTreeMap<ClaimKey, Claim>,
}

impl Claims {
    /// Returns the number of stored claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies a command to the claim under `key` at log time `now`.
    pub fn apply(&mut self, now: LogTimeMs, key: &ClaimKey, command: ClaimCommand) -> ClaimReply {
        if let Some(claim) = self.claims.get_mut(key) {
            claim.advance_time(now);
        }
        match command {
            ClaimCommand::Acquire {
                body,
                holder,
                deadline_ms,
            } => self.acquire(now, key, body, holder, deadline_ms),
            ClaimCommand::Record { holder, answer } => {
                self.transition(key, holder, "record", |claim| {
                    claim.answer = Some(answer);
                    claim.expires = LogTimeMs(now.0 + ANSWER_RETENTION_MS);
                })
            }
            ClaimCommand::Abandon { holder } => self.transition(key, holder, "expire", |claim| {
                claim.expires = LogTimeMs(now.0 + ANSWER_RETENTION_MS);
            }),
            ClaimCommand::Release { holder } => {
                let reply = self.transition(key, holder, "release", |_| {});
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
            // The log can contain the same command twice if the first reply was lost.
            Some(claim) if claim.holder == holder && &*claim.state == "held" => ClaimReply::Granted,
            Some(claim) => claim.resend_reply(),
            None => {
                let expires = LogTimeMs(now.0 + deadline_ms);
                let state = Machine::new(&CLAIM_CHART).state().into();
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

    /// Applies `event` to the claim under `key` if `holder` holds it.
    ///
    /// If the state chart allows the event, `on_success` is called with the claim.
    fn transition(
        &mut self,
        key: &ClaimKey,
        holder: u64,
        event: &str,
        on_success: impl FnOnce(&mut Claim),
    ) -> ClaimReply {
        let Some(claim) = self.claims.get_mut(key) else {
            return ClaimReply::NotHolder;
        };
        if claim.holder != holder {
            return ClaimReply::NotHolder;
        }
        if claim.fire(event) {
            on_success(claim);
        }
        ClaimReply::Done
    }
}
