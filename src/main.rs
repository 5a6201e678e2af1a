//! The `lentillead` binary.

use {
    mimalloc::MiMalloc,
    std::{env, process::ExitCode},
};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// First word of a command line for the adapter.
const PLATFORM: &str = "platform";

/// First word of a command line for the soak.
const SOAK: &str = "soak";

fn main() -> ExitCode {
    let arguments: Vec<_> = env::args().collect();
    let words: Vec<_> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        [name, PLATFORM, rest @ ..] => lentillead_platform::main(&[name, PLATFORM], rest),
        [name, SOAK, rest @ ..] => lentillead_soak::main(&[name, SOAK], rest),
        _ => lentillead::command::main(),
    }
}
