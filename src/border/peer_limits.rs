use {crate::board::ReceiveBounds, std::time::Duration};

/// What the kernel receives for connections of other daemons; hundreds of them may connect at once.
pub const PEER_RECEIVE: ReceiveBounds = ReceiveBounds {
    buffer_bytes: 64 << 10,
    queued: 1_024,
};

/// Limits of the peer listener.
#[derive(Clone, Copy, Debug)]
pub struct PeerLimits {
    /// Maximum number of open connections; further ones are closed when they are accepted.
    pub connections: usize,
    /// Maximum number of open streams on one connection.
    pub streams: u32,
    /// Maximum size of the header list of a request in bytes.
    pub header_bytes: u32,
    /// Time in which a handshake must end, and a request body must arrive.
    pub read_timeout: Duration,
    /// Time without an open stream after which a connection is closed.
    pub idle_timeout: Duration,
    /// Time that open streams may take to end after the listener was stopped.
    pub drain_timeout: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            streams: 1_024,
            header_bytes: 2 << 10,
            read_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_mins(2),
            drain_timeout: Duration::from_secs(30),
        }
    }
}
