use {
    super::{CommandError, ExitStatus},
    crate::{
        border::{read_settings, start_logs},
        daemon::Daemon,
    },
    argh::FromArgs,
    std::path::PathBuf,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Run a daemon until it is told to stop.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeCommand {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

impl ServeCommand {
    /// Runs the daemon; SIGTERM or SIGINT stops it as planned, a second one at once.
    pub async fn run(self) -> Result<(), CommandError> {
        let settings = read_settings(&self.settings).await?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        start_logs(&settings.log)?;
        let daemon = Daemon::start(&settings).await;
        let daemon = daemon.map_err(|e| CommandError::failed(e.to_string()))?;
        let addresses = daemon.addresses();
        log::info!(
            host = settings.host.as_str(),
            callers:% = addresses.callers,
            operators:% = addresses.operators,
            peers:% = addresses.peers;
            "serving"
        );
        tokio::select! {
            () = either(&mut terminate, &mut interrupt) => {}
            () = daemon.drain_requested() => {}
        }
        log::info!("stopping; requests in progress are completed");
        tokio::select! {
            ended = daemon.stop() => if ended {
                Ok(())
            } else {
                let message = "requests were still running at the end of `timing.drain`";
                Err(CommandError::with_status(ExitStatus::Timeout, message))
            },
            () = either(&mut terminate, &mut interrupt) => {
                let message = "stopped at once by a second signal; requests were cut";
                Err(CommandError::failed(message))
            }
        }
    }
}

async fn either(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
