use prometheus_client::{metrics::counter::Counter, registry::Registry};

/// Bytes and messages exchanged with other daemons, with all framing of HTTP/2.
#[derive(Clone, Debug, Default)]
pub struct PeerTraffic {
    /// Bytes read from connections.
    pub bytes_in: Counter,
    /// Bytes written to connections.
    pub bytes_out: Counter,
    /// Calls answered.
    pub calls_in: Counter,
    /// Calls made.
    pub calls_out: Counter,
    /// Calls refused for their key, size or encoding.
    pub refused: Counter,
    /// Connections made.
    pub connects: Counter,
}

impl PeerTraffic {
    /// Creates the counters and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        let traffic = Self::default();
        let counters = [
            (
                "peer_bytes_in",
                "Bytes read from other daemons",
                &traffic.bytes_in,
            ),
            (
                "peer_bytes_out",
                "Bytes written to other daemons",
                &traffic.bytes_out,
            ),
            (
                "peer_calls_in",
                "Calls of other daemons answered",
                &traffic.calls_in,
            ),
            (
                "peer_calls_out",
                "Calls made to other daemons",
                &traffic.calls_out,
            ),
            (
                "peer_refused",
                "Calls of other daemons refused",
                &traffic.refused,
            ),
            (
                "peer_connects",
                "Connections made to other daemons",
                &traffic.connects,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        traffic
    }
}
