use {
    super::{HostState, OrderStatus},
    serde::{Deserialize, Serialize},
};

/// State of one daemon and its view of the fleet, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Name of the daemon's host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Revision of the sheet in force.
    pub revision: u64,
    /// Whether the daemon reports that it is ready for new requests.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Whether the platform's store has responded recently.
    pub store: bool,
    /// Number of endpoints that this daemon owns.
    pub owned: u32,
    /// Hosts that run daemons, as this daemon sees them.
    pub members: Vec<MemberStatus>,
    /// Pools as this daemon sees them.
    pub pools: Vec<PoolStatus>,
    /// Requests suspected of crashing endpoints.
    pub suspects: Vec<SuspectStatus>,
    /// Owned engines that have not loaded what the sheet requires.
    #[serde(default)]
    pub orders: Vec<OrderStatus>,
}

/// A host that runs a daemon, as the reporting daemon sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// State in the membership protocol.
    pub state: HostState,
    /// Start time of the host's daemon in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// A pool as a daemon sees it; load is counted only at the endpoints that the daemon owns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolStatus {
    /// Unique name.
    pub name: String,
    /// Number of endpoints.
    pub endpoints: u32,
    /// Number of draining endpoints.
    pub leaving: u32,
    /// Number of endpoints that get no work because of repeated failures.
    pub ejected: u32,
    /// Number of endpoints that the daemon owns.
    pub owned: u32,
    /// Number of attempts that run at owned endpoints.
    pub running: u32,
    /// Number of requests that wait for owned endpoints.
    pub waiting: u32,
    /// Pieces of engine memory granted at owned endpoints.
    pub granted: u32,
}

/// A request suspected of crashing endpoints.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectStatus {
    /// Fingerprint of branch, kind and body: 16 hexadecimal digits.
    pub print: String,
    /// Names of the endpoints that crashed while running it.
    pub endpoints: Vec<String>,
    /// Whether the request is refused everywhere.
    pub refused: bool,
}

/// Status of every daemon, for operators.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Status of the daemons that replied, ordered by name of the host.
    pub daemons: Vec<Status>,
    /// Names of the hosts that are believed alive and whose daemon did not reply.
    pub silent: Vec<String>,
}
