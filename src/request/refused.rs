use {
    crate::{board::Refusal, port::Denial},
    std::time::Duration,
    thiserror::Error,
};

/// Wait suggested to a caller when a pool has no room.
const FULL_WAIT: Duration = Duration::from_secs(1);

/// A refusal as the caller is told it.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{}: {detail}", reason.word())]
pub struct Refused {
    /// Stable reason.
    pub reason: Refusal,
    /// Whether the request ran.
    pub ran: Ran,
    /// When another try makes sense.
    pub retry_after: Option<Duration>,
    /// What to do, for people.
    pub detail: String,
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// It provably did not run.
    No,
    /// It may have run.
    Unknown,
}

impl Refused {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Refusal, detail: &str) -> Self {
        Self {
            reason,
            ran: Ran::No,
            retry_after: None,
            detail: detail.to_owned(),
        }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(reason: Refusal, detail: &str) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry_after: None,
            detail: detail.to_owned(),
        }
    }

    /// Adds the time after which another try makes sense.
    #[must_use]
    pub fn after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }
}

/// Refusal after no owner granted a place.
pub fn denied(denial: Denial, ran: Ran) -> Refused {
    match denial {
        Denial::Full => Refused {
            reason: Refusal::QueueFull,
            ran,
            retry_after: Some(FULL_WAIT),
            detail: "the line of the pool is full; send the request again later".to_owned(),
        },
        Denial::Late => late(ran),
        Denial::NotOwner | Denial::Stopping => Refused {
            reason: Refusal::NoEndpoint,
            ran,
            retry_after: Some(FULL_WAIT),
            detail: "no endpoint of the pool has the model, version and adapter, or can be asked; check the pool in the sheet".to_owned(),
        },
    }
}

/// Refusal after the deadline passed.
pub fn late(ran: Ran) -> Refused {
    Refused {
        reason: Refusal::DeadlinePassed,
        ran,
        retry_after: None,
        detail: "the deadline passed; allow more time or send the request again".to_owned(),
    }
}

/// Refusal after the last attempt failed.
pub fn exhausted(ran: Ran) -> Refused {
    Refused {
        reason: Refusal::EndpointRefused,
        ran,
        retry_after: Some(FULL_WAIT),
        detail: "every attempt failed; send the request again later".to_owned(),
    }
}
