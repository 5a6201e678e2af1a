use {
    crate::key::{EndpointKey, HostKey},
    slotmap::SecondaryMap,
};

/// Owner and backup of each endpoint.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    /// Ownership by endpoint.
    pub by_endpoint: SecondaryMap<EndpointKey, Ownership>,
}

/// The first two hosts of an endpoint in rendezvous order, among those of its zone, or among all if
/// no host of its zone may own endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ownership {
    /// Host whose daemon grants the endpoint's memory.
    pub owner: HostKey,
    /// Host that becomes the owner if the owner fails; `None` if there is no second host.
    pub backup: Option<HostKey>,
}
