use serde::{Deserialize, Serialize};

/// Why a request was refused: the reason in the response to the caller and the label of the
/// refusal counter.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The caller presented no key, or one that belongs to no branch.
    UnknownBranch,
    /// The sheet in force has no rule for the request kind.
    UnknownKind,
    /// The request is malformed.
    BadRequest,
    /// The request exceeds a size limit.
    TooLarge,
    /// The request kind runs at most once, and the request has no idempotency key.
    KeyMissing,
    /// The idempotency key was already used with another body.
    KeyReused,
    /// The bounded queue of the branch is full.
    QueueFull,
    /// The deadline passed before the request ran.
    DeadlinePassed,
    /// No endpoint of the rule's pool can serve the request.
    NoEndpoint,
    /// Every endpoint that was tried refused the request.
    EndpointRefused,
    /// The platform did not confirm the claim (idempotency record) in time.
    ClaimUnavailable,
    /// A request with the same idempotency key is running.
    InProgress,
    /// An attempt was sent, and whether it ran is unknown.
    OutcomeUnknown,
    /// The request is suspected of crashing endpoints.
    CrashSuspect,
    /// The retry budget is used up.
    RetryBudget,
    /// The daemon is starting and has no sheet yet.
    NotReady,
    /// The daemon is stopping.
    Stopping,
    /// The response broke off after part of it had been sent to the caller.
    Truncated,
    /// The request has no access key, and its route is not public.
    AccessKeyMissing,
    /// The request has credentials of another form than one access key.
    AccessKeyMalformed,
    /// The access key of the request belongs to no organisation.
    AccessKeyUnknown,
    /// The quota of the organisation has no credit for the request.
    QuotaExceeded,
    /// The process has no memory left for the request's body.
    CallerMemory,
}

impl Refusal {
    /// Every reason, for registration of counters.
    pub const ALL: [Self; 23] = [
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
        Self::AccessKeyMissing,
        Self::AccessKeyMalformed,
        Self::AccessKeyUnknown,
        Self::QuotaExceeded,
        Self::CallerMemory,
    ];

    /// Returns whether a request that is refused for it may not have been read to its end.
    pub fn leaves_body_unread(self) -> bool {
        matches!(self, Self::TooLarge | Self::CallerMemory)
    }

    /// Returns the name of the reason, which stays the same in every release.
    pub fn as_str(self) -> &'static str {
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
            Self::AccessKeyMissing => "access-key-missing",
            Self::AccessKeyMalformed => "access-key-malformed",
            Self::AccessKeyUnknown => "access-key-unknown",
            Self::QuotaExceeded => "quota-exceeded",
            Self::CallerMemory => "caller-memory",
        }
    }
}
