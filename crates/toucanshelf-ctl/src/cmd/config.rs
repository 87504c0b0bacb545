//! `toucanctl config check gate|control FILE`: checks a settings file.

use std::path::Path;

use getopts::Options;
use toucanshelf_control::settings::ControlSettings;
use toucanshelf_gate::settings::GateSettings;
use toucanshelf_runtime::program::DaemonSettings;
use toucanshelf_runtime::settings::load;

use crate::{CommandError, Invocation};

/// Declares no options, as only the common ones apply.
pub(crate) fn options(_: &mut Options) {}

/// Checks a settings file of a gate or control instance.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    if cx.arg(0, "check")? != "check" {
        return Err(CommandError::Usage(
            "expected `config check gate|control FILE`".into(),
        ));
    }
    let file = cx.arg(2, "FILE")?;
    match cx.arg(1, "gate|control")? {
        "gate" => check::<GateSettings>(file)?,
        "control" => check::<ControlSettings>(file)?,
        other => {
            let message = format!("unknown kind of settings `{other}`; expected gate or control");
            return Err(CommandError::Usage(message.into()));
        }
    }
    cx.output
        .print(&"valid", |_| format!("{file}: settings are valid"));
    Ok(())
}

/// Loads a settings file and validates its values.
fn check<T: DaemonSettings>(file: &str) -> Result<(), CommandError> {
    let settings: T =
        load(Path::new(file)).map_err(|e| CommandError::Refused(e.to_string().into()))?;
    settings
        .check()
        .map_err(|message| CommandError::Refused(format!("{file}: {message}").into()))
}
