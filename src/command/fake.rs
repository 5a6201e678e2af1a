use {
    super::{CommandError, FakeEngineCommand, FakePlatformCommand, FakeServiceCommand},
    argh::FromArgs,
};

/// Run an emulated external system until SIGINT or SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fake")]
pub struct FakeCommand {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Kind {
    Engine(FakeEngineCommand),
    Platform(FakePlatformCommand),
    Service(FakeServiceCommand),
}

impl FakeCommand {
    /// Runs the chosen emulated system until a signal stops it.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid or the listener cannot be bound.
    pub async fn run(self) -> Result<(), CommandError> {
        match self.kind {
            Kind::Engine(command) => command.run().await,
            Kind::Platform(command) => command.run().await,
            Kind::Service(command) => command.run().await,
        }
    }
}
