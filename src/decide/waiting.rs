use {crate::board::Tick, std::time::Duration};

/// A request that waits for a place, as far as its order matters.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// When it joined the line.
    pub arrived: Tick,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// When its first token is due.
    pub due: Tick,
    /// Predicted time from the grant to the first token.
    pub work: Duration,
    /// Recent use by its branch as a multiple of the mean over branches.
    pub share: f64,
}

impl Waiting {
    /// Whether the first token can no longer be in time, even if the place is granted at `now`.
    pub fn is_late(&self, now: Tick) -> bool {
        now + self.work > self.due
    }
}
