use {
    super::{
        BenchCommand, CapacityCommand, CommandError, DemoCommand, DrainCommand, ExitStatus,
        FakeCommand, FaultsCommand, ReplayCommand, ServeCommand, SettingsCommand, SheetCommand,
        StatusCommand, StoryCommand, TraceCommand,
    },
    argh::FromArgs,
    std::{env, process::ExitCode},
    tokio::runtime::Runtime,
};

/// Router for separate prefill and decode pools.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Compare the decisions with plain policies.
    Bench(BenchCommand),
    /// Measure what many daemons use.
    Capacity(CapacityCommand),
    /// Run the whole path with stand-ins.
    Demo(DemoCommand),
    /// Ask a daemon to stop.
    Drain(DrainCommand),
    /// Run a stand-in.
    Fake(FakeCommand),
    /// Run schedules of faults.
    Faults(FaultsCommand),
    /// Play recorded traces.
    Replay(ReplayCommand),
    /// Run a daemon.
    Serve(ServeCommand),
    /// Work on settings files.
    Settings(SettingsCommand),
    /// Work on the planners' sheet.
    Sheet(SheetCommand),
    /// Show the whole fleet.
    Status(StatusCommand),
    /// Print one request's story from logs.
    Story(StoryCommand),
    /// Work on traces.
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
    let words = env::args().collect::<Vec<_>>();
    let words = words.iter().map(String::as_str).collect::<Vec<_>>();
    let rest = words.get(1..).unwrap_or_default();
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
