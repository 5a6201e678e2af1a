use {
    super::{Arena, Endpoint, Pool, RemovedEndpoints},
    crate::key::{EndpointKey, PoolKey},
};

/// Endpoints and pools of the platform's host list.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Endpoints by name.
    pub endpoints: Arena<EndpointKey, Endpoint>,
    /// Pools by name.
    pub pools: Arena<PoolKey, Pool>,
    /// Endpoints that are no longer listed.
    pub removed: RemovedEndpoints,
}
