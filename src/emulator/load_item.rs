use std::time::Duration;

/// One request of a load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadItem {
    /// When it is sent, from the start of the load.
    pub at: Duration,
    /// Branch.
    pub branch: String,
    /// Request kind.
    pub kind: String,
    /// What is asked.
    pub ask: LoadAsk,
    /// When the caller goes away without the answer, after it was sent.
    pub leave: Option<Duration>,
}

/// What a request asks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadAsk {
    /// A streamed completion.
    Completion {
        /// Prompt text.
        prompt: String,
        /// Greatest number of tokens.
        max_tokens: u32,
    },
    /// A call to a plain service.
    Service {
        /// Path below the kind.
        path: String,
        /// Body.
        body: String,
        /// Idempotency key.
        key: Option<String>,
    },
}
