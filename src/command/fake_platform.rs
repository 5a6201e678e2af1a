use {
    super::{
        CommandError,
        fake_process::{announce, read_fake_settings, stopped},
    },
    crate::fake::FakePlatform,
    argh::FromArgs,
    std::path::PathBuf,
};

/// Run the stand-in of the platform; it prints its address as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct FakePlatformCommand {
    /// settings file, see docs/PLATFORM.md; defaults without it
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl FakePlatformCommand {
    /// Runs the stand-in until a signal.
    pub async fn run(self) -> Result<(), CommandError> {
        let settings = read_fake_settings(self.settings).await?;
        let fake = FakePlatform::start(settings).await?;
        announce(fake.address());
        stopped().await
    }
}
