//! HTTP handlers for callers, readiness probes and metrics.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::RngExt as _;
use tokio::time::Instant;
use toucanshelf_core::deployment::RequestKind;
use toucanshelf_link::dialect::RequestMetadata;
use toucanshelf_routing::matcher::MatchError;
use toucanshelf_routing::startup::configuration_wait;
use toucanshelf_runtime::body::{BodyError, BodyLimits};
use toucanshelf_runtime::connections::Caller;

use crate::relay::{History, RelayMetadata};
use crate::request::CallerRequest;
use crate::response::{
    ProxyResponse, Refusal, full_body, refusal_response, strip_connection_headers,
};
use crate::shared::Shared;
use crate::{plain, relay, stream};

/// `Retry-After` time sent to callers before the ingress has its configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// `Retry-After` time sent to callers whom only a newer configuration may allow.
// Another ingress can answer at once.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// `Retry-After` time sent to callers whose bodies find no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` time sent to callers of a service whose requests use too many connections.
const CROWDED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Forwards a caller's request to a target and returns the response to the caller.
///
/// If this ingress reaches no target, another one receives the request.
pub async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> ProxyResponse {
    forward(shared, req, None).await
}

/// Forwards a request of another ingress's caller to a target and returns the response.
pub async fn handle_relayed(shared: Arc<Shared>, mut req: Request<Incoming>) -> ProxyResponse {
    let metadata = RelayMetadata::take(req.headers_mut());
    let is_behind = shared.deployments.is_behind_relays();
    let unable = if is_behind || shared.version() < metadata.min_deployment {
        Some(Refusal::NotConfigured)
    } else {
        shared.isolation.is_isolated().then_some(Refusal::NoTarget)
    };
    if let Some(refusal) = unable {
        let facts = shared.dialect.request_metadata(req.headers());
        let mut response = reject(&shared, facts.id.as_deref(), refusal);
        relay::mark_unable(&mut response);
        return response;
    }
    forward(shared, req, Some(metadata)).await
}

/// Forwards a request, which another ingress has relayed if there is metadata of it.
async fn forward(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    metadata: Option<RelayMetadata>,
) -> ProxyResponse {
    let under_way = shared.under_way().begin();
    let facts = shared.dialect.request_metadata(req.headers());
    let id = facts.id.clone();
    let mut req = match read_request(&shared, facts, req).await {
        Ok(req) => req,
        Err(refusal) => {
            let version = shared.version();
            let mut response = reject(&shared, id.as_deref(), refusal);
            if metadata.is_some() {
                relay::set_notices(&shared, version, None, &mut response);
            }
            return response;
        }
    };
    req.relayed = metadata.is_some();
    req.earlier_runs = metadata.and_then(|metadata| metadata.earlier_runs);
    if relay::is_needed(&shared, &req) {
        // The relay counts the request.
        return relay::run(shared, req, History::default(), under_way).await;
    }
    if !metadata.is_some_and(|metadata| metadata.counted) {
        shared.count_request(&req.service);
    }
    let relayed = req.relayed.then(|| (req.version, req.service.clone()));
    let mut response = match req.kind {
        RequestKind::Stream { .. } => stream::run(Arc::clone(&shared), req, under_way).await,
        _ => plain::run(&shared, &req).await,
    };
    if let Some((version, service)) = relayed {
        relay::set_notices(&shared, Some(version), Some(&service), &mut response);
    }
    response
}

/// Builds the error response to a request that is sent to no target.
///
/// The outcome is recorded in the log and the metrics.
fn reject(shared: &Shared, id: Option<&str>, refusal: Refusal) -> ProxyResponse {
    let requests = &shared.metrics.requests;
    requests.with_label_values(&["none", refusal.name()]).inc();
    tracing::info!(
        event = "TS4307",
        request = id.unwrap_or("-"),
        version = shared.version(),
        status = refusal.status().as_u16(),
        outcome = refusal.name(),
        "request rejected"
    );
    let retry_after = match refusal {
        Refusal::NotConfigured => Some(UNCONFIGURED_RETRY_AFTER),
        Refusal::Outdated => Some(OUTDATED_RETRY_AFTER),
        Refusal::NoMemory => Some(NO_MEMORY_RETRY_AFTER),
        Refusal::Crowded => Some(CROWDED_RETRY_AFTER),
        _ => None,
    };
    refusal_response(refusal, retry_after)
}

/// Finds the route of the configuration for a request and reads the request's body.
async fn read_request(
    shared: &Shared,
    facts: RequestMetadata,
    req: Request<Incoming>,
) -> Result<CallerRequest, Refusal> {
    let started = Instant::now();
    let wait = configuration_wait(facts.deadline_ms.map(Duration::from_millis));
    let table = shared.wait_for_table(started + wait).await;
    let table = table.ok_or(Refusal::NotConfigured)?;
    let (mut parts, body) = req.into_parts();
    let host = host(&parts);
    let found = table.find(&host, parts.uri.path(), facts.key.as_deref());
    let found = found.map_err(|denial| match denial {
        // A newer deployment, which this ingress can't hear of, may allow the request.
        _ if !shared.control.is_current() => Refusal::Outdated,
        // The newer deployment, which callers have seen through a relay, may allow the request.
        _ if shared.deployments.is_behind_relays() => Refusal::NotConfigured,
        MatchError::NoRoute => Refusal::NoRoute,
        MatchError::UnknownKey => Refusal::UnknownKey,
    })?;
    let route = found.route;
    let deadline = match facts.deadline_ms {
        Some(ms) => route.timeout.min(Duration::from_millis(ms)),
        None => route.timeout,
    };
    let caller = parts.extensions.remove::<Caller>();
    let limits = &table.deployment().limits;
    let limits = BodyLimits {
        max_bytes: limits.max_body_bytes,
        idle_timeout: limits.idle_timeout,
        due: started + deadline,
    };
    let body = read_body(shared, body, limits, caller.as_ref()).await?;
    strip_connection_headers(&mut parts.headers);
    let service = found.service(rand::rng().random());
    if caller.is_some_and(|caller| !caller.run_request(service)) {
        return Err(Refusal::Crowded);
    }
    Ok(CallerRequest {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        route: route.name.clone(),
        kind: route.kind,
        allowed: route.timeout,
        objective: route.objective,
        max_attempts: route.max_attempts,
        service: service.into(),
        rank: found.rank(service),
        ranks: table.ranks(service),
        organisation: found.organisation.map(Into::into),
        version: table.deployment().version,
        started,
        deadline: started + deadline,
        relayed: false,
        earlier_runs: None,
        facts,
    })
}

fn host(parts: &http::request::Parts) -> Box<str> {
    let header = parts
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok());
    header.or(parts.uri.host()).unwrap_or("").into()
}

/// Reads the body of a request.
async fn read_body(
    shared: &Shared,
    body: Incoming,
    limits: BodyLimits,
    caller: Option<&Caller>,
) -> Result<Bytes, Refusal> {
    let owner = caller.map(|caller| caller.address);
    let body = shared.bodies.read(body, limits, owner).await;
    body.map_err(|e| match e {
        BodyError::TooLarge => Refusal::BodyTooLarge,
        BodyError::Broken => Refusal::BodyBroken,
        BodyError::Stopped => Refusal::BodyStopped,
        BodyError::NoMemory => Refusal::NoMemory,
    })
}

/// Answers a readiness probe, or any other request to the probe listener.
pub fn probe(shared: &Shared, req: &Request<Incoming>) -> ProxyResponse {
    let is_probe_path = shared.dialect.is_readiness_probe(req.uri().path());
    let status = match (is_probe_path, shared.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns the metrics in the Prometheus text format.
pub fn metrics(shared: &Shared) -> ProxyResponse {
    let metrics = &shared.metrics;
    metrics.body_memory.set(shared.bodies.used_bytes() as i64);
    metrics.connections.set(shared.connections.count() as i64);
    let closed = shared.connections.closed_count();
    metrics.closed_connections.reset();
    metrics.closed_connections.inc_by(closed);
    let text = toucanshelf_runtime::metrics::render(&metrics.registry);
    Response::new(full_body(Bytes::from(text)))
}
