//! Format of traces.

use serde::Deserialize;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_gate::settings::PlannerKind;
use toucanshelf_runtime::settings::{SettingsError, parse};

/// What is deployed, who calls when, what fails when and what must come out.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Trace {
    /// What the trace shows.
    pub name: Box<str>,
    /// Control instances.
    #[serde(default = "one")]
    pub controls: usize,
    /// Gates, spread over the zones in turn.
    #[serde(default = "one")]
    pub gates: usize,
    /// Way to choose routes.
    #[serde(default)]
    pub planner: PlannerKind,
    /// Lease of a target, in milliseconds.
    #[serde(default = "default_lease")]
    pub lease_ms: u64,
    /// The model.
    pub model: ModelSpec,
    /// Engines, in groups.
    #[serde(default, rename = "engine")]
    pub engines: Vec<EngineSpec>,
    /// Targets of the plain service `dispatch-app`.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceSpec>,
    /// Who calls when.
    #[serde(default, rename = "load")]
    pub loads: Vec<LoadSpec>,
    /// What fails when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultSpec>,
    /// What must come out.
    #[serde(default)]
    pub expect: Expectation,
}

fn one() -> usize {
    1
}

fn default_lease() -> u64 {
    3_000
}

/// The model of a trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ModelSpec {
    /// Number of layers.
    pub layers: u32,
}

/// A group of equal engines, named `engine-N` in order over all groups.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EngineSpec {
    /// Number of engines.
    #[serde(default = "one")]
    pub count: usize,
    /// Availability zone.
    pub zone: Box<str>,
    /// Layers that each holds.
    pub layers: LayerRange,
    /// Tokens per second over all requests of one engine.
    #[serde(default = "default_rate")]
    pub tokens_per_s: f64,
    /// Time between two tokens of one request, in milliseconds.
    #[serde(default = "default_interval")]
    pub token_interval_ms: u64,
    /// Requests at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// A prompt that contains this text crashes the engine.
    #[serde(default)]
    pub poison: Option<Box<str>>,
}

fn default_rate() -> f64 {
    2_000.0
}

fn default_interval() -> u64 {
    10
}

fn default_slots() -> u32 {
    64
}

/// Targets of the plain service, named `service-N`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceSpec {
    /// Number of targets.
    #[serde(default = "one")]
    pub count: usize,
    /// Availability zone.
    pub zone: Box<str>,
    /// Time that a call takes, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// Requests of one organisation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoadSpec {
    /// Organisation that calls.
    pub organisation: Box<str>,
    /// Share of the organisation relative to others.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// What it asks for.
    pub kind: LoadKind,
    /// Time of the first request, in milliseconds.
    #[serde(default)]
    pub at_ms: u64,
    /// Number of requests; for `clients` the number that each sends at most.
    pub count: usize,
    /// Time between two requests, in milliseconds.
    #[serde(default)]
    pub every_ms: u64,
    /// Callers that each send the next request when the last is answered; 0 sends by time.
    #[serde(default)]
    pub clients: usize,
    /// Time after which such callers send nothing new, in milliseconds.
    #[serde(default)]
    pub duration_ms: u64,
    /// Text of the request; `{n}` stands for its number.
    #[serde(default = "default_prompt")]
    pub prompt: Box<str>,
    /// Most tokens of the answer.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Gate to call; by default each in turn, as a balancer does.
    #[serde(default)]
    pub gate: Option<usize>,
    /// Key of a booking; `{n}` stands for its number.
    #[serde(default = "default_key")]
    pub key: Box<str>,
    /// Times that a booking is sent, each through the next gate.
    #[serde(default = "one")]
    pub sends: usize,
    /// Time between two sends of one booking, in milliseconds.
    #[serde(default)]
    pub resend_after_ms: u64,
    /// Tokens after which the caller hangs up; 0 reads to the end.
    #[serde(default)]
    pub hang_up_after: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_prompt() -> Box<str> {
    "berth {n}".into()
}

fn default_tokens() -> u32 {
    40
}

fn default_key() -> Box<str> {
    "key-{n}".into()
}

/// What a caller asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LoadKind {
    /// A streamed chat completion.
    Chat,
    /// A booking at the plain service, which may not be repeated.
    Booking,
}

/// A fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultSpec {
    /// Time, in milliseconds.
    pub at_ms: u64,
    /// What happens.
    pub kind: FaultKind,
    /// Name of the target, or number of the gate or control instance; for zones the zone.
    pub what: Box<str>,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An engine crashes.
    KillEngine,
    /// An engine freezes.
    FreezeEngine,
    /// A frozen engine goes on.
    ThawEngine,
    /// An engine announces that it is draining.
    DrainEngine,
    /// A crashed engine starts anew under its old name.
    RestartEngine,
    /// All engines of a zone crash.
    KillZone,
    /// A target of the plain service crashes.
    KillService,
    /// A gate crashes.
    KillGate,
    /// A gate is asked to stop.
    StopGate,
    /// A crashed or stopped gate starts anew.
    RestartGate,
    /// A control instance crashes.
    KillControl,
    /// A crashed control instance starts anew.
    RestartControl,
}

/// What must come out. Counts that are not named are not checked.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Expectation {
    /// Requests answered completely.
    pub complete: Option<usize>,
    /// Requests refused as not run.
    pub not_run: Option<usize>,
    /// Idempotent requests that failed.
    pub failed: Option<usize>,
    /// Requests of unknown fate.
    pub unknown: Option<usize>,
    /// Requests whose connection to the gate broke.
    pub cut_off: Option<usize>,
    /// Requests that the caller cancelled.
    pub hung_up: Option<usize>,
    /// Runs of bookings over all targets.
    pub bookings_run: Option<usize>,
    /// Runs of bookings over all targets, at most.
    pub bookings_run_max: Option<usize>,
    /// Engines that crashed by a poisonous prompt, at most.
    pub engines_crashed_max: Option<usize>,
    /// Requests still running at engines at the end.
    pub left_running: Option<u32>,
    /// Organisations that must have every request answered.
    pub complete_organisations: Vec<Box<str>>,
}

impl Trace {
    /// Reads a trace; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Fails with line and key when the text is no trace.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        parse(file, text)
    }

    /// Zones of the engines, services and gates, in order.
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
