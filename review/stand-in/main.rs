//! Plays the cases of the review: `stand-in CASE RECORD`.
//!
//! Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. With `TROUBLE=0` in the
//! environment a case does the same without its disruption.

mod cases;
mod engine;
mod net;
mod system;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::time::{Duration, Instant};

use system::{CannotRun, Record};

/// Time after which a case is ended as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Ends the case at its time limit, or once the file that `STOP_FILE` names exists.
fn watch(record: Record) {
    let started = Instant::now();
    let stop_file = std::env::var_os("STOP_FILE").map(PathBuf::from);
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(100));
            let is_stopped = stop_file.as_ref().is_some_and(|file| file.exists());
            if is_stopped || started.elapsed() >= TIME_LIMIT {
                record.note("the case is ended early and counts as one that could not run");
                system::end_all();
                exit(2);
            }
        }
    });
}

fn main() {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let [case, record] = &args[..] else {
        eprintln!("usage: stand-in CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(Path::new(record));
    record.note(format!("case {case}, disruption: {trouble}"));
    watch(record.clone());
    let case = case.clone();
    let own = record.clone();
    std::panic::set_hook(Box::new(|info| {
        if info.payload().downcast_ref::<CannotRun>().is_none() {
            eprintln!("{info}");
        }
    }));
    let result = std::panic::catch_unwind(move || match &*case {
        "blamed-part" => cases::blamed_part::run(&own, trouble),
        "rolled" => cases::rolled::run(&own, trouble),
        "late-crash" => cases::late_crash::run(&own, trouble),
        "reused-address" => cases::reused_address::run(&own, trouble),
        "other-writer" => cases::other_writer::run(&own, trouble),
        _ => system::cannot_run("there is no such case"),
    });
    system::end_all();
    let Ok(broken) = result else {
        record.note("the case could not run");
        exit(2);
    };
    record.note(if broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    exit(i32::from(broken));
}
