//! Application of committed log entries to the replicated state machine.

use std::collections::BTreeMap;

use toucanshelf_coordination::replica::{Entry, Index, Term};
use toucanshelf_core::state::ControlState;
use toucanshelf_link::frame::SubmitError;

use super::ReplySender;

/// Applies one committed log entry and sends the reply to its submitter.
///
/// `pending` holds the reply senders of the commands that this replica proposed. No reply is sent
/// if it has none for the entry's index.
pub(super) fn apply_entry(
    state: &mut ControlState,
    entry: &Entry,
    pending: &mut BTreeMap<Index, (Term, ReplySender)>,
) {
    let reply = entry.command().map(|bytes| {
        let command = ciborium::from_reader(bytes);
        state.apply(command.expect("the leader encodes every command that it commits"))
    });
    let Some((term, sender)) = pending.remove(&entry.index) else {
        return;
    };
    let result = match reply {
        Some(reply) if term == entry.term => Ok(reply),
        _ => Err(SubmitError::NotTaken(
            "another leader's entry took its place".into(),
        )),
    };
    let _ = sender.send(result);
}
