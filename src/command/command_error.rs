use {
    super::ExitStatus,
    crate::border::SettingsError,
    std::{io, path::PathBuf},
    thiserror::Error,
};

/// Why a subcommand failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The settings file cannot be read or has faults.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file cannot be read or written.
    #[error("{path}: {source}; check the path and its permissions", path = path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause as the operating system reports it.
        source: io::Error,
    },
    /// Any other failure, with its exit status.
    #[error("{message}")]
    Status {
        /// Exit status of the process.
        status: ExitStatus,
        /// What failed and what to do about it.
        message: String,
    },
    /// The runtime, a listener or a signal handler could not be started, or standard input failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl CommandError {
    /// Creates a failure that ends with [`ExitStatus::Failed`].
    pub fn failed<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::with_status(ExitStatus::Failed, message)
    }

    /// Creates a failure that ends with `status`.
    pub fn with_status<M>(status: ExitStatus, message: M) -> Self
    where
        M: Into<String>,
    {
        Self::Status {
            status,
            message: message.into(),
        }
    }

    /// Exit status of the process.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Settings(_) => ExitStatus::Settings,
            Self::Status { status, .. } => *status,
            Self::File { .. } | Self::Io(_) => ExitStatus::Failed,
        }
    }
}
