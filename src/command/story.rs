use {
    super::{CommandError, ExitStatus},
    crate::story::{LogEntry, story_of},
    argh::FromArgs,
    std::{
        fs,
        io::{self, Read},
        path::{Path, PathBuf},
    },
};

/// Name of the host of lines on standard input that do not name one.
const STDIN: &str = "stdin";

/// Print the story of one request, in order, from the logs of all daemons.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "story")]
pub struct StoryCommand {
    /// id of the request
    #[argh(positional)]
    request: String,

    /// log files, one a daemon and named after it; standard input without any
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

impl StoryCommand {
    /// Reads the logs and prints the lines.
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
        let story = story_of(&lines, &self.request);
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

/// Lines of a log that can be read; a line may have been cut by a kill.
fn entries(host: &str, text: &[u8]) -> Vec<LogEntry> {
    let text = String::from_utf8_lossy(text);
    let lines = text.lines();
    lines
        .filter_map(|line| LogEntry::read(host, line))
        .collect()
}

/// Host of a log file: its name without what follows the first dot.
fn host(path: &Path) -> String {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    name.split('.').next().unwrap_or_default().to_owned()
}

fn unreadable(path: &Path, error: &io::Error) -> CommandError {
    CommandError::failed(format!("`{}` cannot be read: {error}", path.display()))
}
