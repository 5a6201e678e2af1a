use crate::port::{EngineError, UpstreamError};

/// What can be proved about an attempt. It only moves forward.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptState {
    /// Nothing has left this host.
    Unsent,
    /// The call has left and no answer has come.
    Sent,
    /// The endpoint answered.
    Answered,
    /// The endpoint provably did not run the attempt.
    NotRun,
    /// Sent, and nothing more will be learned.
    Unknown,
}

impl AttemptState {
    /// State after a call failed with `error`.
    pub fn after(error: &EngineError) -> Self {
        if error.is_not_run() {
            Self::NotRun
        } else {
            Self::Unknown
        }
    }

    /// Whether the attempt provably did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Unsent | Self::NotRun)
    }
}

impl From<&UpstreamError> for AttemptState {
    fn from(error: &UpstreamError) -> Self {
        match error {
            UpstreamError::Unsent(_) => Self::Unsent,
            UpstreamError::Refused { .. } | UpstreamError::Misdirected => Self::NotRun,
            UpstreamError::Broken(_) | UpstreamError::Silent => Self::Unknown,
        }
    }
}
