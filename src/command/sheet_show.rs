use {
    super::{CommandError, OperatorClient},
    argh::FromArgs,
    reqwest::Method,
    std::path::PathBuf,
};

/// Print the sheet in force at a daemon, or another retained revision, as CSV.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct SheetShow {
    /// retained revision to print (default: the one in force)
    #[argh(option)]
    revision: Option<u64>,
    /// address of a daemon's operator listener, ip:port (default 127.0.0.1:7101)
    #[argh(option)]
    daemon: Option<String>,
    /// settings file with the operators' key
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl SheetShow {
    /// Requests the sheet from the daemon and prints it.
    ///
    /// # Errors
    ///
    /// Fails if there is no key, or the daemon is unreachable or refuses the request.
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
