use {
    crate::{board::Role, key::AttemptId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    thiserror::Error,
};

/// Client of model engines, which are addressed by `ip:port`.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Token stream of one attempt.
    type Tokens: TokenStream;

    /// Computes the KV cache of a prompt, which the engine keeps for export.
    fn prefill(
        &self,
        address: &str,
        request: &PrefillRequest,
    ) -> impl Future<Output = Result<KvHandle, EngineError>> + Send;

    /// Starts generation from the KV cache that `request` names, or prefills locally if it names
    /// none.
    fn decode(
        &self,
        address: &str,
        request: &DecodeRequest,
    ) -> impl Future<Output = Result<Self::Tokens, EngineError>> + Send;

    /// Continues the token stream of a running or recently finished attempt from token `index`.
    ///
    /// Fails with `EngineError::UnknownAttempt` if the endpoint does not know the attempt.
    fn resume(
        &self,
        address: &str,
        attempt: AttemptId,
        index: u32,
    ) -> impl Future<Output = Result<Self::Tokens, EngineError>> + Send;

    /// Ends the attempt and frees everything that it holds at the endpoint; may be repeated.
    fn cancel(
        &self,
        address: &str,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Reads the description of an endpoint: its role, its memory and what it has loaded.
    fn describe(
        &self,
        address: &str,
    ) -> impl Future<Output = Result<Description, EngineError>> + Send;

    /// Reads the endpoint's load report, whose age it states.
    fn load(&self, address: &str) -> impl Future<Output = Result<LoadReport, EngineError>> + Send;

    /// Reads the cache events with a sequence number greater than `after`, or the complete contents
    /// of the prefix cache if `after` is 0.
    fn events(
        &self,
        address: &str,
        after: u64,
    ) -> impl Future<Output = Result<CacheEvents, EngineError>> + Send;

    /// Orders the endpoint to take a role and load models and adapters; returns its description
    /// afterwards.
    fn order(
        &self,
        address: &str,
        order: &Order,
    ) -> impl Future<Output = Result<Description, EngineError>> + Send;
}

/// Token stream of one attempt; dropping it closes the connection and does not cancel the attempt.
pub trait TokenStream: Send + 'static {
    /// Returns the next chunk, or `None` after the final one.
    ///
    /// An implementation checks the stream with `ChunkCheck`: it drops chunks that are repeated,
    /// late or of another attempt, and returns an error for a gap or an end without a final chunk.
    fn next(&mut self) -> impl Future<Output = Result<Option<Chunk>, EngineError>> + Send;
}

/// Request to compute the KV cache of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillRequest {
    /// Attempt that holds the KV cache.
    pub attempt: AttemptId,
    /// Model name.
    pub model: String,
    /// Name of the adapter to apply, if any.
    pub adapter: Option<String>,
    /// Prompt text.
    pub prompt: String,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
}

/// Request to generate tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodeRequest {
    /// Attempt that holds the engine memory.
    pub attempt: AttemptId,
    /// Model name.
    pub model: String,
    /// Name of the adapter to apply, if any.
    pub adapter: Option<String>,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// KV cache to import; `None` makes the endpoint prefill locally.
    pub import: Option<KvHandle>,
}

/// KV cache that a prefill engine keeps for export.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvHandle {
    /// Address of the engine that holds the cache, `ip:port`.
    pub address: String,
    /// Identifier of the cache at that engine.
    pub handle: String,
    /// Number of prompt tokens that the cache covers.
    pub tokens: u32,
    /// Number of these tokens that were found in the prefix cache.
    pub cached: u32,
    /// Time until the engine evicts the cache, in milliseconds.
    pub expires_ms: u64,
}

/// One message of a token stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Attempt that the tokens belong to.
    pub attempt: AttemptId,
    /// Index, within the attempt's output, of the first token of the chunk.
    pub index: u32,
    /// Number of tokens in the chunk.
    pub count: u32,
    /// Text of the tokens.
    pub text: String,
    /// Why generation ended; present on the final chunk only.
    pub finish: Option<String>,
}

/// Description of an endpoint; its load is in `LoadReport`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Description {
    /// Role of the endpoint.
    pub role: Role,
    /// Loaded version by model name.
    pub models: BTreeMap<String, String>,
    /// Names of the loaded adapters.
    pub adapters: Vec<String>,
    /// Size of the engine memory in pieces; a piece is the unit in which memory is granted.
    pub pieces: u32,
    /// Tokens of KV cache that one piece holds.
    pub piece_tokens: u32,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Whether the endpoint refuses orders with an outdated fencing number.
    pub fenced: bool,
    /// Greatest fencing number that the endpoint has seen.
    pub fence: u64,
    /// Start time in milliseconds since the Unix epoch; a change means that the endpoint has lost
    /// all its state.
    pub incarnation: u64,
}

/// Load of an endpoint, as it was `age_ms` ago.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Start time of the endpoint in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Pieces of engine memory in use.
    pub used: u32,
    /// Number of running attempts.
    pub running: u32,
    /// Number of attempts that wait inside the endpoint.
    pub waiting: u32,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Whether the endpoint is draining.
    pub leaving: bool,
    /// Attempts that hold memory, in the text form of `AttemptId`.
    pub held: Vec<String>,
}

/// Changes of an endpoint's prefix cache since a sequence number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Sequence number of the last event.
    pub last: u64,
    /// Events in order; after a gap in their numbers the client must request the complete contents.
    pub events: Vec<CacheEvent>,
    /// Whether `events` is the complete contents of the cache instead of the changes.
    pub full: bool,
}

/// One change of an endpoint's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub sequence: u64,
    /// Hash of the prompt prefix that ends with the cached block, see docs/ENDPOINTS.md.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Order to an engine; it states the target state, not the steps to reach it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number of the sender.
    pub fence: u64,
    /// Role that the endpoint should have.
    pub role: Role,
    /// Version by name of the models that should be loaded.
    pub models: BTreeMap<String, String>,
    /// Names of the adapters that should be loaded.
    pub adapters: Vec<String>,
}

/// The error of a call to an endpoint.
///
/// The variant determines whether the response to the caller may state that the request did not
/// run.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum EngineError {
    /// The request was not sent, so that the endpoint did not run the attempt.
    #[error("the request was not sent to the endpoint: {0}; check its address and the host list")]
    Unsent(String),
    /// The endpoint responded that it did not run the attempt.
    #[error("the endpoint refused the request: {0}")]
    Refused(String),
    /// The request was sent, and whether it ran is unknown.
    #[error("the endpoint's response broke off: {0}; the outcome is unknown")]
    Broken(String),
    /// The KV cache to import was evicted; no token was generated.
    #[error("the KV cache to import was evicted; run the prefill again")]
    CacheEvicted,
    /// The endpoint has no record of the attempt.
    #[error("the endpoint does not know the attempt")]
    UnknownAttempt,
}

impl EngineError {
    /// Returns whether the endpoint provably did not run the attempt.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Unsent(_) | Self::Refused(_) | Self::CacheEvicted
        )
    }
}
