use {
    super::{Role, Tick},
    serde::{Deserialize, Serialize},
};

/// The platform's host list, as last read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HostList {
    /// Daemons, ordered by name.
    pub daemons: Vec<ListedHost>,
    /// Endpoints, ordered by name.
    pub endpoints: Vec<ListedEndpoint>,
    /// When the list was last read; tick 0 before the first read.
    pub read_at: Tick,
}

/// A host of the platform's list that runs a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the peer listener, `ip:port`.
    pub address: String,
    /// Whether the host has announced a planned stop.
    pub leaving: bool,
}

/// An endpoint of the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ListedEndpoint {
    /// Unique name.
    pub name: String,
    /// Role of the endpoint.
    pub role: Role,
    /// Address, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Name of the pool that it belongs to.
    pub pool: String,
    /// Whether the endpoint is draining.
    pub draining: bool,
}
