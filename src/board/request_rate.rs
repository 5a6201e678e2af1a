use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Number of thousandths in a whole.
const MILLI: f64 = 1_000.0;

/// Lowest rate, in thousandths of a request a second. An endpoint that states less still gets a
/// request now and then, since only its response shows that the limit is over.
const MIN_MILLI_RATE: u64 = 100;

/// Rate of requests, in thousandths of a request a second.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Creates the rate of `rate` requests a second; `None` if that is not a number of 0 or more.
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self((rate * MILLI) as u64))
    }

    /// Creates the rate of `milli` thousandths of a request a second.
    pub fn from_milli(milli: u64) -> Self {
        Self(milli)
    }

    /// Returns the rate in thousandths of a request a second.
    pub fn milli(self) -> u64 {
        self.0
    }

    /// Returns the time between two requests of each of `senders` that share the rate equally.
    pub fn interval(self, senders: usize) -> Duration {
        let rate = self.0.max(MIN_MILLI_RATE) as f64 / MILLI;
        Duration::from_secs_f64(senders.max(1) as f64 / rate)
    }
}
