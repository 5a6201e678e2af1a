use super::{Role, Tick};

/// The platform's host list, as last read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HostList {
    /// Daemons in the order of their names.
    pub entries: Vec<ListedHost>,
    /// Endpoints in the order of their names.
    pub endpoints: Vec<ListedEndpoint>,
    /// When the list was read; zero before the first time.
    pub heard: Tick,
}

/// A daemon of the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the peer listener, `ip:port`.
    pub address: String,
    /// Whether the host has announced that it leaves.
    pub leaving: bool,
}

/// An endpoint of the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedEndpoint {
    /// Unique name.
    pub name: String,
    /// What the endpoint does.
    pub role: Role,
    /// Address, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Name of the pool.
    pub pool: String,
    /// Whether the endpoint has announced that it leaves.
    pub leaving: bool,
}
