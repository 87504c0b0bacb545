//! Runs a stand-in engine for tests and the quick start.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    toucanshelf_runtime::program::run("standin-engine", toucanshelf_standin::engine::run_program)
}
