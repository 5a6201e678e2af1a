use {
    super::Tick,
    serde::{Deserialize, Serialize},
};

/// A host that runs a daemon.
#[derive(Clone, Debug)]
pub struct Host {
    /// Unique name, the input of rendezvous hashing.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the peer listener, `ip:port`.
    pub address: String,
    /// Start time in milliseconds since the Unix epoch; a greater one supersedes a smaller one.
    pub incarnation: u64,
    /// Number of suspicions that the incarnation has refuted.
    pub round: u32,
    /// Hundredths of a core that its daemon may use; 0 if that was not told.
    pub strength: u32,
    /// State of the membership protocol.
    pub state: HostState,
    /// When the state last changed.
    pub since: Tick,
}

/// State of a host in the membership protocol.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Answers heartbeats.
    Alive,
    /// Missed heartbeats; still an owner until the suspicion times out.
    Suspect,
    /// Announced a planned stop: keeps its running work, owns nothing new.
    Leaving,
    /// Removed from ownership.
    Dead,
}

impl HostState {
    /// Whether a host in this state may own endpoints.
    pub fn may_own(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}
