//! Command line of the program `toucanshelf-replay`.

use std::path::Path;
use std::process::ExitCode;

use getopts::{Matches, Options};
use toucanshelf_gate::settings::PlannerKind;

use crate::results::Results;
use crate::trace::Trace;
use crate::{latency, report, run};

/// Number of probes for the latency that a gate adds to the first token.
const LATENCY_PROBES: usize = 200;

/// Runs the program with the command-line arguments of the process.
pub fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    match run_with_args(&args) {
        Ok(code) => code,
        Err(message) => {
            eprintln!("toucanshelf-replay: {message}");
            ExitCode::from(2)
        }
    }
}

/// Runs the program with the given arguments; an error is a usage or file error.
fn run_with_args(args: &[String]) -> Result<ExitCode, Box<str>> {
    let mut options = Options::new();
    options.optflag("", "json", "print the results as JSON");
    options.optflag(
        "",
        "baselines",
        "also replay the trace with the planners least-loaded and random",
    );
    options.optflag(
        "",
        "latency",
        "also measure the latency that a gate adds to the first token",
    );
    options.optopt(
        "",
        "planner",
        "planner: flow, least-loaded or random (default: as in the trace)",
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
        _ => return Err("expected `run TRACE`; see --help".into()),
    };
    let text = std::fs::read_to_string(file).map_err(|e| format!("`{file}` can't be read: {e}"))?;
    let trace = Trace::parse(file, &text).map_err(|e| e.to_string())?;
    let results = measure(&trace, &matches)?;
    print_results(&results, matches.opt_present("json"));
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

/// Replays a trace and takes the additional measurements that the options request.
fn measure(trace: &Trace, matches: &Matches) -> Result<Results, Box<str>> {
    let planner = match matches.opt_str("planner").as_deref() {
        None => trace.planner,
        Some("flow") => PlannerKind::Flow,
        Some("least-loaded") => PlannerKind::LeastLoaded,
        Some("random") => PlannerKind::Random,
        Some(other) => return Err(format!("--planner: unknown planner `{other}`").into()),
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
        results.added_first_token_ms = latency::measure_added_first_token(trace, LATENCY_PROBES);
    }
    Ok(results)
}

/// Prints the results as JSON or as a summary in plain text.
fn print_results(results: &Results, json: bool) {
    if json {
        let json = serde_json::to_string_pretty(results);
        println!("{}", json.expect("results can be serialised"));
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
