//! Runs a stand-in service for tests and the quick start.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    toucanshelf_runtime::program::run("standin-service", toucanshelf_standin::service::run_program)
}
