use {
    super::{CommandError, ExitStatus},
    crate::story::{LogEntry, related_entries},
    argh::FromArgs,
    std::{
        fs,
        io::{self, Read},
        path::{Path, PathBuf},
    },
};

/// Host name of lines on standard input that do not name their host.
const STDIN: &str = "stdin";

/// Print the log lines that concern one request, ordered by time, from the logs of all daemons.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "story")]
pub struct StoryCommand {
    /// id of the request
    #[argh(positional)]
    request: String,

    /// log files, one per daemon and named after it; standard input if none is given
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
        for path in &self.logs {
            let text = fs::read(path).map_err(|error| unreadable(path, &error))?;
            lines.extend(entries(&host(path), &text));
        }
        if self.logs.is_empty() {
            let mut text = Vec::new();
            io::stdin().lock().read_to_end(&mut text)?;
            lines.extend(entries(STDIN, &text));
        }
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

/// Parses a log and skips lines that are not entries, such as one that was cut off when the daemon
/// was killed.
fn entries(host: &str, text: &[u8]) -> Vec<LogEntry> {
    let text = String::from_utf8_lossy(text);
    let lines = text.lines();
    lines
        .filter_map(|line| LogEntry::parse(host, line))
        .collect()
}

/// Host of a log file: the file name up to the first dot.
fn host(path: &Path) -> String {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    name.split('.').next().unwrap_or_default().to_owned()
}

fn unreadable(path: &Path, error: &io::Error) -> CommandError {
    CommandError::failed(format!(
        "cannot read the log `{}`: {error}; check the path and its permissions",
        path.display()
    ))
}
