//! Calls to plain services, which are HTTP services that run no model.
//!
//! An idempotent call is retried at other targets. A non-idempotent call runs at most once, under a
//! claim. A claim is a record under the call's idempotency key that the control instances commit
//! before the call is sent; it later holds the outcome. A resend is a later call with the same key.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderMap, Method, Response};
use rand::seq::SliceRandom as _;
use toucanshelf_core::claim::{ClaimCommand, ClaimKey, ClaimReply, RecordedAnswer};
use toucanshelf_core::digest::Digest;
use toucanshelf_core::document::{Object, ObjectKey, ObjectKind, Service};
use toucanshelf_core::outcome::{Code, Outcome, Refusal};
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_core::target::MAX_TEXT_BYTES;
use toucanshelf_link::frame::SubmitError;
use toucanshelf_link::service::{ServiceCall, ServiceError, ServiceResponse};
use toucanshelf_runtime::http::bytes_response;

use crate::callers::Caller;
use crate::completions::with_outcome;
use crate::fleets::ServiceTarget;
use crate::shared::Shared;

/// Header with the idempotency key, which non-idempotent calls require.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Time from a call's timeout to the deadline of its claim, in milliseconds.
///
/// A claim is the record that reserves the idempotency key of the call. If no outcome is committed
/// to it by its deadline, the outcome counts as unknown.
const CLAIM_MARGIN_MS: u64 = 10_000;
/// Maximum time for which a resend waits for the answer of a running call.
const IN_PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a resend checks whether the running call has an answer.
const IN_PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before another attempt to commit the outcome of a non-idempotent call.
const OUTCOME_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after which attempts to commit the outcome of a non-idempotent call end.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of targets that are tried for one call.
const MAX_TARGETS_TRIED: usize = 3;
/// Request headers that are forwarded to a service.
const FORWARDED_HEADERS: [&str; 4] = [
    "accept",
    "content-type",
    IDEMPOTENCY_KEY_HEADER,
    "x-request-id",
];

/// A caller's call to a plain service.
#[derive(Clone, Debug)]
pub struct IncomingCall {
    /// Name of the service: its canonical id, or its name in any naming scheme.
    pub service: Box<str>,
    /// HTTP method of the request.
    pub method: Method,
    /// Path within the service, with the query.
    pub path: Box<str>,
    /// Headers of the caller's request.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
}

/// Authenticates a call to a plain service, runs it and returns the response.
///
/// # Errors
///
/// Fails with the outcome `not_run` only if no target has run the call.
pub async fn serve(
    shared: &Arc<Shared>,
    call: IncomingCall,
    caller: &Caller,
    deadline: u64,
) -> Result<Response<Body>, Refusal> {
    let service = find_service(shared, &call.service)?;
    let remaining_ms = deadline
        .saturating_sub(shared.now())
        .min(shared.settings.service_timeout_ms);
    let timeout = Duration::from_millis(remaining_ms);
    let _guard = shared.requests_in_flight().begin();
    let outgoing = ServiceCall {
        method: call.method.clone(),
        path: call.path.clone(),
        headers: forwarded_headers(&call.headers),
        body: call.body.clone(),
    };
    let result = if is_idempotent(&service, &call) {
        call_idempotent(shared, &service, outgoing, timeout).await
    } else {
        let key = claim_key(caller, &service, &call.headers)?;
        call_at_most_once(shared, &service, key, outgoing, timeout).await
    };
    let outcome = result
        .as_ref()
        .map_or_else(|refusal| refusal.outcome, |_| Outcome::Complete);
    shared.metrics.count(outcome);
    result.map(|answer| {
        let response = bytes_response(answer.status, &answer.content_type, answer.body);
        with_outcome(response, Outcome::Complete)
    })
}

fn find_service(shared: &Shared, given: &str) -> Result<Service, Refusal> {
    let active = shared.active_configuration();
    let configuration = active.configuration();
    let id = configuration
        .resolve(ObjectKind::Service, given)
        .map_err(|e| Refusal::not_run(Code::UnknownName, e.to_string()))?;
    match configuration.get(&ObjectKey::new(ObjectKind::Service, id)) {
        Some(Object::Service(service)) if service.model.is_none() => Ok(service.clone()),
        _ => {
            let detail = format!("`{given}` is served by a model; ask it at /v1/chat/completions");
            Err(Refusal::not_run(Code::BadRequest, detail))
        }
    }
}

fn is_idempotent(service: &Service, call: &IncomingCall) -> bool {
    let path = call.path.split('?').next().unwrap_or("");
    let safe = call.method == Method::GET || call.method == Method::HEAD;
    safe || service
        .repeatable_paths
        .iter()
        .any(|repeatable| &**repeatable == path)
}

fn claim_key(caller: &Caller, service: &Service, headers: &HeaderMap) -> Result<ClaimKey, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        let detail = "this call may not be repeated: an Idempotency-Key header is needed";
        return Err(Refusal::not_run(Code::KeyMissing, detail));
    };
    let key = value.to_str().unwrap_or("");
    if key.is_empty() || key.len() > MAX_TEXT_BYTES {
        let detail = format!("Idempotency-Key must have 1 to {MAX_TEXT_BYTES} visible characters");
        return Err(Refusal::not_run(Code::BadRequest, detail));
    }
    Ok(ClaimKey {
        organisation: caller.organisation.clone(),
        service: service.id.clone(),
        key: key.into(),
    })
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut out = HeaderMap::new();
    for name in FORWARDED_HEADERS {
        if let Some(value) = headers.get(name) {
            out.insert(HeaderName::from_static(name), value.clone());
        }
    }
    out
}

/// Returns a service's ready targets in random order, those in the gate's zone first.
fn ready_targets(shared: &Shared, service: &str) -> Result<Vec<ServiceTarget>, Refusal> {
    let mut targets = shared.fleets().service(service);
    targets.shuffle(&mut rand::rng());
    targets.sort_by_key(|target| target.zone != shared.settings.zone);
    if targets.is_empty() {
        let detail = format!("no target of {service} is ready");
        return Err(Refusal::not_run(Code::NoTarget, detail).with_retry_after(1));
    }
    Ok(targets)
}

/// Runs an idempotent call and tries further targets if one fails.
async fn call_idempotent(
    shared: &Arc<Shared>,
    service: &Service,
    call: ServiceCall,
    timeout: Duration,
) -> Result<ServiceResponse, Refusal> {
    let due = tokio::time::Instant::now() + timeout;
    let mut sent = false;
    let mut last_failure: Box<str> = "".into();
    for target in ready_targets(shared, &service.id)?
        .iter()
        .take(MAX_TARGETS_TRIED)
    {
        let attempt = shared.services.call(target.address, call.clone());
        last_failure = match tokio::time::timeout_at(due, attempt).await {
            Ok(Ok(answer)) if !answer.not_run => return Ok(answer),
            Ok(Ok(answer)) => format!("{} refused: status {}", target.name, answer.status).into(),
            Ok(Err(e)) => {
                sent |= matches!(e, ServiceError::Broken(_));
                format!("{}: {e}", target.name).into()
            }
            Err(_) => {
                sent = true;
                last_failure = format!("{} has not answered in time", target.name).into();
                break;
            }
        };
    }
    let outcome = if sent {
        Outcome::Failed
    } else {
        Outcome::NotRun
    };
    Err(Refusal::new(outcome, Code::RetriesExhausted, last_failure))
}

/// Runs a non-idempotent call at most once.
///
/// The control instances first commit a claim, which reserves the idempotency key for this call.
/// Only then is the first byte of the call sent.
async fn call_at_most_once(
    shared: &Arc<Shared>,
    service: &Service,
    key: ClaimKey,
    call: ServiceCall,
    timeout: Duration,
) -> Result<ServiceResponse, Refusal> {
    let holder = uuid::Uuid::new_v4().as_u64_pair().0;
    let claim = Claim {
        shared: Arc::clone(shared),
        key,
        holder,
    };
    let deadline_ms = timeout.as_millis() as u64 + CLAIM_MARGIN_MS;
    let body = call_digest(&call);
    let acquire = ClaimCommand::Acquire {
        body,
        holder,
        deadline_ms,
    };
    match claim.acquire(acquire, timeout).await {
        Ok(ClaimReply::Granted) => {}
        Ok(reply) => return existing_claim_response(reply),
        Err(error) => {
            // The claim may have been committed despite the error. No byte of the call was sent, so
            // the claim can be released.
            claim.commit_outcome(ClaimCommand::Release { holder });
            let detail = format!("the call could not be claimed: {error}");
            return Err(Refusal::not_run(Code::NoQuorum, detail).with_retry_after(1));
        }
    }
    let targets = match ready_targets(shared, &service.id) {
        Ok(targets) => targets,
        Err(refusal) => {
            claim.commit_outcome(ClaimCommand::Release { holder });
            return Err(refusal);
        }
    };
    run_under_claim(&claim, targets, call, timeout).await
}

/// Runs a call whose idempotency key `claim` reserves, and commits the outcome.
async fn run_under_claim(
    claim: &Claim,
    targets: Vec<ServiceTarget>,
    call: ServiceCall,
    timeout: Duration,
) -> Result<ServiceResponse, Refusal> {
    let holder = claim.holder;
    let due = tokio::time::Instant::now() + timeout;
    let mut last_failure: Box<str> = "".into();
    for target in targets.iter().take(MAX_TARGETS_TRIED) {
        let attempt = claim.shared.services.call(target.address, call.clone());
        let cause: Box<str> = match tokio::time::timeout_at(due, attempt).await {
            Ok(Ok(answer)) if answer.not_run => {
                last_failure = format!("{} refused: status {}", target.name, answer.status).into();
                continue;
            }
            Ok(Ok(answer)) => {
                let recorded = RecordedAnswer {
                    status: answer.status,
                    content_type: answer.content_type.clone(),
                    body: answer.body.clone(),
                };
                claim.commit_outcome(ClaimCommand::Record {
                    holder,
                    answer: recorded,
                });
                return Ok(answer);
            }
            // No byte was sent, so another target may be tried.
            Ok(Err(ServiceError::NotSent(cause))) => {
                last_failure = format!("{}: {cause}", target.name).into();
                continue;
            }
            Ok(Err(ServiceError::Broken(cause))) => cause,
            Err(_) => "no answer in time".into(),
        };
        claim.commit_outcome(ClaimCommand::Abandon { holder });
        let detail = format!("the call to {} may have run: {cause}", target.name);
        return Err(Refusal::new(Outcome::Unknown, Code::MayHaveRun, detail));
    }
    claim.commit_outcome(ClaimCommand::Release { holder });
    Err(Refusal::not_run(Code::NoTarget, last_failure).with_retry_after(1))
}

/// Returns the response to a call whose idempotency key already has a claim.
fn existing_claim_response(reply: ClaimReply) -> Result<ServiceResponse, Refusal> {
    let unknown = |code, detail: &str| Err(Refusal::new(Outcome::Unknown, code, detail));
    match reply {
        ClaimReply::Recorded(answer) => Ok(ServiceResponse {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
            not_run: false,
        }),
        ClaimReply::KeyReused => {
            let detail = "this Idempotency-Key was used with another call";
            Err(Refusal::not_run(Code::KeyReused, detail))
        }
        ClaimReply::InProgress => unknown(Code::InProgress, "the call under this key is running"),
        ClaimReply::Spent => unknown(
            Code::KeySpent,
            "the answer is no longer kept; not run again",
        ),
        _ => unknown(
            Code::MayHaveRun,
            "the call under this key may have run; not run again",
        ),
    }
}

/// Returns the digest by which a resend is recognised as the same call.
///
/// It covers the method, path, content type and body.
fn call_digest(call: &ServiceCall) -> Digest {
    let mut buf = format!("{} {}\n", call.method, call.path).into_bytes();
    if let Some(content_type) = call.headers.get(CONTENT_TYPE) {
        buf.extend_from_slice(content_type.as_bytes());
    }
    buf.push(b'\n');
    buf.extend_from_slice(&call.body);
    Digest::of(&buf)
}

/// Reservation of an idempotency key, which this gate requests or holds.
#[derive(Clone, Debug)]
struct Claim {
    shared: Arc<Shared>,
    key: ClaimKey,
    /// Random number that identifies the holder of the reservation in commands to control.
    holder: u64,
}

impl Claim {
    /// Asks the control instances to reserve the idempotency key for this call.
    ///
    /// If another holder of the key is running the call, waits up to [`IN_PROGRESS_TIMEOUT`] for
    /// its answer.
    async fn acquire(
        &self,
        command: ClaimCommand,
        timeout: Duration,
    ) -> Result<ClaimReply, SubmitError> {
        let due = tokio::time::Instant::now() + timeout.min(IN_PROGRESS_TIMEOUT);
        loop {
            let reply = self.submit(command.clone()).await?;
            let keep_waiting = reply == ClaimReply::InProgress && tokio::time::Instant::now() < due;
            if !keep_waiting {
                return Ok(reply);
            }
            tokio::time::sleep(IN_PROGRESS_POLL_INTERVAL).await;
        }
    }

    async fn submit(&self, command: ClaimCommand) -> Result<ClaimReply, SubmitError> {
        let body = CommandBody::Claim {
            key: self.key.clone(),
            command,
        };
        match self.shared.control.submit(body).await? {
            Reply::Claim(reply) => Ok(reply),
            other => Err(SubmitError::Unknown(
                format!("unexpected answer {other:?}").into(),
            )),
        }
    }

    /// Commits the outcome of the call in the background, with retries.
    ///
    /// Until the outcome is committed, a resend may not run the call. It is told that the call is
    /// in progress or that its outcome is unknown.
    fn commit_outcome(&self, command: ClaimCommand) {
        let claim = self.clone();
        let guard = self.shared.requests_in_flight().begin();
        tokio::spawn(async move {
            let _guard = guard;
            let due = tokio::time::Instant::now() + OUTCOME_TIMEOUT;
            while tokio::time::Instant::now() < due {
                if claim.submit(command.clone()).await.is_ok() {
                    return;
                }
                tokio::time::sleep(OUTCOME_RETRY_DELAY).await;
            }
            tracing::error!(event = "TS3601", key = ?claim.key, "failed to commit the outcome of a claimed call");
        });
    }
}
