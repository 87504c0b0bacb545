//! Entry point that all toucanshelf daemons share.

use std::num::NonZero;
use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;
use serde::de::DeserializeOwned;

use crate::logs::{self, TelemetryGuard};
use crate::settings::{LogSettings, SettingsFile};

/// Exit code of a daemon with invalid options or settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of a daemon that fails while it starts or runs.
pub const EXIT_FAILURE: u8 = 1;

/// Settings that a daemon reads from its settings file.
pub trait DaemonSettings: DeserializeOwned {
    /// Checks the settings for problems that parsing does not detect.
    ///
    /// # Errors
    ///
    /// Returns a message that names the invalid key and the problem.
    fn check(&self) -> Result<(), Box<str>>;

    /// Returns the settings for logging and tracing.
    fn log(&self) -> &LogSettings;

    /// Stores where the settings come from, for a daemon that reads some of them again.
    fn set_file(&mut self, _file: SettingsFile) {}
}

/// Runs a daemon and returns its exit code.
///
/// Reads the options and settings, initialises logging and runs `start` to completion. `start`
/// receives the validated settings and returns after the daemon has shut down gracefully.
pub fn run<S, F>(name: &'static str, start: impl FnOnce(S) -> F) -> ExitCode
where
    S: DaemonSettings,
    F: Future<Output = Result<(), Box<str>>>,
{
    let args: Vec<_> = std::env::args().skip(1).collect();
    let invocation = match parse_options(name, &args) {
        Ok(Invocation::Run { settings, check }) => (settings, check),
        Ok(Invocation::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(message) => return exit_with_error(name, EXIT_USAGE, &message),
    };
    let (path, check_only) = invocation;
    let file = SettingsFile::new(&path);
    let mut settings: S = match file.load() {
        Ok(settings) => settings,
        Err(message) => return exit_with_error(name, EXIT_USAGE, &message),
    };
    settings.set_file(file);
    if check_only {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    // On a single processor, additional worker threads only add context switches.
    let processors = std::thread::available_parallelism().map_or(1, NonZero::get);
    let mut builder = match processors {
        1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = builder.enable_all().build();
    let runtime = runtime.expect("the system can start threads");
    let guard = match runtime.block_on(async { logs::start(name, settings.log()) }) {
        Ok(guard) => guard,
        Err(e) => return exit_with_error(name, EXIT_USAGE, &e),
    };
    let result = runtime.block_on(async {
        let reload = crate::shutdown::reload_signals();
        tokio::spawn(crate::shutdown::log_reload_signals(reload));
        start(settings).await
    });
    TelemetryGuard::flush(guard);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => exit_with_error(name, EXIT_FAILURE, &message),
    }
}

enum Invocation {
    Run { settings: PathBuf, check: bool },
    Print(String),
}

fn parse_options(name: &str, args: &[String]) -> Result<Invocation, String> {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file (TOML)", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    let matches = options
        .parse(args)
        .map_err(|e| format!("{e}; see --help"))?;
    if matches.opt_present("help") {
        let brief = format!("Usage: {name} --settings FILE [--check]");
        return Ok(Invocation::Print(options.usage(&brief)));
    }
    if matches.opt_present("version") {
        return Ok(Invocation::Print(format!(
            "{name} {}",
            env!("CARGO_PKG_VERSION")
        )));
    }
    if let Some(extra) = matches.free.first() {
        return Err(format!("unexpected argument `{extra}`; see --help"));
    }
    match matches.opt_str("settings") {
        Some(file) => {
            let check = matches.opt_present("check");
            Ok(Invocation::Run {
                settings: file.into(),
                check,
            })
        }
        None => Err("--settings FILE is missing; see --help".into()),
    }
}

fn exit_with_error(name: &str, code: u8, message: &str) -> ExitCode {
    eprintln!("{name}: {message}");
    ExitCode::from(code)
}
