use {
    super::{CommandError, OperatorClient},
    argh::FromArgs,
    reqwest::Method,
    std::path::PathBuf,
};

/// Request a planned stop of a daemon: it completes its requests in progress first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainCommand {
    /// address of the daemon's operator listener, ip:port (default 127.0.0.1:7101)
    #[argh(option)]
    daemon: Option<String>,
    /// settings file with the operators' key
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl DrainCommand {
    /// Sends the request and prints the daemon's response.
    ///
    /// # Errors
    ///
    /// Fails if there is no key, or the daemon is unreachable or refuses the request.
    pub async fn run(self) -> Result<(), CommandError> {
        let client = OperatorClient::new(self.daemon, self.settings.as_deref()).await?;
        print!("{}", client.text(Method::POST, "/v1/drain").await?);
        Ok(())
    }
}
