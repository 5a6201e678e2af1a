use {
    super::ExitStatus,
    crate::border::SettingsError,
    std::{io, path::PathBuf},
    thiserror::Error,
};

/// Why a subcommand failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file cannot be read or written.
    #[error("{path}: {source}; check the path and its permissions", path = path.display())]
    File {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A failure that ends with the given status.
    #[error("{message}")]
    Status {
        /// Exit status.
        status: ExitStatus,
        /// What failed and what to do.
        message: String,
    },
    /// The runtime or a listener failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl CommandError {
    /// Creates a failure without a status of its own.
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
