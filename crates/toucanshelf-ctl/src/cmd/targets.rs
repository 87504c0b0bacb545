//! `toucanctl targets`

use getopts::Options;
use http::Method;
use toucanshelf_gate::api::TargetBody;

use crate::output::table;
use crate::{CommandError, Invocation};

/// Declares the options.
pub(crate) fn options(_: &mut Options) {}

/// Lists the targets that a gate knows.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    let answer = cx
        .client
        .any(cx.client.gates()?, &Method::GET, "/v1/targets", b"")?;
    let targets: Vec<TargetBody> = answer.parse()?;
    cx.output.print(&targets, |targets| {
        let rows: Vec<_> = targets
            .iter()
            .map(|t| {
                let texts = [
                    &t.name,
                    &t.announced,
                    &t.condition,
                    &t.zone,
                    &t.role,
                    &t.address,
                    &t.holder,
                ];
                texts.map(ToString::to_string)
            })
            .collect();
        table(
            [
                "TARGET",
                "ANNOUNCED",
                "CONDITION",
                "ZONE",
                "ROLE",
                "ADDRESS",
                "LEASE AT",
            ],
            &rows,
        )
    });
    Ok(())
}
