use {
    super::{CommandError, OperatorClient},
    argh::FromArgs,
    reqwest::Method,
    std::path::PathBuf,
};

/// Print the sheet in force at a daemon, or a kept revision, as CSV.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct SheetShow {
    /// kept revision
    #[argh(option)]
    revision: Option<u64>,
    /// operator listener of a daemon, ip:port
    #[argh(option)]
    daemon: Option<String>,
    /// settings that hold the operators' key
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl SheetShow {
    /// Asks the daemon and prints the sheet.
    pub async fn run(self) -> Result<(), CommandError> {
        let client = OperatorClient::new(self.daemon, self.settings.as_deref()).await?;
        let path = match self.revision {
            Some(revision) => format!("/v1/sheet?revision={revision}"),
            None => "/v1/sheet".to_owned(),
        };
        print!("{}", client.text(Method::GET, &path).await?);
        Ok(())
    }
}
