//! Attempts of one request: delivery of frames, detection of failures, resumption.

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

use super::fault::Fault;
use super::pipeline::{Event, Finish, Job};
use super::route::PlannedRoute;
use super::suspicion::Suspicion;
use crate::shared::Shared;

/// Time for which an engine that failed gets nothing new, in milliseconds.
const AVOID_MS: u64 = 2_000;
/// Longest silence of a stream whose engines serve others meanwhile.
const SILENCE_LIMIT: Duration = Duration::from_secs(10);
/// Time for which an engine that refused gets nothing new, in milliseconds.
const AVOID_REFUSED_MS: u64 = 200;
/// Longest time that an engine has to take a request.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Priority of a first attempt; larger goes first.
const FIRST_PRIORITY: u8 = 10;
/// Priority of a resumed answer.
const RESUMED_PRIORITY: u8 = 20;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The answer is whole.
    Finished(Finish),
    /// The caller has gone.
    Cancelled,
    /// Another attempt may go on.
    Again,
}

/// Attempts of one request.
#[derive(Debug)]
pub struct Streamer<'a> {
    shared: &'a Arc<Shared>,
    job: &'a Job,
    tx: &'a mpsc::Sender<Event>,
    delivery: Delivery,
    avoid: Vec<Box<str>>,
    /// Whether an engine may have run a part of the request.
    has_run: bool,
    last_fault: Box<str>,
    started: Instant,
    last_token: Option<Instant>,
    deadline_passed: bool,
    /// Time of this request's last token or last look at its engines, in milliseconds of the
    /// gate's clock.
    progress_at: u64,
    /// Whether the next retry does not count against the budget.
    free_retry: bool,
    /// Tokens that the caller had when the attempt began.
    delivered_before: usize,
    /// Suspicion that the request crashes its targets.
    pub suspicion: Suspicion<'a>,
}

impl<'a> Streamer<'a> {
    /// Starts a request without attempts.
    pub fn new(shared: &'a Arc<Shared>, job: &'a Job, tx: &'a mpsc::Sender<Event>) -> Self {
        Self {
            shared,
            job,
            tx,
            delivery: Delivery::new(job.request.clone()),
            avoid: Vec::new(),
            has_run: false,
            last_fault: "".into(),
            started: Instant::now(),
            last_token: None,
            deadline_passed: false,
            progress_at: 0,
            free_retry: false,
            delivered_before: 0,
            suspicion: Suspicion::new(shared, job),
        }
    }

    /// Names of engines that failed this request.
    pub fn avoid(&self) -> &[Box<str>] {
        &self.avoid
    }

    /// Whether an engine may have run a part of the request.
    pub fn has_run(&self) -> bool {
        self.has_run
    }

    /// Text for the want of a route, with what went wrong before.
    pub fn describe(&self, missing: &NoRoute) -> Box<str> {
        match &*self.last_fault {
            "" => missing.to_string().into(),
            fault => format!("{missing}; last fault: {fault}").into(),
        }
    }

    /// Attempts so far.
    pub fn attempts(&self) -> u64 {
        self.delivery.attempt().0
    }

    /// Refusal with the outcome that is true after what has happened.
    pub fn refusal(&self, code: Code, message: Box<str>) -> Refusal {
        let outcome = if self.has_run {
            Outcome::Failed
        } else {
            Outcome::NotRun
        };
        Refusal::new(outcome, code, message)
    }

    /// Whether another attempt may be made.
    ///
    /// # Errors
    ///
    /// Fails when the deadline has passed, or attempts or the retry budget are used up.
    pub fn check_retry(&mut self) -> Result<(), Refusal> {
        if self.deadline_passed {
            let what = format!("the deadline passed; last fault: {}", self.last_fault);
            return Err(self.refusal(Code::DeadlinePassed, what.into()));
        }
        let used_up = self.attempts() >= MAX_ATTEMPTS;
        // A stream that the caller has begun to read goes on whatever the budget says, and an
        // engine that can't be reached costs the others nothing.
        let resumes = !self.delivery.delivered().is_empty() || std::mem::take(&mut self.free_retry);
        if used_up || !(self.shared.policy().retry_budget.withdraw() || resumes) {
            let what = format!(
                "{} attempts failed, the last: {}",
                self.attempts(),
                self.last_fault
            );
            return Err(self.refusal(Code::RetriesExhausted, what.into()));
        }
        self.shared.metrics.retries.inc();
        Ok(())
    }

    /// Runs one attempt over `route`.
    pub async fn run_attempt(&mut self, route: &PlannedRoute, headers: HeaderMap) -> AttemptEnd {
        self.progress_at = self.shared.now();
        let attempt = self.delivery.start_attempt(route.layers());
        self.delivered_before = self.delivery.delivered().len();
        let resumes = self.delivered_before > 0;
        let request = RunRequest {
            request: self.job.request.clone(),
            attempt,
            model: self.job.model.clone(),
            prompt: self.job.prompt.clone(),
            delivered: self.delivery.delivered().to_vec(),
            max_tokens: self.job.max_tokens,
            priority: if resumes {
                RESUMED_PRIORITY
            } else {
                FIRST_PRIORITY
            },
            route: route.hops.clone(),
        };
        let first = &route.hops[0];
        let run = self.shared.engines.run(first.address, request, headers);
        let opened = tokio::time::timeout(ACCEPT_TIMEOUT, run).await;
        let fault = match opened {
            Ok(Ok(lines)) => match self.read(route, lines).await {
                Ok(end) => return end,
                Err(fault) => fault,
            },
            Ok(Err(EngineError::NotSent(reason))) => Fault::Unreachable {
                engine: first.engine.clone(),
                reason,
            },
            Ok(Err(EngineError::Refused { reason, .. })) => Fault::Refused {
                engine: first.engine.clone(),
                reason,
            },
            Ok(Err(error)) => {
                self.has_run = true;
                Fault::Lost {
                    engine: first.engine.clone(),
                    reason: error.to_string().into(),
                }
            }
            Err(_) => {
                self.has_run = true;
                Fault::Silent
            }
        };
        self.fail(route, &fault);
        AttemptEnd::Again
    }

    async fn read(
        &mut self,
        route: &PlannedRoute,
        mut lines: LineStream,
    ) -> Result<AttemptEnd, Fault> {
        let mut gaps = GapTimer::with_first_token_timeout(self.first_token_timeout_ms());
        let mut last_line = Instant::now();
        let mut looked = last_line;
        loop {
            let gap = Duration::from_secs_f64(gaps.timeout_ms() / 1_000.0);
            let left = self.job.deadline.saturating_sub(self.shared.now());
            let line = tokio::select! {
                            line = lines.next() => line,
                            () = tokio::time::sleep_until(looked + gap) => {
                                if last_line.elapsed() > SILENCE_LIMIT || !self.engines_move(route) {
                                    return Err(Fault::Silent);
                                }
                                // Others get tokens through every engine of the route: it is slow, not frozen.
            looked = Instant::now();
                                self.progress_at = self.shared.now();
                                continue;
                            }
                            () = tokio::time::sleep(Duration::from_millis(left)) => {
                                return Err(Fault::Deadline);
                            }
                            () = self.tx.closed() => {
                                self.cancel(route);
                                return Ok(AttemptEnd::Cancelled);
                            }
                        };
            let frame = match line {
                Some(Ok(EngineLine::Accepted)) => {
                    self.has_run = true;
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
                        Fault::Refused { engine, reason }
                    } else {
                        self.has_run = true;
                        Fault::Lost { engine, reason }
                    });
                }
                other => return Err(self.broken_stream(route, other)),
            };
            self.has_run = true;
            let gap_ms = last_line.elapsed().as_secs_f64() * 1_000.0;
            self.note_gap(&mut gaps, gap_ms);
            last_line = Instant::now();
            looked = last_line;
            if let Some(finish) = self.deliver(route, &frame).await? {
                return Ok(finish);
            }
        }
    }

    /// Time within which the first token of an attempt must come, from what others waited.
    fn first_token_timeout_ms(&self) -> f64 {
        let mut fleets = self.shared.fleets();
        let model = fleets.model(&self.job.model);
        model.map_or(FIRST_TOKEN_TIMEOUT_MS, |model| {
            model.first_token_timer.timeout_ms()
        })
    }

    fn broken_stream(
        &mut self,
        route: &PlannedRoute,
        line: Option<Result<EngineLine, EngineError>>,
    ) -> Fault {
        self.has_run = true;
        let engine = route.hops[0].engine.clone();
        match line {
            Some(Err(EngineError::Protocol(reason))) => Fault::Protocol { engine, reason },
            Some(Err(error)) => Fault::Lost {
                engine,
                reason: error.to_string().into(),
            },
            _ => Fault::Lost {
                engine,
                reason: "the stream ended early".into(),
            },
        }
    }

    /// Checks a frame and passes its token on.
    async fn deliver(
        &mut self,
        route: &PlannedRoute,
        frame: &TokenFrame,
    ) -> Result<Option<AttemptEnd>, Fault> {
        if let Err(error) = self.delivery.accept(frame) {
            self.shared.metrics.dropped_frames.inc();
            tracing::warn!(event = "TS3502", cause = %error, "frame dropped");
            let engine = route.hops[0].engine.clone();
            return Err(Fault::Protocol {
                engine,
                reason: error.to_string().into(),
            });
        }
        self.note_progress(route);
        if self
            .tx
            .send(Event::Token(frame.token.clone()))
            .await
            .is_err()
        {
            self.cancel(route);
            return Ok(Some(AttemptEnd::Cancelled));
        }
        if !self.delivery.is_finished() {
            return Ok(None);
        }
        let tokens = self.delivery.delivered().len() as u32;
        let finish = if tokens >= self.job.max_tokens {
            Finish::Length
        } else {
            Finish::Stop
        };
        Ok(Some(AttemptEnd::Finished(finish)))
    }

    /// Learns from a gap: the first of an attempt tells of starts, the others of the pace.
    fn note_gap(&self, gaps: &mut GapTimer, gap_ms: f64) {
        if gaps.is_started() {
            gaps.observe(gap_ms);
            return;
        }
        gaps.start();
        if let Some(model) = self.shared.fleets().model(&self.job.model) {
            model.first_token_timer.observe(gap_ms);
        }
    }

    fn note_progress(&mut self, route: &PlannedRoute) {
        // First token of the attempt.
        let is_first = self.delivery.delivered().len() == self.delivered_before + 1;
        let metrics = &self.shared.metrics;
        metrics.tokens.inc();
        match self.last_token {
            None => metrics
                .first_token_s
                .observe(self.started.elapsed().as_secs_f64()),
            Some(last) if is_first && self.attempts() > 1 => {
                metrics.recovery_s.observe(last.elapsed().as_secs_f64());
            }
            Some(_) => {}
        }
        if is_first {
            self.suspicion.pass_start();
        }
        self.last_token = Some(Instant::now());
        let now = self.shared.now();
        self.progress_at = now;
        if let Some(model) = self.shared.fleets().model(&self.job.model) {
            for hop in &route.hops {
                match model.last_token_at.get_mut(&hop.engine) {
                    Some(progress) => *progress = now,
                    None => drop(model.last_token_at.insert(hop.engine.clone(), now)),
                }
                model.consecutive_stalls.remove(&hop.engine);
            }
        }
    }

    /// Notes a fault, so that the next attempt and other requests go around it.
    fn fail(&mut self, route: &PlannedRoute, fault: &Fault) {
        let now = self.shared.now();
        self.last_fault = fault.to_string().into();
        tracing::warn!(event = "TS3503", request = %self.job.request, cause = %self.last_fault, "attempt failed");
        match fault {
            Fault::Refused { engine, .. } => {
                self.delivery.end_attempt("refuse");
                self.avoid.push(engine.clone());
                self.avoid_engine(engine, now + AVOID_REFUSED_MS);
            }
            Fault::Unreachable { engine, .. } => {
                self.delivery.end_attempt("refuse");
                self.avoid.push(engine.clone());
                self.avoid_engine(engine, now + AVOID_MS);
                self.free_retry = true;
            }
            Fault::Lost { engine, .. } => {
                self.delivery.end_attempt("break");
                self.avoid.push(engine.clone());
                self.avoid_engine(engine, now + AVOID_MS);
                self.note_loss(engine, now);
                let streaming = self.delivery.delivered().len() > self.delivered_before;
                self.suspicion.lose_target(streaming);
            }
            Fault::Protocol { engine, .. } => {
                self.delivery.end_attempt("break");
                self.avoid.push(engine.clone());
            }
            Fault::Silent => {
                self.delivery.end_attempt("break");
                self.avoid_silent(route, now);
            }
            Fault::Deadline => {
                self.delivery.end_attempt("cancel");
                self.deadline_passed = true;
            }
        }
        self.cancel(route);
    }

    fn avoid_engine(&self, name: &str, until: u64) {
        if let Some(model) = self.shared.fleets().model(&self.job.model)
            && let Some(key) = model.key(name)
        {
            model.fleet.avoid(key, until);
        }
    }

    /// Whether other requests have had a token through every engine of the route since this one's
    /// last.
    fn engines_move(&self, route: &PlannedRoute) -> bool {
        let mut fleets = self.shared.fleets();
        let model = fleets.model(&self.job.model);
        model.is_some_and(|model| {
            route
                .hops
                .iter()
                .all(|hop| model.has_token_since(&hop.engine, self.progress_at))
        })
    }

    /// Goes around the engines that other requests have not seen moving either.
    fn avoid_silent(&mut self, route: &PlannedRoute, now: u64) {
        let mut fleets = self.shared.fleets();
        let Some(model) = fleets.model(&self.job.model) else {
            return;
        };
        for hop in &route.hops {
            if !model.has_token_since(&hop.engine, self.progress_at) {
                model.record_stall(&hop.engine, now, AVOID_MS);
                self.avoid.push(hop.engine.clone());
            }
        }
    }

    fn note_loss(&self, engine: &str, now: u64) {
        if let Some(model) = self.shared.fleets().model(&self.job.model) {
            model.record_loss(engine, now);
        }
    }

    /// Whether the last loss was part of an outage that does not count against the request.
    pub async fn is_excused(&self) -> bool {
        self.attempts() > 0 && self.suspicion.excuse(&self.avoid).await
    }

    /// Frees the engines of an attempt that is over.
    fn cancel(&self, route: &PlannedRoute) {
        let request = self.job.request.clone();
        let cancel = CancelRequest {
            request,
            attempt: self.delivery.attempt(),
        };
        for hop in &route.hops {
            tokio::spawn(self.shared.engines.cancel(hop.address, cancel.clone()));
        }
    }
}
