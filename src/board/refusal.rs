use serde::{Deserialize, Serialize};

/// Why a request was refused: the stable word in the caller's answer and the counter's label.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// No key, or a key of no branch.
    UnknownBranch,
    /// The sheet in force has no rule for the kind.
    UnknownKind,
    /// The request is malformed.
    BadRequest,
    /// The request exceeds a size limit.
    TooLarge,
    /// An at-most-once kind without an idempotency key.
    KeyMissing,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The bounded queue of the branch is full.
    QueueFull,
    /// The deadline passed before the request ran.
    DeadlinePassed,
    /// No endpoint serves the rule's pool.
    NoEndpoint,
    /// Every endpoint that was asked refused.
    EndpointRefused,
    /// The platform did not accept the claim in time.
    ClaimUnavailable,
    /// The same idempotency key is running.
    InProgress,
    /// An attempt was sent and its outcome cannot be known.
    OutcomeUnknown,
    /// The request is suspected of crashing endpoints.
    CrashSuspect,
    /// The retry budget is spent.
    RetryBudget,
    /// The daemon is starting and has no sheet yet.
    NotReady,
    /// The daemon is stopping.
    Stopping,
    /// The answer broke off after some of it had been sent.
    Truncated,
}

impl Refusal {
    /// Every reason, for registration of counters.
    pub const ALL: [Self; 18] = [
        Self::UnknownBranch,
        Self::UnknownKind,
        Self::BadRequest,
        Self::TooLarge,
        Self::KeyMissing,
        Self::KeyReused,
        Self::QueueFull,
        Self::DeadlinePassed,
        Self::NoEndpoint,
        Self::EndpointRefused,
        Self::ClaimUnavailable,
        Self::InProgress,
        Self::OutcomeUnknown,
        Self::CrashSuspect,
        Self::RetryBudget,
        Self::NotReady,
        Self::Stopping,
        Self::Truncated,
    ];

    /// The stable word.
    pub fn word(self) -> &'static str {
        match self {
            Self::UnknownBranch => "unknown-branch",
            Self::UnknownKind => "unknown-kind",
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
            Self::KeyMissing => "key-missing",
            Self::KeyReused => "key-reused",
            Self::QueueFull => "queue-full",
            Self::DeadlinePassed => "deadline-passed",
            Self::NoEndpoint => "no-endpoint",
            Self::EndpointRefused => "endpoint-refused",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::InProgress => "in-progress",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::CrashSuspect => "crash-suspect",
            Self::RetryBudget => "retry-budget",
            Self::NotReady => "not-ready",
            Self::Stopping => "stopping",
            Self::Truncated => "truncated",
        }
    }
}
