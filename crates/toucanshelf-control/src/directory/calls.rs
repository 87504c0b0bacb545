//! Calls of the platform's operators and targets.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use serde_bytes::ByteBuf;
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_core::registry::RegistryChange;
use toucanshelf_core::state::{CommandBody, DeploymentDocument, Reply};
use toucanshelf_link::dialect::ControlCall;

use crate::Parts;
use crate::directory::{Directory, gossip};

/// Largest body of a call, in bytes.
const MAX_CALL_BYTES: usize = 16 * 1024 * 1024;
/// Time within which this instance must reach the version that the log has confirmed.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);

type CallResponse = Response<Full<Bytes>>;

/// Answers one call.
pub(crate) async fn handle(parts: Arc<Parts>, req: Request<Incoming>) -> CallResponse {
    let Some(directory) = &parts.directory else {
        return problem(StatusCode::NOT_FOUND, "no platform is served here");
    };
    let call = directory
        .dialect
        .control_call(req.method(), req.uri().path());
    let Some(call) = call else {
        return problem(StatusCode::NOT_FOUND, "there is no such call");
    };
    let body = match Limited::new(req.into_body(), MAX_CALL_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(e) => return problem(StatusCode::BAD_REQUEST, &format!("reading the body: {e}")),
    };
    match call {
        ControlCall::PutDeployment => put_deployment(&parts, directory, body).await,
        ControlCall::GetDeployment => get_deployment(&parts).await,
        ControlCall::Renew { id } => renew(&parts, directory, &id, &body).await,
        ControlCall::Leave { id } => leave(&parts, directory, &id, &body).await,
    }
}

async fn put_deployment(parts: &Arc<Parts>, directory: &Directory, body: Bytes) -> CallResponse {
    let decoded = directory.dialect.deployment(&body);
    let checked = decoded.and_then(|deployment| deployment.check().map(|()| deployment.version));
    let version = match checked {
        Ok(version) => version,
        Err(e) => {
            tracing::warn!(event = "TS2510", bytes = body.len(), cause = %e, "deployment refused");
            return problem(StatusCode::BAD_REQUEST, &e.to_string());
        }
    };
    let known = parts.driver.state().deployment_version();
    if known.is_some_and(|known| known >= version) {
        tracing::info!(
            event = "TS2511",
            version,
            known,
            outcome = "overtaken",
            "deployment put"
        );
        return done();
    }
    let command = CommandBody::Deploy {
        version,
        document: ByteBuf::from(body.to_vec()),
    };
    match parts.submit(command, true).await {
        Ok(reply) => {
            tracing::info!(event = "TS2511", version, known, outcome = ?reply, "deployment put");
            done()
        }
        Err(e) => {
            tracing::warn!(event = "TS2511", version, known, outcome = %e, "deployment put");
            problem(StatusCode::SERVICE_UNAVAILABLE, &e.to_string())
        }
    }
}

/// Reads the deployment behind an entry of the log, so that no newer one can be in force.
async fn get_deployment(parts: &Arc<Parts>) -> CallResponse {
    let confirmed = parts.submit(CommandBody::DeploymentVersion, true).await;
    let version = match confirmed {
        Ok(Reply::Deployment(version)) => version,
        Ok(_) => {
            return problem(
                StatusCode::SERVICE_UNAVAILABLE,
                "unexpected answer of the log",
            );
        }
        Err(e) => {
            tracing::warn!(event = "TS2512", outcome = %e, "deployment read");
            return problem(StatusCode::SERVICE_UNAVAILABLE, &e.to_string());
        }
    };
    let Some(version) = version else {
        return problem(
            StatusCode::SERVICE_UNAVAILABLE,
            "there is no deployment yet",
        );
    };
    let mut deployments = parts.driver.deployments();
    let reached = deployments.wait_for(|own| own.is_some_and(|own| own >= version));
    if !matches!(
        tokio::time::timeout(CATCH_UP_TIMEOUT, reached).await,
        Ok(Ok(_))
    ) {
        tracing::warn!(
            event = "TS2512",
            version,
            outcome = "behind",
            "deployment read"
        );
        return problem(StatusCode::SERVICE_UNAVAILABLE, "this instance is behind");
    }
    let document = parts.driver.state().deployment().cloned();
    document.map_or_else(
        || {
            problem(
                StatusCode::SERVICE_UNAVAILABLE,
                "there is no deployment yet",
            )
        },
        |document| json(StatusCode::OK, document_bytes(&document)),
    )
}

fn document_bytes(document: &DeploymentDocument) -> Bytes {
    Bytes::copy_from_slice(&document.bytes)
}

async fn renew(parts: &Arc<Parts>, directory: &Directory, id: &str, body: &[u8]) -> CallResponse {
    let record = match directory.dialect.registration(id, body) {
        Ok(record) => record,
        Err(e) => {
            tracing::warn!(event = "TS2513", target_id = %id, cause = %e, "heartbeat refused");
            return problem(StatusCode::BAD_REQUEST, &e.to_string());
        }
    };
    let drains = record.readiness == Readiness::Draining;
    match directory.take(&record) {
        RegistryChange::Stale => {}
        RegistryChange::Refreshed => gossip(parts, vec![record]),
        RegistryChange::Changed => publish(parts, directory, record, drains).await,
    }
    done()
}

async fn leave(parts: &Arc<Parts>, directory: &Directory, id: &str, body: &[u8]) -> CallResponse {
    let incarnation = directory.dialect.leaving_incarnation(body);
    let left = directory
        .registry()
        .mark_gone(id, incarnation, directory.now());
    if let Some(record) = left {
        tracing::info!(event = "TS2514", target_id = %id, incarnation = record.incarnation.0, "target left");
        publish(parts, directory, record, true).await;
    }
    done()
}

/// Passes a change on; a target that leaves is acknowledged only when all have obeyed.
async fn publish(parts: &Parts, directory: &Directory, record: Registration, wait: bool) {
    let id = record.id.clone();
    let push = directory.ingresses.send(std::slice::from_ref(&record));
    gossip(parts, vec![record]);
    if wait {
        let missing = directory.ingresses.seen_by_all(push).await;
        tracing::info!(event = "TS2515", target_id = %id, push, missing, "leave passed on");
    }
}

fn done() -> CallResponse {
    json(StatusCode::OK, Bytes::from_static(b"{}"))
}

fn problem(status: StatusCode, message: &str) -> CallResponse {
    let body = serde_json::json!({ "error": message });
    json(status, body.to_string().into())
}

fn json(status: StatusCode, body: Bytes) -> CallResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
