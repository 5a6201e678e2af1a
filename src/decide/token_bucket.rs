use {
    crate::board::Tick,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Lock-free token bucket.
///
/// It stores the tick at which the bucket is full again (the generic cell rate algorithm); taking a
/// token moves that tick by the refill time of one token.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tick at which the bucket is full, in microseconds.
    full: AtomicU64,
    /// Refill time of one token, in microseconds.
    refill: u64,
    /// Capacity in tokens.
    burst: u32,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens that refills at `rate` tokens per second; 0 counts as 1
    /// for both.
    pub fn new(rate: u32, burst: u32) -> Self {
        let second = Duration::from_secs(1).as_micros() as u64;
        Self {
            full: AtomicU64::new(0),
            refill: second / u64::from(rate.max(1)),
            burst: burst.max(1),
        }
    }

    /// Takes a token at `now` if more than `reserve` tokens are left; returns whether it did.
    pub fn try_take(&self, now: Tick, reserve: u32) -> bool {
        let usable = self.burst.saturating_sub(reserve);
        let limit = now.0 + u64::from(usable) * self.refill;
        let take = |full: u64| {
            let next = full.max(now.0) + self.refill;
            (next <= limit).then_some(next)
        };
        self.full
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take)
            .is_ok()
    }

    /// Returns the number of complete tokens that are left at `now`.
    pub fn left(&self, now: Tick) -> u32 {
        let missing = self.full.load(Ordering::Acquire).saturating_sub(now.0);
        let taken = missing.div_ceil(self.refill);
        self.burst.saturating_sub(taken as u32)
    }

    /// Returns the time from `now` until more than `reserve` tokens are left.
    pub fn wait(&self, now: Tick, reserve: u32) -> Duration {
        let usable = self.burst.saturating_sub(reserve).max(1);
        let full = self.full.load(Ordering::Acquire).max(now.0);
        let ready = full.saturating_sub(u64::from(usable - 1) * self.refill);
        Duration::from_micros(ready.saturating_sub(now.0))
    }
}
