//! `toucanctl drain TARGET`: drains a target.
//!
//! A draining target finishes its requests in flight and gets no new ones.

use getopts::Options;
use http::Method;
use serde::{Deserialize, Serialize};

use crate::{CommandError, Invocation};

/// Response of a gate to a drain request.
#[derive(Deserialize, Serialize)]
struct Drained {
    name: Box<str>,
}

/// Declares no options, as only the common ones apply.
pub(crate) fn options(_: &mut Options) {}

/// Asks a gate to drain a target, which then gets no new requests.
///
/// The target finishes its requests in flight.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    let name = cx.arg(0, "TARGET")?;
    let path = format!("/v1/drains/{name}");
    let response = cx
        .client
        .call_any(cx.client.gates()?, &Method::POST, &path, b"")?;
    let drained: Drained = response.parse()?;
    cx.output
        .print(&drained, |drained| format!("{} is draining", drained.name));
    Ok(())
}
