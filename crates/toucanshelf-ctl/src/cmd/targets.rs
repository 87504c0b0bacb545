//! `toucanctl targets`: lists the targets that a gate knows.

use getopts::Options;
use http::Method;
use toucanshelf_gate::api::TargetBody;

use crate::output::table;
use crate::{CommandError, Invocation};

/// Declares no options, as only the common ones apply.
pub(crate) fn options(_: &mut Options) {}

/// Lists the targets that are known to a gate.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    let response = cx
        .client
        .call_any(cx.client.gates()?, &Method::GET, "/v1/targets", b"")?;
    let targets: Vec<TargetBody> = response.parse()?;
    cx.output.print(&targets, |targets| {
        let rows: Vec<_> = targets
            .iter()
            .map(|t| {
                let cells = [
                    &t.name,
                    &t.announced,
                    &t.condition,
                    &t.zone,
                    &t.role,
                    &t.address,
                    &t.holder,
                ];
                cells.map(ToString::to_string)
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
