//! Program `toucanshelf-soak`.

use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;

use crate::plan::Plan;
use crate::run;

/// Faults of a run where the command line says nothing.
const DEFAULT_FAULTS: usize = 20;

/// Runs the program with the process's arguments.
pub fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    match run_with(&args) {
        Ok(code) => code,
        Err(message) => {
            eprintln!("toucanshelf-soak: {message}");
            ExitCode::from(2)
        }
    }
}

fn run_with(args: &[String]) -> Result<ExitCode, Box<str>> {
    let mut options = Options::new();
    options.optopt("", "seed", "first seed (default: drawn)", "N");
    options.optopt("", "runs", "runs, each with the next seed (default 1)", "N");
    options.optopt("", "faults", "faults of a run (default 20)", "N");
    options.optopt(
        "",
        "programs",
        "folder of the programs (default: this one's)",
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
    let number = |name: &str| -> Result<Option<u64>, Box<str>> {
        let value = matches.opt_get(name);
        value.map_err(|e| format!("--{name}: {e}").into())
    };
    let first = number("seed")?.unwrap_or_else(rand::random);
    let runs = number("runs")?.unwrap_or(1);
    let faults = number("faults")?.map_or(DEFAULT_FAULTS, |count| count as usize);
    let programs = match matches.opt_str("programs") {
        Some(folder) => PathBuf::from(folder),
        None => own_folder()?,
    };
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    let mut failed = 0;
    for seed in (0..runs).map(|n| first.wrapping_add(n)) {
        let plan = Plan::draw(seed, faults);
        if matches.opt_present("plan") {
            for step in &plan.steps {
                println!(
                    "    after {:?} for {:?}: {:?}",
                    step.pause, step.length, step.fault
                );
            }
        }
        let findings = runtime.block_on(run::run(&plan, &programs));
        let findings = findings.map_err(|e| format!("seed {seed}: {e}"))?;
        println!(
            "seed {seed}: {} streams, {} bookings, {} tickets, {} broken promises",
            findings.streams,
            findings.bookings,
            findings.tickets,
            findings.broken.len()
        );
        for broken in &findings.broken {
            println!("    {broken}");
        }
        failed += usize::from(!findings.broken.is_empty());
    }
    println!("{} passed, {failed} failed", runs as usize - failed);
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn own_folder() -> Result<PathBuf, Box<str>> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = program.parent().map(PathBuf::from);
    folder.ok_or_else(|| "the program has no folder".into())
}
