use {
    super::{
        CommandError,
        fake_process::{print_address, read_fake_settings, stop_signal},
    },
    crate::fake::FakeEngine,
    argh::FromArgs,
    std::path::PathBuf,
};

/// Run an emulated model engine; it prints its address as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct FakeEngineCommand {
    /// settings file, see docs/ENDPOINTS.md (default: default settings)
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl FakeEngineCommand {
    /// Runs the emulated model engine until SIGINT or SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid or the listener cannot be bound.
    pub async fn run(self) -> Result<(), CommandError> {
        let settings = read_fake_settings(self.settings).await?;
        let fake = FakeEngine::start(settings).await?;
        print_address(fake.address());
        stop_signal().await
    }
}
