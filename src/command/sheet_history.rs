use {
    super::{CommandError, Format, OperatorClient, print_json, table},
    crate::control::ChangeRecord,
    argh::FromArgs,
    std::path::PathBuf,
};

/// List the retained revisions of the sheet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct SheetHistory {
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

impl SheetHistory {
    /// Requests the revisions from the daemon and prints them.
    ///
    /// # Errors
    ///
    /// Fails if there is no key, or the daemon is unreachable or refuses the request.
    pub async fn run(self) -> Result<(), CommandError> {
        let client = OperatorClient::new(self.daemon, self.settings.as_deref()).await?;
        let changes = client.get::<Vec<ChangeRecord>>("/v1/sheet/history").await?;
        if self.format == Format::Json {
            return print_json(&changes);
        }
        let rows = changes.iter().map(|change| {
            [
                change.revision.to_string(),
                change.time.to_string(),
                change.author.clone(),
                change.branches.to_string(),
                change.change.clone(),
            ]
        });
        let head = ["REVISION", "UNIX_MS", "AUTHOR", "BRANCHES", "CHANGE"];
        print!("{}", table(head, &rows.collect::<Vec<_>>()));
        Ok(())
    }
}
