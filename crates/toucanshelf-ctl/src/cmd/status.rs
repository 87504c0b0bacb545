//! `toucanctl status`

use getopts::Options;
use http::Method;
use toucanshelf_control::api::StatusBody;

use crate::output::table;
use crate::{CommandError, Invocation};

/// Declares the options.
pub(crate) fn options(_: &mut Options) {}

/// Shows the standing of every named control instance and its gates.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    let mut standings = Vec::new();
    let mut last = None;
    for address in cx.client.control()? {
        let answer = cx.client.one(*address, &Method::GET, "/v1/status", b"");
        match answer.and_then(|answer| answer.parse::<StatusBody>()) {
            Ok(standing) => standings.push(standing),
            Err(e) => {
                cx.output.progress(&format!("{address}: {e}"));
                last = Some(e);
            }
        }
    }
    if standings.is_empty() {
        return Err(last.unwrap_or(CommandError::Unreachable("no instance answered".into())));
    }
    cx.output.print(&standings, |standings| text(standings));
    Ok(())
}

fn text(standings: &[StatusBody]) -> String {
    let rows: Vec<_> = standings
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
    let newest = standings.iter().map(|s| s.revision).max().unwrap_or(0);
    let gates: Vec<_> = standings
        .iter()
        .flat_map(|s| s.gates.iter().map(move |gate| (s, gate)))
        .map(|(s, gate)| {
            let lag = newest.saturating_sub(gate.revision);
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
