use {
    super::{CommandError, ExitStatus, log_files::read_logs},
    crate::story::related_entries,
    argh::FromArgs,
    std::path::PathBuf,
};

/// Print the log lines that concern one request, ordered by time, from the logs of all daemons.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "story")]
pub struct StoryCommand {
    /// id of the request
    #[argh(positional)]
    request: String,

    /// log files, one per daemon and named after it, or directories of them; standard input if
    /// none is given
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

impl StoryCommand {
    /// Reads the logs and prints the related lines.
    ///
    /// # Errors
    ///
    /// Fails if a log cannot be read or no line names the request.
    pub fn run(&self) -> Result<(), CommandError> {
        let mut lines = Vec::new();
        read_logs(&self.logs, |entry| lines.push(entry))?;
        let story = related_entries(&lines, &self.request);
        if story.is_empty() {
            let message = format!(
                "no line of {} names request `{}`; give the logs of every daemon of that time",
                lines.len(),
                self.request
            );
            return Err(CommandError::with_status(ExitStatus::Failed, message));
        }
        for line in story {
            println!("{line}");
        }
        Ok(())
    }
}
