//! Limits the number of targets that requests with the same content can crash.
//!
//! Each attempt to send a request reports whether the target answered it to the end or crashed.
//! The findings are shared with the other ingresses, and a [`CrashLedgers`] decides from all of
//! them which requests are sent, tried one at a time, or refused.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use toucanshelf_core::crash::{Content, Finding, Outcome, WHOLE_REQUEST_POSITION};
use toucanshelf_core::digest::Digest;
use toucanshelf_core::ids::{CrashId, PromptPart};
use toucanshelf_routing::crash_ledger::{Admission, CrashLedgers, Handling};

use crate::request::CallerRequest;
use crate::shared::Shared;

/// Findings of all ingresses about content that crashes targets.
#[derive(Debug)]
pub struct ContentGuard {
    ledgers: Mutex<CrashLedgers>,
    /// Counter that is raised by each new finding.
    changed: watch::Sender<u64>,
}

impl Default for ContentGuard {
    fn default() -> Self {
        Self::new()
    }
}

impl ContentGuard {
    /// Creates a guard that knows no findings.
    pub fn new() -> Self {
        Self {
            ledgers: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    fn ledgers(&self) -> MutexGuard<'_, CrashLedgers> {
        self.ledgers.lock().expect("no holder panics")
    }

    /// Returns all findings, for a new link to a control instance.
    pub fn findings(&self) -> Vec<Finding> {
        self.ledgers().findings()
    }

    /// Decides whether a request with these contents may be sent at the time `now`, in milliseconds.
    fn admit(&self, service: &str, contents: &[PositionedContent], now: u64) -> Admission {
        let contents = without_positions(contents);
        let ledgers = self.ledgers();
        let ledger = ledgers.get(service);
        ledger.map_or_else(
            || Admission::Send { trial: Vec::new() },
            |ledger| ledger.admit(&contents, now),
        )
    }

    /// Forgets content without recent crashes; `now` is in milliseconds.
    pub fn prune(&self, now: u64) {
        self.ledgers().prune(now);
    }

    /// Adds findings of this ingress or of others.
    ///
    /// Each finding that changes how requests are handled is logged. Returns whether any was new.
    pub fn apply(&self, now: u64, findings: &[Finding]) -> bool {
        let mut ledgers = self.ledgers();
        let mut any_new = false;
        for finding in findings {
            let before = handling(&ledgers, finding, now);
            any_new |= ledgers.apply(now, finding);
            let after = handling(&ledgers, finding, now);
            if before.name() != after.name() {
                let ledger = ledgers.get(&finding.service);
                let crashes = ledger.map_or(0, |ledger| ledger.unexplained(finding.content).len());
                tracing::warn!(
                    event = "TS4311",
                    service = %finding.service,
                    content = %finding.content,
                    before = before.name(),
                    after = after.name(),
                    crashes,
                    "handling of content changed"
                );
            }
        }
        drop(ledgers);
        if any_new {
            self.changed.send_modify(|count| *count += 1);
        }
        any_new
    }
}

fn handling(ledgers: &CrashLedgers, finding: &Finding, now: u64) -> Handling {
    let ledger = ledgers.get(&finding.service);
    ledger.map_or(Handling::Normal, |ledger| {
        ledger.handling(finding.content, now)
    })
}

/// Content of a request with its position in the request.
type PositionedContent = (Content, u8);

/// Returns the contents of a request, the most specific one first.
fn contents(req: &CallerRequest) -> Vec<PositionedContent> {
    let parts = req.facts.shared_parts.iter().enumerate();
    let parts = parts.map(|(i, part)| {
        let position = i.min(usize::from(WHOLE_REQUEST_POSITION) - 1);
        (Content::Part(*part), position as u8)
    });
    let whole = (Content::Request(fingerprint(req)), WHOLE_REQUEST_POSITION);
    parts.chain([whole]).rev().collect()
}

fn without_positions(contents: &[PositionedContent]) -> Vec<Content> {
    contents.iter().map(|(content, _)| *content).collect()
}

/// Returns a hash of a request's caller, method, path, shared prompt parts and body.
fn fingerprint(req: &CallerRequest) -> u64 {
    let caller = req.organisation.as_deref().unwrap_or_default();
    let (method, uri, parts) = (&req.method, &req.uri, req.shared_parts());
    let mut text = format!("{caller}\n{method}\n{uri}\n{parts}\n").into_bytes();
    text.extend_from_slice(&req.body);
    Digest::of(&text).prefix()
}

/// An attempt to send a request, which reports what happened to its target.
#[derive(Debug)]
pub struct ContentAttempt {
    shared: Arc<Shared>,
    service: Box<str>,
    /// Contents of the request, the most specific one first.
    contents: Vec<PositionedContent>,
    /// Contents that the attempt tries.
    trial: Vec<Content>,
    /// Receiver of a counter that is raised by each new finding.
    changes: watch::Receiver<u64>,
    /// Whether the target has begun to answer.
    has_begun: bool,
    /// Whether the outcome of the attempt is recorded.
    settled: bool,
}

/// Waits until a request may be sent, and begins an attempt.
///
/// While another request with suspected content is on trial, this waits for its outcome, at most for
/// the latency objective of the request.
///
/// # Errors
///
/// If the request must not be sent, returns the time after which it may be sent again.
pub async fn begin_attempt(
    shared: &Arc<Shared>,
    req: &CallerRequest,
) -> Result<ContentAttempt, Duration> {
    let wait_until = (Instant::now() + req.objective).min(req.response_due());
    let mut attempt = ContentAttempt::new(shared, req);
    let mut changes = shared.content.changed.subscribe();
    loop {
        let wait = match attempt.admission() {
            Admission::Send { trial } => {
                attempt.start_trial(req, trial);
                return Ok(attempt);
            }
            Admission::Refuse { until } => return Err(time_until(shared, until)),
            Admission::Wait { busy_until } => time_until(shared, busy_until),
        };
        if Instant::now() >= wait_until {
            return Err(wait);
        }
        let wake_at = (Instant::now() + wait).min(wait_until);
        // A timeout also leads to a new decision: a trial that takes too long makes room for the
        // next one.
        drop(timeout_at(wake_at, changes.changed()).await);
    }
}

/// Begins an attempt that continues a stream, of which the caller has events.
///
/// The stream doesn't wait while another request with suspected content is on trial.
///
/// # Errors
///
/// If the request must not be sent, returns the time after which it may be sent again.
pub fn begin_resumed_attempt(
    shared: &Arc<Shared>,
    req: &CallerRequest,
) -> Result<ContentAttempt, Duration> {
    let mut attempt = ContentAttempt::new(shared, req);
    match attempt.admission() {
        Admission::Send { trial } => attempt.start_trial(req, trial),
        Admission::Refuse { until } => return Err(time_until(shared, until)),
        Admission::Wait { .. } => {}
    }
    Ok(attempt)
}

fn time_until(shared: &Shared, time: u64) -> Duration {
    Duration::from_millis(time.saturating_sub(shared.now()))
}

impl ContentAttempt {
    fn new(shared: &Arc<Shared>, req: &CallerRequest) -> Self {
        Self {
            shared: Arc::clone(shared),
            service: req.service.clone(),
            contents: contents(req),
            trial: Vec::new(),
            changes: shared.content.changed.subscribe(),
            has_begun: false,
            settled: false,
        }
    }

    /// Decides whether the request may be sent now.
    fn admission(&self) -> Admission {
        let guard = &self.shared.content;
        guard.admit(&self.service, &self.contents, self.shared.now())
    }

    /// Makes the attempt a trial of the contents in `trial`, if there are any.
    fn start_trial(&mut self, req: &CallerRequest, trial: Vec<Content>) {
        self.trial = trial;
        for suspect in &self.contents {
            if self.trial.contains(&suspect.0) {
                tracing::info!(event = "TS4312", request = req.id(), content = %suspect.0, "trial started");
                self.publish(*suspect, Outcome::TrialStarted);
            }
        }
    }

    /// Waits until requests with the content of this one are refused.
    ///
    /// Once the target has begun to answer, the future never completes. It is cancel safe.
    pub async fn refused(&mut self) {
        while !self.has_begun && !self.settled && self.changes.changed().await.is_ok() {
            if matches!(self.admission(), Admission::Refuse { .. }) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Records that the target has begun to answer the request.
    ///
    /// The attempt is then not cancelled any more, but its target may still crash.
    pub fn record_begun(&mut self) {
        self.has_begun = true;
    }

    /// Records that the target answered the request to the end.
    ///
    /// The content of the request has then not caused the crashes that are known by now. Calls after
    /// the first outcome have no effect.
    pub fn record_served(&mut self) {
        if std::mem::replace(&mut self.settled, true) {
            return;
        }
        let trial = std::mem::take(&mut self.trial);
        let unexplained = {
            let mut ledgers = self.shared.content.ledgers();
            ledgers.record_sound(&self.service, self.shared.now(), &self.parts());
            let ledger = ledgers.get(&self.service);
            let unexplained = |(content, _): &PositionedContent| {
                ledger.map_or_else(Vec::new, |ledger| ledger.unexplained(*content))
            };
            self.contents.iter().map(unexplained).collect::<Vec<_>>()
        };
        for (content, despite) in self.contents.iter().zip(unexplained) {
            if !despite.is_empty() {
                self.publish(*content, Outcome::Served { despite });
            } else if trial.contains(&content.0) {
                self.publish(*content, Outcome::TrialEnded);
            }
        }
    }

    /// Returns the prompt parts that the request shares with others.
    fn parts(&self) -> Vec<PromptPart> {
        let contents = self.contents.iter();
        let part = |(content, _): &PositionedContent| match content {
            Content::Part(part) => Some(*part),
            Content::Request(_) => None,
        };
        contents.filter_map(part).collect()
    }

    /// Records that the target crashed before the end of its answer to `req`, the request of this
    /// attempt.
    ///
    /// Calls after the first outcome have no effect.
    pub fn record_crash(&mut self, req: &CallerRequest, crash: CrashId) {
        if std::mem::replace(&mut self.settled, true) {
            return;
        }
        let trial = std::mem::take(&mut self.trial);
        let tried = {
            let ledgers = self.shared.content.ledgers();
            let ledger = ledgers.get(&self.service);
            let request = without_positions(&self.contents);
            ledger.map_or_else(Vec::new, |ledger| {
                ledger.tried(&request, &trial, self.shared.now())
            })
        };
        tracing::info!(
            event = "TS4310",
            request = req.id(),
            has_begun = self.has_begun,
            service = %self.service,
            crash = crash.0,
            parts = %req.shared_parts(),
            tried = tried.iter().map(Content::to_string).collect::<Vec<_>>().join(","),
            "target crashed before the end of its answer"
        );
        for content in &self.contents {
            let in_trial = tried.contains(&content.0);
            self.publish(*content, Outcome::Crashed { crash, in_trial });
        }
    }

    /// Adds a finding to those of this ingress and sends it to the control instances.
    fn publish(&self, (content, position): PositionedContent, outcome: Outcome) {
        let finding = Finding {
            service: self.service.clone(),
            content,
            position,
            outcome,
        };
        let shared = &self.shared;
        if shared
            .content
            .apply(shared.now(), std::slice::from_ref(&finding))
        {
            shared.control.share_finding(&finding);
        }
    }
}

impl Drop for ContentAttempt {
    fn drop(&mut self) {
        if !self.settled {
            let trial = std::mem::take(&mut self.trial);
            for content in self.contents.iter().filter(|(c, _)| trial.contains(c)) {
                self.publish(*content, Outcome::TrialEnded);
            }
        }
    }
}
