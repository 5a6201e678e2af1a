use {
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Identifier of a request, unique across all daemons.
///
/// It starts at the entry host, which accepted the request from the caller. The incarnation lets
/// every owner recognise a request whose entry daemon has restarted since.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Stable hash of the entry host's name.
    pub host: u64,
    /// Start time of the entry daemon in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

impl Display for RequestId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:016x}-{:x}-{:x}",
            self.host, self.incarnation, self.sequence
        )
    }
}
