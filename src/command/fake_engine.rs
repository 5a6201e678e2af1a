use {
    super::{
        CommandError,
        fake_process::{announce, read_fake_settings, stopped},
    },
    crate::fake::FakeEngine,
    argh::FromArgs,
    std::path::PathBuf,
};

/// Run the stand-in of a model engine; it prints its address as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct FakeEngineCommand {
    /// settings file, see docs/ENDPOINTS.md; defaults without it
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl FakeEngineCommand {
    /// Runs the stand-in until a signal.
    pub async fn run(self) -> Result<(), CommandError> {
        let settings = read_fake_settings(self.settings).await?;
        let fake = FakeEngine::start(settings).await?;
        announce(fake.address());
        stopped().await
    }
}
