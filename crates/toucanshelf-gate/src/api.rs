//! HTTP interface for callers, targets and operators.
//!
//! A plain service runs no model. A naming scheme defines alternative names of objects, in which no
//! two objects of the same kind have the same name.

use std::sync::Arc;

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpServer, Path, Query, RequestContext, ServerBuilder,
    UntypedBody, endpoint,
};
use http::header::CONNECTION;
use http::{HeaderValue, Method, Response};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use toucanshelf_core::configuration::Configuration;
use toucanshelf_core::outcome::{Code, Refusal};
use toucanshelf_core::target::{Announcement, TargetRole};
use toucanshelf_link::frame::TargetRecord;
use toucanshelf_routing::planner::RouteRequest;
use toucanshelf_runtime::http::{
    ApiError, REQUEST_ID_HEADER, bytes_response, handler_response, json_response, refusal_response,
};
use toucanshelf_runtime::logs::slog_bridge;
use toucanshelf_runtime::{credentials, trace};
use tracing::Instrument as _;

use crate::completions::{self, CompletionRequest};
use crate::fleets::canonical_name;
use crate::services::{self, IncomingCall};
use crate::shared::Shared;
use crate::targets;

type Context = RequestContext<Arc<Shared>>;
type EndpointResult = Result<Response<Body>, ApiError>;

/// Returns the endpoints of the HTTP interface.
///
/// The server and the generated description of the interface use them.
///
/// # Panics
///
/// Panics if an endpoint is invalid, which the tests detect.
pub fn description() -> ApiDescription<Arc<Shared>> {
    let mut api = ApiDescription::new();
    api.register(chat_completions).expect("endpoint is valid");
    api.register(text_completions).expect("endpoint is valid");
    api.register(service_get).expect("endpoint is valid");
    api.register(service_post).expect("endpoint is valid");
    api.register(service_put).expect("endpoint is valid");
    api.register(service_delete).expect("endpoint is valid");
    api.register(target_announce).expect("endpoint is valid");
    api.register(target_list).expect("endpoint is valid");
    api.register(target_drain).expect("endpoint is valid");
    api.register(route_explain).expect("endpoint is valid");
    api.register(health_live).expect("endpoint is valid");
    api.register(health_ready).expect("endpoint is valid");
    api.register(metrics).expect("endpoint is valid");
    api
}

pub(crate) fn serve(shared: &Arc<Shared>) -> Result<HttpServer<Arc<Shared>>, Box<str>> {
    let settings = &shared.settings;
    let config = ConfigDropshot {
        bind_address: settings.listen,
        default_request_body_max_bytes: settings.max_body_bytes,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(description(), Arc::clone(shared), slog_bridge())
        .config(config)
        .start()
        .map_err(|e| format!("listening on {}: {e}", settings.listen).into())
}

/// Runs a caller's request in its own trace span and adds common response headers.
async fn in_span(
    rqctx: &Context,
    request_id: &str,
    work: impl Future<Output = Result<Response<Body>, Refusal>>,
) -> EndpointResult {
    let span = tracing::info_span!(
        "request",
        request = request_id,
        trace = tracing::field::Empty
    );
    trace::continue_trace(&span, rqctx.request.headers());
    span.record("trace", &*trace::trace_id(&span));
    let result = work.instrument(span.clone()).await;
    let mut response = result.unwrap_or_else(|refusal| refusal_response(&refusal));
    let headers = response.headers_mut();
    if rqctx.context().is_stopping() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    let parent = rqctx.request.headers().get(trace::TRACEPARENT).cloned();
    if let Some(value) = trace::traceparent(&span).or(parent) {
        headers.insert(trace::TRACEPARENT, value);
    }
    Ok(response)
}

fn new_request_id() -> String {
    uuid::Uuid::new_v4().to_string()
}

async fn complete(rqctx: &Context, parsed: Result<CompletionRequest, Refusal>) -> EndpointResult {
    let id = new_request_id();
    let shared = rqctx.context();
    let headers = rqctx.request.headers();
    in_span(rqctx, &id, completions::serve(shared, &id, headers, parsed)).await
}

/// Generate the next message of a chat
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn chat_completions(rqctx: Context, body: UntypedBody) -> EndpointResult {
    complete(&rqctx, completions::parse_chat(body.as_bytes())).await
}

/// Generate the continuation of a text
#[endpoint { method = POST, path = "/v1/completions" }]
async fn text_completions(rqctx: Context, body: UntypedBody) -> EndpointResult {
    complete(&rqctx, completions::parse_completion(body.as_bytes())).await
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ServicePath {
    /// Name of the service in any naming scheme.
    service: Box<str>,
    /// Path within the service.
    path: Vec<Box<str>>,
}

async fn call_service(
    rqctx: &Context,
    path: ServicePath,
    method: Method,
    body: Bytes,
) -> EndpointResult {
    let query = rqctx.request.uri().query();
    let query = query.map(|query| format!("?{query}")).unwrap_or_default();
    let call = IncomingCall {
        service: path.service,
        method,
        path: format!("/{}{query}", path.path.join("/")).into(),
        headers: rqctx.request.headers().clone(),
        body,
    };
    let id = new_request_id();
    in_span(rqctx, &id, services::serve(rqctx.context(), call)).await
}

/// Send a GET request to a plain service
#[endpoint { method = GET, path = "/svc/{service}/{path:.*}", unpublished = true }]
async fn service_get(rqctx: Context, path: Path<ServicePath>) -> EndpointResult {
    call_service(&rqctx, path.into_inner(), Method::GET, Bytes::new()).await
}

/// Send a POST request to a plain service
#[endpoint { method = POST, path = "/svc/{service}/{path:.*}", unpublished = true }]
async fn service_post(
    rqctx: Context,
    path: Path<ServicePath>,
    body: UntypedBody,
) -> EndpointResult {
    let body = Bytes::copy_from_slice(body.as_bytes());
    call_service(&rqctx, path.into_inner(), Method::POST, body).await
}

/// Send a PUT request to a plain service
#[endpoint { method = PUT, path = "/svc/{service}/{path:.*}", unpublished = true }]
async fn service_put(rqctx: Context, path: Path<ServicePath>, body: UntypedBody) -> EndpointResult {
    let body = Bytes::copy_from_slice(body.as_bytes());
    call_service(&rqctx, path.into_inner(), Method::PUT, body).await
}

/// Send a DELETE request to a plain service
#[endpoint { method = DELETE, path = "/svc/{service}/{path:.*}", unpublished = true }]
async fn service_delete(rqctx: Context, path: Path<ServicePath>) -> EndpointResult {
    call_service(&rqctx, path.into_inner(), Method::DELETE, Bytes::new()).await
}

fn authorize(rqctx: &Context, allowed: &[toucanshelf_core::digest::Digest]) -> Result<(), Refusal> {
    if credentials::is_allowed(rqctx.request.headers(), allowed) {
        return Ok(());
    }
    Err(Refusal::not_run(
        Code::Unauthorized,
        "a known bearer token is needed",
    ))
}

fn authorize_operator(rqctx: &Context) -> Result<(), Refusal> {
    authorize(rqctx, &rqctx.context().settings.operator_token_digests)
}

/// Announce a target or renew its lease
#[endpoint { method = POST, path = "/v1/targets/announce" }]
async fn target_announce(rqctx: Context, body: UntypedBody) -> EndpointResult {
    let shared = rqctx.context();
    let granted = authorize(&rqctx, &shared.settings.target_token_digests).and_then(|()| {
        let announcement: Announcement = serde_json::from_slice(body.as_bytes()).map_err(|e| {
            Refusal::not_run(Code::BadRequest, format!("reading the announcement: {e}"))
        })?;
        targets::announce(shared, announcement)
    });
    handler_response(granted.map(|lease| json_response(200, &lease)))
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

/// List the targets that this gate knows
#[endpoint { method = GET, path = "/v1/targets" }]
async fn target_list(rqctx: Context) -> EndpointResult {
    handler_response(authorize_operator(&rqctx).map(|()| {
        let view = rqctx.context().view();
        let active = rqctx.context().active_configuration();
        let configuration = active.configuration();
        let bodies: Vec<_> = view
            .records()
            .map(|r| target_body(configuration, r))
            .collect();
        json_response(200, &bodies)
    }))
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
struct TargetPath {
    /// Name of the target; an engine may be named in any naming scheme.
    name: Box<str>,
}

#[derive(Debug, JsonSchema, Serialize)]
struct Drained {
    name: Box<str>,
}

/// Drain a target, so that it finishes its requests and gets no new ones
#[endpoint { method = POST, path = "/v1/drains/{name}" }]
async fn target_drain(rqctx: Context, path: Path<TargetPath>) -> EndpointResult {
    let drained = authorize_operator(&rqctx)
        .and_then(|()| targets::drain(rqctx.context(), &path.into_inner().name));
    handler_response(drained.map(|name| json_response(200, &Drained { name })))
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

/// Explain which route a request would take now
#[endpoint { method = GET, path = "/v1/explain/route" }]
async fn route_explain(rqctx: Context, query: Query<RouteQuery>) -> EndpointResult {
    let model = query.into_inner().model;
    handler_response(authorize_operator(&rqctx).and_then(|()| explain(rqctx.context(), &model)))
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

/// Check whether the process is running
#[endpoint { method = GET, path = "/health/live" }]
async fn health_live(_rqctx: Context) -> EndpointResult {
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

/// Check whether the gate accepts new requests and which links it has
#[endpoint { method = GET, path = "/health/ready" }]
async fn health_ready(rqctx: Context) -> EndpointResult {
    let shared = rqctx.context();
    let readiness = Readiness {
        ready: shared.is_ready(),
        revision: shared.revision().map(|revision| revision.0),
        control_current: shared.control.is_current(),
        linked_gates: shared.gossip.linked_gates(),
    };
    let status = if readiness.ready { 200 } else { 503 };
    Ok(json_response(status, &readiness))
}

/// Show the metrics in the Prometheus text format
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(rqctx: Context) -> EndpointResult {
    let shared = rqctx.context();
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
