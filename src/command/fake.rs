use {
    super::{CommandError, FakeEngineCommand, FakePlatformCommand, FakeServiceCommand},
    argh::FromArgs,
};

/// Run a stand-in of a system outside until it is told to stop.
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
    /// Runs the chosen stand-in.
    pub async fn run(self) -> Result<(), CommandError> {
        match self.kind {
            Kind::Engine(command) => command.run().await,
            Kind::Platform(command) => command.run().await,
            Kind::Service(command) => command.run().await,
        }
    }
}
