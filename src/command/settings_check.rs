use {super::CommandError, crate::border::read_settings, argh::FromArgs, std::path::PathBuf};

/// Check a settings file without starting anything; every fault is reported at once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct SettingsCheck {
    /// settings file
    #[argh(positional)]
    file: PathBuf,
}

impl SettingsCheck {
    /// Reads and checks the file.
    pub async fn run(self) -> Result<(), CommandError> {
        let settings = read_settings(&self.file).await?;
        let branches = settings.branches.len();
        println!(
            "{}: good; host {}, zone {}, {branches} branches",
            self.file.display(),
            settings.host,
            settings.zone,
        );
        Ok(())
    }
}
