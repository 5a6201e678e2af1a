use {
    crate::{board::Refusal, port::Denial},
    std::time::Duration,
    thiserror::Error,
};

/// Wait suggested to a caller when a pool is full or unavailable, or every attempt failed.
const POOL_RETRY_WAIT: Duration = Duration::from_secs(1);

/// Refusal of a request, with what the caller learns about it.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{}: {detail}", reason.as_str())]
pub struct Refused {
    /// Reason; the word that `Refusal::as_str` gives for it is a stable part of the interface.
    pub reason: Refusal,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Wait suggested before the request is sent again.
    pub retry_after: Option<Duration>,
    /// What failed and what to do about it, for people.
    pub detail: String,
}

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// The request certainly did not run.
    No,
    /// The request may have run.
    Unknown,
}

impl Refused {
    /// Creates the refusal of a request that certainly did not run.
    pub fn not_run(reason: Refusal, detail: &str) -> Self {
        Self {
            reason,
            ran: Ran::No,
            retry_after: None,
            detail: detail.to_owned(),
        }
    }

    /// Creates the refusal of a request that may have run.
    pub fn unknown(reason: Refusal, detail: &str) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry_after: None,
            detail: detail.to_owned(),
        }
    }

    /// Sets the wait suggested before the request is sent again.
    #[must_use]
    pub fn after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }
}

/// Refuses a request that no owner granted an endpoint, for the reason in `denial`.
pub fn no_grant(denial: Denial, ran: Ran) -> Refused {
    match denial {
        Denial::Full => Refused {
            reason: Refusal::QueueFull,
            ran,
            retry_after: Some(POOL_RETRY_WAIT),
            detail: "the queue of the pool is full; send the request again later".to_owned(),
        },
        Denial::Late => deadline_passed(ran),
        Denial::NotOwner | Denial::Stopping => Refused {
            reason: Refusal::NoEndpoint,
            ran,
            retry_after: Some(POOL_RETRY_WAIT),
            detail: "no reachable endpoint of the pool has the model, version and adapter; check the sheet".to_owned(),
        },
    }
}

/// Refuses a request whose deadline passed.
pub fn deadline_passed(ran: Ran) -> Refused {
    Refused {
        reason: Refusal::DeadlinePassed,
        ran,
        retry_after: None,
        detail: "the deadline passed; allow more time or send the request again".to_owned(),
    }
}

/// Refuses a request whose last attempt failed.
pub fn attempts_exhausted(ran: Ran) -> Refused {
    Refused {
        reason: Refusal::EndpointRefused,
        ran,
        retry_after: Some(POOL_RETRY_WAIT),
        detail: "every attempt failed; send the request again later".to_owned(),
    }
}
