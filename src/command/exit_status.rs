use std::process::ExitCode;

/// Exit status of every subcommand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command did what was asked.
    Done = 0,
    /// The command failed for a reason without a status of its own.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings have faults.
    Settings = 3,
    /// The sheet has faults; nothing was changed.
    Sheet = 4,
    /// Another operator's sheet was accepted first; nothing was changed.
    Conflict = 5,
    /// A daemon or the platform was not reached, or the answer was lost.
    Unreachable = 6,
    /// The key was refused.
    Forbidden = 7,
    /// A run broke an invariant or missed a stated outcome.
    Invariant = 8,
    /// The time allowed ran out before the outcome was seen.
    Timeout = 9,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
