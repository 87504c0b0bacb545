//! `toucanctl drain TARGET`

use getopts::Options;
use http::Method;
use serde::{Deserialize, Serialize};

use crate::{CommandError, Invocation};

#[derive(Deserialize, Serialize)]
struct Drained {
    name: Box<str>,
}

/// Declares the options.
pub(crate) fn options(_: &mut Options) {}

/// Drains a target.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    let name = cx.arg(0, "TARGET")?;
    let path = format!("/v1/drains/{name}");
    let answer = cx
        .client
        .any(cx.client.gates()?, &Method::POST, &path, b"")?;
    let drained: Drained = answer.parse()?;
    cx.output
        .print(&drained, |drained| format!("{} is draining", drained.name));
    Ok(())
}
