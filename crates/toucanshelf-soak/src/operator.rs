//! Applies tickets with `toucanctl` and queries their state.
//!
//! A ticket is a numbered change of the configuration. Control acknowledges a ticket that it has
//! applied, and each applied ticket creates a revision of the configuration. The ticket is in force
//! at a gate once the gate uses this revision.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::deployment::{Deployment, OPERATOR_TOKEN, first_ticket};

/// Runs `toucanctl` against the deployment's control instances and gates.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    program: PathBuf,
    folder: PathBuf,
    controls: Vec<SocketAddr>,
    gates: Vec<SocketAddr>,
}

impl Operator {
    pub(crate) fn new(programs: &Path, deployment: &Deployment) -> Self {
        Self {
            program: programs.join("toucanctl"),
            folder: deployment.folder().to_owned(),
            controls: deployment.control_addresses.clone(),
            gates: deployment.gate_addresses.clone(),
        }
    }

    fn run_toucanctl(&self, args: &[&str]) -> io::Result<Output> {
        let mut command = Command::new(&self.program);
        command.args(args).env("TOUCANSHELF_TOKEN", OPERATOR_TOKEN);
        for address in &self.controls {
            command.args(["--control", &address.to_string()]);
        }
        for address in &self.gates {
            command.args(["--gate", &address.to_string()]);
        }
        command.output()
    }

    /// Submits a ticket with this number and text to control.
    ///
    /// Returns whether control acknowledged it as applied.
    pub(crate) fn apply(&self, number: u64, text: &str) -> io::Result<bool> {
        let path = self.folder.join(format!("ticket-{number}.toml"));
        std::fs::write(&path, text)?;
        let output = self.run_toucanctl(&["ticket", "apply", &path.to_string_lossy()])?;
        Ok(output.status.success())
    }

    /// Applies tickets in order, starting with number `first`, until `stop` is set.
    ///
    /// Returns the number of the last acknowledged ticket. Each ticket is retried until control
    /// acknowledges it, so all tickets before the last were acknowledged, too.
    pub(crate) fn apply_sequence(&self, first: u64, stop: &Arc<AtomicBool>) -> io::Result<u64> {
        let mut number = first;
        loop {
            let text = ticket_text(number, 1);
            while !self.apply(number, &text)? {
                if stop.load(Ordering::Relaxed) {
                    return Ok(number - 1);
                }
            }
            if stop.load(Ordering::Relaxed) {
                return Ok(number);
            }
            number += 1;
        }
    }

    /// Revision that a ticket created, or `None` if control does not report one.
    pub(crate) fn revision(&self, number: u64) -> io::Result<Option<u64>> {
        let output = self.run_toucanctl(&["ticket", "show", &number.to_string(), "--json"])?;
        let record: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        Ok(record["verdict"]["revision"].as_u64())
    }

    /// Submits another ticket under the number of an applied one.
    ///
    /// Returns whether control rejects it as a conflict.
    pub(crate) fn reports_conflict(&self, number: u64) -> io::Result<bool> {
        let path = self.folder.join("other.toml");
        std::fs::write(&path, ticket_text(number, 7))?;
        let output = self.run_toucanctl(&["ticket", "apply", &path.to_string_lossy()])?;
        let text = String::from_utf8_lossy(&output.stdout);
        Ok(!output.status.success() && text.contains("conflict"))
    }

    /// Whether the ticket with this number is in force at every gate.
    pub(crate) fn is_in_force_at_all_gates(&self, number: u64) -> io::Result<bool> {
        let output = self.run_toucanctl(&["ticket", "wait", &number.to_string()])?;
        Ok(output.status.success())
    }
}

/// Returns the text of the ticket with this number.
///
/// Every ticket but the first adds an organisation with the given weight.
fn ticket_text(number: u64, weight: u32) -> String {
    if number == 1 {
        return first_ticket();
    }
    format!(
        "number = {number}\noperator = 'soak'\n\
         [[organisation]]\nid = 'organisation-{number}'\nweight = {weight}\ntoken-digests = []\n"
    )
}
