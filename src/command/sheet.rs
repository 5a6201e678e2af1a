use {
    super::{CommandError, SheetCheck, SheetDiff, SheetHistory, SheetShow, SheetSubmit},
    argh::FromArgs,
};

/// Check, submit and show the sheet, which holds the routing configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sheet")]
pub struct SheetCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Check(SheetCheck),
    Diff(SheetDiff),
    History(SheetHistory),
    Show(SheetShow),
    Submit(SheetSubmit),
}

impl SheetCommand {
    /// Runs the chosen action.
    ///
    /// # Errors
    ///
    /// Fails as the action does.
    pub async fn run(self) -> Result<(), CommandError> {
        match self.action {
            Action::Check(check) => check.run().await,
            Action::Diff(diff) => diff.run().await,
            Action::History(history) => history.run().await,
            Action::Show(show) => show.run().await,
            Action::Submit(submit) => submit.run().await,
        }
    }
}
