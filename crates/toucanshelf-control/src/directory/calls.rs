//! HTTP API through which a platform's operators and targets call a control instance.
//!
//! Operators replace and read the deployment, a versioned document with routes and services.
//! Targets renew their registration with heartbeats and report when they leave.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_bytes::ByteBuf;
use tokio::time::Instant;
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_core::registry::RegistryChange;
use toucanshelf_core::state::{CommandBody, DeploymentDocument, Reply};
use toucanshelf_link::dialect::ControlCall;
use toucanshelf_runtime::body::{BodyError, BodyLimits, discard};
use toucanshelf_runtime::connections::Caller;

use crate::directory::{Directory, deployments, forward_registrations, leaving};
use crate::{BODY_IDLE_TIMEOUT, BODY_TIMEOUT, Shared};

/// Maximum size of the body of an API request, in bytes.
const MAX_CALL_BYTES: usize = 4 * 1024 * 1024;
/// Maximum time that a read waits for this instance to apply the latest deployment.
///
/// The leader may have committed a deployment version that this instance has not applied yet.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after which a caller may come back that found no memory or connection, in seconds.
const BUSY_RETRY_AFTER_S: u32 = 1;

type CallResponse = Response<Full<Bytes>>;

/// Handles one request to the platform's API.
pub(crate) async fn handle(shared: Arc<Shared>, mut req: Request<Incoming>) -> CallResponse {
    let caller = req.extensions_mut().remove::<Caller>();
    let (parts, body) = req.into_parts();
    let Some(directory) = &shared.directory else {
        return refuse_unread(body, StatusCode::NOT_FOUND, "no platform is served here");
    };
    let call = directory
        .dialect
        .control_call(&parts.method, parts.uri.path());
    let Some(call) = call else {
        return refuse_unread(body, StatusCode::NOT_FOUND, "there is no such call");
    };
    let limits = BodyLimits {
        max_bytes: MAX_CALL_BYTES,
        idle_timeout: BODY_IDLE_TIMEOUT,
        due: Instant::now() + BODY_TIMEOUT,
    };
    let owner = caller.as_ref().map(|caller| caller.address);
    let body = match shared.bodies.read(body, limits, owner).await {
        Ok(body) => body,
        Err(e) => return body_error_response(e),
    };
    if caller.is_some_and(|caller| !caller.run_request(class(&call))) {
        let message = "such calls use too many connections";
        return busy_response(message);
    }
    match call {
        ControlCall::PutDeployment => put_deployment(&shared, directory, body).await,
        ControlCall::GetDeployment => get_deployment(&shared).await,
        ControlCall::Renew { id } => renew(&shared, directory, &id, &body).await,
        ControlCall::Leave { id } => leave(&shared, directory, &id, &body).await,
    }
}

/// Returns the class of a call, whose calls in progress must leave connections to others.
fn class(call: &ControlCall) -> &'static str {
    match call {
        ControlCall::PutDeployment => "put",
        ControlCall::GetDeployment => "get",
        ControlCall::Renew { .. } => "renew",
        ControlCall::Leave { .. } => "leave",
    }
}

/// Answers a call whose body is dropped unread.
fn refuse_unread(body: Incoming, status: StatusCode, message: &str) -> CallResponse {
    discard(body);
    error_response(status, message)
}

/// Answers a call whose body could not be read; it has changed nothing.
fn body_error_response(error: BodyError) -> CallResponse {
    let status = match error {
        BodyError::NoMemory => return busy_response(&error.to_string()),
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Broken => StatusCode::BAD_REQUEST,
        BodyError::Stopped => StatusCode::REQUEST_TIMEOUT,
    };
    error_response(status, &error.to_string())
}

/// Tells a caller to come back, or to call another instance.
fn busy_response(message: &str) -> CallResponse {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, message);
    let seconds = HeaderValue::from(BUSY_RETRY_AFTER_S);
    response.headers_mut().insert(RETRY_AFTER, seconds);
    response
}

/// Commits a deployment and answers once the linked ingresses use it, within a time limit.
async fn put_deployment(shared: &Arc<Shared>, directory: &Directory, body: Bytes) -> CallResponse {
    let submitted = Instant::now();
    let decoding = directory.begin_decoding(&body).await;
    let decoded = directory.dialect.deployment(&body);
    let checked = decoded.and_then(|deployment| deployment.check().map(|()| deployment.version));
    drop(decoding);
    let version = match checked {
        Ok(version) => version,
        Err(e) => {
            tracing::warn!(event = "TS2510", bytes = body.len(), cause = %e, "deployment rejected");
            return error_response(StatusCode::BAD_REQUEST, &e.to_string());
        }
    };
    let current = shared.driver.state().deployment_version();
    if current.is_some_and(|current| current >= version) {
        tracing::info!(
            event = "TS2511",
            version,
            known = current,
            outcome = "overtaken",
            "deployment submitted"
        );
        deployments::wait_until_in_force(directory, version, submitted).await;
        return empty_response();
    }
    let document = DeploymentDocument {
        version,
        bytes: ByteBuf::from(body.to_vec()),
    };
    // The memory of `body` is held until the end; it stands for that of the document.
    match deployments::submit(shared, &document).await {
        Ok(reply) => {
            tracing::info!(event = "TS2511", version, known = current, outcome = ?reply, "deployment submitted");
            deployments::wait_until_in_force(directory, version, submitted).await;
            empty_response()
        }
        Err(e) => {
            tracing::warn!(event = "TS2511", version, known = current, outcome = %e, "deployment submitted");
            error_response(StatusCode::SERVICE_UNAVAILABLE, &e.to_string())
        }
    }
}

/// Returns the current deployment with a linearisable read.
///
/// The version is read through the replicated log, so that a newer committed version cannot be
/// missed.
async fn get_deployment(shared: &Arc<Shared>) -> CallResponse {
    let confirmed = shared.submit(CommandBody::DeploymentVersion, true).await;
    let version = match confirmed {
        Ok(Reply::Deployment(version)) => version,
        Ok(_) => {
            return error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "unexpected answer of the log",
            );
        }
        Err(e) => {
            tracing::warn!(event = "TS2512", outcome = %e, "failed to read the deployment");
            return error_response(StatusCode::SERVICE_UNAVAILABLE, &e.to_string());
        }
    };
    let Some(version) = version else {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "there is no deployment yet",
        );
    };
    let mut deployment_versions = shared.driver.deployment_versions();
    let caught_up =
        deployment_versions.wait_for(|applied| applied.is_some_and(|applied| applied >= version));
    if !matches!(
        tokio::time::timeout(CATCH_UP_TIMEOUT, caught_up).await,
        Ok(Ok(_))
    ) {
        tracing::warn!(
            event = "TS2512",
            version,
            outcome = "behind",
            "failed to read the deployment"
        );
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "this instance is behind");
    }
    let document = shared.driver.state().deployment().cloned();
    document.map_or_else(
        || {
            error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "there is no deployment yet",
            )
        },
        |document| json_response(StatusCode::OK, Bytes::from_owner(SharedDocument(document))),
    )
}

/// Document that a response shares with the state, so that many unread responses hold it once.
struct SharedDocument(Arc<DeploymentDocument>);

impl AsRef<[u8]> for SharedDocument {
    fn as_ref(&self) -> &[u8] {
        &self.0.bytes
    }
}

async fn renew(shared: &Arc<Shared>, directory: &Directory, id: &str, body: &[u8]) -> CallResponse {
    let decoding = directory.begin_decoding(body).await;
    let decoded = directory.dialect.registration(id, body);
    drop(decoding);
    let record = match decoded {
        Ok(record) => record,
        Err(e) => {
            tracing::warn!(event = "TS2513", target_id = %id, cause = %e, "heartbeat rejected");
            return error_response(StatusCode::BAD_REQUEST, &e.to_string());
        }
    };
    if directory.registry().contradicts(&record) {
        let cause = "another service, address or zone is registered for this start of the target";
        return refuse_heartbeat(&record, cause);
    }
    let is_draining = record.readiness == Readiness::Draining;
    match directory.apply_registration(&record) {
        RegistryChange::Stale => {
            if !directory.registry().holds(&record) {
                return refuse_heartbeat(&record, "a newer registration says otherwise");
            }
        }
        RegistryChange::Refreshed => directory.refreshes.queue(record),
        RegistryChange::Changed if is_draining => {
            return acknowledge_leaving(shared, directory, record).await;
        }
        RegistryChange::Changed => {
            push(shared, directory, record);
            return empty_response();
        }
    }
    if is_draining {
        return acknowledge_known(shared, directory, id).await;
    }
    empty_response()
}

/// Answers a heartbeat that changes nothing, although the registry doesn't hold what it says.
///
/// An acknowledgement would let a draining target end while requests are sent to it.
fn refuse_heartbeat(record: &Registration, cause: &'static str) -> CallResponse {
    tracing::warn!(
        event = "TS2526",
        target_id = %record.id,
        incarnation = record.incarnation.0,
        sequence = record.sequence,
        readiness = ?record.readiness,
        service = %record.service,
        address = %record.address,
        cause,
        "heartbeat refused"
    );
    error_response(StatusCode::CONFLICT, cause)
}

async fn leave(shared: &Arc<Shared>, directory: &Directory, id: &str, body: &[u8]) -> CallResponse {
    let decoding = directory.begin_decoding(body).await;
    let decoded = directory.dialect.leaving_incarnation(body);
    drop(decoding);
    let incarnation = match decoded {
        Ok(incarnation) => incarnation,
        Err(e) => {
            tracing::warn!(event = "TS2527", target_id = %id, cause = %e, "departure refused");
            return error_response(StatusCode::BAD_REQUEST, &e.to_string());
        }
    };
    let departed = directory
        .registry()
        .mark_gone(id, incarnation, directory.now());
    if let Some(record) = departed {
        tracing::info!(event = "TS2514", target_id = %id, incarnation = record.incarnation.0, "target left");
        return acknowledge_leaving(shared, directory, record).await;
    }
    if !directory.registry().knows_start(id, incarnation) {
        // Other instances may know the target, and it calls them next.
        let cause = "the target isn't registered here";
        tracing::warn!(event = "TS2527", target_id = %id, cause, "departure refused");
        return error_response(StatusCode::SERVICE_UNAVAILABLE, cause);
    }
    acknowledge_known(shared, directory, id).await
}

/// Acknowledges a departure or drain that the registry holds.
///
/// A target calls the next instance if the first one doesn't answer in time, and that one may have told
/// the others, but neither the ingresses nor the log.
async fn acknowledge_known(shared: &Shared, directory: &Directory, id: &str) -> CallResponse {
    let entry = directory
        .registry()
        .get(id)
        .map(|entry| entry.record.clone());
    match entry.filter(|record| record.readiness != Readiness::Ready) {
        Some(record) => acknowledge_leaving(shared, directory, record).await,
        None => empty_response(),
    }
}

/// Answers the call of a target that leaves or drains, which stands as `record` in the registry.
///
/// The call is acknowledged when the linked ingresses have had time to apply it and the log holds it, so
/// that an ingress that links later learns it even if all control instances end.
async fn acknowledge_leaving(
    shared: &Shared,
    directory: &Directory,
    record: Registration,
) -> CallResponse {
    let published = async {
        if !directory.is_published(&record) {
            publish_leaving(shared, directory, &record).await;
        }
    };
    let (committed, ()) = tokio::join!(leaving::commit(shared, &record), published);
    match committed {
        Ok(()) => empty_response(),
        Err(e) => {
            let cause = e.to_string();
            tracing::warn!(event = "TS2533", target_id = %record.id, readiness = ?record.readiness, cause, "departure or drain not recorded");
            error_response(StatusCode::SERVICE_UNAVAILABLE, &cause)
        }
    }
}

/// Sends the registration of a target that leaves or drains to the ingresses and control instances.
///
/// Returns after every linked ingress has applied it, or after a timeout.
async fn publish_leaving(shared: &Shared, directory: &Directory, record: &Registration) {
    let push = push(shared, directory, record.clone());
    let missing = directory.ingresses.wait_until_applied(push).await;
    directory.record_published(record);
    tracing::info!(event = "TS2515", target_id = %record.id, push, missing, "departure or drain published");
}

/// Sends a target's changed registration to the ingresses and the other control instances.
///
/// Returns the number by which the ingresses acknowledge it.
fn push(shared: &Shared, directory: &Directory, record: Registration) -> u64 {
    let push = directory
        .ingresses
        .push_registrations(std::slice::from_ref(&record));
    forward_registrations(shared, vec![record]);
    push
}

fn empty_response() -> CallResponse {
    json_response(StatusCode::OK, Bytes::from_static(b"{}"))
}

fn error_response(status: StatusCode, message: &str) -> CallResponse {
    let body = serde_json::json!({ "error": message });
    json_response(status, body.to_string().into())
}

fn json_response(status: StatusCode, body: Bytes) -> CallResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
