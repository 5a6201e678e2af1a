use {
    super::{CommandError, TraceMake},
    argh::FromArgs,
};

/// Work on traces.
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
    /// Runs the part that was asked for.
    pub fn run(self) -> Result<(), CommandError> {
        match self.part {
            TracePart::Make(command) => command.run(),
        }
    }
}
