use {crate::board::Tick, std::time::Duration};

/// Time in which the weight of past use halves.
pub const HALF_LIFE: Duration = Duration::from_mins(1);

/// Exponentially decayed use of endpoints by one branch, in pieces.
#[derive(Clone, Copy, Debug, Default)]
pub struct FairShare {
    used: f64,
    /// When `used` was last updated.
    updated_at: Tick,
}

impl FairShare {
    /// Adds the use of `amount` pieces at `now`.
    pub fn add(&mut self, amount: f64, now: Tick) {
        self.used = self.used(now) + amount;
        self.updated_at = now;
    }

    /// Returns the decayed use at `now`, in pieces.
    pub fn used(&self, now: Tick) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.used * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}
