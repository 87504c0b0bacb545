//! Runs an ingress, which serves the routes of a platform's deployment.

use std::process::ExitCode;
use std::sync::Arc;

use toucanshelf_platform::PlatformDialect;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    toucanshelf_runtime::program::run("toucanshelf-ingress", |settings| {
        toucanshelf_ingress::run_program(settings, Arc::new(PlatformDialect))
    })
}
