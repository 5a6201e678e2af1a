use {
    super::{CommandError, SettingsCheck},
    argh::FromArgs,
};

/// Check settings files.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct SettingsCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Check(SettingsCheck),
}

impl SettingsCommand {
    /// Runs the chosen action.
    ///
    /// # Errors
    ///
    /// Fails as the action does.
    pub async fn run(self) -> Result<(), CommandError> {
        match self.action {
            Action::Check(check) => check.run().await,
        }
    }
}
