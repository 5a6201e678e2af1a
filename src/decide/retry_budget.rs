use std::sync::atomic::{AtomicU64, Ordering};

/// Bounds retries to a share of the requests, so that they never multiply an overload.
///
/// Credit is kept in thousandths of a retry.
#[derive(Debug)]
pub struct RetryBudget {
    credit: AtomicU64,
    earn: u64,
    most: u64,
}

/// Credit of one retry.
const RETRY_CREDIT: u64 = 1_000;

impl RetryBudget {
    /// Creates a budget that earns `percent` hundredths of a retry for each request and holds at
    /// most `most` retries, with which it starts.
    pub fn new(percent: u64, most: u64) -> Self {
        let most = most * RETRY_CREDIT;
        Self {
            credit: AtomicU64::new(most),
            earn: percent * RETRY_CREDIT / 100,
            most,
        }
    }

    /// Earns credit for a first attempt.
    pub fn earn(&self) {
        let more = |credit: u64| Some((credit + self.earn).min(self.most));
        let _ = self
            .credit
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more);
    }

    /// Whole retries that may be made now.
    pub fn left(&self) -> u64 {
        self.credit.load(Ordering::Acquire) / RETRY_CREDIT
    }

    /// Spends the credit of one retry; `false` if there is none.
    pub fn spend(&self) -> bool {
        let less = |credit: u64| credit.checked_sub(RETRY_CREDIT);
        self.credit
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, less)
            .is_ok()
    }
}
