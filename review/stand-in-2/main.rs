//! Plays the cases of this review against the project's own programs.
//!
//! Usage: `cases NAME PROGRAMS FOLDER RECORD`, with the environment variable `TROUBLE`. The exit code
//! is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod copies;
mod engine;
mod extra;
mod foreign;
mod http;
mod rolling;
mod system;

use std::path::Path;
use std::process::ExitCode;

use system::{Record, System};

/// What a case has found.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let [name, programs, folder, record] = &args[..] else {
        eprintln!("usage: cases NAME PROGRAMS FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(record)).expect("the record can be written");
    record.line(format!("case {name}, trouble {trouble}"));
    let system = System::new(record.clone(), Path::new(programs), Path::new(folder));
    let mut system = system.expect("there are free ports");
    let verdict = match &**name {
        "copies" => copies::play(&mut system, trouble),
        "extra" => extra::play(&mut system, trouble),
        "foreign" => foreign::play(&mut system, trouble),
        "rolling" => rolling::play(&mut system, trouble),
        _ => Verdict::NotRun,
    };
    let (code, text) = match verdict {
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Held => (0, "the rule held"),
        Verdict::NotRun => (2, "the case couldn't run"),
    };
    record.line(text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
