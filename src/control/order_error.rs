use {
    crate::port::{EngineError, PlatformError},
    thiserror::Error,
};

/// Why an engine has not loaded what its plan requires.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum OrderError {
    /// Another host holds the lease; nothing was sent.
    #[error("another host holds `{0}`; it is taken when that host has finished")]
    Held(String),
    /// Another host has sent orders of a later revision of the sheet; nothing was sent.
    #[error(
        "orders of revision {0} of the sheet are in force; an older revision does not replace them"
    )]
    Stale(u64),
    /// The lease would have expired before the time limit of the order; nothing was sent.
    #[error("order not sent: its lease would have expired before the time limit")]
    LeaseExpiring,
    /// The platform failed; nothing was sent.
    #[error("lease not acquired: {0}")]
    Platform(#[from] PlatformError),
    /// The call to the engine failed.
    #[error("{0}")]
    Engine(#[from] EngineError),
    /// The engine accepted the order but does not report everything as loaded.
    #[error(
        "the engine accepted the order but has not loaded everything; see the log of the engine"
    )]
    Incomplete,
    /// No response within the time limit; the order may still take effect.
    #[error("the engine did not respond within the time limit; the order may still take effect")]
    TimedOut,
}
