use {super::CommandError, crate::border::read_settings, argh::FromArgs, std::path::PathBuf};

/// Check a settings file without starting a daemon; all faults are reported together.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct SettingsCheck {
    /// settings file to check
    #[argh(positional)]
    file: PathBuf,
}

impl SettingsCheck {
    /// Reads and checks the file and prints a summary.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has faults.
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
