use {
    super::{CommandError, ExitStatus, Format, OperatorClient, print_json, sheet_check::read_file},
    crate::{board::FleetStatus, control::Acceptance},
    argh::FromArgs,
    serde::Serialize,
    std::{path::PathBuf, time::Duration},
    tokio::time::{Instant, sleep},
};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const DEFAULT_WAIT_SECS: u64 = 30;

/// Submit a sheet: it is accepted whole, or nothing changes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct SheetSubmit {
    /// sheet, CSV
    #[argh(positional)]
    file: PathBuf,
    /// revision that the sheet was made from; the one in force at the daemon if left out
    #[argh(option)]
    base: Option<u64>,
    /// change id of an earlier submission whose outcome is unknown
    #[argh(option)]
    change: Option<String>,
    /// who submits, letters, digits and hyphens
    #[argh(option, default = "String::from(\"operator\")")]
    author: String,
    /// return when the sheet is in force on every live daemon
    #[argh(switch)]
    wait: bool,
    /// longest wait in seconds
    #[argh(option, default = "DEFAULT_WAIT_SECS")]
    timeout: u64,
    /// operator listener of a daemon, ip:port
    #[argh(option)]
    daemon: Option<String>,
    /// settings that hold the operators' key
    #[argh(option)]
    settings: Option<PathBuf>,
    /// table or json
    #[argh(option, default = "Format::Table")]
    format: Format,
}

/// What a submission came to.
#[derive(Debug, Serialize)]
struct Outcome {
    revision: u64,
    branches: u32,
    change: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    daemons: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force_ms: Option<u64>,
}

impl SheetSubmit {
    /// Submits the sheet and, if asked to, waits until it is in force.
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
            .map_err(|error| name_change(error, &change))?;
        let mut outcome = Outcome {
            revision: accepted.revision,
            branches: accepted.branches,
            change,
            daemons: None,
            in_force_ms: None,
        };
        if self.wait {
            let limit = started + Duration::from_secs(self.timeout);
            outcome.daemons = Some(wait(&client, accepted.revision, limit).await?);
            outcome.in_force_ms = Some(started.elapsed().as_millis() as u64);
        }
        print(&outcome, self.format)
    }
}

async fn in_force(client: &OperatorClient) -> Result<u64, CommandError> {
    let status = client.get::<FleetStatus>("/v1/status?own=true").await?;
    Ok(status.daemons.first().map_or(0, |daemon| daemon.revision))
}

/// Waits until every live daemon holds `revision`; returns their number.
async fn wait(
    client: &OperatorClient,
    revision: u64,
    limit: Instant,
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
        if Instant::now() >= limit {
            let names = missing.join(", ");
            let message = format!("revision {revision} is accepted but not seen at {names}");
            return Err(CommandError::with_status(ExitStatus::Timeout, message));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Adds to a lost answer how to learn the outcome.
fn name_change(error: CommandError, change: &str) -> CommandError {
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
    let message = "the author may have letters, digits and hyphens only";
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
