use {
    std::{io, path::PathBuf},
    thiserror::Error,
};

/// Why a soak could not run to its end.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A file, socket or process operation failed.
    #[error("soak aborted: {0}; check the folder, the free ports and the binary")]
    Io(#[from] io::Error),
    /// SIGTERM or SIGINT arrived.
    #[error("interrupted by a signal; the daemons were killed")]
    Interrupted,
    /// A daemon was not ready within 20 s of its start.
    #[error("{name} was not ready within 20 s; see its log {log}")]
    Unready {
        /// Name of the daemon.
        name: String,
        /// Path of its log file.
        log: PathBuf,
    },
}
