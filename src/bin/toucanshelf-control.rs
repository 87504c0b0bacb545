//! Control instance of toucanshelf.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    toucanshelf_runtime::program::run("toucanshelf-control", toucanshelf_control::run_program)
}
