//! Binary `lentillead`: the router's commands, the platform adapter and the soak test.

use {
    argh::FromArgs,
    lentillead_platform::PlatformArguments,
    lentillead_soak::SoakArguments,
    libmimalloc_sys::mi_option_set,
    mimalloc::MiMalloc,
    std::{
        env,
        ffi::{c_int, c_long},
        process::ExitCode,
    },
};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Option of the allocator: milliseconds after which it returns freed memory to the system.
const PURGE_DELAY_OPTION: c_int = 15;

/// Value of that option; with the default, what a crowd of callers has released counts for a second more.
const PURGE_DELAY_MS: c_long = 0;

/// Subcommand that runs the platform adapter.
const PLATFORM: &str = "platform";

/// Subcommand that runs the soak test.
const SOAK: &str = "soak";

fn main() -> ExitCode {
    // SAFETY: the call stores a number in the options of the allocator.
    unsafe { mi_option_set(PURGE_DELAY_OPTION, PURGE_DELAY_MS) };
    let arguments: Vec<_> = env::args().collect();
    let words: Vec<_> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        [name, PLATFORM, rest @ ..] => run(&[name, PLATFORM], rest, PlatformArguments::run),
        [name, SOAK, rest @ ..] => run(&[name, SOAK], rest, SoakArguments::run),
        _ => lentillead::command::main(),
    }
}

/// Parses the arguments of the subcommand `name` and runs it. Prints the help text or the error
/// instead if the arguments ask for help or are wrong; only the latter is a failure.
fn run<A>(name: &[&str], arguments: &[&str], command: fn(&A) -> ExitCode) -> ExitCode
where
    A: FromArgs,
{
    match A::from_args(name, arguments) {
        Ok(parsed) => command(&parsed),
        Err(exit) => {
            println!("{}", exit.output);
            let done = exit.status.map(|()| ExitCode::SUCCESS);
            done.unwrap_or(ExitCode::FAILURE)
        }
    }
}
