use {
    super::{RequestRate, Tick},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Limit on the rate of the requests of all daemons together, as an endpoint last stated it.
#[derive(Debug, Default)]
pub struct EndpointLimit {
    /// One more than the rate in thousandths of a request a second; 0 if there is no limit.
    rate: AtomicU64,
    /// Tick in microseconds of the last response that stated a limit, or ended one; 0 if none did.
    stated_at: AtomicU64,
}

impl EndpointLimit {
    /// Records the limit that the response to a request sent at `sent` stated, `None` for none;
    /// returns whether the limit has changed.
    ///
    /// A response without a limit ends one only if its request was sent after that was stated.
    pub fn state(&self, rate: Option<RequestRate>, sent: Tick, now: Tick) -> bool {
        let before = self.rate();
        let stated_at = Tick(self.stated_at.load(Ordering::Acquire));
        if rate.is_none() && (before.is_none() || sent < stated_at) {
            return false;
        }
        let stored = rate.map_or(0, |rate| rate.milli() + 1);
        self.rate.store(stored, Ordering::Release);
        self.stated_at.store(now.0.max(1), Ordering::Release);
        before != rate
    }

    /// Returns the limit; `None` if there is none.
    pub fn rate(&self) -> Option<RequestRate> {
        let stored = self.rate.load(Ordering::Acquire);
        stored.checked_sub(1).map(RequestRate::from_milli)
    }

    /// Returns the time since the endpoint last stated a limit or ended one; `None` if it never did.
    pub fn age(&self, now: Tick) -> Option<Duration> {
        let stated_at = self.stated_at.load(Ordering::Acquire);
        (stated_at > 0).then(|| now - Tick(stated_at))
    }

    /// Takes over what the same process stated when an earlier entry listed it.
    pub fn inherit(&self, earlier: &Self) {
        let copy = |from: &AtomicU64, to: &AtomicU64| {
            to.store(from.load(Ordering::Acquire), Ordering::Release);
        };
        copy(&earlier.rate, &self.rate);
        copy(&earlier.stated_at, &self.stated_at);
    }

    /// Forgets what an earlier process at the endpoint stated.
    pub fn clear(&self) {
        self.rate.store(0, Ordering::Release);
        self.stated_at.store(0, Ordering::Release);
    }
}
