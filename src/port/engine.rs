use {
    crate::{board::Role, key::AttemptId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    thiserror::Error,
};

/// Model engines, addressed by `ip:port`.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Tokens of one running answer.
    type Tokens: TokenStream;

    /// Computes the KV cache of a prompt and keeps it for export.
    fn prefill(
        &self,
        address: &str,
        ask: &PrefillAsk,
    ) -> impl Future<Output = Result<KvHandle, EngineError>> + Send;

    /// Starts generation, importing the KV cache that `ask` names or prefilling in place.
    fn decode(
        &self,
        address: &str,
        ask: &DecodeAsk,
    ) -> impl Future<Output = Result<Self::Tokens, EngineError>> + Send;

    /// Continues the token stream of a running or just finished attempt from token `index`.
    fn resume(
        &self,
        address: &str,
        attempt: AttemptId,
        index: u32,
    ) -> impl Future<Output = Result<Self::Tokens, EngineError>> + Send;

    /// Frees everything that the attempt holds at the endpoint. Repeating it is harmless.
    fn cancel(
        &self,
        address: &str,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Reads the static description of an endpoint.
    fn describe(
        &self,
        address: &str,
    ) -> impl Future<Output = Result<Description, EngineError>> + Send;

    /// Reads the endpoint's lagging load report.
    fn load(&self, address: &str) -> impl Future<Output = Result<LoadReport, EngineError>> + Send;

    /// Reads cache events with a sequence number greater than `after`.
    fn events(
        &self,
        address: &str,
        after: u64,
    ) -> impl Future<Output = Result<CacheEvents, EngineError>> + Send;

    /// Sends an order to load or change something.
    fn order(
        &self,
        address: &str,
        order: &Order,
    ) -> impl Future<Output = Result<Description, EngineError>> + Send;
}

/// Tokens of one running answer; dropping it closes the connection without a cancel.
pub trait TokenStream: Send + 'static {
    /// Returns the next chunk, or `None` after the final one.
    ///
    /// An implementation holds the stream against `ChunkCheck`: it drops chunks that are crossed,
    /// repeated or late, and returns an error for a gap or an end without a final chunk.
    fn next(&mut self) -> impl Future<Output = Result<Option<Chunk>, EngineError>> + Send;
}

/// Order to compute the KV cache of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillAsk {
    /// Attempt that holds the result.
    pub attempt: AttemptId,
    /// Model.
    pub model: String,
    /// Adapter to apply.
    pub adapter: Option<String>,
    /// Prompt text.
    pub prompt: String,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
}

/// Order to generate tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodeAsk {
    /// Attempt that holds the memory.
    pub attempt: AttemptId,
    /// Model.
    pub model: String,
    /// Adapter to apply.
    pub adapter: Option<String>,
    /// Prompt text.
    pub prompt: String,
    /// Greatest number of tokens to generate.
    pub max_tokens: u32,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// KV cache to import; without it the endpoint prefills in place.
    pub import: Option<KvHandle>,
}

/// KV cache waiting for export at a prefill endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvHandle {
    /// Address of the endpoint that holds the cache.
    pub address: String,
    /// Name of the cache at that endpoint.
    pub handle: String,
    /// Tokens that the cache covers.
    pub tokens: u32,
    /// Tokens found in the prefix cache.
    pub cached: u32,
    /// Time until eviction in milliseconds.
    pub expires_ms: u64,
}

/// One message of a token stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Attempt that the tokens belong to.
    pub attempt: AttemptId,
    /// Index of the first token of the chunk.
    pub index: u32,
    /// Number of tokens in the chunk.
    pub count: u32,
    /// Text of the tokens.
    pub text: String,
    /// Why generation ended; present on the final chunk only.
    pub finish: Option<String>,
}

/// Static description of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Description {
    /// What the endpoint does.
    pub role: Role,
    /// Models loaded, with their version.
    pub models: BTreeMap<String, String>,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// Memory in pieces.
    pub pieces: u32,
    /// Tokens of KV cache that one piece holds.
    pub piece_tokens: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Greatest fencing number seen.
    pub fence: u64,
    /// Start time in milliseconds since the Unix epoch; a change means that all state is gone.
    pub incarnation: u64,
}

/// Load of an endpoint some time ago.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Start time of the endpoint in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Pieces in use.
    pub used: u32,
    /// Attempts running.
    pub running: u32,
    /// Attempts waiting inside the endpoint.
    pub waiting: u32,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Whether the endpoint has announced that it leaves.
    pub leaving: bool,
    /// Attempts that hold memory, as displayed identities.
    pub held: Vec<String>,
}

/// Cache events since a sequence number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Sequence number of the last event.
    pub last: u64,
    /// Events in order; a gap in their numbers asks for a resynchronisation from 0.
    pub events: Vec<CacheEvent>,
    /// Whether `events` is the whole contents of the cache instead of a difference.
    pub full: bool,
}

/// One change of an endpoint's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub sequence: u64,
    /// Hash of the prefix that ends with the block, see docs/ENDPOINTS.md.
    pub prefix: u64,
    /// Whether the prefix was stored; evicted otherwise.
    pub stored: bool,
}

/// Declarative order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number of the sender.
    pub fence: u64,
    /// Role that the endpoint should have.
    pub role: Role,
    /// Models that should be loaded, with their version.
    pub models: BTreeMap<String, String>,
    /// Adapters that should be loaded.
    pub adapters: Vec<String>,
}

/// Why a call to an endpoint failed. The variant decides what may be said to the caller.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum EngineError {
    /// The connection was never made: the endpoint did not run anything.
    #[error("the endpoint was not reached: {0}; check its address and the host list")]
    Unsent(String),
    /// The endpoint stated that it did not run the attempt.
    #[error("the endpoint refused: {0}")]
    Refused(String),
    /// The call was sent and its outcome is not known.
    #[error("the endpoint's answer broke off: {0}; the outcome is unknown")]
    Broken(String),
    /// The KV cache to import is gone; nothing was generated.
    #[error("the KV cache to import is gone; run the prefill again")]
    CacheGone,
    /// The endpoint does not know the attempt.
    #[error("the endpoint does not know the attempt")]
    UnknownAttempt,
}

impl EngineError {
    /// Whether the endpoint provably did not run the attempt.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Unsent(_) | Self::Refused(_) | Self::CacheGone)
    }
}
