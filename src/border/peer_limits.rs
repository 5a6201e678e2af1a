use std::time::Duration;

/// Limits of the peer listener.
#[derive(Clone, Copy, Debug)]
pub struct PeerLimits {
    /// Connections open at once; further ones are closed at once.
    pub connections: usize,
    /// Streams open at once on one connection.
    pub streams: u32,
    /// Length of the header list of a request in bytes.
    pub header_bytes: u32,
    /// Time for a handshake, and for the body of a request.
    pub read_time: Duration,
    /// Time that a connection may stay without a stream.
    pub idle_time: Duration,
    /// Time that open streams have after the listener was told to stop.
    pub stop_time: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            streams: 1_024,
            header_bytes: 2 << 10,
            read_time: Duration::from_secs(5),
            idle_time: Duration::from_mins(2),
            stop_time: Duration::from_secs(30),
        }
    }
}
