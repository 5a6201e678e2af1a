use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What a caller observed of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Request kind, as named in the sheet.
    pub kind: String,
    /// Idempotency key of an at-most-once request; none for other requests.
    pub key: Option<String>,
    /// How the request ended.
    pub end: Ending,
    /// Whether the response is marked as the recorded response to an earlier request with the same
    /// key.
    pub replayed: bool,
    /// Time from sending to the first token, or to a service's complete response; none if nothing
    /// arrived.
    pub first_token: Option<Duration>,
    /// Mean time between the tokens of a completion; none for a service or if no token arrived.
    pub per_token: Option<Duration>,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The complete and correct response arrived.
    Answered,
    /// The response has wrong content, breaks the protocol or is marked as complete without being
    /// so; holds the difference.
    Wrong(String),
    /// The router refused the request.
    Refused(RefusalSeen),
    /// The request failed or the response broke off, and the caller could tell; holds the error.
    Broken(String),
    /// The caller disconnected before the response was complete, as the load specifies.
    Left,
    /// The caller timed out without a complete response, a refusal or an end of the connection.
    Lost,
}

/// Refusal, as the caller parsed it from the error response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalSeen {
    /// Reason code of the refusal, such as `queue-full`.
    pub reason: String,
    /// Whether the request ran: `no` or `unknown`.
    pub ran: String,
}
