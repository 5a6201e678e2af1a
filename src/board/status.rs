use {
    super::{HostState, OrderStatus},
    serde::{Deserialize, Serialize},
};

/// What one daemon knows, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Name of the host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Revision of the sheet in force.
    pub revision: u64,
    /// Whether the daemon takes new requests.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Whether the last call to the platform succeeded.
    pub store: bool,
    /// Endpoints that this daemon owns.
    pub owned: u32,
    /// Hosts as this daemon sees them.
    pub members: Vec<MemberStatus>,
    /// Pools as this daemon sees them.
    pub pools: Vec<PoolStatus>,
    /// Requests suspected of crashing endpoints.
    pub suspects: Vec<SuspectStatus>,
    /// Owned engines that have not loaded what the sheet asks for.
    #[serde(default)]
    pub orders: Vec<OrderStatus>,
}

/// A host as another one sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// State.
    pub state: HostState,
    /// Start time in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// A pool as a daemon sees it; load is counted at the endpoints that the daemon owns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolStatus {
    /// Name.
    pub name: String,
    /// Endpoints.
    pub endpoints: u32,
    /// Endpoints that have announced that they leave.
    pub leaving: u32,
    /// Endpoints that get no work because of their failures.
    pub ejected: u32,
    /// Endpoints that the daemon owns.
    pub owned: u32,
    /// Attempts running at owned endpoints.
    pub running: u32,
    /// Requests waiting for owned endpoints.
    pub waiting: u32,
    /// Pieces granted at owned endpoints.
    pub granted: u32,
}

/// A request suspected of crashing endpoints.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectStatus {
    /// Fingerprint, 16 hexadecimal digits.
    pub print: String,
    /// Names of the endpoints that crashed while running it.
    pub endpoints: Vec<String>,
    /// Whether the request is refused everywhere.
    pub refused: bool,
}

/// What every daemon knows, for operators.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Daemons that answered, ordered by name.
    pub daemons: Vec<Status>,
    /// Names of daemons believed alive that did not answer.
    pub silent: Vec<String>,
}
