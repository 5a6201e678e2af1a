use crate::port::{EngineError, UpstreamError};

/// What can be proved about an attempt at an endpoint. The state never goes back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptState {
    /// Nothing of the request has left this host.
    Unsent,
    /// The request was sent, and no response has arrived.
    Sent,
    /// The endpoint has responded.
    Answered,
    /// The endpoint provably did not run the attempt.
    NotRun,
    /// The request was sent, and its outcome will not become known.
    Unknown,
}

impl AttemptState {
    /// Returns the state after a call failed with `error`.
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
            UpstreamError::Broken(_) | UpstreamError::Oversized(_) | UpstreamError::TimedOut => {
                Self::Unknown
            }
        }
    }
}
