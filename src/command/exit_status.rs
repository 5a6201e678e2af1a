use std::process::ExitCode;

/// Exit status of the process, for all subcommands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The command failed for a reason that has no other status.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The settings are invalid.
    Settings = 3,
    /// The sheet is invalid; nothing was changed.
    Sheet = 4,
    /// Another operator's sheet was accepted first; nothing was changed.
    Conflict = 5,
    /// A daemon or the platform was unreachable, or its response did not arrive.
    Unreachable = 6,
    /// The operators' key was rejected.
    Forbidden = 7,
    /// A run broke an invariant or missed an expected outcome.
    Invariant = 8,
    /// The timeout expired before the outcome was known.
    Timeout = 9,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
