use {
    super::{CapacityFaults, CapacityLayouts, CapacityRun, CapacityTable, CommandError},
    argh::FromArgs,
};

/// Measure the resources that the control planes of many daemons use on this machine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Faults(CapacityFaults),
    Layouts(CapacityLayouts),
    Run(CapacityRun),
    Table(CapacityTable),
}

impl CapacityCommand {
    /// Runs the chosen action.
    ///
    /// # Errors
    ///
    /// Fails as the action does.
    pub async fn run(self) -> Result<(), CommandError> {
        match self.action {
            Action::Faults(faults) => faults.run().await,
            Action::Layouts(layouts) => layouts.run(),
            Action::Run(run) => run.run().await,
            Action::Table(table) => table.run(),
        }
    }
}
