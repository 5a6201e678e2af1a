use std::sync::atomic::{AtomicU64, Ordering};

/// Limits retries to a share of the requests, so that they cannot amplify an overload.
///
/// Safe for concurrent use without locks. Credit is in thousandths of a retry.
#[derive(Debug)]
pub struct RetryBudget {
    credit: AtomicU64,
    earn: u64,
    max: u64,
    searches: AtomicU64,
}

/// Credit of one retry, in thousandths of a retry.
const RETRY_CREDIT: u64 = 1_000;

impl RetryBudget {
    /// Creates a budget that earns `percent` hundredths of a retry for each request, and starts with
    /// its maximum of `max` retries.
    pub fn new(percent: u64, max: u64) -> Self {
        let max = max * RETRY_CREDIT;
        Self {
            credit: AtomicU64::new(max),
            earn: percent * RETRY_CREDIT / 100,
            max,
            searches: AtomicU64::new(0),
        }
    }

    /// Earns the credit for one request; to be called at its first attempt.
    pub fn earn(&self) {
        let more = |credit: u64| Some((credit + self.earn).min(self.max));
        let _ = self
            .credit
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more);
    }

    /// Returns the number of retries that may be made now.
    pub fn left(&self) -> u64 {
        self.credit.load(Ordering::Acquire) / RETRY_CREDIT
    }

    /// Returns the credit of a retry that was not made.
    pub fn refund(&self) {
        let more = |credit: u64| Some((credit + RETRY_CREDIT).min(self.max));
        let _ = self
            .credit
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more);
    }

    /// Counts a search for a retry's endpoint; returns `false` if as many searches as retries are left.
    ///
    /// A search leaves the credit to other requests until it has found one.
    pub fn start_search(&self) -> bool {
        let more = |searches: u64| (searches < self.left()).then_some(searches + 1);
        self.searches
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more)
            .is_ok()
    }

    /// Ends a search that was counted.
    pub fn end_search(&self) {
        self.searches.fetch_sub(1, Ordering::AcqRel);
    }

    /// Spends the credit of one retry; returns `false` if less is left.
    pub fn spend(&self) -> bool {
        let less = |credit: u64| credit.checked_sub(RETRY_CREDIT);
        self.credit
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, less)
            .is_ok()
    }
}
