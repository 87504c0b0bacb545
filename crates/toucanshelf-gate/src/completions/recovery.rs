//! Attempts of one request.
//!
//! An attempt is one run of the request over a route, which is a list of engines that together run
//! all layers of the model. It delivers the tokens from these engines to the caller. If it fails,
//! the next attempt resumes the answer after the tokens that were delivered.
//!
//! An attempt stalls if no token arrives in time. An engine is lost if it crashes or the connection
//! to it breaks. An outage is a loss of engines that the request did not cause.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt as _;
use http::HeaderMap;
use tokio::sync::mpsc;
use tokio::time::Instant;
use toucanshelf_core::engine::{CancelRequest, EngineLine, RunRequest, TokenFrame};
use toucanshelf_core::outcome::{Code, Outcome, Refusal};
use toucanshelf_link::engine::{EngineError, LineStream};
use toucanshelf_routing::delivery::Delivery;
use toucanshelf_routing::planner::NoRoute;
use toucanshelf_routing::retry::{FIRST_TOKEN_TIMEOUT_MS, GapTimer, MAX_ATTEMPTS};

use super::attempt_error::AttemptError;
use super::failed_engines::FailedEngines;
use super::loss_tracker::LossTracker;
use super::pipeline::{FinishReason, Job, ResponseEvent};
use super::route::ReservedRoute;
use crate::shared::Shared;

/// Time for which the planner avoids an engine that failed an attempt, in milliseconds.
const FAILED_ENGINE_AVOID_MS: u64 = 2_000;
/// Maximum time without a token of an attempt whose engines are still working.
///
/// Engines are working if they deliver tokens of other requests.
const MAX_SILENCE: Duration = Duration::from_secs(10);
/// Time for which the planner avoids an engine that refused an attempt, in milliseconds.
const REFUSING_ENGINE_AVOID_MS: u64 = 200;
/// Maximum time in which the first engine of a route must accept an attempt.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Priority of an attempt before any token was delivered.
///
/// Engines run requests with a higher priority first.
const NEW_STREAM_PRIORITY: u8 = 10;
/// Priority of an attempt that resumes an answer after delivered tokens.
///
/// Engines run requests with a higher priority first.
const RESUMED_STREAM_PRIORITY: u8 = 20;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The answer is complete.
    Finished(FinishReason),
    /// The caller disconnected.
    Cancelled,
    /// The attempt failed; another one may resume the answer.
    Failed,
}

/// Runs the attempts of one request.
#[derive(Debug)]
pub struct AttemptRunner<'a> {
    shared: &'a Arc<Shared>,
    job: &'a Job,
    tx: &'a mpsc::Sender<ResponseEvent>,
    delivery: Delivery,
    /// Engines that refused this request or failed while they ran it.
    failed_engines: FailedEngines,
    /// Whether an engine may have run a part of the request.
    may_have_run: bool,
    last_error: Box<str>,
    started_at: Instant,
    last_token_at: Option<Instant>,
    deadline_passed: bool,
    /// Time of the attempt's last progress, in milliseconds of the gate's clock.
    ///
    /// Progress is the start of the attempt, a token, or a check that found that all engines of the
    /// route deliver tokens of other requests.
    last_progress_at: u64,
    /// Whether the next retry is allowed even if the retry budget is used up.
    free_retry: bool,
    /// Number of tokens that were delivered before the current attempt.
    delivered_before: usize,
    /// Counts of the targets that were lost while they ran this request.
    pub loss_tracker: LossTracker<'a>,
}

impl<'a> AttemptRunner<'a> {
    /// Creates a runner that has made no attempts yet.
    pub fn new(shared: &'a Arc<Shared>, job: &'a Job, tx: &'a mpsc::Sender<ResponseEvent>) -> Self {
        Self {
            shared,
            job,
            tx,
            delivery: Delivery::new(job.request_id.clone()),
            failed_engines: FailedEngines::default(),
            may_have_run: false,
            last_error: "".into(),
            started_at: Instant::now(),
            last_token_at: None,
            deadline_passed: false,
            last_progress_at: 0,
            free_retry: false,
            delivered_before: 0,
            loss_tracker: LossTracker::new(shared, job),
        }
    }

    /// Engines that refused this request or failed while they ran it.
    pub fn failed_engines(&self) -> &FailedEngines {
        &self.failed_engines
    }

    /// Whether an engine may have run a part of the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the message for a missing route, with the last attempt's error if any.
    pub fn describe_no_route(&self, no_route: &NoRoute) -> Box<str> {
        match &*self.last_error {
            "" => no_route.to_string().into(),
            error => format!("{no_route}; last fault: {error}").into(),
        }
    }

    /// Number of attempts so far.
    pub fn attempts(&self) -> u64 {
        self.delivery.attempt().0
    }

    /// Creates a refusal whose outcome tells whether the request may have run.
    pub fn refusal(&self, code: Code, message: Box<str>) -> Refusal {
        let outcome = if self.may_have_run {
            Outcome::Failed
        } else {
            Outcome::NotRun
        };
        Refusal::new(outcome, code, message)
    }

    /// Checks whether another attempt may be made, and takes it from the retry budget.
    ///
    /// # Errors
    ///
    /// Fails if the deadline has passed, or the attempts or the retry budget are used up.
    pub fn check_retry(&mut self) -> Result<(), Refusal> {
        if self.deadline_passed {
            let message = format!("the deadline passed; last fault: {}", self.last_error);
            return Err(self.refusal(Code::DeadlinePassed, message.into()));
        }
        let attempts_exhausted = self.attempts() >= MAX_ATTEMPTS;
        // A retry that resumes an answer after delivered tokens is allowed even if the retry budget
        // is used up. So is the retry after an attempt that was not run, because it adds no load to
        // the other engines.
        let exempt_from_budget =
            !self.delivery.delivered().is_empty() || std::mem::take(&mut self.free_retry);
        if attempts_exhausted
            || !(self.shared.policy().retry_budget.withdraw() || exempt_from_budget)
        {
            let message = format!(
                "{} attempts failed, the last: {}",
                self.attempts(),
                self.last_error
            );
            return Err(self.refusal(Code::RetriesExhausted, message.into()));
        }
        self.shared.metrics.retries.inc();
        Ok(())
    }

    /// Runs one attempt over `route`, with `headers` on the call to its first engine.
    pub async fn run_attempt(&mut self, route: &ReservedRoute, headers: HeaderMap) -> AttemptEnd {
        self.last_progress_at = self.shared.now();
        let attempt = self.delivery.start_attempt(route.layers());
        self.delivered_before = self.delivery.delivered().len();
        let resumes = self.delivered_before > 0;
        let request = RunRequest {
            request: self.job.request_id.clone(),
            attempt,
            model: self.job.model.clone(),
            prompt: self.job.prompt.clone(),
            delivered: self.delivery.delivered().to_vec(),
            max_tokens: self.job.max_tokens,
            priority: if resumes {
                RESUMED_STREAM_PRIORITY
            } else {
                NEW_STREAM_PRIORITY
            },
            route: route.hops.clone(),
        };
        let first = &route.hops[0];
        let run = self.shared.engines.run(first.address, request, headers);
        let response = tokio::time::timeout(ACCEPT_TIMEOUT, run).await;
        let error = match response {
            Ok(Ok(lines)) => match self.read_stream(route, lines).await {
                Ok(end) => return end,
                Err(error) => error,
            },
            Ok(Err(EngineError::NotSent(reason))) => AttemptError::Unreachable {
                engine: first.engine.clone(),
                reason,
            },
            Ok(Err(EngineError::Refused { reason, .. })) => AttemptError::Refused {
                engine: first.engine.clone(),
                reason,
            },
            Ok(Err(error)) => {
                self.may_have_run = true;
                AttemptError::Lost {
                    engine: first.engine.clone(),
                    reason: error.to_string().into(),
                }
            }
            Err(_) => {
                self.may_have_run = true;
                AttemptError::Stalled
            }
        };
        self.handle_error(route, &error);
        AttemptEnd::Failed
    }

    async fn read_stream(
        &mut self,
        route: &ReservedRoute,
        mut lines: LineStream,
    ) -> Result<AttemptEnd, AttemptError> {
        let mut gap_timer = GapTimer::with_first_token_timeout(self.first_token_timeout_ms());
        let mut last_line_at = Instant::now();
        let mut last_check_at = last_line_at;
        loop {
            let gap_timeout = Duration::from_secs_f64(gap_timer.timeout_ms() / 1_000.0);
            let remaining_ms = self.job.deadline.saturating_sub(self.shared.now());
            let line = tokio::select! {
                line = lines.next() => line,
                () = tokio::time::sleep_until(last_check_at + gap_timeout) => {
                    if last_line_at.elapsed() > MAX_SILENCE || !self.all_engines_progressed(route) {
                        return Err(AttemptError::Stalled);
                    }
                    // All engines of the route deliver tokens of other requests, so this stream is
                    // slow rather than stalled.
                    last_check_at = Instant::now();
                    self.last_progress_at = self.shared.now();
                    continue;
                }
                () = tokio::time::sleep(Duration::from_millis(remaining_ms)) => {
                    return Err(AttemptError::DeadlinePassed);
                }
                () = self.tx.closed() => {
                    self.cancel_attempt(route);
                    return Ok(AttemptEnd::Cancelled);
                }
            };
            let frame = match line {
                Some(Ok(EngineLine::Accepted)) => {
                    self.may_have_run = true;
                    continue;
                }
                Some(Ok(EngineLine::Token(frame))) => frame,
                Some(Ok(EngineLine::Broken {
                    engine,
                    reason,
                    not_run,
                })) => {
                    return Err(if not_run {
                        self.free_retry = true;
                        AttemptError::Refused { engine, reason }
                    } else {
                        self.may_have_run = true;
                        AttemptError::Lost { engine, reason }
                    });
                }
                other => return Err(self.stream_error(route, other)),
            };
            self.may_have_run = true;
            let gap_ms = last_line_at.elapsed().as_secs_f64() * 1_000.0;
            self.record_gap(&mut gap_timer, gap_ms);
            last_line_at = Instant::now();
            last_check_at = last_line_at;
            if let Some(end) = self.deliver_frame(route, &frame).await? {
                return Ok(end);
            }
        }
    }

    /// Returns the timeout for the first token of an attempt, in milliseconds.
    ///
    /// It adapts to the first-token times of recent attempts of the same model.
    fn first_token_timeout_ms(&self) -> f64 {
        let mut fleets = self.shared.fleets();
        let model = fleets.model(&self.job.model);
        model.map_or(FIRST_TOKEN_TIMEOUT_MS, |model| {
            model.first_token_timer.timeout_ms()
        })
    }

    fn stream_error(
        &mut self,
        route: &ReservedRoute,
        line: Option<Result<EngineLine, EngineError>>,
    ) -> AttemptError {
        self.may_have_run = true;
        let engine = route.hops[0].engine.clone();
        match line {
            Some(Err(EngineError::Protocol(reason))) => AttemptError::Protocol { engine, reason },
            Some(Err(error)) => AttemptError::Lost {
                engine,
                reason: error.to_string().into(),
            },
            _ => AttemptError::Lost {
                engine,
                reason: "the stream ended early".into(),
            },
        }
    }

    /// Validates a frame and sends its token to the caller.
    ///
    /// Returns how the attempt ended, or `None` if more frames follow.
    async fn deliver_frame(
        &mut self,
        route: &ReservedRoute,
        frame: &TokenFrame,
    ) -> Result<Option<AttemptEnd>, AttemptError> {
        if let Err(error) = self.delivery.accept(frame) {
            self.shared.metrics.dropped_frames.inc();
            tracing::warn!(event = "TS3502", cause = %error, "dropped an invalid frame");
            let engine = route.hops[0].engine.clone();
            return Err(AttemptError::Protocol {
                engine,
                reason: error.to_string().into(),
            });
        }
        self.record_progress(route);
        if self
            .tx
            .send(ResponseEvent::Token(frame.token.clone()))
            .await
            .is_err()
        {
            self.cancel_attempt(route);
            return Ok(Some(AttemptEnd::Cancelled));
        }
        if !self.delivery.is_finished() {
            return Ok(None);
        }
        let tokens = self.delivery.delivered().len() as u32;
        let reason = if tokens >= self.job.max_tokens {
            FinishReason::Length
        } else {
            FinishReason::Stop
        };
        Ok(Some(AttemptEnd::Finished(reason)))
    }

    /// Adapts a timeout to the time that a token took to arrive.
    ///
    /// The first token of an attempt adapts the model's timeout for first tokens. Each later token
    /// adapts the attempt's timeout for the gap between tokens.
    fn record_gap(&self, gap_timer: &mut GapTimer, gap_ms: f64) {
        if gap_timer.is_started() {
            gap_timer.observe(gap_ms);
            return;
        }
        gap_timer.start();
        if let Some(model) = self.shared.fleets().model(&self.job.model) {
            model.first_token_timer.observe(gap_ms);
        }
    }

    fn record_progress(&mut self, route: &ReservedRoute) {
        let is_first_of_attempt = self.delivery.delivered().len() == self.delivered_before + 1;
        let metrics = &self.shared.metrics;
        metrics.tokens.inc();
        match self.last_token_at {
            None => metrics
                .first_token_s
                .observe(self.started_at.elapsed().as_secs_f64()),
            Some(last) if is_first_of_attempt && self.attempts() > 1 => {
                metrics.recovery_s.observe(last.elapsed().as_secs_f64());
            }
            Some(_) => {}
        }
        if is_first_of_attempt {
            self.loss_tracker.clear_starting_losses();
        }
        self.last_token_at = Some(Instant::now());
        let now = self.shared.now();
        self.last_progress_at = now;
        if let Some(model) = self.shared.fleets().model(&self.job.model) {
            for hop in &route.hops {
                match model.last_token_at.get_mut(&hop.engine) {
                    Some(last_token_at) => *last_token_at = now,
                    None => drop(model.last_token_at.insert(hop.engine.clone(), now)),
                }
                model.consecutive_stalls.remove(&hop.engine);
            }
        }
    }

    /// Records a failed attempt and cancels it at its engines.
    ///
    /// Later attempts of this request do not use the engines that failed, except as described in
    /// [`FailedEngines`]. Other requests of this gate avoid these engines for a while, unless they
    /// violated the protocol.
    fn handle_error(&mut self, route: &ReservedRoute, error: &AttemptError) {
        let now = self.shared.now();
        self.last_error = error.to_string().into();
        tracing::warn!(event = "TS3503", request = %self.job.request_id, cause = %self.last_error, "attempt failed");
        match error {
            AttemptError::Refused { engine, .. } => {
                self.delivery.end_attempt("refuse");
                self.failed_engines.record_passing(engine, now);
                self.avoid_engine(engine, now + REFUSING_ENGINE_AVOID_MS);
            }
            AttemptError::Unreachable { engine, .. } => {
                self.delivery.end_attempt("refuse");
                self.failed_engines.record_passing(engine, now);
                self.avoid_engine(engine, now + FAILED_ENGINE_AVOID_MS);
                self.free_retry = true;
            }
            AttemptError::Lost { engine, .. } => {
                self.delivery.end_attempt("break");
                self.failed_engines.record_lasting(engine);
                self.avoid_engine(engine, now + FAILED_ENGINE_AVOID_MS);
                self.record_engine_loss(engine, now);
                let streaming = self.delivery.delivered().len() > self.delivered_before;
                self.loss_tracker.record_loss(streaming);
            }
            AttemptError::Protocol { engine, .. } => {
                self.delivery.end_attempt("break");
                self.failed_engines.record_lasting(engine);
            }
            AttemptError::Stalled => {
                self.delivery.end_attempt("break");
                self.avoid_stalled_engines(route, now);
            }
            AttemptError::DeadlinePassed => {
                self.delivery.end_attempt("cancel");
                self.deadline_passed = true;
            }
        }
        self.cancel_attempt(route);
    }

    fn avoid_engine(&self, name: &str, until: u64) {
        if let Some(model) = self.shared.fleets().model(&self.job.model)
            && let Some(key) = model.key(name)
        {
            model.fleet.avoid(key, until);
        }
    }

    /// Whether every engine of the route has delivered a token since `last_progress_at`.
    ///
    /// Such tokens belong to other requests of this gate.
    fn all_engines_progressed(&self, route: &ReservedRoute) -> bool {
        let mut fleets = self.shared.fleets();
        let model = fleets.model(&self.job.model);
        model.is_some_and(|model| {
            route
                .hops
                .iter()
                .all(|hop| model.has_token_since(&hop.engine, self.last_progress_at))
        })
    }

    /// Makes the planner avoid engines that delivered no token since `last_progress_at`.
    ///
    /// Only engines of `route` are concerned. Later attempts of this request use them only after a
    /// while and if no other engine can run it. Other requests of this gate avoid them for a while.
    fn avoid_stalled_engines(&mut self, route: &ReservedRoute, now: u64) {
        let mut fleets = self.shared.fleets();
        let Some(model) = fleets.model(&self.job.model) else {
            return;
        };
        for hop in &route.hops {
            if !model.has_token_since(&hop.engine, self.last_progress_at) {
                model.record_stall(&hop.engine, now, FAILED_ENGINE_AVOID_MS);
                self.failed_engines.record_passing(&hop.engine, now);
            }
        }
    }

    fn record_engine_loss(&self, engine: &str, now: u64) {
        if let Some(model) = self.shared.fleets().model(&self.job.model) {
            model.record_loss(engine, now);
        }
    }

    /// Subtracts one from the request's count of lost targets if an outage is likely.
    ///
    /// An outage is a failure of engines that the request did not cause. Returns whether the count
    /// changed.
    pub async fn discount_outage_loss(&self) -> bool {
        self.attempts() > 0
            && self
                .loss_tracker
                .discount_outage(&self.failed_engines.names())
                .await
    }

    /// Cancels the attempt at all its engines, without waiting for them.
    fn cancel_attempt(&self, route: &ReservedRoute) {
        let request = self.job.request_id.clone();
        let cancel = CancelRequest {
            request,
            attempt: self.delivery.attempt(),
        };
        for hop in &route.hops {
            tokio::spawn(self.shared.engines.cancel(hop.address, cancel.clone()));
        }
    }
}
