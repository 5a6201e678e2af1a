use {
    super::{CommandError, Format, OperatorClient, print_json, table},
    crate::control::ChangeRecord,
    argh::FromArgs,
    std::path::PathBuf,
};

/// List the accepted revisions that are kept.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct SheetHistory {
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

impl SheetHistory {
    /// Asks the daemon and prints the list.
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
