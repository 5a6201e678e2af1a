use {
    crate::{decide::RetryBudget, port::Clock},
    std::{sync::Arc, time::Duration},
};

/// Wait before a spent budget is checked again.
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Permission for one retry of a budget; dropping it unused returns the credit.
#[derive(Debug)]
pub struct RetryPermit {
    budget: Arc<RetryBudget>,
    used: bool,
}

impl RetryPermit {
    /// Takes a retry of `budget`; `None` if none is left.
    pub fn take(budget: Arc<RetryBudget>) -> Option<Self> {
        budget.spend().then(|| Self {
            budget,
            used: false,
        })
    }

    /// Waits until `budget` has a retry left, and takes it.
    pub async fn wait<C>(budget: Arc<RetryBudget>, clock: &C) -> Self
    where
        C: Clock,
    {
        loop {
            if let Some(permit) = Self::take(Arc::clone(&budget)) {
                return permit;
            }
            clock.sleep(BUDGET_CHECK_INTERVAL).await;
        }
    }

    /// Records that the retry is made.
    pub fn spend(mut self) {
        self.used = true;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.used {
            self.budget.refund();
        }
    }
}
