//! Runs one request over routes of engines until its answer is whole.

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

use super::recovery::{AttemptEnd, Streamer};
use super::route::{PlannedRoute, plan};
use crate::callers::Caller;
use crate::policy::AdmissionResult;
use crate::shared::Shared;

use std::sync::LazyLock;
use std::time::Duration;

/// Time between tries to find a route for an answer that has begun.
const ROUTE_POLL: Duration = Duration::from_millis(50);
/// Time for which a new request waits for another gate that runs the same one under suspicion.
const SETTLE_PATIENCE: Duration = Duration::from_secs(1);
/// Time for which an answer that has begun waits for a route.
const ROUTE_PATIENCE: Duration = Duration::from_secs(5);

static REQUEST_CHART: LazyLock<Chart> = LazyLock::new(|| {
    let text = include_str!("../../../../charts/request.toml");
    Chart::parse(text).expect("charts/request.toml is checked")
});

/// A request to a model.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier of the request.
    pub request: Box<str>,
    /// Hash of model and prompt, the same for a resend.
    pub fingerprint: u64,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Canonical id of the model.
    pub model: Box<str>,
    /// Class of the service.
    pub class: Class,
    /// Text for the engines.
    pub prompt: Box<str>,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Who asks.
    pub caller: Caller,
    /// Time by which it must be done, in milliseconds of the gate's clock.
    pub deadline: u64,
}

impl Job {
    /// All layers of the model, for a model that no engine holds.
    pub(super) fn all_layers(&self, shared: &Shared) -> Vec<LayerRange> {
        let key = ObjectKey::new(ObjectKind::Model, self.model.clone());
        match shared.active_configuration().configuration().get(&key) {
            Some(Object::Model(model)) => LayerRange::new(0, model.layers).into_iter().collect(),
            _ => Vec::new(),
        }
    }
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finish {
    /// By itself.
    Stop,
    /// At the limit that the caller gave.
    Length,
}

impl Finish {
    /// Text of the reason in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}

/// What a caller gets to see of a request.
#[derive(Clone, Debug)]
pub enum Event {
    /// The next token.
    Token(Box<str>),
    /// The answer is whole, or why it can't be finished. Nothing follows.
    Ended(Result<Finish, Refusal>),
}

/// Runs a request to its end; the last event tells how it ended.
///
/// Dropping the receiver cancels the request and frees its engines.
pub async fn run(shared: &Arc<Shared>, job: Job, tx: &mpsc::Sender<Event>) -> Outcome {
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
        .expect("every end is in charts/request.toml");
    let outcome = result
        .as_ref()
        .map_or_else(|refusal| refusal.outcome, |_| Outcome::Complete);
    tracing::info!(event = "TS3501", request = %job.request, model = %job.model, organisation = %job.caller.organisation, state, cause = ?result.as_ref().err().map(ToString::to_string), "request ended");
    // A caller that has gone needs no last event.
    let _ = tx.send(Event::Ended(result)).await;
    outcome
}

/// Keeps a request's place among those that run.
#[derive(Debug)]
struct Place {
    shared: Arc<Shared>,
    model: Box<str>,
    organisation: Box<str>,
}

impl Drop for Place {
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
    tx: &mpsc::Sender<Event>,
) -> Result<Place, Refusal> {
    let limit = shared
        .fleets()
        .model(&job.model)
        .map_or(0, |model| model.fleet.slots())
        .max(1);
    let offer = AdmissionRequest {
        organisation: &job.caller.organisation,
        weight: job.caller.weight,
        class: job.class,
        deadline: job.deadline,
    };
    let now = shared.now();
    let admitted = {
        let mut policy = shared.policy();
        policy.retry_budget.deposit();
        policy.admit(now, &job.model, limit, offer)
    };
    let place = || Place {
        shared: Arc::clone(shared),
        model: job.model.clone(),
        organisation: job.caller.organisation.clone(),
    };
    let (key, started) = match admitted {
        AdmissionResult::Immediate => return Ok(place()),
        AdmissionResult::Rejected(seconds) => {
            let what = format!(
                "too many requests of {} are waiting",
                job.caller.organisation
            );
            let refusal = Refusal::not_run(Code::Overloaded, what);
            return Err(refusal.with_retry_after(seconds));
        }
        AdmissionResult::Queued(key, started) => (key, started),
    };
    let patience = Duration::from_millis(job.deadline.saturating_sub(now));
    tokio::select! {
        _ = started => return Ok(place()),
        () = tokio::time::sleep(patience) => {}
        () = tx.closed() => {}
    }
    if shared.policy().withdraw(&job.model, key) {
        // Started at the last moment; the place goes back.
        drop(place());
    }
    Err(Refusal::not_run(
        Code::DeadlinePassed,
        "the deadline passed while the request waited",
    ))
}

async fn run_attempts(
    shared: &Arc<Shared>,
    job: &Job,
    tx: &mpsc::Sender<Event>,
) -> Result<Finish, Refusal> {
    let mut streamer = Streamer::new(shared, job, tx);
    loop {
        let handling = shared
            .policy()
            .quarantine
            .handling(shared.now(), job.fingerprint);
        if handling == Handling::Refused {
            if streamer.is_excused().await || is_settling(shared, job, &streamer).await {
                continue;
            }
            let what = "requests with this content have crashed targets before";
            return Err(streamer.refusal(Code::Quarantined, what.into()));
        }
        if handling == Handling::Isolated {
            let delay = Quarantine::isolation_delay_ms(job.fingerprint);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let route = find_route(shared, job, &streamer, handling).await?;
        if handling == Handling::Isolated {
            streamer.suspicion.charge();
        }
        let span = tracing::info_span!(
            "attempt",
            request = %job.request,
            attempt = streamer.attempts() + 1,
            engines = %route.describe()
        );
        let mut headers = HeaderMap::new();
        if let Some(value) = toucanshelf_runtime::trace::traceparent(&span) {
            headers.insert(toucanshelf_runtime::trace::TRACEPARENT, value);
        }
        let end = streamer.run_attempt(&route, headers).instrument(span).await;
        drop(route);
        streamer.suspicion.refund();
        match end {
            AttemptEnd::Finished(finish) => {
                streamer.suspicion.clear();
                return Ok(finish);
            }
            AttemptEnd::Cancelled => {
                return Err(Refusal::new(
                    Outcome::Failed,
                    Code::TargetLost,
                    "the caller has gone",
                ));
            }
            AttemptEnd::Again => streamer.check_retry()?,
        }
    }
}

/// Waits while another gate may be running the same request under suspicion.
///
/// Returns whether the request may now run.
async fn is_settling(shared: &Arc<Shared>, job: &Job, streamer: &Streamer<'_>) -> bool {
    if streamer.attempts() > 0 {
        return false;
    }
    let due = tokio::time::Instant::now() + SETTLE_PATIENCE;
    while tokio::time::Instant::now() < due {
        tokio::time::sleep(ROUTE_POLL).await;
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
    streamer: &Streamer<'_>,
    handling: Handling,
) -> Result<PlannedRoute, Refusal> {
    let due = tokio::time::Instant::now() + ROUTE_PATIENCE;
    loop {
        let missing = match plan(
            shared,
            job,
            streamer.avoid(),
            handling == Handling::Isolated,
        ) {
            Ok(route) => return Ok(route),
            Err(missing) => missing,
        };
        // A new request is refused at once; one that has begun waits for engines to come back.
        let patient = streamer.has_run() || handling == Handling::Isolated;
        let over = shared.now() >= job.deadline || tokio::time::Instant::now() >= due;
        if !patient || over {
            return Err(streamer.refusal(Code::NoRoute, streamer.describe(&missing)));
        }
        tokio::time::sleep(ROUTE_POLL).await;
    }
}
