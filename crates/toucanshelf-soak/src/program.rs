//! Command line of the program `toucanshelf-soak`.

use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;

use crate::plan::Plan;
use crate::run;

/// Number of faults that are injected in each run unless `--faults` is given.
const DEFAULT_FAULTS: usize = 20;

/// Runs the soak test as the command line of this process tells.
///
/// The exit code is 0 if all runs passed, 1 if any run found a violation and 2 after an error.
pub fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    match run_with_args(&args) {
        Ok(code) => code,
        Err(message) => {
            eprintln!("toucanshelf-soak: {message}");
            ExitCode::from(2)
        }
    }
}

fn run_with_args(args: &[String]) -> Result<ExitCode, Box<str>> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the first run (default: random)", "N");
    options.optopt(
        "",
        "runs",
        "number of runs; each uses the next seed (default: 1)",
        "N",
    );
    options.optopt("", "faults", "number of faults per run (default: 20)", "N");
    options.optopt(
        "",
        "programs",
        "folder of the programs to test (default: the folder of this program)",
        "DIR",
    );
    options.optflag("", "plan", "print the faults of each run");
    options.optflag("h", "help", "print this help and exit");
    let matches = options
        .parse(args)
        .map_err(|e| format!("{e}; see --help"))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: toucanshelf-soak [options]"));
        return Ok(ExitCode::SUCCESS);
    }
    let parse_number = |name: &str| -> Result<Option<u64>, Box<str>> {
        let value = matches.opt_get(name);
        value.map_err(|e| format!("--{name}: {e}").into())
    };
    let first = parse_number("seed")?.unwrap_or_else(rand::random);
    let runs = parse_number("runs")?.unwrap_or(1);
    let faults = parse_number("faults")?.map_or(DEFAULT_FAULTS, |count| count as usize);
    let programs = match matches.opt_str("programs") {
        Some(folder) => PathBuf::from(folder),
        None => executable_folder()?,
    };
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    let mut failed = 0;
    for seed in (0..runs).map(|n| first.wrapping_add(n)) {
        let plan = Plan::draw(seed, faults);
        if matches.opt_present("plan") {
            for step in &plan.steps {
                println!(
                    "    after {:?} for {:?}: {:?}",
                    step.delay, step.duration, step.fault
                );
            }
        }
        let report = runtime.block_on(run::run(&plan, &programs));
        let report = report.map_err(|e| format!("seed {seed}: {e}"))?;
        println!(
            "seed {seed}: {} streams, {} bookings, {} tickets, {} broken promises",
            report.streams,
            report.bookings,
            report.tickets,
            report.violations.len()
        );
        for violation in &report.violations {
            println!("    {violation}");
        }
        failed += usize::from(!report.violations.is_empty());
    }
    println!("{} passed, {failed} failed", runs as usize - failed);
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn executable_folder() -> Result<PathBuf, Box<str>> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = program.parent().map(PathBuf::from);
    folder.ok_or_else(|| "the path of this executable has no parent folder".into())
}
