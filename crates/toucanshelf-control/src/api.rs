//! HTTP interface for operators.

use std::sync::Arc;

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpServer, Path, Query, RequestContext, ServerBuilder,
    UntypedBody, endpoint,
};
use http::Response;
use prometheus::{IntGauge, Registry};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use toucanshelf_core::document::ObjectKind;
use toucanshelf_core::ids::TicketNumber;
use toucanshelf_core::outcome::{Code, Refusal};
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_core::ticket::{MAX_TICKET_BYTES, Ticket, TicketRecord, Verdict};
use toucanshelf_link::frame::SubmitError;
use toucanshelf_runtime::credentials;
use toucanshelf_runtime::http::{
    ApiError, bytes_response, handler_response, json_response, refusal_response,
};
use toucanshelf_runtime::logs::slog_bridge;

use crate::Parts;

/// Most tickets in one listing.
const MAX_LISTED: usize = 1_000;

type Context = RequestContext<Arc<Parts>>;
type Answer = Result<Response<Body>, ApiError>;

/// Description of the interface.
///
/// # Panics
///
/// Panics when an endpoint is malformed, which tests find.
pub fn description() -> ApiDescription<Arc<Parts>> {
    let mut api = ApiDescription::new();
    api.register(ticket_put).expect("well-formed endpoint");
    api.register(ticket_get).expect("well-formed endpoint");
    api.register(ticket_list).expect("well-formed endpoint");
    api.register(status_get).expect("well-formed endpoint");
    api.register(name_resolve).expect("well-formed endpoint");
    api.register(object_list).expect("well-formed endpoint");
    api.register(health_live).expect("well-formed endpoint");
    api.register(health_ready).expect("well-formed endpoint");
    api.register(metrics).expect("well-formed endpoint");
    api
}

pub(crate) fn serve(parts: &Arc<Parts>) -> Result<HttpServer<Arc<Parts>>, Box<str>> {
    let listen = parts.settings.listen;
    let config = ConfigDropshot {
        bind_address: listen,
        default_request_body_max_bytes: MAX_TICKET_BYTES,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(description(), Arc::clone(parts), slog_bridge())
        .config(config)
        .start()
        .map_err(|e| format!("listening on {listen}: {e}").into())
}

fn authorize(rqctx: &Context) -> Result<(), Refusal> {
    let allowed = &rqctx.context().settings.operator_token_digests;
    if credentials::is_allowed(rqctx.request.headers(), allowed) {
        return Ok(());
    }
    Err(Refusal::not_run(
        Code::Unauthorized,
        "an operator's bearer token is needed",
    ))
}

fn submit_refusal(error: &SubmitError) -> Refusal {
    match error {
        SubmitError::NotTaken(_) => Refusal::not_run(Code::NoQuorum, error.to_string()),
        SubmitError::Unknown(_) => Refusal::new(
            toucanshelf_core::outcome::Outcome::Unknown,
            Code::NoQuorum,
            format!("{error}; ask for the ticket's verdict, or send it again unchanged"),
        ),
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
struct TicketPath {
    /// Number of the ticket.
    number: u64,
}

/// Submit a ticket
///
/// The body is the ticket as TOML. Sending it again unchanged gets the first answer again.
#[endpoint { method = PUT, path = "/v1/tickets/{number}" }]
async fn ticket_put(rqctx: Context, path: Path<TicketPath>, body: UntypedBody) -> Answer {
    handler_response(submit_ticket(&rqctx, path.into_inner().number, &body).await)
}

async fn submit_ticket(
    rqctx: &Context,
    number: u64,
    body: &UntypedBody,
) -> Result<Response<Body>, Refusal> {
    authorize(rqctx)?;
    let text = std::str::from_utf8(body.as_bytes())
        .map_err(|e| Refusal::not_run(Code::BadRequest, format!("reading the ticket: {e}")))?;
    let ticket = Ticket::parse(text).map_err(|e| Refusal::not_run(Code::Invalid, e.to_string()))?;
    if ticket.number != TicketNumber(number) {
        let what = format!(
            "the ticket's number is {}, but {number} was asked for",
            ticket.number
        );
        return Err(Refusal::not_run(Code::BadRequest, what));
    }
    let operator = ticket.operator.clone();
    let reply = rqctx
        .context()
        .submit(CommandBody::Ticket(Box::new(ticket)), true)
        .await;
    let verdict = match reply.map_err(|e| submit_refusal(&e))? {
        Reply::Verdict(verdict) => verdict,
        other => return Err(unexpected(&other)),
    };
    tracing::info!(event = "TS2401", ticket = number, %operator, verdict = ?verdict, "ticket");
    let status = match verdict {
        Verdict::Applied { .. } => 200,
        Verdict::Superseded { .. } | Verdict::Conflict { .. } => 409,
        Verdict::Invalid { .. } => 422,
    };
    Ok(json_response(status, &verdict))
}

fn unexpected(reply: &Reply) -> Refusal {
    Refusal::not_run(Code::ProtocolBroken, format!("unexpected answer {reply:?}"))
}

/// Show the verdict on a ticket
#[endpoint { method = GET, path = "/v1/tickets/{number}" }]
async fn ticket_get(rqctx: Context, path: Path<TicketPath>) -> Answer {
    let number = TicketNumber(path.into_inner().number);
    handler_response(lookup(&rqctx, number).await)
}

async fn lookup(rqctx: &Context, number: TicketNumber) -> Result<Response<Body>, Refusal> {
    authorize(rqctx)?;
    let local = rqctx.context().driver.state().ticket(number).cloned();
    if let Some(record) = local {
        return Ok(json_response(200, &record));
    }
    // This instance may lag; only the log's order tells that there is no verdict.
    let reply = rqctx
        .context()
        .submit(CommandBody::Lookup { number }, true)
        .await;
    match reply.map_err(|e| submit_refusal(&e))? {
        Reply::Ticket(Some(record)) => Ok(json_response(200, &record)),
        Reply::Ticket(None) => {
            let what = format!("no ticket {number} has a verdict; it may be sent");
            Err(Refusal::not_run(Code::UnknownTicket, what))
        }
        other => Err(unexpected(&other)),
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ListQuery {
    /// Only tickets with a greater number.
    #[serde(default)]
    after: u64,
}

/// List tickets in order of their numbers
#[endpoint { method = GET, path = "/v1/tickets" }]
async fn ticket_list(rqctx: Context, query: Query<ListQuery>) -> Answer {
    let after = TicketNumber(query.into_inner().after);
    handler_response(authorize(&rqctx).map(|()| {
        let state = rqctx.context().driver.state();
        let later = state.tickets().filter(|record| record.number > after);
        let records: Vec<&TicketRecord> = later.take(MAX_LISTED).collect();
        json_response(200, &records)
    }))
}

/// Standing of a control instance.
#[derive(Debug, Deserialize, Serialize)]
pub struct StatusBody {
    /// Name of the instance.
    pub name: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Identity of its replica.
    pub replica: u64,
    /// Leader's replica.
    pub leader: Option<u64>,
    /// Current term.
    pub term: u64,
    /// Last committed index.
    pub commit: u64,
    /// Whether it hears the leader, or leads with a lease.
    pub current: bool,
    /// Revision in force here.
    pub revision: u64,
    /// Voters.
    pub voters: Vec<u64>,
    /// Replicas without a vote.
    pub learners: Vec<u64>,
    /// Claims kept.
    pub claims: usize,
    /// Gates linked to this instance.
    pub gates: Vec<GateStatus>,
}

/// Standing of a gate, as one control instance sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GateStatus {
    /// Name of the gate.
    pub name: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Revision in force there.
    pub revision: u64,
    /// Whether its link is open.
    pub connected: bool,
}

/// Show who leads, the revision in force and the gates
#[endpoint { method = GET, path = "/v1/status" }]
async fn status_get(rqctx: Context) -> Answer {
    handler_response(authorize(&rqctx).map(|()| json_response(200, &status_body(rqctx.context()))))
}

fn status_body(parts: &Parts) -> StatusBody {
    let standing = parts.driver.standing();
    let gates = parts
        .sessions
        .gates()
        .into_iter()
        .map(|(name, gate)| GateStatus {
            name,
            zone: gate.zone,
            revision: gate.revision.0,
            connected: gate.connected,
        });
    let state = parts.driver.state();
    StatusBody {
        name: parts.settings.name.clone(),
        zone: parts.settings.zone.clone(),
        replica: parts.driver.replica().0,
        leader: standing.leader.map(|id| id.0),
        term: standing.term.0,
        commit: standing.commit.0,
        current: standing.current,
        revision: state.configuration().revision().0,
        voters: standing.membership.voters.iter().map(|id| id.0).collect(),
        learners: standing.membership.learners.iter().map(|id| id.0).collect(),
        claims: state.claims().len(),
        gates: gates.collect(),
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
struct NamePath {
    /// Kind of the object: organisation, model or engine.
    kind: Box<str>,
    /// Name, bare or as `scheme:name`.
    name: Box<str>,
}

fn parse_kind(text: &str) -> Result<ObjectKind, Refusal> {
    let value = serde_json::Value::String(text.to_owned());
    serde_json::from_value(value)
        .map_err(|_| Refusal::not_run(Code::BadRequest, format!("`{text}` is no kind of object")))
}

/// Resolve a name
#[endpoint { method = GET, path = "/v1/names/{kind}/{name}" }]
async fn name_resolve(rqctx: Context, path: Path<NamePath>) -> Answer {
    let NamePath { kind, name } = path.into_inner();
    handler_response(resolve(&rqctx, &kind, &name))
}

fn resolve(rqctx: &Context, kind: &str, name: &str) -> Result<Response<Body>, Refusal> {
    authorize(rqctx)?;
    let kind = parse_kind(kind)?;
    let state = rqctx.context().driver.state();
    let configuration = state.configuration();
    let id = configuration.resolve(kind, name).map_err(|e| {
        let code = if e.candidates().is_empty() {
            Code::UnknownName
        } else {
            Code::AmbiguousName
        };
        Refusal::not_run(code, e.to_string()).with_candidates(e.candidates())
    })?;
    let key = toucanshelf_core::document::ObjectKey::new(kind, id);
    Ok(json_response(200, &configuration.get(&key)))
}

#[derive(Debug, Deserialize, JsonSchema)]
struct KindPath {
    /// Kind of object.
    kind: Box<str>,
}

/// List the objects of one kind
#[endpoint { method = GET, path = "/v1/objects/{kind}" }]
async fn object_list(rqctx: Context, path: Path<KindPath>) -> Answer {
    let listed = authorize(&rqctx).and_then(|()| parse_kind(&path.into_inner().kind));
    handler_response(listed.map(|kind| {
        let state = rqctx.context().driver.state();
        let objects: Vec<_> = state.configuration().objects(kind).collect();
        json_response(200, &objects)
    }))
}

/// Tell whether the process runs
#[endpoint { method = GET, path = "/health/live" }]
async fn health_live(_rqctx: Context) -> Answer {
    Ok(bytes_response(200, "text/plain", b"live\n".to_vec()))
}

/// Tell whether the instance hears the leader, or leads with a lease
#[endpoint { method = GET, path = "/health/ready" }]
async fn health_ready(rqctx: Context) -> Answer {
    if rqctx.context().driver.standing().current {
        return Ok(bytes_response(200, "text/plain", b"ready\n".to_vec()));
    }
    let what = "no leader with a quorum can be reached";
    Ok(refusal_response(&Refusal::not_run(Code::NoQuorum, what)))
}

/// Show the metrics in the text format of Prometheus
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(rqctx: Context) -> Answer {
    let status = status_body(rqctx.context());
    let registry = Registry::new();
    let gauge = |name: &str, help: &str, value: u64| {
        let gauge = IntGauge::new(name, help).expect("valid metric name");
        gauge.set(value as i64);
        registry
            .register(Box::new(gauge))
            .expect("metric names differ");
    };
    let leads = status.leader == Some(status.replica);
    gauge(
        "toucanshelf_control_leads",
        "1 where this instance leads.",
        u64::from(leads),
    );
    gauge(
        "toucanshelf_control_current",
        "1 where it hears a leader.",
        u64::from(status.current),
    );
    gauge("toucanshelf_control_term", "Election term.", status.term);
    gauge(
        "toucanshelf_control_commit_index",
        "Last committed index.",
        status.commit,
    );
    gauge(
        "toucanshelf_control_revision",
        "Revision in force.",
        status.revision,
    );
    gauge(
        "toucanshelf_control_voters",
        "Number of voters.",
        status.voters.len() as u64,
    );
    gauge(
        "toucanshelf_control_claims",
        "Claims kept.",
        status.claims as u64,
    );
    let connected = status.gates.iter().filter(|gate| gate.connected);
    gauge(
        "toucanshelf_control_gates",
        "Gates linked.",
        connected.clone().count() as u64,
    );
    let lag = connected
        .map(|gate| status.revision.saturating_sub(gate.revision))
        .max();
    gauge(
        "toucanshelf_control_gate_lag",
        "Revisions of the slowest gate.",
        lag.unwrap_or(0),
    );
    let body = toucanshelf_runtime::metrics::render(&registry);
    Ok(bytes_response(200, "text/plain; version=0.0.4", body))
}
