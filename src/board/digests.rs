use {
    super::{Role, Tick},
    crate::key::{EndpointKey, HostKey},
    slotmap::SecondaryMap,
    std::collections::HashMap,
};

/// Load of the endpoints that other daemons own, as their owners last reported it.
#[derive(Clone, Debug, Default)]
pub struct Digests {
    /// Load by endpoint.
    pub by_endpoint: SecondaryMap<EndpointKey, Digest>,
    /// Number of requests waiting, by owner and pool name.
    pub waiting: HashMap<(HostKey, String), u32>,
}

/// Load of one endpoint, as its owner reported it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Digest {
    /// Role of the endpoint.
    pub role: Role,
    /// Pieces of engine memory that are neither granted nor in use; free slots for a plain service.
    pub free: u32,
    /// Number of running attempts.
    pub running: u32,
    /// When the report arrived.
    pub received_at: Tick,
}
