/// Why an attempt was followed by another one; the label of the retry counter.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryReason {
    /// The request did not reach the endpoint.
    Unsent,
    /// The endpoint stated that it did not run the attempt.
    Refused,
    /// The KV cache was evicted before the import.
    CacheEvicted,
    /// The response to a prefill broke off.
    PrefillBroken,
    /// The token stream broke off and was resumed at the same endpoint.
    Resumed,
    /// The token stream broke off and was continued at another endpoint.
    Moved,
    /// The response to an idempotent call broke off.
    CallBroken,
    /// The response to an idempotent call had an error status.
    ErrorStatus,
}

impl RetryReason {
    /// Every reason, for registration of counters.
    pub const ALL: [Self; 8] = [
        Self::Unsent,
        Self::Refused,
        Self::CacheEvicted,
        Self::PrefillBroken,
        Self::Resumed,
        Self::Moved,
        Self::CallBroken,
        Self::ErrorStatus,
    ];

    /// Returns the name of the reason, which stays the same in every release.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Refused => "refused",
            Self::CacheEvicted => "cache-gone",
            Self::PrefillBroken => "prefill-broken",
            Self::Resumed => "resumed",
            Self::Moved => "moved",
            Self::CallBroken => "call-broken",
            Self::ErrorStatus => "answered-failure",
        }
    }
}
