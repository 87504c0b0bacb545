//! `toucanctl config check gate|control FILE`

use std::path::Path;

use getopts::Options;
use toucanshelf_control::settings::ControlSettings;
use toucanshelf_gate::settings::GateSettings;
use toucanshelf_runtime::program::DaemonSettings;
use toucanshelf_runtime::settings::load;

use crate::{CommandError, Invocation};

/// Declares the options.
pub(crate) fn options(_: &mut Options) {}

/// Checks a settings file.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    if cx.arg(0, "check")? != "check" {
        return Err(CommandError::Usage(
            "config check gate|control FILE is the only form".into(),
        ));
    }
    let file = cx.arg(2, "FILE")?;
    match cx.arg(1, "gate|control")? {
        "gate" => check::<GateSettings>(file)?,
        "control" => check::<ControlSettings>(file)?,
        other => {
            let what = format!("`{other}` is neither gate nor control");
            return Err(CommandError::Usage(what.into()));
        }
    }
    cx.output
        .print(&"valid", |_| format!("{file}: settings are valid"));
    Ok(())
}

fn check<T: DaemonSettings>(file: &str) -> Result<(), CommandError> {
    let settings: T =
        load(Path::new(file)).map_err(|e| CommandError::Refused(e.to_string().into()))?;
    settings
        .check()
        .map_err(|what| CommandError::Refused(format!("{file}: {what}").into()))
}
