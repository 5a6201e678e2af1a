use {
    crate::board::{ReportedLoad, RequestRate, Secret},
    bytes::Bytes,
    http::{HeaderMap, Method},
    std::{sync::Arc, time::Duration},
    thiserror::Error,
};

/// Client of the endpoints that run forwarded requests.
pub trait Upstream: Clone + Send + Sync + 'static {
    /// Body of a response.
    type Body: ResponseBody;

    /// Sends a request and returns the head of the response with its body to be read.
    ///
    /// Dropping the future or the response's body closes the connection, which ends the attempt.
    fn send(
        &self,
        request: UpstreamRequest,
    ) -> impl Future<Output = Result<UpstreamResponse<Self::Body>, UpstreamError>> + Send;

    /// Computes a prompt at a prefill engine, which keeps the KV cache until a decode engine
    /// fetches it.
    fn prefill(
        &self,
        request: UpstreamRequest,
    ) -> impl Future<Output = Result<Noticed<CacheHandle>, UpstreamError>> + Send;

    /// Reserves a slot and memory for `tokens`, for a request that follows within `lifetime`.
    fn reserve(
        &self,
        request: UpstreamRequest,
        tokens: u64,
        lifetime: Duration,
    ) -> impl Future<Output = Result<Noticed<Reservation>, UpstreamError>> + Send;

    /// Releases a reservation that no request used.
    fn release(
        &self,
        reservation: Reservation,
    ) -> impl Future<Output = Result<(), UpstreamError>> + Send;

    /// Frees a KV cache that no engine will fetch.
    fn free_cache(
        &self,
        handle: CacheHandle,
    ) -> impl Future<Output = Result<(), UpstreamError>> + Send;
}

/// Body of a response, read as events or as a whole.
pub trait ResponseBody: std::fmt::Debug + Send + Sync + 'static {
    /// Returns the next complete event, or `None` at the regular end of the response.
    ///
    /// Fails if the response breaks off.
    fn next(&mut self)
    -> impl Future<Output = Result<Option<ResponseEvent>, UpstreamError>> + Send;

    /// Reads the complete body of at most `limit` bytes.
    ///
    /// Fails if the response breaks off, and as `Oversized` if it is longer or there is no memory for it.
    fn collect(self, limit: usize) -> impl Future<Output = Result<Bytes, UpstreamError>> + Send;
}

/// One event of a streamed response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseEvent {
    /// Number of the event within the response, if it has one.
    pub id: Option<u64>,
    /// The event as it was received.
    pub bytes: Bytes,
}

impl ResponseEvent {
    /// Returns whether it holds no more than a comment.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
    }
}

/// A forwarded request; only what the routing decisions need is decoded.
#[derive(Clone, Debug)]
pub struct ForwardRequest {
    /// Identifier that the caller gave the request.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// HTTP host name that the request was sent to.
    pub host: String,
    /// Path and query.
    pub target: String,
    /// Headers to pass on to the endpoint.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Size of the prompt and of the output; `None` for plain services.
    pub token_counts: Option<TokenCounts>,
    /// Parts of the prompt that it may share with other prompts, in order.
    pub shared_parts: Vec<String>,
    /// Number of the last event that the caller has received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// What the caller presented to show which organisation it belongs to.
    pub credentials: Credentials,
}

/// What a caller presented to show which organisation it belongs to.
#[derive(Clone, Debug, Default)]
pub enum Credentials {
    /// Nothing.
    #[default]
    Missing,
    /// Something other than one access key.
    Malformed,
    /// An access key, which is not checked yet.
    AccessKey(Secret),
}

/// As whom an endpoint gets to know the caller of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum CallerIdentity {
    /// No organisations are configured: the caller's own headers say it, whatever they hold.
    #[default]
    Unchecked,
    /// The caller of a public route who presented no valid access key.
    Anonymous,
    /// The organisation of this name.
    Organisation(String),
}

/// Numbers of tokens of a model request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenCounts {
    /// Number of tokens of the prompt.
    pub prompt: u64,
    /// Maximum number of output tokens.
    pub max_output: u64,
    /// Number of output tokens that the caller expects, if it states one.
    pub output_hint: Option<u64>,
}

impl TokenCounts {
    /// Returns the engine memory that the request is expected to need when it ends, in tokens.
    pub fn expected_memory(&self) -> u64 {
        let half = (self.max_output / 2) as f64;
        // Hints are right at the median and often far off, so the estimate is the geometric mean of
        // the hint and half of the maximum.
        let estimate = self
            .output_hint
            .map_or(half, |hint| (hint as f64 * half).sqrt());
        self.prompt + (estimate as u64).min(self.max_output)
    }
}

impl ForwardRequest {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// One attempt of a forwarded request.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The request to send.
    pub request: Arc<ForwardRequest>,
    /// Address of the endpoint, `ip:port`.
    pub address: String,
    /// Name of the endpoint; it is sent along so that another endpoint at the address refuses.
    pub endpoint: String,
    /// Time left for the response.
    pub time_left: Duration,
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// Maximum idle time of a pooled connection that may be reused.
    pub max_idle: Duration,
    /// KV cache to import, if a prefill engine computed the prompt.
    pub cache: Option<CacheHandle>,
    /// Reservation to use, if one was made.
    pub reservation: Option<Reservation>,
    /// Number of the last event that need not be sent again, if the attempt resumes a stream.
    pub resume_after: Option<u64>,
    /// As whom the endpoint gets to know the caller.
    pub identity: CallerIdentity,
    /// Priority among the requests of the endpoint, 0 to 9, 0 is the most urgent; `None` if it is not told one.
    pub priority: Option<u8>,
}

/// KV cache of a prompt that a prefill engine keeps until it is fetched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheHandle {
    /// Address of the engine that keeps the cache, `ip:port`.
    pub address: String,
    /// Identifier of the cache at that engine.
    pub handle: String,
}

/// A reservation of a slot and of memory at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// Address of the endpoint, `ip:port`.
    pub address: String,
    /// Identifier of the reservation at that endpoint.
    pub handle: String,
}

/// Head of a response, and its body to be read.
#[derive(Debug)]
pub struct UpstreamResponse<B> {
    /// HTTP status code.
    pub status: u16,
    /// Headers to pass on to the caller.
    pub headers: HeaderMap,
    /// What the endpoint said of itself with the response.
    pub notice: EndpointNotice,
    /// Body of the response.
    pub body: B,
}

/// What an endpoint says of itself with a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointNotice {
    /// Load of the endpoint, if it reports it.
    pub load: Option<ReportedLoad>,
    /// Whether the endpoint reported a load that is invalid and was ignored.
    pub invalid_load: bool,
    /// Whether the endpoint leaves: it is to get no further requests.
    pub leaving: bool,
    /// Time for which the endpoint is to get no further requests, if it turned this one away and
    /// states one.
    pub pause: Option<Duration>,
    /// Limit on the rate of the requests of all daemons together, if the endpoint states one.
    pub limit: Option<RequestRate>,
}

/// Content of a response, with what the endpoint said of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Noticed<T> {
    /// Content of the response.
    pub value: T,
    /// What the endpoint said of itself.
    pub notice: EndpointNotice,
}

/// The error of an attempt without a usable response.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum UpstreamError {
    /// The request was not sent.
    #[error("the request was not sent: {0}")]
    Unsent(String),
    /// The endpoint responded that it did not run the attempt.
    #[error("refused by the endpoint with status {status}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// What the endpoint said of itself with the response.
        notice: EndpointNotice,
    },
    /// Another endpoint now has the address; it did not run the attempt.
    #[error("another endpoint now has the address")]
    Misdirected,
    /// The response broke off; the attempt may have run.
    #[error("the response broke off: {0}")]
    Broken(String),
    /// The response holds more than is kept of it, perhaps without end; the attempt may have run.
    #[error("the response is too large: {0}")]
    Oversized(String),
    /// No response arrived in time; the attempt may have run.
    #[error("no response in time")]
    TimedOut,
}

impl UpstreamError {
    /// Returns whether a service that states how long work takes there turned the attempt away, as it was
    /// full.
    pub fn is_full_service(&self) -> bool {
        let Self::Refused { notice, .. } = self else {
            return false;
        };
        let load = notice.load.filter(|load| load.speed.is_some());
        load.is_some_and(|load| load.is_full())
    }

    /// Returns whether the attempt provably did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Unsent(_) | Self::Refused { .. } | Self::Misdirected
        )
    }
}
