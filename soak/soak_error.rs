use {
    std::{io, path::PathBuf},
    thiserror::Error,
};

/// Why a soak could not be run.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A file, a socket or a process could not be had.
    #[error("the soak cannot run: {0}")]
    Io(#[from] io::Error),
    /// It was told to stop.
    #[error("interrupted; the daemons were ended")]
    Interrupted,
    /// A daemon did not become ready.
    #[error("{name} was not ready in time; its log is {log}")]
    Unready {
        /// Name of the daemon.
        name: String,
        /// Its log.
        log: PathBuf,
    },
}
