//! Command-line interface for operators.
//!
//! Each subcommand is a module under `cmd/` with two functions: `options` declares its options and
//! `run` executes it. Every command prints text for people, or JSON with `--json`.
//!
//! Exit codes: 0 success, 1 refused or failed, 2 wrong usage, 3 no instance reachable, 4 timed out.
//! Here, an instance is a gate or a control instance.
//!
//! ```
//! let code = toucanshelf_ctl::run_with(&["chart".into(), "show".into(), "claim".into()]);
//! assert_eq!(code, 0);
//! ```

mod client;
mod cmd;
mod output;

use std::fmt::Write as _;
use std::process::ExitCode;

use getopts::{Matches, Options};

use crate::client::Client;
use crate::output::Output;

/// Error that ends a command.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// An argument or option is invalid, or a given file cannot be read.
    #[error("{0}")]
    Usage(Box<str>),
    /// An instance refused the request, or the command failed.
    #[error("{0}")]
    Refused(Box<str>),
    /// No instance could be reached, or none was able to process the request.
    #[error("{0}")]
    Unreachable(Box<str>),
    /// The time limit of a wait has passed.
    #[error("{0}")]
    TimedOut(Box<str>),
}

impl CommandError {
    /// Returns the exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(_) => 3,
            Self::TimedOut(_) => 4,
        }
    }
}

/// Parsed command line and the client, as every subcommand receives them.
#[derive(Debug)]
pub(crate) struct Invocation {
    pub matches: Matches,
    pub args: Vec<String>,
    pub client: Client,
    pub output: Output,
}

impl Invocation {
    /// Returns the positional argument at `index`; error messages call it `name`.
    fn arg(&self, index: usize, name: &str) -> Result<&str, CommandError> {
        let arg = self.args.get(index).map(String::as_str);
        arg.ok_or_else(|| {
            CommandError::Usage(format!("missing argument {name}; see --help").into())
        })
    }
}

/// Runs the program with the process's arguments.
pub fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    ExitCode::from(run_with(&args))
}

/// Runs the program with the given arguments and returns its exit code.
pub fn run_with(args: &[String]) -> u8 {
    match dispatch(args) {
        Ok(()) => 0,
        Err(e) => {
            eprintln!("toucanctl: {e}");
            e.exit_code()
        }
    }
}

/// Parses the command line and runs the subcommand.
fn dispatch(args: &[String]) -> Result<(), CommandError> {
    let Some(name) = args.first().map(String::as_str) else {
        return Err(CommandError::Usage(usage().into()));
    };
    match name {
        "--help" | "-h" | "help" => {
            println!("{}", usage());
            return Ok(());
        }
        "--version" | "-V" => {
            println!("toucanctl {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        _ => {}
    }
    let Some(command) = cmd::find(name) else {
        let message = format!("unknown command `{name}`\n\n{}", usage());
        return Err(CommandError::Usage(message.into()));
    };
    let mut options = common_options();
    (command.options)(&mut options);
    let usage_error = |e: getopts::Fail| CommandError::Usage(format!("{e}; see --help").into());
    let matches = options.parse(&args[1..]).map_err(usage_error)?;
    if matches.opt_present("help") {
        let brief = format!(
            "Usage: toucanctl {} [options]\n\n{}",
            command.usage, command.about
        );
        println!("{}", options.usage(&brief));
        return Ok(());
    }
    let invocation = Invocation {
        args: matches.free.clone(),
        client: Client::new(&matches)?,
        output: Output::new(matches.opt_present("json")),
        matches,
    };
    (command.run)(&invocation)
}

/// Returns the options that every subcommand accepts.
fn common_options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "c",
        "control",
        "address of a control instance for operators",
        "IP:PORT",
    );
    options.optmulti("g", "gate", "address of a gate", "IP:PORT");
    options.optopt(
        "t",
        "token-file",
        "file with the operator's token (default: the environment variable TOUCANSHELF_TOKEN)",
        "FILE",
    );
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "print this help and exit");
    options
}

fn usage() -> String {
    let mut out = String::from("Usage: toucanctl COMMAND [options]\n\nCommands:\n");
    for command in cmd::ALL {
        let _ = writeln!(out, "  {:<34} {}", command.usage, command.about);
    }
    out.push_str(
        "\nExit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 out of reach, 4 not in time.",
    );
    out
}
