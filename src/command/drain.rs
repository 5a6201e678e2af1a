use {
    super::{CommandError, OperatorClient},
    argh::FromArgs,
    reqwest::Method,
    std::path::PathBuf,
};

/// Ask a daemon to stop after its requests in progress.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainCommand {
    /// operator listener of the daemon, ip:port
    #[argh(option)]
    daemon: Option<String>,
    /// settings that hold the operators' key
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl DrainCommand {
    /// Sends the call.
    pub async fn run(self) -> Result<(), CommandError> {
        let client = OperatorClient::new(self.daemon, self.settings.as_deref()).await?;
        print!("{}", client.text(Method::POST, "/v1/drain").await?);
        Ok(())
    }
}
