use {
    super::{
        CommandError,
        fake_process::{print_address, read_fake_settings, stop_signal},
    },
    crate::fake::FakePlatform,
    argh::FromArgs,
    std::path::PathBuf,
};

/// Run an emulated platform; it prints its address as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct FakePlatformCommand {
    /// settings file, see docs/PLATFORM.md (default: default settings)
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl FakePlatformCommand {
    /// Runs the emulated platform until SIGINT or SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid or the listener cannot be bound.
    pub async fn run(self) -> Result<(), CommandError> {
        let settings = read_fake_settings(self.settings).await?;
        let fake = FakePlatform::start(settings).await?;
        print_address(fake.address());
        stop_signal().await
    }
}
