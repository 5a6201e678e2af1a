use {
    crate::board::SeenLoad,
    bytes::Bytes,
    http::{HeaderMap, Method},
    std::{sync::Arc, time::Duration},
    thiserror::Error,
};

/// Endpoints that run forwarded requests.
pub trait Upstream: Clone + Send + Sync + 'static {
    /// Body of an answer.
    type Body: AnswerBody;

    /// Sends a request and returns the head of its answer.
    ///
    /// Dropping the future or the answer's body closes the connection, which ends the run.
    fn send(
        &self,
        ask: UpstreamAsk,
    ) -> impl Future<Output = Result<UpstreamAnswer<Self::Body>, UpstreamError>> + Send;

    /// Has a prompt computed; its KV cache waits at the endpoint to be taken.
    fn prefill(
        &self,
        ask: UpstreamAsk,
    ) -> impl Future<Output = Result<CacheHandle, UpstreamError>> + Send;

    /// Reserves a place and `tokens` of memory for a request that follows within `lasting`.
    fn reserve(
        &self,
        ask: UpstreamAsk,
        tokens: u64,
        lasting: Duration,
    ) -> impl Future<Output = Result<PlaceHandle, UpstreamError>> + Send;

    /// Gives back a place that no request took.
    fn release(&self, place: PlaceHandle)
    -> impl Future<Output = Result<(), UpstreamError>> + Send;

    /// Frees a KV cache that nobody will take.
    fn free(&self, handle: CacheHandle) -> impl Future<Output = Result<(), UpstreamError>> + Send;
}

/// Body of an answer, in the pieces that callers may be given.
pub trait AnswerBody: std::fmt::Debug + Send + Sync + 'static {
    /// Next whole event, or nothing at the regular end.
    fn next(&mut self) -> impl Future<Output = Result<Option<AnswerEvent>, UpstreamError>> + Send;

    /// Everything, if the answer ends regularly.
    fn whole(self) -> impl Future<Output = Result<Bytes, UpstreamError>> + Send;
}

/// One event of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerEvent {
    /// Number within the answer, if the event has one.
    pub id: Option<u64>,
    /// The event as it came.
    pub bytes: Bytes,
}

/// A forwarded request, opaque but for what decides its path.
#[derive(Clone, Debug)]
pub struct ForwardRequest {
    /// Identity that the caller gave it.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Host name that it was sent to.
    pub host: String,
    /// Path and query.
    pub target: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Size of the prompt and of the answer, for model requests.
    pub size: Option<PromptSize>,
    /// Number of the last event that the caller has, if it resumes.
    pub resume: Option<u64>,
}

/// Tokens of a model request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub output: u64,
    /// Tokens of the answer that the caller expects, if it says so.
    pub hint: Option<u64>,
}

impl PromptSize {
    /// Tokens of memory that the request is expected to need when it ends.
    pub fn expected(&self) -> u64 {
        let usual = (self.output / 2) as f64;
        // Hints are right at the median and often far off, so half of each is believed.
        let hinted = self.hint.map_or(usual, |hint| (hint as f64 * usual).sqrt());
        self.prompt + (hinted as u64).min(self.output)
    }
}

impl ForwardRequest {
    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// One attempt of a forwarded request.
#[derive(Clone, Debug)]
pub struct UpstreamAsk {
    /// The request.
    pub request: Arc<ForwardRequest>,
    /// Address of the endpoint, `ip:port`.
    pub address: String,
    /// Name of the endpoint, so that another one at the address refuses.
    pub endpoint: String,
    /// Time that is left for the answer.
    pub left: Duration,
    /// Time after which a connection that was not established is given up.
    pub connect: Duration,
    /// Longest idle time of a kept connection that may be used.
    pub idle: Duration,
    /// KV cache to start from.
    pub cache: Option<CacheHandle>,
    /// Place that was reserved for it.
    pub place: Option<PlaceHandle>,
    /// Number of the last event that need not be sent again.
    pub resume: Option<u64>,
}

/// A computed prompt that waits at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheHandle {
    /// Address of the endpoint that keeps it.
    pub address: String,
    /// Name of the handle there.
    pub handle: String,
}

/// A reserved place at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlaceHandle {
    /// Address of the endpoint.
    pub address: String,
    /// Name of the place there.
    pub handle: String,
}

/// Head of an answer.
#[derive(Debug)]
pub struct UpstreamAnswer<B> {
    /// Status code.
    pub status: u16,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Load that the endpoint told.
    pub load: Option<SeenLoad>,
    /// Body.
    pub body: B,
}

/// Why an attempt gave no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum UpstreamError {
    /// Nothing was sent.
    #[error("not reached: {0}")]
    Unsent(String),
    /// The endpoint states that it did not run the attempt.
    #[error("refused by the endpoint with status {status}")]
    Refused {
        /// Status code.
        status: u16,
        /// Load that the endpoint told.
        load: Option<SeenLoad>,
    },
    /// Another endpoint has the address; it did not run the attempt.
    #[error("another endpoint has the address")]
    Misdirected,
    /// The attempt may have run.
    #[error("broken off: {0}")]
    Broken(String),
    /// No answer in time; the attempt may have run.
    #[error("no answer in time")]
    Silent,
}

impl UpstreamError {
    /// Whether the attempt provably did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Unsent(_) | Self::Refused { .. } | Self::Misdirected
        )
    }
}
