//! HTTP interface for callers, targets and operators.

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
type Answer = Result<Response<Body>, ApiError>;

/// Description of the interface.
///
/// # Panics
///
/// Panics when an endpoint is malformed, which tests find.
pub fn description() -> ApiDescription<Arc<Shared>> {
    let mut api = ApiDescription::new();
    api.register(chat_completions)
        .expect("well-formed endpoint");
    api.register(text_completions)
        .expect("well-formed endpoint");
    api.register(service_get).expect("well-formed endpoint");
    api.register(service_post).expect("well-formed endpoint");
    api.register(service_put).expect("well-formed endpoint");
    api.register(service_delete).expect("well-formed endpoint");
    api.register(target_announce).expect("well-formed endpoint");
    api.register(target_list).expect("well-formed endpoint");
    api.register(target_drain).expect("well-formed endpoint");
    api.register(route_explain).expect("well-formed endpoint");
    api.register(health_live).expect("well-formed endpoint");
    api.register(health_ready).expect("well-formed endpoint");
    api.register(metrics).expect("well-formed endpoint");
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

/// Runs a caller's request in a span of its own and adds the headers that every answer has.
async fn in_span(
    rqctx: &Context,
    request_id: &str,
    work: impl Future<Output = Result<Response<Body>, Refusal>>,
) -> Answer {
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

async fn complete(rqctx: &Context, prompt: Result<CompletionRequest, Refusal>) -> Answer {
    let id = new_request_id();
    let shared = rqctx.context();
    let headers = rqctx.request.headers();
    in_span(rqctx, &id, completions::serve(shared, &id, headers, prompt)).await
}

/// Ask a model for the next message of a chat
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn chat_completions(rqctx: Context, body: UntypedBody) -> Answer {
    complete(&rqctx, completions::parse_chat(body.as_bytes())).await
}

/// Ask a model to continue a text
#[endpoint { method = POST, path = "/v1/completions" }]
async fn text_completions(rqctx: Context, body: UntypedBody) -> Answer {
    complete(&rqctx, completions::parse_completion(body.as_bytes())).await
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ServicePath {
    /// Name of the service.
    service: Box<str>,
    /// Path within the service.
    path: Vec<Box<str>>,
}

async fn call_service(rqctx: &Context, path: ServicePath, method: Method, body: Bytes) -> Answer {
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

/// Read from a plain service
#[endpoint { method = GET, path = "/svc/{service}/{path:.*}", unpublished = true }]
async fn service_get(rqctx: Context, path: Path<ServicePath>) -> Answer {
    call_service(&rqctx, path.into_inner(), Method::GET, Bytes::new()).await
}

/// Call a plain service
#[endpoint { method = POST, path = "/svc/{service}/{path:.*}", unpublished = true }]
async fn service_post(rqctx: Context, path: Path<ServicePath>, body: UntypedBody) -> Answer {
    let body = Bytes::copy_from_slice(body.as_bytes());
    call_service(&rqctx, path.into_inner(), Method::POST, body).await
}

/// Write to a plain service
#[endpoint { method = PUT, path = "/svc/{service}/{path:.*}", unpublished = true }]
async fn service_put(rqctx: Context, path: Path<ServicePath>, body: UntypedBody) -> Answer {
    let body = Bytes::copy_from_slice(body.as_bytes());
    call_service(&rqctx, path.into_inner(), Method::PUT, body).await
}

/// Delete at a plain service
#[endpoint { method = DELETE, path = "/svc/{service}/{path:.*}", unpublished = true }]
async fn service_delete(rqctx: Context, path: Path<ServicePath>) -> Answer {
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

/// Announce a target, or renew its lease
#[endpoint { method = POST, path = "/v1/targets/announce" }]
async fn target_announce(rqctx: Context, body: UntypedBody) -> Answer {
    let shared = rqctx.context();
    let granted = authorize(&rqctx, &shared.settings.target_token_digests).and_then(|()| {
        let given: Announcement = serde_json::from_slice(body.as_bytes()).map_err(|e| {
            Refusal::not_run(Code::BadRequest, format!("reading the announcement: {e}"))
        })?;
        targets::announce(shared, given)
    });
    handler_response(granted.map(|lease| json_response(200, &lease)))
}

/// A target, as one gate sees it.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct TargetBody {
    /// Canonical name.
    pub name: Box<str>,
    /// Name that it announced.
    pub announced: Box<str>,
    /// Number of its start.
    pub incarnation: u64,
    /// `ready`, `draining`, `lost` or `left`.
    pub condition: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Address.
    pub address: Box<str>,
    /// Gate that holds its lease.
    pub holder: Box<str>,
    /// Model with layers, or service.
    pub role: Box<str>,
}

/// List the targets that this gate knows
#[endpoint { method = GET, path = "/v1/targets" }]
async fn target_list(rqctx: Context) -> Answer {
    handler_response(authorize_operator(&rqctx).map(|()| {
        let view = rqctx.context().view();
        let in_force = rqctx.context().in_force();
        let configuration = in_force.configuration();
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
    /// Name of the target.
    name: Box<str>,
}

#[derive(Debug, JsonSchema, Serialize)]
struct Drained {
    name: Box<str>,
}

/// Drain a target: it gets nothing new and finishes what it has
#[endpoint { method = POST, path = "/v1/drains/{name}" }]
async fn target_drain(rqctx: Context, path: Path<TargetPath>) -> Answer {
    let drained = authorize_operator(&rqctx)
        .and_then(|()| targets::drain(rqctx.context(), &path.into_inner().name));
    handler_response(drained.map(|name| json_response(200, &Drained { name })))
}

#[derive(Debug, Deserialize, JsonSchema)]
struct RouteQuery {
    /// Canonical id of the model.
    model: Box<str>,
}

/// One stage of an explained route.
#[derive(Debug, Deserialize, Serialize)]
pub struct ExplainedStage {
    /// Engine that would run it.
    pub engine: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// First layer and the one after the last.
    pub layers: [u32; 2],
    /// This gate's requests that are running there.
    pub in_flight: u32,
}

/// Explanation of a route.
#[derive(Debug, Deserialize, Serialize)]
pub struct ExplainedRoute {
    /// Way in which it was chosen.
    pub planner: Box<str>,
    /// Stages, from the first layer to the last.
    pub stages: Vec<ExplainedStage>,
}

/// Explain which route a request would take now
#[endpoint { method = GET, path = "/v1/explain/route" }]
async fn route_explain(rqctx: Context, query: Query<RouteQuery>) -> Answer {
    let model = query.into_inner().model;
    handler_response(authorize_operator(&rqctx).and_then(|()| explain(rqctx.context(), &model)))
}

fn explain(shared: &Shared, model: &str) -> Result<Response<Body>, Refusal> {
    let no_route = |what: String| Refusal::not_run(Code::NoRoute, what);
    let mut fleets = shared.fleets();
    let model_fleet = fleets
        .model(model)
        .ok_or_else(|| no_route(format!("no engine holds `{model}`")))?;
    let ask = RouteRequest::new(shared.settings.zone.clone()).with_now(shared.now());
    let route = model_fleet
        .planner
        .choose(&model_fleet.fleet, &ask, &mut rand::rng())
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

/// Tell whether the process runs
#[endpoint { method = GET, path = "/health/live" }]
async fn health_live(_rqctx: Context) -> Answer {
    Ok(bytes_response(200, "text/plain", b"live\n".to_vec()))
}

/// Readiness of a gate.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct Readiness {
    /// Whether the gate takes new requests.
    pub ready: bool,
    /// Revision in force; none before the first configuration.
    pub revision: Option<u64>,
    /// Whether a control instance that hears the leader is linked.
    pub control_current: bool,
    /// Gates that are linked.
    pub linked_gates: usize,
}

/// Tell whether the gate takes new requests, and whether it is cut off
#[endpoint { method = GET, path = "/health/ready" }]
async fn health_ready(rqctx: Context) -> Answer {
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

/// Show the metrics in the text format of Prometheus
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(rqctx: Context) -> Answer {
    let shared = rqctx.context();
    shared
        .metrics
        .under_way
        .set(shared.under_way().get() as i64);
    shared
        .metrics
        .revision
        .set(shared.revision().map_or(0, |revision| revision.0) as i64);
    let body = toucanshelf_runtime::metrics::render(shared.metrics.registry());
    Ok(bytes_response(200, "text/plain; version=0.0.4", body))
}
