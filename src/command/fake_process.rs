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

/// Reads the settings of an emulated system; returns the default settings if `path` is `None`.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed.
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

/// Prints the address on which an emulated system listens, as JSON.
pub(super) fn print_address(address: SocketAddr) {
    println!("{}", json!({ "address": address }));
}

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
///
/// Fails if a signal handler cannot be installed.
pub(super) async fn stop_signal() -> Result<(), CommandError> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    select! {
        _ = interrupt.recv() => Ok(()),
        _ = terminate.recv() => Ok(()),
    }
}
