//! `toucanctl names resolve KIND NAME`

use getopts::Options;
use http::Method;

use crate::{CommandError, Invocation};

/// Declares the options.
pub(crate) fn options(_: &mut Options) {}

/// Shows what a name means.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    if cx.arg(0, "resolve")? != "resolve" {
        return Err(CommandError::Usage(
            "names resolve KIND NAME is the only form".into(),
        ));
    }
    let path = format!("/v1/names/{}/{}", cx.arg(1, "KIND")?, cx.arg(2, "NAME")?);
    let answer = cx
        .client
        .any(cx.client.control()?, &Method::GET, &path, b"")?;
    let object: serde_json::Value = answer.parse()?;
    cx.output.print(&object, |object| {
        serde_json::to_string_pretty(object).expect("JSON is serialisable")
    });
    Ok(())
}
