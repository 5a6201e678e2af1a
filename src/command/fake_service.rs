use {
    super::{
        CommandError,
        fake_process::{announce, read_fake_settings, stopped},
    },
    crate::fake::FakeService,
    argh::FromArgs,
    std::path::PathBuf,
};

/// Run the stand-in of a plain service; it prints its address as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct FakeServiceCommand {
    /// settings file, see docs/ENDPOINTS.md; defaults without it
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl FakeServiceCommand {
    /// Runs the stand-in until a signal.
    pub async fn run(self) -> Result<(), CommandError> {
        let settings = read_fake_settings(self.settings).await?;
        let fake = FakeService::start(settings).await?;
        announce(fake.address());
        stopped().await
    }
}
