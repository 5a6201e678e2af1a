use {
    super::{CommandError, TraceMake},
    argh::FromArgs,
};

/// Create traces.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceCommand {
    #[argh(subcommand)]
    part: TracePart,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum TracePart {
    Make(TraceMake),
}

impl TraceCommand {
    /// Runs the chosen action.
    ///
    /// # Errors
    ///
    /// Fails as the action does.
    pub fn run(self) -> Result<(), CommandError> {
        match self.part {
            TracePart::Make(command) => command.run(),
        }
    }
}
