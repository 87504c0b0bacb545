//! Proxies plain requests, whose response is read in full before it is passed on.
//!
//! An attempt is one send of a request to a target (a back end). It counts as a run if the target
//! may have run the request. Only an idempotent request may run more than once.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use tokio::time::Instant;
use toucanshelf_routing::runs::{AttemptState, RunLedger};

use crate::attempt::{AttemptError, Destination, send};
use crate::content_guard::{ContentAttempt, begin_attempt};
use crate::permits;
use crate::relay::{self, History};
use crate::request::{CallerRequest, InFlight};
use crate::response::{ProxyResponse, Refusal, full_body, refusal_response};
use crate::response_buffer::BufferedBody;
use crate::shared::Shared;
use crate::targets::{ChosenTarget, DownCause, TargetKey};

/// Timeout of an attempt, as a multiple of the latency objective for the request.
///
/// It applies only if the request may run again at another target. Otherwise the attempt lasts
/// until the response is due.
const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 1.5;
/// Maximum number of attempts after the first one.
const MAX_REPEATED_ATTEMPTS: u32 = 3;
/// Default `Retry-After` time sent to the caller if the request fails without having run.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Final response to a request, with the outcome's name for logs and metrics.
struct CompletedRequest {
    response: ProxyResponse,
    outcome: &'static str,
}

/// Sends a plain request to targets until one answers, and returns the response.
pub async fn run(shared: &Arc<Shared>, req: &CallerRequest) -> ProxyResponse {
    let mut session = PlainSession {
        shared,
        req,
        excluded: Vec::new(),
        ledger: RunLedger::new(req.max_attempts).with_earlier_runs(req.earlier_runs),
        error_response: None,
        retry_after: RETRY_AFTER,
    };
    let completed = session.run().await;
    let kind = "plain";
    let latency = req.started.elapsed();
    shared.metrics.latency.observe(latency.as_secs_f64());
    let requests = &shared.metrics.requests;
    requests.with_label_values(&[kind, completed.outcome]).inc();
    tracing::info!(
        event = "TS4302",
        request = req.id(),
        route = %req.route,
        service = %req.service,
        version = req.version,
        status = completed.response.status().as_u16(),
        outcome = completed.outcome,
        runs = session.runs(),
        offers = session.ledger.attempts(),
        ms = latency.as_millis() as u64,
        "request ended"
    );
    let mut response = completed.response;
    if req.relayed {
        relay::set_runs(response.headers_mut(), session.runs());
    }
    response
}

/// A plain request and the state of its attempts.
struct PlainSession<'a> {
    shared: &'a Arc<Shared>,
    req: &'a CallerRequest,
    /// Targets that have been tried.
    excluded: Vec<TargetKey>,
    /// All attempts, and the limit of runs (`max_attempts`).
    ledger: RunLedger<TargetKey>,
    /// Latest server error from a target, returned if no other target answers.
    error_response: Option<Response<BufferedBody>>,
    /// `Retry-After` time for the caller if the request has not run.
    retry_after: Duration,
}

impl PlainSession<'_> {
    async fn run(&mut self) -> CompletedRequest {
        loop {
            if self.req.response_due() <= Instant::now() {
                return self.final_response(Refusal::ExpiredUnrun, Refusal::Expired);
            }
            if self.takes_relay() {
                let history = History {
                    earlier_runs: self.ledger.may_have_run().then(|| self.runs()),
                    counted: true,
                };
                let response = relay::run_plain(self.shared, self.req, history).await;
                let outcome = "relayed";
                return CompletedRequest { response, outcome };
            }
            if !self.ledger.has_run_left(|_| false) {
                return self.final_response(Refusal::NoTarget, Refusal::Lost);
            }
            let content = match begin_attempt(self.shared, self.req).await {
                Ok(content) => content,
                Err(retry_after) => {
                    self.retry_after = retry_after;
                    return self.final_response(Refusal::Quarantined, Refusal::Lost);
                }
            };
            let Some(target) = self.next_target().await else {
                self.shared.isolation.record_no_target();
                let retry_after = permits::retry_after(self.shared, &self.req.service);
                self.retry_after = retry_after.unwrap_or(RETRY_AFTER);
                return self.final_response(Refusal::NoTarget, Refusal::Lost);
            };
            let result = self.attempt(&target, content).await;
            self.excluded.push(target.key);
            match result {
                Ok(response) if response.status().is_server_error() && self.may_run_again() => {
                    self.error_response = Some(response);
                }
                Ok(response) => return pass_on(response),
                Err(AttemptError::TimedOut) if !self.may_run_again() => {
                    return self.final_response(Refusal::ExpiredUnrun, Refusal::Expired);
                }
                Err(e) if !e.has_not_run() && !self.may_run_again() => {
                    return self.final_response(Refusal::NoTarget, Refusal::Lost);
                }
                Err(_) => {}
            }
        }
    }

    /// Returns the number of runs that count towards the limit.
    fn runs(&self) -> u32 {
        self.ledger.runs(|_| false)
    }

    /// Returns whether the request's kind and its limit of runs allow another run.
    fn may_run_again(&self) -> bool {
        self.req.kind.is_retryable() && self.ledger.has_run_left(|_| false)
    }

    /// Returns whether to relay the request now, and takes a repeated send for it if one is due.
    fn takes_relay(&self) -> bool {
        let may_run = !self.ledger.may_have_run() || self.may_run_again();
        may_run
            && relay::is_needed(self.shared, self.req)
            && (!self.ledger.is_offered() || self.shared.take_repeat(&self.req.service))
    }

    /// Chooses the target of the next attempt.
    ///
    /// Returns `None` if no target is usable, or if the attempt limit or the service's budget of
    /// repeated sends is exhausted.
    async fn next_target(&self) -> Option<ChosenTarget> {
        let (shared, req) = (self.shared, self.req);
        if self.ledger.attempts() > MAX_REPEATED_ATTEMPTS {
            return None;
        }
        let choose = || {
            let now = shared.now();
            let target = shared.targets().choose(&req.service, &self.excluded, now)?;
            Some((target.key, target))
        };
        permits::choose_permitted(shared, req, self.ledger.attempts() > 0, choose).await
    }

    /// Sends the request to a target and reads the whole response.
    ///
    /// The attempt counts as a run unless the request has certainly not run.
    async fn attempt(
        &mut self,
        target: &ChosenTarget,
        mut content: ContentAttempt,
    ) -> Result<Response<BufferedBody>, AttemptError> {
        let (shared, req) = (self.shared, self.req);
        let crash = shared.targets().crash_id(target.key);
        let _in_flight = InFlight::new(shared, vec![(target.key, 0.0)]);
        let destination = Destination {
            id: &target.id,
            address: target.address,
            hops: &[],
            last_event: None,
            continued: None,
        };
        let attempt = self.ledger.begin(target.key);
        let may_run_twice = self.may_run_again();
        let due = if may_run_twice {
            (Instant::now() + req.objective.mul_f64(ATTEMPT_TIMEOUT_OBJECTIVES))
                .min(req.response_due())
        } else {
            req.response_due()
        };
        let answer = async {
            match send(shared, req, &destination, due).await {
                Ok(open) => open.read_to_end(shared, due).await,
                Err(e) => Err(e),
            }
        };
        let response = tokio::select! {
            response = answer => response,
            () = content.refused() => Err(AttemptError::Cancelled),
        };
        let state = match &response {
            Err(AttemptError::NotSent(_)) => AttemptState::NotSent,
            Err(AttemptError::NotRun { .. }) => AttemptState::NotRun,
            _ => AttemptState::MayHaveRun,
        };
        self.ledger.settle(attempt, state);
        let has_ended = shared.targets().has_ended(target.key);
        match (&response, crash) {
            // An error may be sent without running the request.
            (Ok(response), _) if response.status().is_success() => content.record_served(),
            (Err(e), Some(crash)) if e.shows_crash(has_ended) => content.record_crash(req, crash),
            _ => {}
        }
        self.record_result(target, &response);
        response
    }

    /// Updates the health of a target after an attempt.
    fn record_result(
        &self,
        target: &ChosenTarget,
        response: &Result<Response<BufferedBody>, AttemptError>,
    ) {
        let now = self.shared.now();
        let mut targets = self.shared.targets();
        match response {
            Ok(resp) => targets.record_outcome(target.key, !resp.status().is_server_error()),
            Err(AttemptError::NotRun { .. }) => targets.record_refusal(target.key, now),
            Err(AttemptError::Cancelled) => {}
            Err(AttemptError::NotSent(cause)) => {
                if targets.mark_down(target.key, now, DownCause::ConnectionFailed) {
                    tracing::warn!(event = "TS4303", target_id = %target.id, address = %target.address, %cause, "target marked down");
                }
            }
            Err(AttemptError::Disconnected(_) | AttemptError::Lost(_) | AttemptError::TimedOut) => {
                targets.record_outcome(target.key, false);
                targets.record_refusal(target.key, now);
            }
        }
    }

    /// Returns the latest server error from a target, or else a refusal.
    ///
    /// A refusal is an error of the ingress itself. It is `not_run` if certainly no target has run
    /// the request, and otherwise `may_have_run`.
    fn final_response(&mut self, not_run: Refusal, may_have_run: Refusal) -> CompletedRequest {
        if let Some(response) = self.error_response.take() {
            return pass_on(response);
        }
        let has_run = self.ledger.may_have_run();
        let refusal = if has_run { may_have_run } else { not_run };
        let retry_after = (!has_run).then_some(self.retry_after);
        CompletedRequest {
            response: refusal_response(refusal, retry_after),
            outcome: refusal.name(),
        }
    }
}

/// Turns the response of a target into the final response to the caller.
fn pass_on(response: Response<BufferedBody>) -> CompletedRequest {
    let outcome = if response.status().is_success() {
        "served"
    } else {
        "target-failure"
    };
    CompletedRequest {
        response: response.map(full_body),
        outcome,
    }
}
