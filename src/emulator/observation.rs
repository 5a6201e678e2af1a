use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What a caller saw of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Request kind.
    pub kind: String,
    /// Idempotency key, for at-most-once kinds.
    pub key: Option<String>,
    /// How it ended.
    pub end: Ending,
    /// Whether the answer was one recorded for an earlier request with the same key.
    pub replayed: bool,
    /// Time to the first token, or to the whole answer of a service.
    pub first_token: Option<Duration>,
    /// Mean time between tokens, for answers of a model.
    pub per_token: Option<Duration>,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The whole answer to this request came.
    Answered,
    /// An answer came that is not the whole answer to this request.
    Wrong(String),
    /// The request was refused.
    Refused(RefusalSeen),
    /// The answer broke off in a way that the caller could see.
    Broken(String),
    /// The caller went away on purpose.
    Left,
    /// The caller got no answer, no refusal and no end of the connection.
    Lost,
}

/// A refusal as the caller read it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalSeen {
    /// Stable reason.
    pub reason: String,
    /// `no` or `unknown`.
    pub ran: String,
}
