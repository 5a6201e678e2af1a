/// Why an attempt was followed by another one: the label of the retry counter.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryReason {
    /// The endpoint was not reached.
    Unsent,
    /// The endpoint stated that it did not run the attempt.
    Refused,
    /// The KV cache was evicted before the import.
    CacheGone,
    /// The answer of a prefill broke off.
    PrefillBroken,
    /// The token stream broke off and continues at the same endpoint.
    Resumed,
    /// The token stream broke off and continues at another endpoint.
    Moved,
    /// The answer of an idempotent call broke off.
    CallBroken,
    /// The endpoint answered an idempotent call with a failure.
    AnsweredFailure,
}

impl RetryReason {
    /// Every reason, for registration of counters.
    pub const ALL: [Self; 8] = [
        Self::Unsent,
        Self::Refused,
        Self::CacheGone,
        Self::PrefillBroken,
        Self::Resumed,
        Self::Moved,
        Self::CallBroken,
        Self::AnsweredFailure,
    ];

    /// The stable word.
    pub fn word(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Refused => "refused",
            Self::CacheGone => "cache-gone",
            Self::PrefillBroken => "prefill-broken",
            Self::Resumed => "resumed",
            Self::Moved => "moved",
            Self::CallBroken => "call-broken",
            Self::AnsweredFailure => "answered-failure",
        }
    }
}
