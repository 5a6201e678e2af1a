use {
    super::{CommandError, Format, log_files::read_logs, print_json, table},
    crate::story::{Loss, LossReader, LossReport},
    argh::FromArgs,
    std::path::PathBuf,
};

/// Report what requests lost compared with responses in time, by route and cause, from the logs of
/// all daemons.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "losses")]
pub struct LossesCommand {
    /// longest pause between two events of a stream that is in time, in milliseconds (default:
    /// pauses do not count)
    #[argh(option, default = "u64::MAX")]
    pause: u64,

    /// output format: table or json (default table)
    #[argh(option, default = "Format::Table")]
    format: Format,

    /// log files, one per daemon and named after it, or directories of them; standard input if
    /// none is given
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

impl LossesCommand {
    /// Reads the logs and prints the report.
    ///
    /// # Errors
    ///
    /// Fails if a log cannot be read or no line names a request.
    pub fn run(&self) -> Result<(), CommandError> {
        let mut reader = LossReader::new(self.pause);
        read_logs(&self.logs, |entry| reader.read(&entry))?;
        let report = reader.report();
        if report.requests == 0 {
            let message = "no line names a request; give the logs of the daemons".to_owned();
            return Err(CommandError::failed(message));
        }
        match self.format {
            Format::Json => print_json(&report)?,
            Format::Table => print!("{}", text(&report)),
        }
        Ok(())
    }
}

/// The report for people: a line of sums and a table.
fn text(report: &LossReport) -> String {
    let rows: Vec<_> = report.losses.iter().map(row).collect();
    let head = [
        "ROUTE",
        "CAUSE",
        "REQUESTS",
        "OF",
        "MEDIAN_MS",
        "LONGEST_MS",
        "VAIN_PREFILLS",
    ];
    format!(
        "{} of {} requests in time; {} prefills in vain; {} log lines dropped\n{}",
        report.in_time,
        report.requests,
        report.vain_prefills,
        report.dropped_lines,
        table(head, &rows)
    )
}

fn row(loss: &Loss) -> [String; 7] {
    [
        loss.route.clone(),
        loss.cause.to_string(),
        loss.requests.to_string(),
        loss.of.to_string(),
        loss.median_ms.to_string(),
        loss.longest_ms.to_string(),
        loss.vain_prefills.to_string(),
    ]
}
