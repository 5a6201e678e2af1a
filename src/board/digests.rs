use {
    super::{Role, Tick},
    crate::key::{EndpointKey, HostKey},
    slotmap::SecondaryMap,
    std::collections::HashMap,
};

/// Load of endpoints owned elsewhere, as their owners last told it.
#[derive(Clone, Debug, Default)]
pub struct Digests {
    /// Digest by endpoint.
    pub by_endpoint: SecondaryMap<EndpointKey, Digest>,
    /// Requests waiting, by owner and pool name.
    pub waiting: HashMap<(HostKey, String), u32>,
}

/// Load of one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Digest {
    /// What the endpoint does.
    pub role: Role,
    /// Pieces not granted.
    pub free: u32,
    /// Attempts running.
    pub running: u32,
    /// When the digest arrived.
    pub heard: Tick,
}
