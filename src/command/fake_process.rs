use {
    super::{CommandError, ExitStatus},
    serde::de::DeserializeOwned,
    serde_json::json,
    std::{net::SocketAddr, path::PathBuf},
    tokio::{
        fs::read_to_string,
        select,
        signal::unix::{SignalKind, signal},
    },
};

/// Reads the settings of a stand-in, or takes the defaults without a file.
pub(super) async fn read_fake_settings<S>(path: Option<PathBuf>) -> Result<S, CommandError>
where
    S: Default + DeserializeOwned,
{
    let Some(path) = path else {
        return Ok(S::default());
    };
    let text = match read_to_string(&path).await {
        Ok(text) => text,
        Err(source) => return Err(CommandError::File { path, source }),
    };
    serde_saphyr::from_str(&text).map_err(|e| {
        let message = format!("{}: {e}", path.display());
        CommandError::with_status(ExitStatus::Settings, message)
    })
}

/// Prints the address of a stand-in that listens.
pub(super) fn announce(address: SocketAddr) {
    println!("{}", json!({ "address": address }));
}

/// Waits for an interrupt or a termination signal.
pub(super) async fn stopped() -> Result<(), CommandError> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    select! {
        _ = interrupt.recv() => Ok(()),
        _ = terminate.recv() => Ok(()),
    }
}
