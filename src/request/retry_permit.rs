use {
    super::{ForwardParts, ForwardShared},
    crate::{decide::RetryBudget, port::Clock},
    std::{sync::Arc, time::Duration},
};

/// Wait before a spent budget is checked again.
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Permission for one retry of a pool's budget; dropping it unused returns the credit.
#[derive(Debug)]
pub struct RetryPermit {
    budget: Arc<RetryBudget>,
    used: bool,
}

impl RetryPermit {
    /// Takes a retry of the budget of `pool`; `None` if none is left.
    pub fn take<P>(shared: &ForwardShared<P>, pool: &str) -> Option<Self>
    where
        P: ForwardParts,
    {
        let budget = shared.budget(pool);
        budget.spend().then(|| Self {
            budget,
            used: false,
        })
    }

    /// Waits until the budget of `pool` has a retry left, and takes it.
    pub async fn wait<P>(shared: &ForwardShared<P>, pool: &str) -> Self
    where
        P: ForwardParts,
    {
        loop {
            if let Some(permit) = Self::take(shared, pool) {
                return permit;
            }
            shared.parts().clock().sleep(BUDGET_CHECK_INTERVAL).await;
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
