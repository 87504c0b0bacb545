//! HTTP interface for callers, targets and operators.
//!
//! A plain service runs no model. A naming scheme defines alternative names of objects, in which no
//! two objects of the same kind have the same name.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::{ApiDescription, Body, Path, Query, StubContext, UntypedBody};
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Method, Response};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::Instant;
use toucanshelf_core::configuration::Configuration;
use toucanshelf_core::digest::Digest;
use toucanshelf_core::outcome::{Code, Refusal};
use toucanshelf_core::target::{Announcement, TargetRole};
use toucanshelf_link::frame::TargetRecord;
use toucanshelf_routing::planner::RouteRequest;
use toucanshelf_runtime::api::{Api, ApiRequest, ApiServer, HandlerResult};
use toucanshelf_runtime::body::BodyLimits;
use toucanshelf_runtime::connections::Connections;
use toucanshelf_runtime::http::{
    REQUEST_ID_HEADER, bytes_response, json_response, refusal_response,
};
use toucanshelf_runtime::{credentials, endpoint, trace};
use tracing::Instrument as _;

use crate::callers;
use crate::completions::{self, CompletionRequest};
use crate::fleets::canonical_name;
use crate::services::{self, IncomingCall};
use crate::shared::Shared;
use crate::targets;

/// Time without any byte after which a body counts as stopped.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

type Request = ApiRequest<Arc<Shared>>;

/// Returns the description of the HTTP interface.
///
/// # Panics
///
/// Panics if an endpoint is invalid, which the tests detect.
pub fn description() -> ApiDescription<StubContext> {
    api().into_description()
}

/// Returns the endpoints of the HTTP interface.
fn api() -> Api<Arc<Shared>> {
    type Service = (Path<ServicePath>,);
    type ServiceCall = (Path<ServicePath>, UntypedBody);
    let mut api = Api::new();
    api.register(
        endpoint!(POST "/v1/chat/completions", "chat_completions", (UntypedBody,))
            .summary("Generate the next message of a chat"),
        chat_completions,
    );
    api.register(
        endpoint!(POST "/v1/completions", "text_completions", (UntypedBody,))
            .summary("Generate the continuation of a text"),
        text_completions,
    );
    let service = endpoint!(GET "/svc/{service}/{path:.*}", "service_get", Service);
    api.register(service.visible(false), |req| call_service(req, Method::GET));
    let service = endpoint!(POST "/svc/{service}/{path:.*}", "service_post", ServiceCall);
    api.register(service.visible(false), |req| {
        call_service(req, Method::POST)
    });
    let service = endpoint!(PUT "/svc/{service}/{path:.*}", "service_put", ServiceCall);
    api.register(service.visible(false), |req| call_service(req, Method::PUT));
    let service = endpoint!(DELETE "/svc/{service}/{path:.*}", "service_delete", Service);
    api.register(service.visible(false), |req| {
        call_service(req, Method::DELETE)
    });
    api.register(
        endpoint!(POST "/v1/targets/announce", "target_announce", (UntypedBody,))
            .summary("Announce a target or renew its lease"),
        announce_target,
    );
    api.register(
        endpoint!(GET "/v1/targets", "target_list", ())
            .summary("List the targets that this gate knows"),
        list_targets,
    );
    api.register(
        endpoint!(POST "/v1/drains/{name}", "target_drain", (Path<TargetPath>,))
            .summary("Drain a target, so that it finishes its requests and gets no new ones"),
        drain_target,
    );
    api.register(
        endpoint!(GET "/v1/explain/route", "route_explain", (Query<RouteQuery>,))
            .summary("Explain which route a request would take now"),
        explain_route,
    );
    api.register(
        endpoint!(GET "/health/live", "health_live", ())
            .summary("Check whether the process is running"),
        health_live,
    );
    api.register(
        endpoint!(GET "/health/ready", "health_ready", ())
            .summary("Check whether the gate accepts new requests and which links it has"),
        health_ready,
    );
    api.register(
        endpoint!(GET "/metrics", "metrics", ())
            .summary("Show the metrics in the Prometheus text format"),
        metrics,
    );
    api
}

/// Serves the HTTP interface on `listener`.
pub(crate) fn serve(shared: &Arc<Shared>, listener: TcpListener) -> Result<ApiServer, Box<str>> {
    let connections = Connections::new(shared.settings.max_connections());
    ApiServer::start(api(), Arc::clone(shared), listener, connections)
}

/// Reads the body of a request by its deadline and begins to run it as one of a class.
async fn read_body(req: &mut Request, deadline: u64, class: &str) -> Result<Bytes, Refusal> {
    let shared = Arc::clone(req.context());
    let remaining = Duration::from_millis(deadline.saturating_sub(shared.now()));
    let limits = BodyLimits {
        max_bytes: shared.settings.max_body_bytes,
        idle_timeout: BODY_IDLE_TIMEOUT,
        due: Instant::now() + remaining,
    };
    req.read_body(&shared.bodies, limits, class).await
}

/// Runs a caller's request in its own trace span and adds common response headers.
async fn in_span(
    shared: &Shared,
    headers: &HeaderMap,
    request_id: &str,
    work: impl Future<Output = HandlerResult>,
) -> HandlerResult {
    let span = tracing::info_span!(
        "request",
        request = request_id,
        trace = tracing::field::Empty
    );
    trace::continue_trace(&span, headers);
    span.record("trace", &*trace::trace_id(&span));
    let result = work.instrument(span.clone()).await;
    let mut response = result.unwrap_or_else(|refusal| refusal_response(&refusal));
    let response_headers = response.headers_mut();
    if shared.is_stopping() {
        response_headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response_headers.insert(REQUEST_ID_HEADER, value);
    }
    let parent = headers.get(trace::TRACEPARENT).cloned();
    if let Some(value) = trace::traceparent(&span).or(parent) {
        response_headers.insert(trace::TRACEPARENT, value);
    }
    Ok(response)
}

fn new_request_id() -> String {
    uuid::Uuid::new_v4().to_string()
}

/// Serves a completion, whose body is read once its caller is known.
async fn complete(
    mut req: Request,
    parse: fn(&[u8]) -> Result<CompletionRequest, Refusal>,
) -> HandlerResult {
    let id = new_request_id();
    let shared = Arc::clone(req.context());
    let headers = req.headers().clone();
    let work = async {
        let caller = callers::authenticate(&shared, &headers)?;
        let deadline = callers::deadline(&shared, &headers)?;
        let body = read_body(&mut req, deadline, "completions").await?;
        let parsed = parse(&body)?;
        completions::serve(&shared, &id, caller, deadline, parsed, body).await
    };
    in_span(&shared, &headers, &id, work).await
}

async fn chat_completions(req: Request) -> HandlerResult {
    complete(req, completions::parse_chat).await
}

async fn text_completions(req: Request) -> HandlerResult {
    complete(req, completions::parse_completion).await
}

#[derive(Debug, Deserialize, JsonSchema)]
#[expect(dead_code, reason = "the type describes the parameters")]
struct ServicePath {
    /// Name of the service in any naming scheme.
    service: Box<str>,
    /// Path within the service.
    path: Vec<Box<str>>,
}

/// Calls a plain service; the body is read once the caller is known.
async fn call_service(mut req: Request, method: Method) -> HandlerResult {
    let id = new_request_id();
    let shared = Arc::clone(req.context());
    let headers = req.headers().clone();
    let work = async {
        let caller = callers::authenticate(&shared, &headers)?;
        let deadline = callers::deadline(&shared, &headers)?;
        let service: Box<str> = req.variable("service").into();
        let mut body = read_body(&mut req, deadline, &service).await?;
        if !matches!(method, Method::POST | Method::PUT) {
            body = Bytes::new();
        }
        let query = req.uri().query();
        let query = query.map(|query| format!("?{query}")).unwrap_or_default();
        let call = IncomingCall {
            service,
            method,
            path: format!("/{}{query}", req.variable("path")).into(),
            headers: headers.clone(),
            body,
        };
        services::serve(&shared, call, &caller, deadline).await
    };
    in_span(&shared, &headers, &id, work).await
}

fn authorize(req: &Request, allowed: &[Digest]) -> Result<(), Refusal> {
    if credentials::is_allowed(req.headers(), allowed) {
        return Ok(());
    }
    Err(Refusal::not_run(
        Code::Unauthorized,
        "a known bearer token is needed",
    ))
}

fn authorize_operator(req: &Request) -> Result<(), Refusal> {
    authorize(req, &req.context().settings.operator_token_digests)
}

async fn announce_target(mut req: Request) -> HandlerResult {
    let shared = Arc::clone(req.context());
    authorize(&req, &shared.settings.target_token_digests)?;
    let due = shared.now() + shared.settings.lease_ms;
    let body = read_body(&mut req, due, "announcements").await?;
    let announcement: Announcement = serde_json::from_slice(&body).map_err(|e| {
        Refusal::not_run(Code::BadRequest, format!("reading the announcement: {e}"))
    })?;
    let lease = targets::announce(&shared, announcement)?;
    Ok(json_response(200, &lease))
}

/// A target as one gate knows it.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct TargetBody {
    /// Canonical name of the target.
    pub name: Box<str>,
    /// Name that the target announced.
    pub announced: Box<str>,
    /// Number that increases with every start of the target.
    pub incarnation: u64,
    /// Availability: `ready`, `draining`, `lost` or `left`.
    pub condition: Box<str>,
    /// Availability zone of the target.
    pub zone: Box<str>,
    /// Address at which the target accepts requests.
    pub address: Box<str>,
    /// Name of the gate that holds the target's lease.
    pub holder: Box<str>,
    /// Model and layers of an engine, or the service of another target.
    pub role: Box<str>,
}

async fn list_targets(req: Request) -> HandlerResult {
    authorize_operator(&req)?;
    let view = req.context().view();
    let active = req.context().active_configuration();
    let configuration = active.configuration();
    let bodies: Vec<_> = view
        .records()
        .map(|r| target_body(configuration, r))
        .collect();
    Ok(json_response(200, &bodies))
}

fn target_body(configuration: &Configuration, record: &TargetRecord) -> TargetBody {
    let role = match &record.payload.role {
        TargetRole::Engine { model, layers, .. } => format!("{model} {layers}"),
        TargetRole::Service { service } => service.to_string(),
    };
    TargetBody {
        name: canonical_name(configuration, &record.name),
        announced: record.name.clone(),
        incarnation: record.incarnation,
        condition: format!("{:?}", record.condition).to_lowercase().into(),
        zone: record.payload.zone.clone(),
        address: record.payload.address.to_string().into(),
        holder: record.holder.clone(),
        role: role.into(),
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
#[expect(dead_code, reason = "the type describes the parameter")]
struct TargetPath {
    /// Name of the target; an engine may be named in any naming scheme.
    name: Box<str>,
}

#[derive(Debug, JsonSchema, Serialize)]
struct Drained {
    name: Box<str>,
}

async fn drain_target(req: Request) -> HandlerResult {
    authorize_operator(&req)?;
    let name = targets::drain(req.context(), req.variable("name"))?;
    Ok(json_response(200, &Drained { name }))
}

#[derive(Debug, Deserialize, JsonSchema)]
struct RouteQuery {
    /// Canonical id of the model.
    model: Box<str>,
}

/// One engine of an explained route, with the layers that it would run.
#[derive(Debug, Deserialize, Serialize)]
pub struct ExplainedStage {
    /// Name of the engine that would run these layers.
    pub engine: Box<str>,
    /// Availability zone of the engine.
    pub zone: Box<str>,
    /// First layer that the engine would run, and the layer after its last one.
    pub layers: [u32; 2],
    /// Number of this gate's requests that run on the engine.
    pub in_flight: u32,
}

/// Explanation of the route that a request would take.
#[derive(Debug, Deserialize, Serialize)]
pub struct ExplainedRoute {
    /// Name of the planner that selected the route.
    pub planner: Box<str>,
    /// Engines of the route in the order of their layers.
    pub stages: Vec<ExplainedStage>,
}

async fn explain_route(req: Request) -> HandlerResult {
    authorize_operator(&req)?;
    let query: RouteQuery = req.query()?;
    explain(req.context(), &query.model)
}

fn explain(shared: &Shared, model: &str) -> Result<Response<Body>, Refusal> {
    let no_route = |detail: String| Refusal::not_run(Code::NoRoute, detail);
    let mut fleets = shared.fleets();
    let model_fleet = fleets
        .model(model)
        .ok_or_else(|| no_route(format!("no engine holds `{model}`")))?;
    let route_request = RouteRequest::new(shared.settings.zone.clone()).with_now(shared.now());
    let route = model_fleet
        .planner
        .choose(&model_fleet.fleet, &route_request, &mut rand::rng())
        .map_err(|e| no_route(e.to_string()))?;
    let stages = route.stages().iter().filter_map(|stage| {
        let engine = model_fleet.fleet.get(stage.engine)?;
        Some(ExplainedStage {
            engine: engine.info.name.clone(),
            zone: engine.info.zone.clone(),
            layers: stage.layers.into(),
            in_flight: engine.in_flight,
        })
    });
    let stages = stages.collect();
    let planner = model_fleet.planner.name().into();
    Ok(json_response(200, &ExplainedRoute { planner, stages }))
}

async fn health_live(_req: Request) -> HandlerResult {
    Ok(bytes_response(200, "text/plain", b"live\n".to_vec()))
}

/// Whether a gate accepts requests, with its revision and links.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct Readiness {
    /// Whether the gate accepts new requests.
    pub ready: bool,
    /// Revision of the active configuration, or null before the first one.
    pub revision: Option<u64>,
    /// Whether a control instance with a connection to the leader is linked.
    pub control_current: bool,
    /// Number of other gates that are linked to this one.
    pub linked_gates: usize,
}

async fn health_ready(req: Request) -> HandlerResult {
    let shared = req.context();
    let readiness = Readiness {
        ready: shared.is_ready(),
        revision: shared.revision().map(|revision| revision.0),
        control_current: shared.control.is_current(),
        linked_gates: shared.gossip.linked_gates(),
    };
    let status = if readiness.ready { 200 } else { 503 };
    Ok(json_response(status, &readiness))
}

async fn metrics(req: Request) -> HandlerResult {
    let shared = req.context();
    shared
        .metrics
        .requests_in_flight
        .set(shared.requests_in_flight().get() as i64);
    shared
        .metrics
        .revision
        .set(shared.revision().map_or(0, |revision| revision.0) as i64);
    let body = toucanshelf_runtime::metrics::render(shared.metrics.registry());
    Ok(bytes_response(200, "text/plain; version=0.0.4", body))
}
