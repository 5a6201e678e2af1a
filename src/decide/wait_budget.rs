use std::time::Duration;

/// How much of its target time a stream may spend waiting before its prefill begins.
///
/// The rest is for the prefill, the transfer of the KV cache and the first event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitBudget {
    /// Longest wait for a placement.
    pub placement: Duration,
    /// Longest wait in the queue of a prefill engine.
    pub queue: Duration,
    /// Wait in the queue of a prefill engine from which on a prompt is rather prefilled locally, where
    /// that leaves memory to spare.
    pub short_queue: Duration,
}

impl WaitBudget {
    /// Returns the budget of a stream with the target time `target`.
    pub fn of(target: Duration) -> Self {
        Self {
            placement: target * 2 / 5,
            queue: target * 2 / 5,
            short_queue: target / 6,
        }
    }
}
