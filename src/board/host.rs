use {
    super::Tick,
    serde::{Deserialize, Serialize},
};

/// A host (a machine) that runs a daemon.
#[derive(Clone, Debug)]
pub struct Host {
    /// Unique name, the input of rendezvous hashing.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the peer listener, `ip:port`.
    pub address: String,
    /// Start time of its daemon in milliseconds since the Unix epoch; a greater one supersedes a
    /// smaller one.
    pub incarnation: u64,
    /// Number of suspicions that this incarnation has refuted.
    pub refutations: u32,
    /// Processor share of its daemon in hundredths of a core; 0 if that is not known.
    pub cpu_hundredths: u32,
    /// State of the membership protocol.
    pub state: HostState,
    /// When the state last changed.
    pub changed_at: Tick,
}

/// State of a host in the membership protocol.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Replies to heartbeats.
    Alive,
    /// Missed heartbeats; may still own endpoints until the suspicion times out.
    Suspect,
    /// Announced a planned stop: finishes its running requests and owns no new ones.
    Leaving,
    /// Crashed, stopped or unreachable for too long; owns nothing.
    Dead,
}

impl HostState {
    /// Returns whether a host in this state may own endpoints.
    pub fn may_own(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}
