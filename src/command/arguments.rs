use {
    super::{
        BenchCommand, CapacityCommand, CommandError, DemoCommand, DrainCommand, ExitStatus,
        FakeCommand, FaultsCommand, LossesCommand, ReplayCommand, ServeCommand, SettingsCommand,
        SheetCommand, StatusCommand, StoryCommand, TraceCommand,
    },
    argh::FromArgs,
    std::{env, process::ExitCode},
    tokio::runtime::Runtime,
};

/// Router for separate prefill and decode pools.
#[derive(Debug, FromArgs)]
#[argh(note = "Further commands of the binary, each with a help text of its own:")]
#[argh(note = "  platform          Run a daemon on the users' platform, or check its settings.")]
#[argh(note = "  soak              Run seeded soak tests of daemons on the users' platform.")]
pub struct Arguments {
    /// subcommand to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands; `argh` takes their help texts from the structs that they hold.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Compares the daemon's decisions with plain routing policies in a simulation.
    Bench(BenchCommand),
    /// Measures the resources that the control planes of many daemons use.
    Capacity(CapacityCommand),
    /// Runs daemons and emulated engines, services and platform in one process.
    Demo(DemoCommand),
    /// Requests a planned stop of a daemon.
    Drain(DrainCommand),
    /// Runs an emulated engine, service or platform.
    Fake(FakeCommand),
    /// Runs seeded schedules of faults.
    Faults(FaultsCommand),
    /// Reports what requests lost, by route and cause.
    Losses(LossesCommand),
    /// Replays recorded traces.
    Replay(ReplayCommand),
    /// Runs a daemon.
    Serve(ServeCommand),
    /// Checks settings files.
    Settings(SettingsCommand),
    /// Checks, submits and shows the sheet (the routing configuration).
    Sheet(SheetCommand),
    /// Shows the status of the fleet.
    Status(StatusCommand),
    /// Prints the log entries that concern one request.
    Story(StoryCommand),
    /// Creates traces.
    Trace(TraceCommand),
}

impl Command {
    async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Bench(command) => command.run(),
            Self::Capacity(command) => command.run().await,
            Self::Demo(command) => command.run().await,
            Self::Drain(command) => command.run().await,
            Self::Fake(command) => command.run().await,
            Self::Faults(command) => command.run().await,
            Self::Losses(command) => command.run(),
            Self::Replay(command) => command.run().await,
            Self::Serve(command) => command.run().await,
            Self::Settings(command) => command.run().await,
            Self::Sheet(command) => command.run().await,
            Self::Status(command) => command.run().await,
            Self::Story(command) => command.run(),
            Self::Trace(command) => command.run(),
        }
    }
}

/// Parses the command line, runs the subcommand and returns the exit status.
pub fn main() -> ExitCode {
    let args = env::args().collect::<Vec<_>>();
    let args = args.iter().map(String::as_str).collect::<Vec<_>>();
    let rest = args.get(1..).unwrap_or_default();
    match Arguments::from_args(&["lentillead"], rest) {
        Ok(arguments) => run(arguments).into(),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            ExitStatus::Done.into()
        }
        Err(exit) => {
            eprintln!("{}", exit.output.trim_end());
            ExitStatus::Usage.into()
        }
    }
}

fn run(arguments: Arguments) -> ExitStatus {
    let result = Runtime::new()
        .map_err(CommandError::from)
        .and_then(|runtime| runtime.block_on(arguments.command.run()));
    match result {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            eprintln!("error: {error}");
            error.status()
        }
    }
}
