//! Calls to plain services; calls that may not be repeated run at most once.

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

use crate::callers::{self, Caller};
use crate::completions::with_outcome;
use crate::fleets::ServiceTarget;
use crate::shared::Shared;

/// Header with the key of a call that may not be repeated.
pub const KEY_HEADER: &str = "idempotency-key";
/// Time beyond the call's own limit after which a claim's fate counts as unknown.
const CLAIM_MARGIN_MS: u64 = 10_000;
/// Time that a resend waits for the answer of a call that is still running.
const IN_PROGRESS_PATIENCE: Duration = Duration::from_secs(2);
/// Time between looks at such a call.
const IN_PROGRESS_POLL: Duration = Duration::from_millis(200);
/// Time between tries to record an outcome.
const RECORD_RETRY: Duration = Duration::from_millis(200);
/// Time for which recording an outcome is tried.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);
/// Most targets that a repeatable call tries.
const MAX_TARGETS: usize = 3;
/// Headers that are passed on to a service.
const PASSED_HEADERS: [&str; 4] = ["accept", "content-type", KEY_HEADER, "x-request-id"];

/// A call from a caller.
#[derive(Clone, Debug)]
pub struct IncomingCall {
    /// Name of the service, as given.
    pub service: Box<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query within the service.
    pub path: Box<str>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Serves a call to a plain service.
///
/// # Errors
///
/// Fails with `not_run` only when no target has run the call.
pub async fn serve(shared: &Arc<Shared>, call: IncomingCall) -> Result<Response<Body>, Refusal> {
    let caller = callers::authenticate(shared, &call.headers)?;
    let deadline = callers::deadline(shared, &call.headers)?;
    let service = find_service(shared, &call.service)?;
    let left = deadline
        .saturating_sub(shared.now())
        .min(shared.settings.service_timeout_ms);
    let timeout = Duration::from_millis(left);
    let _guard = shared.under_way().begin();
    let outgoing = ServiceCall {
        method: call.method.clone(),
        path: call.path.clone(),
        headers: passed_headers(&call.headers),
        body: call.body.clone(),
    };
    let result = if is_repeatable(&service, &call) {
        call_repeatable(shared, &service, outgoing, timeout).await
    } else {
        let key = claim_key(&caller, &service, &call.headers)?;
        call_once(shared, &service, key, outgoing, timeout).await
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
    let in_force = shared.in_force();
    let configuration = in_force.configuration();
    let id = configuration
        .resolve(ObjectKind::Service, given)
        .map_err(|e| Refusal::not_run(Code::UnknownName, e.to_string()))?;
    match configuration.get(&ObjectKey::new(ObjectKind::Service, id)) {
        Some(Object::Service(service)) if service.model.is_none() => Ok(service.clone()),
        _ => {
            let what = format!("`{given}` is served by a model; ask it at /v1/chat/completions");
            Err(Refusal::not_run(Code::BadRequest, what))
        }
    }
}

fn is_repeatable(service: &Service, call: &IncomingCall) -> bool {
    let path = call.path.split('?').next().unwrap_or("");
    let safe = call.method == Method::GET || call.method == Method::HEAD;
    safe || service
        .repeatable_paths
        .iter()
        .any(|repeatable| &**repeatable == path)
}

fn claim_key(caller: &Caller, service: &Service, headers: &HeaderMap) -> Result<ClaimKey, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else {
        let what = "this call may not be repeated: an Idempotency-Key header is needed";
        return Err(Refusal::not_run(Code::KeyMissing, what));
    };
    let key = value.to_str().unwrap_or("");
    if key.is_empty() || key.len() > MAX_TEXT_BYTES {
        let what = format!("Idempotency-Key must have 1 to {MAX_TEXT_BYTES} visible characters");
        return Err(Refusal::not_run(Code::BadRequest, what));
    }
    Ok(ClaimKey {
        organisation: caller.organisation.clone(),
        service: service.id.clone(),
        key: key.into(),
    })
}

fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut out = HeaderMap::new();
    for name in PASSED_HEADERS {
        if let Some(value) = headers.get(name) {
            out.insert(HeaderName::from_static(name), value.clone());
        }
    }
    out
}

/// Ready targets, those of the own zone first.
fn targets(shared: &Shared, service: &str) -> Result<Vec<ServiceTarget>, Refusal> {
    let mut targets = shared.fleets().service(service);
    targets.shuffle(&mut rand::rng());
    targets.sort_by_key(|target| target.zone != shared.settings.zone);
    if targets.is_empty() {
        let what = format!("no target of {service} is ready");
        return Err(Refusal::not_run(Code::NoTarget, what).with_retry_after(1));
    }
    Ok(targets)
}

async fn call_repeatable(
    shared: &Arc<Shared>,
    service: &Service,
    call: ServiceCall,
    timeout: Duration,
) -> Result<ServiceResponse, Refusal> {
    let due = tokio::time::Instant::now() + timeout;
    let mut sent = false;
    let mut last: Box<str> = "".into();
    for target in targets(shared, &service.id)?.iter().take(MAX_TARGETS) {
        let attempt = shared.services.call(target.address, call.clone());
        last = match tokio::time::timeout_at(due, attempt).await {
            Ok(Ok(answer)) if !answer.not_run => return Ok(answer),
            Ok(Ok(answer)) => format!("{} refused: status {}", target.name, answer.status).into(),
            Ok(Err(e)) => {
                sent |= matches!(e, ServiceError::Broken(_));
                format!("{}: {e}", target.name).into()
            }
            Err(_) => {
                sent = true;
                last = format!("{} has not answered in time", target.name).into();
                break;
            }
        };
    }
    let outcome = if sent {
        Outcome::Failed
    } else {
        Outcome::NotRun
    };
    Err(Refusal::new(outcome, Code::RetriesExhausted, last))
}

/// Runs a call at most once, under a claim committed before its first byte is sent.
async fn call_once(
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
        Ok(reply) => return resend_answer(reply),
        Err(error) => {
            // The claim may have been committed; nothing was sent, so it goes back.
            claim.settle(ClaimCommand::Release { holder });
            let what = format!("the call could not be claimed: {error}");
            return Err(Refusal::not_run(Code::NoQuorum, what).with_retry_after(1));
        }
    }
    let targets = match targets(shared, &service.id) {
        Ok(targets) => targets,
        Err(refusal) => {
            claim.settle(ClaimCommand::Release { holder });
            return Err(refusal);
        }
    };
    run_claimed(&claim, targets, call, timeout).await
}

async fn run_claimed(
    claim: &Claim,
    targets: Vec<ServiceTarget>,
    call: ServiceCall,
    timeout: Duration,
) -> Result<ServiceResponse, Refusal> {
    let holder = claim.holder;
    let due = tokio::time::Instant::now() + timeout;
    let mut last: Box<str> = "".into();
    for target in targets.iter().take(MAX_TARGETS) {
        let attempt = claim.shared.services.call(target.address, call.clone());
        let cause: Box<str> = match tokio::time::timeout_at(due, attempt).await {
            Ok(Ok(answer)) if answer.not_run => {
                last = format!("{} refused: status {}", target.name, answer.status).into();
                continue;
            }
            Ok(Ok(answer)) => {
                let recorded = RecordedAnswer {
                    status: answer.status,
                    content_type: answer.content_type.clone(),
                    body: answer.body.clone(),
                };
                claim.settle(ClaimCommand::Record {
                    holder,
                    answer: recorded,
                });
                return Ok(answer);
            }
            // No byte was sent, so another target may be tried.
            Ok(Err(ServiceError::NotSent(cause))) => {
                last = format!("{}: {cause}", target.name).into();
                continue;
            }
            Ok(Err(ServiceError::Broken(cause))) => cause,
            Err(_) => "no answer in time".into(),
        };
        claim.settle(ClaimCommand::Abandon { holder });
        let what = format!("the call to {} may have run: {cause}", target.name);
        return Err(Refusal::new(Outcome::Unknown, Code::MayHaveRun, what));
    }
    claim.settle(ClaimCommand::Release { holder });
    Err(Refusal::not_run(Code::NoTarget, last).with_retry_after(1))
}

fn resend_answer(reply: ClaimReply) -> Result<ServiceResponse, Refusal> {
    let unknown = |code, what: &str| Err(Refusal::new(Outcome::Unknown, code, what));
    match reply {
        ClaimReply::Recorded(answer) => Ok(ServiceResponse {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
            not_run: false,
        }),
        ClaimReply::KeyReused => {
            let what = "this Idempotency-Key was used with another call";
            Err(Refusal::not_run(Code::KeyReused, what))
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

/// Digest of everything that makes two calls the same.
fn call_digest(call: &ServiceCall) -> Digest {
    let mut buf = format!("{} {}\n", call.method, call.path).into_bytes();
    if let Some(content_type) = call.headers.get(CONTENT_TYPE) {
        buf.extend_from_slice(content_type.as_bytes());
    }
    buf.push(b'\n');
    buf.extend_from_slice(&call.body);
    Digest::of(&buf)
}

/// A claim that this gate asks for or holds.
#[derive(Clone, Debug)]
struct Claim {
    shared: Arc<Shared>,
    key: ClaimKey,
    holder: u64,
}

impl Claim {
    /// Asks for the claim; while another holder runs the call, waits a while for its answer.
    async fn acquire(
        &self,
        command: ClaimCommand,
        timeout: Duration,
    ) -> Result<ClaimReply, SubmitError> {
        let due = tokio::time::Instant::now() + timeout.min(IN_PROGRESS_PATIENCE);
        loop {
            let reply = self.submit(command.clone()).await?;
            let waits = reply == ClaimReply::InProgress && tokio::time::Instant::now() < due;
            if !waits {
                return Ok(reply);
            }
            tokio::time::sleep(IN_PROGRESS_POLL).await;
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

    /// Commits what became of the call, in the background and with retries.
    ///
    /// Until it is committed a resend is told that the call is in progress or unknown, never that
    /// it may run.
    fn settle(&self, command: ClaimCommand) {
        let claim = self.clone();
        let guard = self.shared.under_way().begin();
        tokio::spawn(async move {
            let _guard = guard;
            let due = tokio::time::Instant::now() + RECORD_TIMEOUT;
            while tokio::time::Instant::now() < due {
                if claim.submit(command.clone()).await.is_ok() {
                    return;
                }
                tokio::time::sleep(RECORD_RETRY).await;
            }
            tracing::error!(event = "TS3601", key = ?claim.key, "outcome not recorded");
        });
    }
}
