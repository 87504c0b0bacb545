//! HTTP API through which operators submit tickets and query a control instance.
//!
//! A ticket is an operator's numbered change of the configuration, and its verdict is the decision
//! whether the change was applied. The revision is the number of changes applied so far.

use std::sync::Arc;

use dropshot::{ApiDescription, Path, Query, StubContext, UntypedBody};
use prometheus::{IntGauge, Registry};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::Instant;
use toucanshelf_core::document::ObjectKind;
use toucanshelf_core::ids::TicketNumber;
use toucanshelf_core::outcome::{Code, Refusal};
use toucanshelf_core::state::{CommandBody, Reply};
use toucanshelf_core::ticket::{MAX_TICKET_BYTES, Ticket, TicketRecord, Verdict};
use toucanshelf_link::frame::SubmitError;
use toucanshelf_runtime::api::{Api, ApiRequest, ApiServer, HandlerResult};
use toucanshelf_runtime::body::BodyLimits;
use toucanshelf_runtime::connections::{Connections, share_of_descriptors};
use toucanshelf_runtime::http::{bytes_response, json_response};
use toucanshelf_runtime::{credentials, endpoint};

use crate::{BODY_IDLE_TIMEOUT, BODY_TIMEOUT, Shared};

/// Maximum number of tickets in one response of the ticket list.
const MAX_LISTED_TICKETS: usize = 1_000;
/// Maximum number of connections of operators and of those that read the metrics.
const MAX_OPERATOR_CONNECTIONS: usize = 64;
/// Descriptors of the process for each such connection.
const OPERATORS_DIVISOR: usize = 16;

type Request = ApiRequest<Arc<Shared>>;

/// Returns the description of the operators' API.
///
/// # Panics
///
/// Panics when an endpoint is malformed; a test guards against this.
pub fn description() -> ApiDescription<StubContext> {
    api().into_description()
}

/// Returns the endpoints of the operators' API.
fn api() -> Api<Arc<Shared>> {
    type Ticket = (Path<TicketPath>,);
    type PutTicket = (Path<TicketPath>, UntypedBody);
    type Name = (Path<NamePath>,);
    let mut api = Api::new();
    api.register(
        endpoint!(PUT "/v1/tickets/{number}", "ticket_put", PutTicket)
            .summary("Submit a ticket")
            .description(
                "The body is the ticket in TOML format. Sending an unchanged ticket again returns the \
                 first verdict again.",
            ),
        submit_ticket,
    );
    api.register(
        endpoint!(GET "/v1/tickets/{number}", "ticket_get", Ticket)
            .summary("Get the verdict on a ticket"),
        lookup_ticket,
    );
    api.register(
        endpoint!(GET "/v1/tickets", "ticket_list", (Query<ListQuery>,))
            .summary("List tickets in ascending order of their numbers"),
        list_tickets,
    );
    api.register(
        endpoint!(GET "/v1/status", "status_get", ())
            .summary("Get the leader, the applied revision and the linked gates"),
        get_status,
    );
    api.register(
        endpoint!(GET "/v1/names/{kind}/{name}", "name_resolve", Name).summary("Resolve a name"),
        resolve_name,
    );
    api.register(
        endpoint!(GET "/v1/objects/{kind}", "object_list", (Path<KindPath>,))
            .summary("List the objects of one kind"),
        list_objects,
    );
    api.register(
        endpoint!(GET "/health/live", "health_live", ())
            .summary("Check whether the process is running"),
        health_live,
    );
    api.register(
        endpoint!(GET "/health/ready", "health_ready", ()).summary(
            "Check whether the instance follows a known leader, or leads with a valid lease",
        ),
        health_ready,
    );
    api.register(
        endpoint!(GET "/metrics", "metrics", ())
            .summary("Get the metrics in the Prometheus text format"),
        metrics,
    );
    api
}

/// Serves the operators' API on `listener`.
pub(crate) fn serve(shared: &Arc<Shared>, listener: TcpListener) -> Result<ApiServer, Box<str>> {
    let max = share_of_descriptors(OPERATORS_DIVISOR, MAX_OPERATOR_CONNECTIONS);
    let connections = Connections::new(max);
    ApiServer::start(api(), Arc::clone(shared), listener, connections)
}

fn authorize(req: &Request) -> Result<(), Refusal> {
    let allowed = &req.context().settings.operator_token_digests;
    if credentials::is_allowed(req.headers(), allowed) {
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
#[expect(dead_code, reason = "the type describes the parameter")]
struct TicketPath {
    /// Number of the ticket.
    number: u64,
}

/// Parses the number of a ticket in the path.
fn ticket_number(req: &Request) -> Result<TicketNumber, Refusal> {
    let number = req.variable("number").parse().map(TicketNumber);
    number.map_err(|e| Refusal::not_run(Code::BadRequest, format!("reading the number: {e}")))
}

async fn submit_ticket(mut req: Request) -> HandlerResult {
    authorize(&req)?;
    let number = ticket_number(&req)?;
    let shared = Arc::clone(req.context());
    let limits = BodyLimits {
        max_bytes: MAX_TICKET_BYTES,
        idle_timeout: BODY_IDLE_TIMEOUT,
        due: Instant::now() + BODY_TIMEOUT,
    };
    let body = req.read_body(&shared.bodies, limits, "tickets").await?;
    let text = std::str::from_utf8(&body)
        .map_err(|e| Refusal::not_run(Code::BadRequest, format!("reading the ticket: {e}")))?;
    let ticket = Ticket::parse(text).map_err(|e| Refusal::not_run(Code::Invalid, e.to_string()))?;
    if ticket.number != number {
        let message = format!(
            "the ticket's number is {}, but {number} was asked for",
            ticket.number
        );
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    let operator = ticket.operator.clone();
    let reply = shared
        .submit(CommandBody::Ticket(Box::new(ticket)), true)
        .await;
    let verdict = match reply.map_err(|e| submit_refusal(&e))? {
        Reply::Verdict(verdict) => verdict,
        other => return Err(unexpected_reply(&other)),
    };
    tracing::info!(event = "TS2401", ticket = number.0, %operator, verdict = ?verdict, "ticket processed");
    let status = match verdict {
        Verdict::Applied { .. } => 200,
        Verdict::Superseded { .. } | Verdict::Conflict { .. } => 409,
        Verdict::Invalid { .. } => 422,
    };
    Ok(json_response(status, &verdict))
}

fn unexpected_reply(reply: &Reply) -> Refusal {
    Refusal::not_run(Code::ProtocolBroken, format!("unexpected answer {reply:?}"))
}

async fn lookup_ticket(req: Request) -> HandlerResult {
    authorize(&req)?;
    let number = ticket_number(&req)?;
    let local = req.context().driver.state().ticket(number).cloned();
    if let Some(record) = local {
        return Ok(json_response(200, &record));
    }
    // This instance may lag behind the leader, so only a read through the replicated log can show
    // that the ticket has no verdict.
    let reply = req
        .context()
        .submit(CommandBody::Lookup { number }, true)
        .await;
    match reply.map_err(|e| submit_refusal(&e))? {
        Reply::Ticket(Some(record)) => Ok(json_response(200, &record)),
        Reply::Ticket(None) => {
            let message = format!("no ticket {number} has a verdict; it may be sent");
            Err(Refusal::not_run(Code::UnknownTicket, message))
        }
        other => Err(unexpected_reply(&other)),
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ListQuery {
    /// Only tickets with a number higher than this are returned.
    #[serde(default)]
    after: u64,
}

async fn list_tickets(req: Request) -> HandlerResult {
    authorize(&req)?;
    let after = TicketNumber(req.query::<ListQuery>()?.after);
    let state = req.context().driver.state();
    let later = state.tickets().filter(|record| record.number > after);
    let records: Vec<&TicketRecord> = later.take(MAX_LISTED_TICKETS).collect();
    Ok(json_response(200, &records))
}

/// Status of a control instance.
#[derive(Debug, Deserialize, Serialize)]
pub struct StatusBody {
    /// Name of the control instance.
    pub name: Box<str>,
    /// Availability zone of the control instance.
    pub zone: Box<str>,
    /// Id of the instance's replica of the replicated log.
    pub replica: u64,
    /// Id of the replica that leads the replicated log, if known.
    pub leader: Option<u64>,
    /// Election term that the instance's replica is in.
    pub term: u64,
    /// Index of the last committed entry of the replicated log.
    pub commit: u64,
    /// Whether the instance had a leader in the last 1.5 seconds.
    ///
    /// It counts as having one if it follows a known leader, or leads with a valid lease.
    pub current: bool,
    /// Revision of the configuration that the instance has applied.
    pub revision: u64,
    /// Ids of the replicas that vote.
    pub voters: Vec<u64>,
    /// Ids of the learners, which are replicas that receive the log without voting.
    pub learners: Vec<u64>,
    /// Number of stored claims; a claim lets a non-idempotent call run at most once.
    pub claims: usize,
    /// Gates that are linked to the instance or were within the last minute.
    pub gates: Vec<GateStatus>,
}

/// Status of a gate, as known to one control instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GateStatus {
    /// Name of the gate.
    pub name: Box<str>,
    /// Availability zone of the gate.
    pub zone: Box<str>,
    /// Revision of the configuration that the gate last reported to be using.
    pub revision: u64,
    /// Whether the link to the gate is open.
    pub connected: bool,
}

async fn get_status(req: Request) -> HandlerResult {
    authorize(&req)?;
    Ok(json_response(200, &status_body(req.context())))
}

fn status_body(shared: &Shared) -> StatusBody {
    let status = shared.driver.status();
    let gates = shared
        .sessions
        .gates()
        .into_iter()
        .map(|(name, gate)| GateStatus {
            name,
            zone: gate.zone,
            revision: gate.revision.0,
            connected: gate.connected,
        });
    let state = shared.driver.state();
    StatusBody {
        name: shared.settings.name.clone(),
        zone: shared.settings.zone.clone(),
        replica: shared.driver.replica().0,
        leader: status.leader.map(|id| id.0),
        term: status.term.0,
        commit: status.commit.0,
        current: status.current,
        revision: state.configuration().revision().0,
        voters: status.membership.voters.iter().map(|id| id.0).collect(),
        learners: status.membership.learners.iter().map(|id| id.0).collect(),
        claims: state.claims().len(),
        gates: gates.collect(),
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
#[expect(dead_code, reason = "the type describes the parameters")]
struct NamePath {
    /// Kind of the configuration object: `scheme`, `organisation`, `service`, `model`, `engine`,
    /// `placement` or `permission`.
    kind: Box<str>,
    /// Name of the object, plain or as `scheme:name`.
    name: Box<str>,
}

fn parse_kind(text: &str) -> Result<ObjectKind, Refusal> {
    let value = serde_json::Value::String(text.to_owned());
    serde_json::from_value(value)
        .map_err(|_| Refusal::not_run(Code::BadRequest, format!("`{text}` is no kind of object")))
}

async fn resolve_name(req: Request) -> HandlerResult {
    authorize(&req)?;
    let kind = parse_kind(req.variable("kind"))?;
    let name = req.variable("name");
    let state = req.context().driver.state();
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
#[expect(dead_code, reason = "the type describes the parameter")]
struct KindPath {
    /// Kind of the configuration objects: `scheme`, `organisation`, `service`, `model`, `engine`,
    /// `placement` or `permission`.
    kind: Box<str>,
}

async fn list_objects(req: Request) -> HandlerResult {
    authorize(&req)?;
    let kind = parse_kind(req.variable("kind"))?;
    let state = req.context().driver.state();
    let objects: Vec<_> = state.configuration().objects(kind).collect();
    Ok(json_response(200, &objects))
}

async fn health_live(_req: Request) -> HandlerResult {
    Ok(bytes_response(200, "text/plain", b"live\n".to_vec()))
}

async fn health_ready(req: Request) -> HandlerResult {
    if req.context().driver.status().current {
        return Ok(bytes_response(200, "text/plain", b"ready\n".to_vec()));
    }
    let message = "no leader with a quorum can be reached";
    Err(Refusal::not_run(Code::NoQuorum, message))
}

async fn metrics(req: Request) -> HandlerResult {
    let status = status_body(req.context());
    let registry = Registry::new();
    let gauge = |name: &str, help: &str, value: u64| {
        let gauge = IntGauge::new(name, help).expect("the metric name is valid");
        gauge.set(value as i64);
        registry
            .register(Box::new(gauge))
            .expect("metric names are unique");
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
    gauge(
        "toucanshelf_control_suspended",
        "1 while its store fails, so that it takes no part in the log.",
        u64::from(req.context().driver.status().suspended),
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
