use {
    super::{CommandError, ExitStatus, Format, OperatorClient, print_json, sheet_check::read_file},
    crate::{board::FleetStatus, control::Acceptance},
    argh::FromArgs,
    serde::Serialize,
    std::{path::PathBuf, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time between two status requests while waiting for the sheet to be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Default of `--timeout`, in seconds.
const DEFAULT_WAIT_SECS: u64 = 30;

/// Submit a sheet: it is accepted as a whole, or nothing changes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct SheetSubmit {
    /// sheet, a CSV file
    #[argh(positional)]
    file: PathBuf,
    /// revision on which the sheet is based (default: the one in force at the daemon)
    #[argh(option)]
    base: Option<u64>,
    /// change id of an earlier submission to repeat because its outcome is unknown (default: a new
    /// random id)
    #[argh(option)]
    change: Option<String>,
    /// author of the change: letters, digits and hyphens (default operator)
    #[argh(option, default = "String::from(\"operator\")")]
    author: String,
    /// wait until the sheet is in force on every live daemon
    #[argh(switch)]
    wait: bool,
    /// longest time for --wait in seconds (default 30)
    #[argh(option, default = "DEFAULT_WAIT_SECS")]
    timeout: u64,
    /// address of a daemon's operator listener, ip:port (default 127.0.0.1:7101)
    #[argh(option)]
    daemon: Option<String>,
    /// settings file with the operators' key
    #[argh(option)]
    settings: Option<PathBuf>,
    /// output format: table or json (default table)
    #[argh(option, default = "Format::Table")]
    format: Format,
}

/// Result of a submission, printed as JSON or text.
#[derive(Debug, Serialize)]
struct Outcome {
    /// Revision that holds the sheet.
    revision: u64,
    /// Number of branches that changed; 0 if the revision already held this sheet.
    branches: u32,
    /// Change id of the submission.
    change: String,
    /// Live daemons on which the sheet is in force; only with `--wait`.
    #[serde(skip_serializing_if = "Option::is_none")]
    daemons: Option<usize>,
    /// Time from the submission until the sheet was in force on all of them, in milliseconds; only
    /// with `--wait`.
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force_ms: Option<u64>,
}

impl SheetSubmit {
    /// Submits the sheet and, with `--wait`, waits until it is in force on every live daemon.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, the author is invalid, the sheet is rejected, the daemon
    /// is unreachable or the sheet is not in force on every live daemon within `--timeout`.
    pub async fn run(self) -> Result<(), CommandError> {
        let body = read_file(&self.file).await?;
        let client = OperatorClient::new(self.daemon, self.settings.as_deref()).await?;
        let base = match self.base {
            Some(base) => base,
            None => in_force(&client).await?,
        };
        let change = self.change.unwrap_or_else(new_change);
        let author = check_author(self.author)?;
        let path = format!("/v1/sheet?base={base}&change={change}&author={author}");
        let started = Instant::now();
        let accepted = client
            .put::<Acceptance>(&path, body)
            .await
            .map_err(|error| with_change_id(error, &change))?;
        let mut outcome = Outcome {
            revision: accepted.revision,
            branches: accepted.branches,
            change,
            daemons: None,
            in_force_ms: None,
        };
        if self.wait {
            let deadline = started + Duration::from_secs(self.timeout);
            outcome.daemons = Some(wait(&client, accepted.revision, deadline).await?);
            outcome.in_force_ms = Some(started.elapsed().as_millis() as u64);
        }
        print(&outcome, self.format)
    }
}

/// Revision in force at the daemon; 0 before the first sheet.
async fn in_force(client: &OperatorClient) -> Result<u64, CommandError> {
    let status = client.get::<FleetStatus>("/v1/status?own=true").await?;
    Ok(status.daemons.first().map_or(0, |daemon| daemon.revision))
}

/// Waits until `revision` is in force on every live daemon and returns their number.
///
/// # Errors
///
/// Fails if a status request fails or `deadline` passes.
async fn wait(
    client: &OperatorClient,
    revision: u64,
    deadline: Instant,
) -> Result<usize, CommandError> {
    loop {
        let status = client.get::<FleetStatus>("/v1/status").await?;
        let behind = status.daemons.iter().filter(|d| d.revision < revision);
        let behind = behind.map(|daemon| daemon.host.clone());
        let missing = behind
            .chain(status.silent.iter().cloned())
            .collect::<Vec<_>>();
        if missing.is_empty() {
            return Ok(status.daemons.len());
        }
        if Instant::now() >= deadline {
            let names = missing.join(", ");
            let message = format!(
                "revision {revision} is accepted but not yet in force at {names}; \
                 check these daemons with `status`"
            );
            return Err(CommandError::with_status(ExitStatus::Timeout, message));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Adds to the error of a submission without a response how to find out its outcome.
fn with_change_id(error: CommandError, change: &str) -> CommandError {
    if error.status() != ExitStatus::Unreachable {
        return error;
    }
    let message = format!("{error}; submit the file again with `--change {change}`");
    CommandError::with_status(ExitStatus::Unreachable, message)
}

fn new_change() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn check_author(author: String) -> Result<String, CommandError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
    if !author.is_empty() && author.chars().all(allowed) {
        return Ok(author);
    }
    let message = "--author may contain only letters, digits and hyphens, at least one";
    Err(CommandError::with_status(ExitStatus::Usage, message))
}

fn print(outcome: &Outcome, format: Format) -> Result<(), CommandError> {
    if format == Format::Json {
        return print_json(outcome);
    }
    let Outcome {
        revision, branches, ..
    } = outcome;
    if *branches == 0 {
        println!("revision {revision} holds this sheet already");
    } else {
        println!("revision {revision} accepted, {branches} branches changed");
    }
    if let (Some(daemons), Some(time)) = (outcome.daemons, outcome.in_force_ms) {
        println!("in force on {daemons} daemons after {time} ms");
    }
    Ok(())
}
