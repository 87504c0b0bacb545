//! `toucanctl names resolve KIND NAME`: shows the object that a name refers to.

use getopts::Options;
use http::Method;

use crate::{CommandError, Invocation};

/// Declares no options, as only the common ones apply.
pub(crate) fn options(_: &mut Options) {}

/// Shows the object that a name refers to.
pub(crate) fn run(cx: &Invocation) -> Result<(), CommandError> {
    if cx.arg(0, "resolve")? != "resolve" {
        return Err(CommandError::Usage(
            "expected `names resolve KIND NAME`".into(),
        ));
    }
    let path = format!("/v1/names/{}/{}", cx.arg(1, "KIND")?, cx.arg(2, "NAME")?);
    let response = cx
        .client
        .call_any(cx.client.control()?, &Method::GET, &path, b"")?;
    let object: serde_json::Value = response.parse()?;
    cx.output.print(&object, |object| {
        serde_json::to_string_pretty(object).expect("JSON is serialisable")
    });
    Ok(())
}
