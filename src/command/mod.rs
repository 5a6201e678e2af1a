//! The command line, one subcommand a file.
//!
//! To add a subcommand, write a file with a struct that derives `FromArgs` and has
//! `async fn run(self) -> Result<(), CommandError>`, and add it to `Command` and to
//! `Command::run`.

pub use self::{
    arguments::{Arguments, Command, main},
    command_error::CommandError,
    exit_status::ExitStatus,
    settings::SettingsCommand,
    settings_check::SettingsCheck,
};

mod arguments;
mod command_error;
mod exit_status;
mod settings;
mod settings_check;
