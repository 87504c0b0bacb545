//! Runs a control instance, with the adapter for the users' platform.

use std::process::ExitCode;
use std::sync::Arc;

use toucanshelf_platform::PlatformDialect;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    toucanshelf_runtime::program::run("toucanshelf-control", |settings| {
        toucanshelf_control::run_program(settings, Arc::new(PlatformDialect))
    })
}
