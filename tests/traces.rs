//! Replays the traces in `tests/traces` and compares the results with the expected outcomes.

use std::path::Path;

use toucanshelf_replay::run::replay;
use toucanshelf_replay::trace::Trace;

/// Replays one trace and fails with the list of all differences.
#[expect(
    clippy::needless_pass_by_value,
    reason = "datatest-stable requires this signature"
)]
fn replay_trace(path: &Path, text: String) -> datatest_stable::Result<()> {
    let trace = Trace::parse(&path.display().to_string(), &text)?;
    let results = replay(&trace, trace.planner);
    let differences = results.differences(&trace.expect);
    if differences.is_empty() {
        return Ok(());
    }
    eprintln!(
        "{}: {}\n{results:?}",
        path.display(),
        differences.join("; ")
    );
    Err(differences.join("; ").into())
}

datatest_stable::harness! {
    { test = replay_trace, root = "tests/traces", pattern = r".*\.toml$" },
}
