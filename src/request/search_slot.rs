use {
    super::{ForwardParts, ForwardShared},
    crate::decide::RetryBudget,
    std::sync::Arc,
};

/// A search for the endpoint of a retry, counted in the pool's budget until it is dropped.
#[derive(Debug)]
pub struct SearchSlot {
    budget: Arc<RetryBudget>,
}

impl SearchSlot {
    /// Starts a search in `pool`; `None` if its budget has no retry left beside those searched for.
    pub fn take<P>(shared: &ForwardShared<P>, pool: &str) -> Option<Self>
    where
        P: ForwardParts,
    {
        let budget = shared.budget(pool);
        budget.start_search().then(|| Self { budget })
    }
}

impl Drop for SearchSlot {
    fn drop(&mut self) {
        self.budget.end_search();
    }
}
