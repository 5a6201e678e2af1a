use {
    crate::port::{PeerError, PlatformError},
    std::io,
    thiserror::Error,
};

/// Why a daemon did not start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A listener could not be bound.
    #[error("`{address}` cannot be bound: {source}; choose a free address in `listen`")]
    Bind {
        /// Address.
        address: String,
        /// Cause.
        source: io::Error,
    },
    /// The platform client could not be made.
    #[error("the platform client could not be made: {0}; check `platform.address`")]
    Platform(#[from] PlatformError),
    /// The peer client could not be made.
    #[error("the peer client could not be made: {0}; check `keys.peers`")]
    Peer(#[from] PeerError),
    /// The HTTP client could not be made.
    #[error("the HTTP client could not be made: {0}")]
    Http(#[from] reqwest::Error),
}
