//! Format of trace files.
//!
//! A trace describes a deployment, the load of requests, the faults to inject and the expected
//! results. The deployment has engines, which serve one model, and targets of a plain service,
//! which runs no model. A booking is a `POST` to the plain service that must not be executed twice.

use serde::Deserialize;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_gate::settings::PlannerKind;
use toucanshelf_runtime::settings::{SettingsError, parse};

/// A deployment with its load, the faults to inject and the expected results.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Trace {
    /// Name of the trace, which appears in the results.
    pub name: Box<str>,
    /// Number of control instances.
    #[serde(default = "one")]
    pub controls: usize,
    /// Number of gates, which are assigned to the zones in turn.
    #[serde(default = "one")]
    pub gates: usize,
    /// Planner that chooses the engines for each request.
    #[serde(default)]
    pub planner: PlannerKind,
    /// Duration of a target's lease, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Model that the engines serve.
    pub model: ModelSpec,
    /// Groups of engines with equal settings.
    #[serde(default, rename = "engine")]
    pub engines: Vec<EngineSpec>,
    /// Groups of targets of the service `dispatch-app`, which runs no model.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceSpec>,
    /// Loads that callers generate.
    #[serde(default, rename = "load")]
    pub loads: Vec<LoadSpec>,
    /// Faults to inject into the deployment during the replay.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultSpec>,
    /// Expected results of the replay.
    #[serde(default)]
    pub expect: Expectation,
}

fn one() -> usize {
    1
}

fn default_lease_ms() -> u64 {
    3_000
}

/// Model that the engines of a trace serve.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ModelSpec {
    /// Number of layers of the model.
    pub layers: u32,
}

/// A group of engines with equal settings.
///
/// Engines are named `engine-N`; N starts at 1 and counts on over all groups.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EngineSpec {
    /// Number of engines in the group.
    #[serde(default = "one")]
    pub count: usize,
    /// Availability zone of the engines in the group.
    pub zone: Box<str>,
    /// Layers of the model that each engine holds.
    pub layers: LayerRange,
    /// Throughput of each engine over all its requests, in tokens per second.
    #[serde(default = "default_tokens_per_s")]
    pub tokens_per_s: f64,
    /// Time between two tokens of the same request, in milliseconds.
    #[serde(default = "default_token_interval_ms")]
    pub token_interval_ms: u64,
    /// Maximum number of concurrent requests of each engine.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Text that crashes the engine if a prompt contains it.
    #[serde(default)]
    pub poison: Option<Box<str>>,
}

fn default_tokens_per_s() -> f64 {
    2_000.0
}

fn default_token_interval_ms() -> u64 {
    10
}

fn default_slots() -> u32 {
    64
}

/// A group of targets of the plain service.
///
/// Targets are named `service-N`; N starts at 1 and counts on over all groups.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceSpec {
    /// Number of targets in the group.
    #[serde(default = "one")]
    pub count: usize,
    /// Availability zone of the targets in the group.
    pub zone: Box<str>,
    /// Execution time of each request, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// A load of requests from one organisation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoadSpec {
    /// Organisation that sends the requests.
    pub organisation: Box<str>,
    /// Weight of the organisation in admission control, relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Whether the load consists of chat completions or non-idempotent `POST` requests.
    pub kind: LoadKind,
    /// Start of the load, in milliseconds after the start of the replay.
    #[serde(default)]
    pub at_ms: u64,
    /// Number of requests, or the maximum number per client if `clients` is set.
    pub count: usize,
    /// Time between two requests if `clients` is 0, in milliseconds.
    #[serde(default)]
    pub every_ms: u64,
    /// Number of concurrent clients, or 0 to send requests on a schedule.
    ///
    /// Each client sends its next request after the response to its last one.
    #[serde(default)]
    pub clients: usize,
    /// Time after the start of the load when clients stop sending, in milliseconds.
    ///
    /// The throughput is measured in a window that is computed from the latest end of all loads.
    #[serde(default)]
    pub duration_ms: u64,
    /// Text of each request, in which `{n}` is replaced by the request's number.
    #[serde(default = "default_prompt")]
    pub prompt: Box<str>,
    /// Maximum number of tokens in each response.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Index of the gate to call.
    ///
    /// By default, requests go to the gates in turn, as a load balancer sends them.
    #[serde(default)]
    pub gate: Option<usize>,
    /// Idempotency key of each request, in which `{n}` is replaced by the request's number.
    #[serde(default = "default_key")]
    pub key: Box<str>,
    /// Number of times that each non-idempotent `POST` is sent.
    ///
    /// Each time it goes to the next gate.
    #[serde(default = "one")]
    pub sends: usize,
    /// Time to wait before a non-idempotent `POST` is sent again, in milliseconds.
    #[serde(default)]
    pub resend_after_ms: u64,
    /// Number of tokens after which the caller disconnects; 0 reads the whole response.
    #[serde(default)]
    pub hang_up_after: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_prompt() -> Box<str> {
    "berth {n}".into()
}

fn default_max_tokens() -> u32 {
    40
}

fn default_key() -> Box<str> {
    "key-{n}".into()
}

/// Kind of the requests in a load.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LoadKind {
    /// A streamed chat completion.
    Chat,
    /// A booking: a `POST` to the plain service that must not be executed twice.
    Booking,
}

/// A fault to inject into the deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultSpec {
    /// Time of the fault, in milliseconds after the start of the replay.
    pub at_ms: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Component that the fault affects.
    ///
    /// This is the name of a target or zone, or the index of a gate or control instance. For
    /// [`FaultKind::KillControl`], `leader` means the leading control instance.
    pub what: Box<str>,
}

/// Kind of a fault.
///
/// A fault is a failure, shutdown, draining or recovery of a component.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An engine crashes.
    KillEngine,
    /// An engine freezes.
    FreezeEngine,
    /// A frozen engine resumes.
    ThawEngine,
    /// An engine announces that it is draining.
    DrainEngine,
    /// A crashed engine restarts under the same name.
    RestartEngine,
    /// All engines in an availability zone crash.
    KillZone,
    /// A target of the plain service crashes.
    KillService,
    /// A gate crashes.
    KillGate,
    /// A gate shuts down gracefully.
    StopGate,
    /// A crashed or stopped gate restarts.
    RestartGate,
    /// A control instance crashes.
    KillControl,
    /// A crashed control instance restarts with its existing data folder.
    RestartControl,
}

/// Expected results of a trace; fields that are not set are not checked.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Expectation {
    /// Expected number of requests with a complete response.
    pub complete: Option<usize>,
    /// Expected number of requests that are rejected and not executed.
    pub not_run: Option<usize>,
    /// Expected number of idempotent requests that fail.
    pub failed: Option<usize>,
    /// Expected number of requests that may or may not have been executed.
    pub unknown: Option<usize>,
    /// Expected number of requests whose connection to the gate breaks.
    pub cut_off: Option<usize>,
    /// Expected number of requests that the caller cancels by disconnecting.
    pub hung_up: Option<usize>,
    /// Expected number of executions of non-idempotent `POST` requests at all targets.
    pub bookings_run: Option<usize>,
    /// Maximum number of executions of non-idempotent `POST` requests at all targets.
    pub bookings_run_max: Option<usize>,
    /// Maximum number of engines that are crashed by a prompt.
    pub engines_crashed_max: Option<usize>,
    /// Expected number of requests in flight at engines after the replay.
    pub left_running: Option<u32>,
    /// Organisations whose requests must all have a complete response.
    pub complete_organisations: Vec<Box<str>>,
}

impl Trace {
    /// Parses the text of a trace file; `file` is its name for error messages.
    ///
    /// # Errors
    ///
    /// Returns an error with the line and key if the text isn't a valid trace.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        parse(file, text)
    }

    /// Returns the sorted availability zones of the engines.
    ///
    /// Gates and control instances are assigned to these zones. A trace without engines has the
    /// single zone `a`.
    pub fn zones(&self) -> Vec<Box<str>> {
        let mut zones: Vec<_> = self
            .engines
            .iter()
            .map(|engine| engine.zone.clone())
            .collect();
        zones.sort_unstable();
        zones.dedup();
        if zones.is_empty() {
            zones.push("a".into());
        }
        zones
    }
}
