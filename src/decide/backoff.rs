use {
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Greatest exponent of the growth, so that the doubling cannot overflow.
const EXPONENT_MAX: u32 = 20;

/// Exponential back-off with full jitter.
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

    /// Returns the delay after one more failure: between half the base and the bound reached.
    pub fn fail<R>(&mut self, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let factor = 1_u32 << self.failures.min(EXPONENT_MAX);
        self.failures = self.failures.saturating_add(1);
        let bound = self.base.saturating_mul(factor).min(self.max);
        let least = (self.base / 2).min(bound);
        least + bound.saturating_sub(least).mul_f64(rng.random())
    }

    /// Starts from the base again after a success.
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
