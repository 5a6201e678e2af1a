use {
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Maximum exponent of the growth, so that the doubling cannot overflow.
const MAX_EXPONENT: u32 = 20;

/// Exponential back-off with full jitter above half the base delay.
///
/// The jitter spreads the calls of many daemons after an outage over the whole delay.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a back-off whose first delay is at most `base` and whose delays are at most `max`.
    pub fn new(base: Duration, max: Duration) -> Self {
        Self {
            base,
            max,
            failures: 0,
        }
    }

    /// Records a failure and returns the delay before the next try, between half the base and the
    /// bound reached.
    ///
    /// The bound starts at the base and doubles with each failure up to the maximum.
    pub fn fail<R>(&mut self, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let factor = 1_u32 << self.failures.min(MAX_EXPONENT);
        self.failures = self.failures.saturating_add(1);
        let bound = self.base.saturating_mul(factor).min(self.max);
        let min = (self.base / 2).min(bound);
        min + bound.saturating_sub(min).mul_f64(rng.random())
    }

    /// Records a success: the next delay starts from the base again.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }
}

/// Returns `interval` with a jitter of a tenth either way, so that pollers do not align.
pub fn jitter<R>(interval: Duration, rng: &mut R) -> Duration
where
    R: Rng,
{
    interval.mul_f64(rng.random_range(0.9..1.1))
}
