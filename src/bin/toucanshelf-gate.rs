//! Runs a gate, which routes the requests of callers to targets.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    toucanshelf_runtime::program::run("toucanshelf-gate", toucanshelf_gate::run_program)
}
