use {
    crate::key::{EndpointKey, HostKey},
    slotmap::SecondaryMap,
};

/// Which host owns each endpoint.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    /// Owner and backup by endpoint.
    pub by_endpoint: SecondaryMap<EndpointKey, Ownership>,
}

/// The first two hosts of an endpoint in rendezvous order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ownership {
    /// Host that grants the endpoint's memory.
    pub owner: HostKey,
    /// Host that mirrors the grant table and takes over.
    pub backup: Option<HostKey>,
}
