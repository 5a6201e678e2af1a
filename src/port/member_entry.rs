use serde::{Deserialize, Serialize};

/// Entry that a daemon registers for itself in the store.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct MemberEntry {
    /// Unique name of its host.
    pub name: String,
    /// Availability zone of its host.
    pub zone: String,
    /// Address of the peer listener, `ip:port`.
    pub address: String,
    /// Start time in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Processor share that the daemon may use, in hundredths of a core; 0 if not given.
    #[serde(default)]
    pub strength: u32,
}
