//! The `lentillead` binary.

use {
    mimalloc::MiMalloc,
    std::{env, process::ExitCode},
};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// First word of a command line for the adapter.
const PLATFORM: &str = "platform";

fn main() -> ExitCode {
    let arguments: Vec<_> = env::args().collect();
    let words: Vec<_> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        [name, PLATFORM, rest @ ..] => lentillead_platform::main(&[name, PLATFORM], rest),
        _ => lentillead::command::main(),
    }
}
