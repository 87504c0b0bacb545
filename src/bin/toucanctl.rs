//! Command-line interface for operators of toucanshelf.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    toucanshelf_ctl::main()
}
