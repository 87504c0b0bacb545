//! `toucanctl drain TARGET`: drains a target.

use getopts::Options;
use http::Method;
use serde::{Deserialize, Serialize};

use crate::{CommandError, Invocation};

/// Response of a gate to a drain request.
#[derive(Deserialize, Serialize)]
struct Drained {
    name: Box<str>,
}

/// Declares the options of the subcommand.
pub(crate) fn options(_: &mut Options) {}

/// Drains a target, which finishes its requests and receives no new ones.
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
