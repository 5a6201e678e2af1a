use std::time::Duration;

/// One request of a load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadItem {
    /// Time at which the request is sent, since the start of the load.
    pub at: Duration,
    /// Branch whose key authenticates the request.
    pub branch: String,
    /// Request kind, as named in the sheet.
    pub kind: String,
    /// Content of the request.
    pub payload: LoadPayload,
    /// Time after sending at which the caller disconnects, unless the response is complete by then;
    /// none for a caller that waits for the response.
    pub disconnect_after: Option<Duration>,
}

/// Content of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadPayload {
    /// A streamed completion.
    Completion {
        /// Prompt text.
        prompt: String,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// A call to a service.
    Service {
        /// Path below `/v1/services/{kind}`, with the leading slash.
        path: String,
        /// Request body.
        body: String,
        /// Idempotency key of a request that may run at most once; none for other requests.
        key: Option<String>,
    },
}
