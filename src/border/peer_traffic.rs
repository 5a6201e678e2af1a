use prometheus_client::{metrics::counter::Counter, registry::Registry};

/// Counters of the traffic with other daemons; the bytes include the framing of HTTP/2.
#[derive(Clone, Debug, Default)]
pub struct PeerTraffic {
    /// Bytes read from connections.
    pub bytes_in: Counter,
    /// Bytes written to connections.
    pub bytes_out: Counter,
    /// Calls of other daemons that were handled.
    pub calls_in: Counter,
    /// Calls sent to other daemons.
    pub calls_out: Counter,
    /// Calls of other daemons that were refused because of their key, size, encoding or delay.
    pub refused: Counter,
    /// Connections opened to other daemons.
    pub connects: Counter,
}

impl PeerTraffic {
    /// Creates the counters and registers them with `registry`.
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
