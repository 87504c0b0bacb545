//! Subcommands, with one module for each.

mod chart;
mod config;
mod drain;
mod explain;
mod names;
mod status;
mod targets;
mod ticket;

use getopts::Options;

use crate::{CommandError, Invocation};

/// A subcommand with its help text and functions.
#[derive(Debug)]
pub(crate) struct Command {
    /// Name of the subcommand on the command line.
    pub name: &'static str,
    /// Name and arguments, as the help text shows them.
    pub usage: &'static str,
    /// Description in the help text.
    pub about: &'static str,
    /// Declares the options that only this subcommand has.
    pub options: fn(&mut Options),
    /// Executes the subcommand.
    pub run: fn(&Invocation) -> Result<(), CommandError>,
}

/// All subcommands, in the order of the help text.
pub(crate) const ALL: &[Command] = &[
    Command {
        name: "ticket",
        usage: "ticket apply|show|list|wait|diff",
        about: "submit tickets and show their verdicts",
        options: ticket::options,
        run: ticket::run,
    },
    Command {
        name: "status",
        usage: "status",
        about: "show the leader, the revision in force and the gates",
        options: status::options,
        run: status::run,
    },
    Command {
        name: "targets",
        usage: "targets",
        about: "list the targets that a gate knows",
        options: targets::options,
        run: targets::run,
    },
    Command {
        name: "drain",
        usage: "drain TARGET",
        about: "let a target finish its requests and send it no new ones",
        options: drain::options,
        run: drain::run,
    },
    Command {
        name: "names",
        usage: "names resolve KIND NAME",
        about: "show the object that a name refers to",
        options: names::options,
        run: names::run,
    },
    Command {
        name: "explain",
        usage: "explain route MODEL",
        about: "show the route that a request would take now",
        options: explain::options,
        run: explain::run,
    },
    Command {
        name: "chart",
        usage: "chart show NAME",
        about: "print a state chart as a diagram",
        options: chart::options,
        run: chart::run,
    },
    Command {
        name: "config",
        usage: "config check gate|control FILE",
        about: "check a settings file",
        options: config::options,
        run: config::run,
    },
];

/// Finds a subcommand by its name.
pub(crate) fn find(name: &str) -> Option<&'static Command> {
    ALL.iter().find(|command| command.name == name)
}
