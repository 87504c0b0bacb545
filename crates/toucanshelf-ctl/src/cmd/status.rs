//! `toucanctl status`: shows the control instances and their gates.

use getopts::Options;
use http::Method;
use toucanshelf_control::api::StatusBody;

use crate::output::table;
use crate::{CommandError, Invocation};

/// Declares no options, as only the common ones apply.
pub(crate) fn options(_: &mut Options) {}

/// Shows the status of each given control instance and its gates.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    let mut statuses = Vec::new();
    let mut last_error = None;
    for address in cx.client.control()? {
        let response = cx.client.call(*address, &Method::GET, "/v1/status", b"");
        match response.and_then(|response| response.parse::<StatusBody>()) {
            Ok(status) => statuses.push(status),
            Err(e) => {
                cx.output.progress(&format!("{address}: {e}"));
                last_error = Some(e);
            }
        }
    }
    if statuses.is_empty() {
        return Err(last_error.unwrap_or(CommandError::Unreachable(
            "no control instance responded".into(),
        )));
    }
    cx.output.print(&statuses, |statuses| status_text(statuses));
    Ok(())
}

/// Formats the tables of control instances and gates.
///
/// The lag of a gate is the difference between its configuration revision and the newest revision
/// at the control instances.
fn status_text(statuses: &[StatusBody]) -> String {
    let rows: Vec<_> = statuses
        .iter()
        .map(|s| {
            let role = match s.leader {
                Some(leader) if leader == s.replica => "leads",
                Some(_) => "follows",
                None => "no leader",
            };
            let role = if s.current { role } else { "CUT OFF" };
            [
                s.name.to_string(),
                s.zone.to_string(),
                role.to_owned(),
                s.term.to_string(),
                s.revision.to_string(),
                s.commit.to_string(),
                s.voters.len().to_string(),
            ]
        })
        .collect();
    let control = table(
        [
            "CONTROL", "ZONE", "ROLE", "TERM", "REVISION", "COMMIT", "VOTERS",
        ],
        &rows,
    );
    let newest_revision = statuses.iter().map(|s| s.revision).max().unwrap_or(0);
    let gates: Vec<_> = statuses
        .iter()
        .flat_map(|s| s.gates.iter().map(move |gate| (s, gate)))
        .map(|(s, gate)| {
            let lag = newest_revision.saturating_sub(gate.revision);
            let link = if gate.connected {
                s.name.to_string()
            } else {
                "gone".to_owned()
            };
            let numbers = [gate.revision.to_string(), lag.to_string()];
            let [revision, lag] = numbers;
            [
                gate.name.to_string(),
                gate.zone.to_string(),
                revision,
                lag,
                link,
            ]
        })
        .collect();
    format!(
        "{control}\n\n{}",
        table(["GATE", "ZONE", "REVISION", "LAG", "CONTROL"], &gates)
    )
}
