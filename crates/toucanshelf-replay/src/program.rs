//! Program `toucanshelf-replay`.

use std::path::Path;
use std::process::ExitCode;

use getopts::{Matches, Options};
use toucanshelf_gate::settings::PlannerKind;

use crate::results::Results;
use crate::trace::Trace;
use crate::{latency, report, run};

/// Probes with which the added time to the first token is measured.
const PROBES: usize = 200;

/// Runs the program with the process's arguments.
pub fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    match run_with(&args) {
        Ok(code) => code,
        Err(message) => {
            eprintln!("toucanshelf-replay: {message}");
            ExitCode::from(2)
        }
    }
}

fn run_with(args: &[String]) -> Result<ExitCode, Box<str>> {
    let mut options = Options::new();
    options.optflag("", "json", "print JSON");
    options.optflag(
        "",
        "baselines",
        "run the planners random and least-loaded too",
    );
    options.optflag(
        "",
        "latency",
        "measure the time that a gate adds to the first token too",
    );
    options.optopt(
        "",
        "planner",
        "flow (default), least-loaded or random",
        "NAME",
    );
    options.optopt("", "report", "write an HTML report with plots", "FILE");
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    let matches = options
        .parse(args)
        .map_err(|e| format!("{e}; see --help"))?;
    if matches.opt_present("help") {
        println!(
            "{}",
            options.usage("Usage: toucanshelf-replay run TRACE [options]")
        );
        return Ok(ExitCode::SUCCESS);
    }
    if matches.opt_present("version") {
        println!("toucanshelf-replay {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    let file = match matches.free.as_slice() {
        [command, file] if command == "run" => file,
        _ => return Err("`run TRACE` is the only form; see --help".into()),
    };
    let text = std::fs::read_to_string(file).map_err(|e| format!("reading `{file}`: {e}"))?;
    let trace = Trace::parse(file, &text).map_err(|e| e.to_string())?;
    let results = measure(&trace, &matches)?;
    print(&results, matches.opt_present("json"));
    if let Some(path) = matches.opt_str("report") {
        report::write(Path::new(&path), &results)?;
    }
    let differences = results.differences(&trace.expect);
    for difference in &differences {
        eprintln!("differs: {difference}");
    }
    Ok(if differences.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn measure(trace: &Trace, matches: &Matches) -> Result<Results, Box<str>> {
    let planner = match matches.opt_str("planner").as_deref() {
        None => trace.planner,
        Some("flow") => PlannerKind::Flow,
        Some("least-loaded") => PlannerKind::LeastLoaded,
        Some("random") => PlannerKind::Random,
        Some(other) => return Err(format!("--planner: `{other}` is unknown").into()),
    };
    let mut results = run::replay(trace, planner);
    if matches.opt_present("baselines") {
        for (name, kind) in [
            ("least_loaded", PlannerKind::LeastLoaded),
            ("random", PlannerKind::Random),
        ] {
            let ratio = run::replay(trace, kind).throughput_ratio;
            results.baseline_ratios.insert(name.into(), ratio);
        }
    }
    if matches.opt_present("latency") {
        results.added_first_token_ms = latency::added_first_token(trace, PROBES);
    }
    Ok(results)
}

fn print(results: &Results, json: bool) {
    if json {
        let json = serde_json::to_string_pretty(results);
        println!("{}", json.expect("results are serialisable"));
        return;
    }
    println!("{} (planner {})", results.name, results.planner);
    println!(
        "requests {}  complete {}  not_run {}  failed {}  unknown {}  cut_off {}  lost {}  duplicated {}  wrong_caller {}",
        results.requests,
        results.complete,
        results.not_run,
        results.failed,
        results.unknown,
        results.cut_off,
        results.lost,
        results.duplicated,
        results.wrong_caller
    );
    println!(
        "tokens/s {:.0} of {:.0} = {:.3}  recovery ms p50 {:.0} p95 {:.0} max {:.0} ({} samples)",
        results.tokens_per_s,
        results.bound_tokens_per_s,
        results.throughput_ratio,
        results.recovery_ms.p50,
        results.recovery_ms.p95,
        results.recovery_ms.max,
        results.recovery_ms.samples
    );
}
