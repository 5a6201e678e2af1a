//! The `lentillead` binary.

use {mimalloc::MiMalloc, std::process::ExitCode};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    lentillead::command::main()
}
