use {crate::board::QuotaHold, std::time::Duration};

/// Admits requests within the quotas of organisations; the request path is generic over it.
pub trait QuotaGate: Clone + Send + Sync + 'static {
    /// Reserves credit for a request of `organisation`; without credit here, asks for more, which takes some
    /// tenths of a second at most.
    fn reserve(&self, organisation: &str, cost: u64) -> impl Future<Output = QuotaAnswer> + Send;
}

/// Answer to a request for credit.
#[derive(Debug)]
pub enum QuotaAnswer {
    /// The organisation has no limit.
    Unlimited,
    /// The credit is reserved.
    Granted(QuotaHold),
    /// There is no credit; there may be after this time.
    Refused(Duration),
    /// The cost exceeds what the quota can ever grant.
    TooLarge,
}
