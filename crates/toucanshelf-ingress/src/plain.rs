//! Requests that are answered as a whole.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use tokio::time::Instant;

use crate::answer::{Answer, Refusal, full, refuse};
use crate::attempt::{AttemptError, Destination, send};
use crate::request::{CallerRequest, InFlight};
use crate::shared::Shared;
use crate::targets::{Choice, TargetKey};

/// Objectives after which an idempotent request is tried at another target.
const TRY_OBJECTIVES: f64 = 1.5;
/// Times that a request is offered again after a target has said that it did not run.
const MAX_OFFERS: u32 = 3;
/// Time after which a caller may come back where no target can take its request.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// How a request ended.
struct Ended {
    answer: Answer,
    outcome: &'static str,
}

/// Runs a request.
pub async fn run(shared: &Arc<Shared>, req: &CallerRequest) -> Answer {
    let mut run = PlainRun {
        shared,
        req,
        excluded: Vec::new(),
        runs: 0,
        offers: 0,
        failed_answer: None,
    };
    let ended = run.run().await;
    let kind = "plain";
    let latency = req.started.elapsed();
    shared.metrics.latency.observe(latency.as_secs_f64());
    let requests = &shared.metrics.requests;
    requests.with_label_values(&[kind, ended.outcome]).inc();
    tracing::info!(
        event = "TS4302",
        request = req.id(),
        route = %req.route,
        service = %req.service,
        version = req.version,
        status = ended.answer.status().as_u16(),
        outcome = ended.outcome,
        runs = run.runs,
        offers = run.offers,
        ms = latency.as_millis() as u64,
        "request ended"
    );
    ended.answer
}

struct PlainRun<'a> {
    shared: &'a Arc<Shared>,
    req: &'a CallerRequest,
    excluded: Vec<TargetKey>,
    /// Attempts that may have run.
    runs: u32,
    /// Attempts in all.
    offers: u32,
    /// A target's own failure, kept while another target is tried.
    failed_answer: Option<Response<Bytes>>,
}

impl PlainRun<'_> {
    async fn run(&mut self) -> Ended {
        loop {
            if self.req.answer_due() <= Instant::now() {
                return self.give_up(Refusal::ExpiredUnrun, Refusal::Expired);
            }
            let Some(target) = self.next_target() else {
                return self.give_up(Refusal::NoTarget, Refusal::Lost);
            };
            self.offers += 1;
            let result = self.attempt(&target).await;
            self.excluded.push(target.key);
            match result {
                Ok(answer) if answer.status().is_server_error() && self.may_run_again() => {
                    self.failed_answer = Some(answer);
                }
                Ok(answer) => return delivered(answer),
                Err(AttemptError::TimedOut) if !self.may_run_again() => {
                    return self.give_up(Refusal::ExpiredUnrun, Refusal::Expired);
                }
                Err(e) if !e.has_not_run() && !self.may_run_again() => {
                    return self.give_up(Refusal::NoTarget, Refusal::Lost);
                }
                Err(_) => {}
            }
        }
    }

    fn may_run_again(&self) -> bool {
        self.req.kind.is_retryable() && self.runs < self.req.max_attempts
    }

    /// Target for the next attempt, if another attempt is allowed.
    fn next_target(&self) -> Option<Choice> {
        let (shared, service) = (self.shared, &self.req.service);
        if self.offers > MAX_OFFERS {
            return None;
        }
        let now = shared.now();
        let target = shared.targets().choose(service, &self.excluded, now)?;
        (self.offers == 0 || shared.take_repeat(service)).then_some(target)
    }

    async fn attempt(&mut self, target: &Choice) -> Result<Response<Bytes>, AttemptError> {
        let (shared, req) = (self.shared, self.req);
        let _in_flight = InFlight::new(shared, vec![(target.key, 0.0)]);
        let destination = Destination {
            id: &target.id,
            address: target.address,
            hops: &[],
            last_event: None,
        };
        let may_run_twice = req.kind.is_retryable() && self.runs + 1 < req.max_attempts;
        let due = if may_run_twice {
            (Instant::now() + req.objective.mul_f64(TRY_OBJECTIVES)).min(req.answer_due())
        } else {
            req.answer_due()
        };
        let answer = match send(shared, req, &destination, due).await {
            Ok(open) => open.whole(shared, due).await,
            Err(e) => Err(e),
        };
        if !matches!(&answer, Err(e) if e.has_not_run()) {
            self.runs += 1;
        }
        self.note(target, &answer);
        answer
    }

    fn note(&self, target: &Choice, answer: &Result<Response<Bytes>, AttemptError>) {
        let now = self.shared.now();
        let mut targets = self.shared.targets();
        match answer {
            Ok(answer) => targets.note_answer(target.key, !answer.status().is_server_error()),
            Err(AttemptError::NotRun { .. }) => targets.note_refusal(target.key, now),
            Err(AttemptError::NotSent(cause)) => {
                if targets.note_down(target.key, now) {
                    tracing::warn!(event = "TS4303", target_id = %target.id, address = %target.address, %cause, "target left alone");
                }
            }
            Err(AttemptError::Lost(_) | AttemptError::TimedOut) => {
                targets.note_answer(target.key, false);
                targets.note_refusal(target.key, now);
            }
        }
    }

    /// Final answer of our own, or the target's failure that was kept.
    fn give_up(&mut self, not_run: Refusal, may_have_run: Refusal) -> Ended {
        if let Some(answer) = self.failed_answer.take() {
            return delivered(answer);
        }
        let refusal = if self.runs == 0 {
            not_run
        } else {
            may_have_run
        };
        let retry_after = (self.runs == 0).then_some(RETRY_AFTER);
        Ended {
            answer: refuse(refusal, retry_after),
            outcome: refusal.name(),
        }
    }
}

fn delivered(answer: Response<Bytes>) -> Ended {
    let outcome = if answer.status().is_success() {
        "served"
    } else {
        "target-failure"
    };
    Ended {
        answer: answer.map(full),
        outcome,
    }
}
