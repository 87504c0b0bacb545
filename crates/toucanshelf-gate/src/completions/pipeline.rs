//! Runs one request over pipelines of engines until it completes or fails.
//!
//! An attempt is one run of the request over a route, which is a list of engines that together run
//! all layers of the model.
//!
//! A loss is a crash of a target, or a broken connection to it, while it runs a request. The gates
//! count losses by fingerprint, a hash of the model and the prompt. A request with losses is
//! suspected of crashing targets. Depending on the losses, it is run as usual, isolated or refused.
//! An isolated request runs on engines that run no other suspected request of the same gate.

use std::sync::Arc;

use http::HeaderMap;
use tokio::sync::mpsc;
use toucanshelf_chart::{Chart, Machine};
use toucanshelf_core::document::{Class, Object, ObjectKey, ObjectKind};
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::outcome::{Code, Outcome, Refusal};
use toucanshelf_routing::admission::AdmissionRequest;
use toucanshelf_routing::quarantine::{Handling, Quarantine};
use tracing::Instrument as _;

use super::recovery::{AttemptEnd, AttemptRunner};
use super::route::{ReservedRoute, plan_route};
use crate::callers::Caller;
use crate::policy::AdmissionResult;
use crate::shared::Shared;

use std::sync::LazyLock;
use std::time::Duration;

/// Interval at which a waiting request checks whether it can run.
///
/// It waits until engines can form a route, or until an attempt of another request with the same
/// model and prompt, which is suspected of crashing targets, has ended.
const ROUTE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for which a request waits for one with the same prompt.
///
/// The other request has the same model, too. It is suspected of crashing targets and runs on
/// engines that run no other suspected request of its gate. Before it runs, its gate adds one lost
/// target to the count for this model and prompt, and subtracts it again if no target is lost. A
/// refusal that is based on the count in between may be premature.
const ISOLATED_RUN_WAIT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for which a request waits for a route.
///
/// A request waits only if an engine may have run a part of it, or if it is suspected of crashing
/// targets and must run on engines that run no other suspected request of this gate.
const ROUTE_WAIT_TIMEOUT: Duration = Duration::from_secs(5);

static REQUEST_CHART: LazyLock<Chart> = LazyLock::new(|| {
    let text = include_str!("../../../../charts/request.toml");
    Chart::parse(text).expect("charts/request.toml is valid")
});

/// An authenticated request to a model, ready to run.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier of the request in logs and towards its engines.
    pub request_id: Box<str>,
    /// Hash of the model and the prompt, which is equal for repeated requests.
    pub fingerprint: u64,
    /// Hash of the prompt's prefix.
    ///
    /// The flow planner uses it to choose engines that may have the prefix cached.
    pub prefix_hash: u64,
    /// Canonical id of the model.
    pub model: Box<str>,
    /// Scheduling class of the request, which determines its urgency in the queue.
    pub class: Class,
    /// Prompt text that is sent to the engines.
    pub prompt: Box<str>,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Organisation that sent the request, with its weight.
    pub caller: Caller,
    /// Deadline of the request, in milliseconds of the gate's clock.
    pub deadline: u64,
}

impl Job {
    /// Returns all layers of the model as one range.
    ///
    /// They are reported as missing if the gate knows no engine of the model. The result is empty
    /// if the configuration does not contain the model.
    pub(super) fn all_layers(&self, shared: &Shared) -> Vec<LayerRange> {
        let key = ObjectKey::new(ObjectKind::Model, self.model.clone());
        match shared.active_configuration().configuration().get(&key) {
            Some(Object::Model(model)) => LayerRange::new(0, model.layers).into_iter().collect(),
            _ => Vec::new(),
        }
    }
}

/// Reason why a complete answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached the maximum number of tokens.
    Length,
}

impl FinishReason {
    /// Returns the value of `finish_reason` in an OpenAI-compatible response.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}

/// A token of the answer to a request, or the end of the answer.
#[derive(Clone, Debug)]
pub enum ResponseEvent {
    /// The next token of the answer.
    Token(Box<str>),
    /// The end of the answer, which is always the last event.
    ///
    /// It holds the finish reason of a complete answer or the refusal that ended the request.
    Ended(Result<FinishReason, Refusal>),
}

/// Runs a request to its end and sends the answer to `tx`.
///
/// Dropping the receiver cancels the request at its engines. Returns the outcome of the request.
pub async fn run(shared: &Arc<Shared>, job: Job, tx: &mpsc::Sender<ResponseEvent>) -> Outcome {
    let mut machine = Machine::new(&REQUEST_CHART);
    let result = match admit(shared, &job, tx).await {
        Ok(admitted) => {
            machine
                .fire("admit")
                .expect("a received request can be admitted");
            let result = run_attempts(shared, &job, tx).await;
            drop(admitted);
            result
        }
        Err(refusal) => Err(refusal),
    };
    let event = match &result {
        Ok(_) => "finish",
        Err(refusal) if refusal.outcome == Outcome::NotRun => "refuse",
        Err(_) if tx.is_closed() => "cancel",
        Err(_) => "exhaust",
    };
    let state = machine
        .fire(event)
        .expect("charts/request.toml has a transition for each event");
    let outcome = result
        .as_ref()
        .map_or_else(|refusal| refusal.outcome, |_| Outcome::Complete);
    tracing::info!(event = "TS3501", request = %job.request_id, model = %job.model, organisation = %job.caller.organisation, state, cause = ?result.as_ref().err().map(ToString::to_string), "request ended");
    // Sending fails if the caller has disconnected, and then nobody needs the event.
    let _ = tx.send(ResponseEvent::Ended(result)).await;
    outcome
}

/// Guard that counts an admitted request as running until it is dropped.
#[derive(Debug)]
struct AdmissionGuard {
    shared: Arc<Shared>,
    model: Box<str>,
    organisation: Box<str>,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared
            .policy()
            .finish(now, &self.model, &self.organisation);
    }
}

async fn admit(
    shared: &Arc<Shared>,
    job: &Job,
    tx: &mpsc::Sender<ResponseEvent>,
) -> Result<AdmissionGuard, Refusal> {
    let limit = shared
        .fleets()
        .model(&job.model)
        .map_or(0, |model| model.fleet.slots())
        .max(1);
    let admission_request = AdmissionRequest {
        organisation: &job.caller.organisation,
        weight: job.caller.weight,
        class: job.class,
        deadline: job.deadline,
    };
    let now = shared.now();
    let admitted = {
        let mut policy = shared.policy();
        policy.retry_budget.deposit();
        policy.admit(now, &job.model, limit, admission_request)
    };
    let new_guard = || AdmissionGuard {
        shared: Arc::clone(shared),
        model: job.model.clone(),
        organisation: job.caller.organisation.clone(),
    };
    let (key, started) = match admitted {
        AdmissionResult::Immediate => return Ok(new_guard()),
        AdmissionResult::Rejected(seconds) => {
            let message = format!(
                "too many requests of {} are waiting",
                job.caller.organisation
            );
            let refusal = Refusal::not_run(Code::Overloaded, message);
            return Err(refusal.with_retry_after(seconds));
        }
        AdmissionResult::Queued(key, started) => (key, started),
    };
    let wait_timeout = Duration::from_millis(job.deadline.saturating_sub(now));
    tokio::select! {
        _ = started => return Ok(new_guard()),
        () = tokio::time::sleep(wait_timeout) => {}
        () = tx.closed() => {}
    }
    if shared.policy().withdraw(&job.model, key) {
        // The request was admitted just before the wait ended; dropping the guard frees its slot.
        drop(new_guard());
    }
    Err(Refusal::not_run(
        Code::DeadlinePassed,
        "the deadline passed while the request waited",
    ))
}

async fn run_attempts(
    shared: &Arc<Shared>,
    job: &Job,
    tx: &mpsc::Sender<ResponseEvent>,
) -> Result<FinishReason, Refusal> {
    let mut runner = AttemptRunner::new(shared, job, tx);
    loop {
        let handling = shared
            .policy()
            .quarantine
            .handling(shared.now(), job.fingerprint);
        if handling == Handling::Refused {
            if runner.discount_outage_loss().await
                || wait_for_isolated_run(shared, job, &runner).await
            {
                continue;
            }
            let message = "requests with this content have crashed targets before";
            return Err(runner.refusal(Code::Quarantined, message.into()));
        }
        if handling == Handling::Isolated {
            let delay = Quarantine::isolation_delay_ms(job.fingerprint);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let route = find_route(shared, job, &runner, handling).await?;
        if handling == Handling::Isolated {
            runner.loss_tracker.precount_loss();
        }
        let span = tracing::info_span!(
            "attempt",
            request = %job.request_id,
            attempt = runner.attempts() + 1,
            engines = %route.describe()
        );
        let mut headers = HeaderMap::new();
        if let Some(value) = toucanshelf_runtime::trace::traceparent(&span) {
            headers.insert(toucanshelf_runtime::trace::TRACEPARENT, value);
        }
        let end = runner.run_attempt(&route, headers).instrument(span).await;
        drop(route);
        runner.loss_tracker.revert_precounted_loss();
        match end {
            AttemptEnd::Finished(reason) => {
                runner.loss_tracker.clear();
                return Ok(reason);
            }
            AttemptEnd::Cancelled => {
                return Err(Refusal::new(
                    Outcome::Failed,
                    Code::TargetLost,
                    "the caller has gone",
                ));
            }
            AttemptEnd::Failed => runner.check_retry()?,
        }
    }
}

/// Waits while a gate may be running a request with this model and prompt.
///
/// That gate may have counted a target as lost before the run, and `job` may be refused only for
/// this reason. Returns whether `job` may now run. If `job` already had an attempt, returns false
/// without waiting.
async fn wait_for_isolated_run(
    shared: &Arc<Shared>,
    job: &Job,
    runner: &AttemptRunner<'_>,
) -> bool {
    if runner.attempts() > 0 {
        return false;
    }
    let wait_deadline = tokio::time::Instant::now() + ISOLATED_RUN_WAIT_TIMEOUT;
    while tokio::time::Instant::now() < wait_deadline {
        tokio::time::sleep(ROUTE_POLL_INTERVAL).await;
        let handling = shared
            .policy()
            .quarantine
            .handling(shared.now(), job.fingerprint);
        if handling != Handling::Refused {
            return true;
        }
    }
    false
}

async fn find_route(
    shared: &Arc<Shared>,
    job: &Job,
    runner: &AttemptRunner<'_>,
    handling: Handling,
) -> Result<ReservedRoute, Refusal> {
    let wait_deadline = tokio::time::Instant::now() + ROUTE_WAIT_TIMEOUT;
    loop {
        let plan = |excluded: &[Box<str>]| {
            plan_route(shared, job, excluded, handling == Handling::Isolated)
        };
        let failed_engines = runner.failed_engines();
        let no_route = match plan(&failed_engines.names()) {
            Ok(route) => return Ok(route),
            Err(no_route) => no_route,
        };
        // A request that no engine can have run is refused at once. One that an engine may have
        // run, or that may not share engines because it is suspected of crashing them, waits for
        // engines to become available.
        let may_wait = runner.may_have_run() || handling == Handling::Isolated;
        let timed_out =
            shared.now() >= job.deadline || tokio::time::Instant::now() >= wait_deadline;
        if !may_wait || timed_out {
            return Err(runner.refusal(Code::NoRoute, runner.describe_no_route(&no_route)));
        }
        // Without another route, an engine that only stalled or refused is tried again.
        if let Ok(route) = plan(&failed_engines.names_to_exclude(shared.now())) {
            return Ok(route);
        }
        tokio::time::sleep(ROUTE_POLL_INTERVAL).await;
    }
}
