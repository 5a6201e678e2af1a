use {
    super::{EndpointCounters, LoadedModels},
    crate::key::PoolKey,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// An endpoint (a back end): a model engine or a plain service.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Unique name.
    pub name: String,
    /// Address, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Key of the pool that the endpoint belongs to.
    pub pool: PoolKey,
    /// Which kind of work the endpoint does.
    pub role: Role,
    /// Models and adapters that are loaded.
    pub loaded: LoadedModels,
    /// Size of the engine memory in pieces; a piece is the unit in which memory is granted.
    pub pieces: u32,
    /// Tokens of KV cache that one piece holds.
    pub piece_tokens: u32,
    /// Maximum number of requests that run at once, for services.
    pub slots: u32,
    /// Whether the endpoint refuses orders with an outdated fencing number.
    pub fenced: bool,
    /// Whether the endpoint is draining, by the host list or its own load report.
    pub draining: bool,
    /// Counters shared by every snapshot that lists the endpoint.
    pub counters: Arc<EndpointCounters>,
}

/// Which kind of work an endpoint does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Computes the KV cache of prompts (prefill).
    Prefill,
    /// Generates tokens from a KV cache (decode).
    Decode,
    /// Runs calls of a plain service.
    Service,
}
