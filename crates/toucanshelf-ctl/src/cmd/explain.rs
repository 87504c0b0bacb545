//! `toucanctl explain route MODEL`: shows the engines that would run a request.
//!
//! A route is the list of these engines, each with the layers that it would run.

use getopts::Options;
use http::Method;
use toucanshelf_gate::api::ExplainedRoute;

use crate::output::table;
use crate::{CommandError, Invocation};

/// Declares no options, as only the common ones apply.
pub(crate) fn options(_: &mut Options) {}

/// Shows the route that a request to a model would take now.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    if cx.arg(0, "route")? != "route" {
        return Err(CommandError::Usage("expected `explain route MODEL`".into()));
    }
    let path = format!("/v1/explain/route?model={}", cx.arg(1, "MODEL")?);
    let response = cx
        .client
        .call_any(cx.client.gates()?, &Method::GET, &path, b"")?;
    let route: ExplainedRoute = response.parse()?;
    cx.output.print(&route, |route| {
        let rows: Vec<_> = route
            .stages
            .iter()
            .map(|stage| {
                let layers = format!("[{}, {})", stage.layers[0], stage.layers[1]);
                let in_flight = stage.in_flight.to_string();
                [
                    stage.engine.to_string(),
                    stage.zone.to_string(),
                    layers,
                    in_flight,
                ]
            })
            .collect();
        format!(
            "planner: {}\n{}",
            route.planner,
            table(["ENGINE", "ZONE", "LAYERS", "IN FLIGHT"], &rows)
        )
    });
    Ok(())
}
