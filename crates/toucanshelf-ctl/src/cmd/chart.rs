//! `toucanctl chart show NAME`: prints a state chart.
//!
//! A state chart defines the states of an object, such as a request or a claim, and the transitions
//! between them.

use getopts::Options;
use toucanshelf_chart::Chart;

use crate::{CommandError, Invocation};

/// Names of the state charts and their definitions in TOML.
const CHARTS: [(&str, &str); 4] = [
    ("attempt", include_str!("../../../../charts/attempt.toml")),
    ("claim", include_str!("../../../../charts/claim.toml")),
    ("request", include_str!("../../../../charts/request.toml")),
    ("target", include_str!("../../../../charts/target.toml")),
];

/// Declares the option that selects the format of the diagram.
pub(crate) fn options(options: &mut Options) {
    options.optopt("", "format", "dot (default) or mermaid", "FORMAT");
}

/// Prints a state chart as a diagram.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    if cx.arg(0, "show")? != "show" {
        return Err(CommandError::Usage("expected `chart show NAME`".into()));
    }
    let name = cx.arg(1, "NAME")?;
    let Some((_, text)) = CHARTS.iter().find(|(known, _)| *known == name) else {
        let known = CHARTS.map(|(name, _)| name).join(", ");
        return Err(CommandError::Usage(
            format!("unknown chart `{name}`; known charts: {known}").into(),
        ));
    };
    let chart = Chart::parse(text).map_err(|e| CommandError::Refused(e.to_string().into()))?;
    let diagram = match cx.matches.opt_str("format").as_deref() {
        None | Some("dot") => chart.to_dot(),
        Some("mermaid") => chart.to_mermaid(),
        Some(other) => {
            return Err(CommandError::Usage(
                format!("--format: unknown format `{other}`; expected dot or mermaid").into(),
            ));
        }
    };
    cx.output.print(&diagram, Clone::clone);
    Ok(())
}
