//! `toucanctl ticket apply|show|list|wait|diff`: submits and shows tickets.
//!
//! A ticket is a set of changes to the configuration. Its verdict states whether they were applied.
//! A revision is the number of a version of the configuration.

use std::time::{Duration, Instant};

use getopts::Options;
use http::Method;
use toucanshelf_control::api::{GateStatus, StatusBody};
use toucanshelf_core::document::{Object, ObjectKey};
use toucanshelf_core::ticket::{Ticket, TicketRecord, Verdict};

use crate::output::table;
use crate::{CommandError, Invocation};

/// Time between polls of the gates' revisions in `wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time that `wait` takes without the option `--timeout`, in seconds.
const DEFAULT_WAIT_TIMEOUT_S: u64 = 30;

/// Declares the options that only the ticket commands have.
pub(crate) fn options(options: &mut Options) {
    options.optopt(
        "",
        "timeout",
        "maximum time that `wait` takes, in seconds (default 30)",
        "SECONDS",
    );
}

/// Runs the ticket command that the first argument names.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    match cx.arg(0, "apply|show|list|wait|diff")? {
        "apply" => apply(cx),
        "show" => show(cx),
        "list" => list(cx),
        "wait" => wait(cx),
        "diff" => diff(cx),
        other => Err(CommandError::Usage(
            format!("unknown command `ticket {other}`").into(),
        )),
    }
}

/// Reads the ticket from the file argument and returns it with the file's text.
fn read_ticket(cx: &Invocation) -> Result<(Ticket, String), CommandError> {
    let file = cx.arg(1, "FILE")?;
    let text = std::fs::read_to_string(file)
        .map_err(|e| CommandError::Usage(format!("cannot read `{file}`: {e}").into()))?;
    let ticket =
        Ticket::parse(&text).map_err(|e| CommandError::Refused(format!("{file}: {e}").into()))?;
    Ok((ticket, text))
}

/// Submits a ticket and prints the verdict; any verdict but `Applied` is an error.
fn apply(cx: &Invocation) -> Result<(), CommandError> {
    let (ticket, text) = read_ticket(cx)?;
    let path = format!("/v1/tickets/{}", ticket.number);
    let response =
        cx.client
            .call_any(cx.client.control()?, &Method::PUT, &path, text.as_bytes())?;
    let Ok(verdict) = serde_json::from_slice::<Verdict>(&response.body) else {
        return response.parse::<Verdict>().map(drop);
    };
    cx.output
        .print(&verdict, |verdict| verdict_text(ticket.number.0, verdict));
    match verdict {
        Verdict::Applied { .. } => Ok(()),
        _ => Err(CommandError::Refused("the ticket is not in force".into())),
    }
}

/// Formats the verdict on a ticket as text.
fn verdict_text(number: u64, verdict: &Verdict) -> String {
    match verdict {
        Verdict::Applied { revision } => {
            format!("ticket {number}: applied, in force from revision {revision}")
        }
        Verdict::Superseded { by } => {
            let lines = by
                .iter()
                .map(|x| format!("  {} by ticket {}", x.object, x.ticket));
            let lines = lines.collect::<Vec<_>>().join("\n");
            format!("ticket {number}: superseded, nothing changed\n{lines}")
        }
        Verdict::Conflict { winner } => format!(
            "ticket {number}: conflict, {} was first under this number\n  {}",
            winner.operator,
            verdict_text(number, &winner.verdict)
        ),
        Verdict::Invalid { problems } => {
            format!(
                "ticket {number}: invalid, nothing changed\n  {}",
                problems.join("\n  ")
            )
        }
    }
}

/// Fetches the record of a ticket from a control instance.
fn fetch_record(cx: &Invocation, number: &str) -> Result<TicketRecord, CommandError> {
    let path = format!("/v1/tickets/{number}");
    cx.client
        .call_any(cx.client.control()?, &Method::GET, &path, b"")?
        .parse()
}

/// Shows the verdict, operator and digest of a ticket.
fn show(cx: &Invocation) -> Result<(), CommandError> {
    let record = fetch_record(cx, cx.arg(1, "NUMBER")?)?;
    cx.output.print(&record, |record| {
        let verdict = verdict_text(record.number.0, &record.verdict);
        format!(
            "{verdict}\noperator: {}\ndigest: {}",
            record.operator, record.digest
        )
    });
    Ok(())
}

/// Lists the recorded tickets.
fn list(cx: &Invocation) -> Result<(), CommandError> {
    let response = cx
        .client
        .call_any(cx.client.control()?, &Method::GET, "/v1/tickets", b"")?;
    let records: Vec<TicketRecord> = response.parse()?;
    cx.output.print(&records, |records| {
        let rows: Vec<_> = records
            .iter()
            .map(|record| {
                let verdict = match &record.verdict {
                    Verdict::Applied { revision } => format!("applied at revision {revision}"),
                    other => format!("{other:?}")
                        .split(' ')
                        .next()
                        .unwrap_or("")
                        .to_lowercase(),
                };
                [
                    record.number.to_string(),
                    record.operator.to_string(),
                    verdict,
                ]
            })
            .collect();
        table(["TICKET", "OPERATOR", "VERDICT"], &rows)
    });
    Ok(())
}

/// Waits until every linked gate has activated the revision of the ticket.
///
/// A linked gate is one that is connected to a control instance. At least one must be linked.
fn wait(cx: &Invocation) -> Result<(), CommandError> {
    let record = fetch_record(cx, cx.arg(1, "NUMBER")?)?;
    let Verdict::Applied { revision } = record.verdict else {
        return Err(CommandError::Refused(
            verdict_text(record.number.0, &record.verdict).into(),
        ));
    };
    let seconds = match cx
        .matches
        .opt_get_default("timeout", DEFAULT_WAIT_TIMEOUT_S)
    {
        Ok(seconds) => seconds,
        Err(e) => return Err(CommandError::Usage(format!("--timeout: {e}").into())),
    };
    let (started, timeout) = (Instant::now(), Duration::from_secs(seconds));
    loop {
        let gates = linked_gates(cx)?;
        let lagging: Vec<_> = gates
            .iter()
            .filter(|gate| gate.revision < revision.0)
            .collect();
        if lagging.is_empty() && !gates.is_empty() {
            cx.output
                .print(&gates, |gates| format!("in force at {} gates", gates.len()));
            return Ok(());
        }
        let names: Vec<_> = lagging.iter().map(|gate| &*gate.name).collect();
        cx.output.progress(&format!(
            "{} of {} gates lag: {}",
            names.len(),
            gates.len(),
            names.join(", ")
        ));
        if started.elapsed() >= timeout {
            let message = format!("not in force everywhere after {seconds} s");
            return Err(CommandError::TimedOut(message.into()));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the gates that are linked to the given control instances.
fn linked_gates(cx: &Invocation) -> Result<Vec<GateStatus>, CommandError> {
    let mut gates = Vec::new();
    for address in cx.client.control()? {
        let response = cx.client.call(*address, &Method::GET, "/v1/status", b"")?;
        let status: StatusBody = response.parse()?;
        gates.extend(status.gates.into_iter().filter(|gate| gate.connected));
    }
    Ok(gates)
}

/// Shows the changes that a ticket would make.
///
/// Each line is an object key after `+` (new), `=` (unchanged), `~` (changed) or `-` (removed).
fn diff(cx: &Invocation) -> Result<(), CommandError> {
    let (ticket, _) = read_ticket(cx)?;
    let mut lines = Vec::new();
    for object in ticket.objects() {
        let key = object.key();
        let line = match fetch_object(cx, &key)? {
            None => format!("+ {key}"),
            Some(old) if old == object => format!("= {key}"),
            Some(_) => format!("~ {key}"),
        };
        lines.push(line);
    }
    lines.extend(ticket.removals.iter().map(|key| format!("- {key}")));
    cx.output.print(&lines, |lines| lines.join("\n"));
    Ok(())
}

/// Fetches the current object with this key from the control instances.
///
/// Returns `None` if no object has the key.
fn fetch_object(cx: &Invocation, key: &ObjectKey) -> Result<Option<Object>, CommandError> {
    let path = format!("/v1/objects/{}", key.kind);
    let response = cx
        .client
        .call_any(cx.client.control()?, &Method::GET, &path, b"")?;
    let objects: Vec<Object> = response.parse()?;
    Ok(objects.into_iter().find(|object| object.key() == *key))
}
