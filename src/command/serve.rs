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

/// Run a daemon until a signal or an operator stops it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeCommand {
    /// settings file of the daemon
    #[argh(option)]
    settings: PathBuf,
}

impl ServeCommand {
    /// Runs the daemon. SIGTERM, SIGINT or an operator's request starts a planned stop; a signal
    /// during the planned stop ends the daemon at once.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid, the daemon cannot be started, or requests were cut off
    /// by a second signal or by the end of `timing.drain`.
    pub async fn run(self) -> Result<(), CommandError> {
        let settings = read_settings(&self.settings).await?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        start_logs(&settings.log)?;
        let daemon = Daemon::start(&settings);
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
            () = first_signal(&mut terminate, &mut interrupt) => {}
            () = daemon.drain_requested() => {}
        }
        log::info!(
            "planned stop has begun; no new requests are accepted, those in progress are completed"
        );
        tokio::select! {
            ended = daemon.stop() => if ended {
                Ok(())
            } else {
                let message = "requests in progress were cut off at the end of `timing.drain`; \
                    raise it if they need longer";
                Err(CommandError::with_status(ExitStatus::Timeout, message))
            },
            () = first_signal(&mut terminate, &mut interrupt) => {
                let message = "stopped at once by a second signal; requests in progress were cut off";
                Err(CommandError::failed(message))
            }
        }
    }
}

/// Waits for the first of two signals.
async fn first_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
