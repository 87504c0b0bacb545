//! Plays the cases of the review: `stand-in CASE RECORD`.
//!
//! Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. With `TROUBLE=0` in the
//! environment a case does the same without its disruption.

mod cases;
mod engine;
mod net;
mod system;

use std::path::Path;
use std::process::exit;

use system::{CannotRun, Record};

fn main() {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let [case, record] = &args[..] else {
        eprintln!("usage: stand-in CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(Path::new(record));
    record.note(format!("case {case}, disruption: {trouble}"));
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
    record.note(if broken { "the rule was broken" } else { "the rule held" });
    exit(i32::from(broken));
}
