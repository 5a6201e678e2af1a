use {crate::board::Tick, std::time::Duration};

/// A request that waits for a grant, with what decides its rank in the queue.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// When it joined the queue.
    pub arrived: Tick,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When its first token is due to meet the target.
    pub due: Tick,
    /// Predicted time from the grant to the first token.
    pub work: Duration,
    /// Recent use of endpoints by its branch as a multiple of the mean over branches.
    pub share: f64,
}

impl Waiting {
    /// Whether the first token will miss its due time even if the grant is made at `now`.
    pub fn is_late(&self, now: Tick) -> bool {
        now + self.work > self.due
    }
}
