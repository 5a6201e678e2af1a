use {
    super::{EndpointSlot, Loaded},
    crate::key::PoolKey,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// An endpoint: a model engine or a plain service.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Unique name.
    pub name: String,
    /// Address, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Pool that the endpoint belongs to.
    pub pool: PoolKey,
    /// What the endpoint does.
    pub role: Role,
    /// Models and adapters in its memory.
    pub loaded: Loaded,
    /// Size of the engine memory in pieces.
    pub pieces: u32,
    /// Tokens of KV cache that one piece holds.
    pub piece_tokens: u32,
    /// Requests that may run at once, for services.
    pub slots: u32,
    /// Whether the endpoint refuses orders that carry an old fencing number.
    pub fenced: bool,
    /// Whether the endpoint has announced that it leaves.
    pub leaving: bool,
    /// Counters that outlive snapshots.
    pub slot: Arc<EndpointSlot>,
}

/// What an endpoint does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// A plain service.
    Service,
}
