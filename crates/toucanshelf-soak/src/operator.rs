//! Operator: applies tickets by the command line, and looks at what has become of them.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::deployment::{Deployment, OPERATOR_TOKEN, first_ticket};

/// Command line of one operator.
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

    fn run(&self, args: &[&str]) -> io::Result<Output> {
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

    /// Sends a ticket; returns whether it is acknowledged as applied.
    pub(crate) fn apply(&self, number: u64, text: &str) -> io::Result<bool> {
        let path = self.folder.join(format!("ticket-{number}.toml"));
        std::fs::write(&path, text)?;
        let output = self.run(&["ticket", "apply", &path.to_string_lossy()])?;
        Ok(output.status.success())
    }

    /// Applies the first ticket and then one after the other until `stop`.
    ///
    /// Returns the number of the last ticket that was acknowledged; all before it were, too.
    pub(crate) fn apply_in_turn(&self, first: u64, stop: &Arc<AtomicBool>) -> io::Result<u64> {
        let mut number = first;
        loop {
            let text = ticket(number, 1);
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

    /// Revision under which a ticket is in force; none where it is not.
    pub(crate) fn revision(&self, number: u64) -> io::Result<Option<u64>> {
        let output = self.run(&["ticket", "show", &number.to_string(), "--json"])?;
        let record: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        Ok(record["verdict"]["revision"].as_u64())
    }

    /// Whether another content under the number of an applied ticket is told to conflict.
    pub(crate) fn conflicts(&self, number: u64) -> io::Result<bool> {
        let path = self.folder.join("other.toml");
        std::fs::write(&path, ticket(number, 7))?;
        let output = self.run(&["ticket", "apply", &path.to_string_lossy()])?;
        let text = String::from_utf8_lossy(&output.stdout);
        Ok(!output.status.success() && text.contains("conflict"))
    }

    /// Whether every gate has a ticket in force.
    pub(crate) fn is_everywhere(&self, number: u64) -> io::Result<bool> {
        let output = self.run(&["ticket", "wait", &number.to_string()])?;
        Ok(output.status.success())
    }
}

fn ticket(number: u64, weight: u32) -> String {
    if number == 1 {
        return first_ticket();
    }
    format!(
        "number = {number}\noperator = 'soak'\n\
         [[organisation]]\nid = 'organisation-{number}'\nweight = {weight}\ntoken-digests = []\n"
    )
}
