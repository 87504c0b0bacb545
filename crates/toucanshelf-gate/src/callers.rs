//! Authentication of callers and the deadlines of their requests.

use http::HeaderMap;
use toucanshelf_core::configuration::Configuration;
use toucanshelf_core::document::{Object, ObjectKind};
use toucanshelf_core::outcome::{Code, Refusal};
use toucanshelf_runtime::credentials;

use crate::shared::Shared;

/// Header with the time until the deadline of a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Maximum time until the deadline of a request, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// An authenticated caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Canonical id of the caller's organisation.
    pub organisation: Box<str>,
    /// Weight of the organisation in admission control, relative to other organisations.
    pub weight: u32,
}

/// Authenticates a caller by the bearer token in the headers.
///
/// # Errors
///
/// Fails if the gate is not ready or the token belongs to no organisation.
pub fn authenticate(shared: &Shared, headers: &HeaderMap) -> Result<Caller, Refusal> {
    if shared.is_stopping() {
        let refusal = Refusal::not_run(Code::NotReady, "this gate is stopping");
        return Err(refusal.with_retry_after(1));
    }
    if shared.revision().is_none() {
        let refusal = Refusal::not_run(Code::NotReady, "this gate has no configuration yet");
        return Err(refusal.with_retry_after(1));
    }
    let active = shared.active_configuration();
    find_caller(active.configuration(), headers)
        .ok_or_else(|| Refusal::not_run(Code::Unauthorized, "a known bearer token is needed"))
}

fn find_caller(configuration: &Configuration, headers: &HeaderMap) -> Option<Caller> {
    let given = credentials::bearer_digest(headers)?;
    let mut found = None;
    // The loop compares every token, so that its duration does not reveal the position of a match.
    for object in configuration.objects(ObjectKind::Organisation) {
        let Object::Organisation(organisation) = object else {
            continue;
        };
        for digest in &organisation.token_digests {
            if digest.matches(&given) {
                let (id, weight) = (organisation.id.clone(), organisation.weight);
                found = Some(Caller {
                    organisation: id,
                    weight,
                });
            }
        }
    }
    found
}

/// Returns the deadline of a request, in milliseconds of the gate's clock.
///
/// # Errors
///
/// Fails if the deadline header is not a whole number or the deadline has already passed.
pub fn deadline(shared: &Shared, headers: &HeaderMap) -> Result<u64, Refusal> {
    let now = shared.now();
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(now + shared.settings.deadline_ms);
    };
    let number = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<i64>().ok());
    match number {
        None => {
            let detail = format!("{DEADLINE_HEADER} must be a whole number of milliseconds");
            Err(Refusal::not_run(Code::BadRequest, detail))
        }
        Some(ms) if ms <= 0 => Err(Refusal::not_run(
            Code::DeadlinePassed,
            "the deadline has passed already",
        )),
        Some(ms) => Ok(now + (ms as u64).min(MAX_DEADLINE_MS)),
    }
}
