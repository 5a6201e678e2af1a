use {
    crate::port::{PeerError, PlatformError},
    std::io,
    thiserror::Error,
};

/// Why a daemon did not start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A listener could not be bound to its address.
    #[error("cannot bind to `{address}`: {source}; choose a free address in `listen`")]
    Bind {
        /// Address, `ip:port`, or the name of the listener if its address is unknown.
        address: String,
        /// Cause as the operating system reports it.
        source: io::Error,
    },
    /// The platform client could not be created.
    #[error("cannot create the platform client: {0}; check `platform.address`")]
    Platform(#[from] PlatformError),
    /// The peer client could not be created.
    #[error("cannot create the peer client: {0}; check `keys.peers`")]
    Peer(#[from] PeerError),
    /// The HTTP client of the endpoints could not be created.
    #[error("cannot create the HTTP client of the endpoints: {0}")]
    Http(#[from] reqwest::Error),
}
