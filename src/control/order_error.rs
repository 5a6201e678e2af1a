use {
    crate::port::{EngineError, PlatformError},
    thiserror::Error,
};

/// Why an order did not take.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum OrderError {
    /// Another host holds the lease; nothing was sent.
    #[error("another host holds `{0}`; it is taken when that host has finished")]
    Held(String),
    /// Another host has ordered by a later sheet; nothing was sent.
    #[error("orders by revision {0} of the sheet stand; they are not replaced by an older one")]
    Stale(u64),
    /// Too little of the lease was left; nothing was sent.
    #[error("too little of the lease was left to send the order")]
    Lapsed,
    /// The platform failed; nothing was sent.
    #[error("no lease: {0}")]
    Platform(#[from] PlatformError),
    /// The engine failed.
    #[error("{0}")]
    Engine(#[from] EngineError),
    /// The engine answered without having loaded everything.
    #[error("the engine took the order and has not loaded everything; look at its own log")]
    Unmet,
    /// No answer within the time limit; the order may still take effect.
    #[error("no answer in time; the order may still take effect")]
    Late,
}
