use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

/// Credit of one organisation at this daemon, which requests take without a lock.
///
/// All of it expires at one time, which each reply of the accountant moves on. An expiry begins another
/// `epoch`, so that credit which a request has reserved expires too. Times are since the boot of the host.
/// Changes are ordered such that a concurrent reader finds rather too much credit held than too little.
#[derive(Debug, Default)]
pub struct QuotaCredit {
    /// Credit that no request has reserved.
    free: AtomicU64,
    /// Credit that requests have reserved and not used.
    reserved: AtomicU64,
    /// Credit used since the start.
    used: AtomicU64,
    /// Cost of all requests since the start, refused ones included.
    asked: AtomicU64,
    /// Credit used by requests that did not run, to be given back to the accountant.
    refunded: AtomicU64,
    /// When the credit expires, in microseconds.
    valid_until: AtomicU64,
    /// Number of expiries.
    epoch: AtomicU64,
}

/// Credit that a request has reserved. Dropping it gives the credit back, unless it was used.
#[derive(Debug)]
pub struct QuotaHold {
    credit: Arc<QuotaCredit>,
    cost: u64,
    epoch: u64,
    /// When the credit was used, in microseconds; 0 while it is reserved.
    used_at: AtomicU64,
    refunded: AtomicBool,
}

impl QuotaCredit {
    /// Returns the credit that no request has reserved.
    pub fn free(&self) -> u64 {
        self.free.load(Ordering::Acquire)
    }

    /// Returns all credit held, reserved credit included.
    pub fn held(&self) -> u64 {
        // In this order a concurrent release is counted twice rather than not at all.
        let reserved = self.reserved.load(Ordering::SeqCst);
        self.free.load(Ordering::SeqCst).saturating_add(reserved)
    }

    /// Returns the credit used since the start.
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Acquire)
    }

    /// Returns the cost of all requests since the start.
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::Acquire)
    }

    /// Returns the time for which the credit is valid.
    pub fn valid_for(&self, now: Duration) -> Duration {
        let until = self.valid_until.load(Ordering::Acquire);
        Duration::from_micros(until).saturating_sub(now)
    }

    /// Counts a request of `cost`, whether it is admitted or refused.
    pub fn count_request(&self, cost: u64) {
        self.asked.fetch_add(cost, Ordering::AcqRel);
    }

    /// Adds `amount`, and lets all credit expire at `valid_until` at the earliest.
    pub fn add(&self, amount: u64, valid_until: Duration) {
        let until = micros(valid_until);
        self.valid_until.fetch_max(until, Ordering::AcqRel);
        self.free.fetch_add(amount, Ordering::AcqRel);
    }

    /// Takes up to `amount` of the credit that no request has reserved; returns how much it took.
    pub fn withdraw(&self, amount: u64) -> u64 {
        let take = |free: u64| Some(free.saturating_sub(amount));
        let before = self
            .free
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take);
        before.map_or(0, |before| before.min(amount))
    }

    /// Takes the credit of requests that did not run.
    pub fn take_refunded(&self) -> u64 {
        self.refunded.swap(0, Ordering::AcqRel)
    }

    /// Removes all credit if it has expired at `now`; returns whether it has.
    pub fn expire(&self, now: Duration) -> bool {
        let expired = micros(now) >= self.valid_until.load(Ordering::Acquire);
        if expired && self.held() > 0 {
            self.epoch.fetch_add(1, Ordering::AcqRel);
            self.free.swap(0, Ordering::AcqRel);
        }
        expired
    }

    /// Reserves `cost` at `now`; `None` if there is not so much credit or it has expired.
    pub fn reserve(self: &Arc<Self>, cost: u64, now: Duration) -> Option<QuotaHold> {
        let epoch = self.epoch.load(Ordering::Acquire);
        if !self.is_valid(epoch, now) {
            return None;
        }
        self.reserved.fetch_add(cost, Ordering::SeqCst);
        let take = |free: u64| free.checked_sub(cost);
        let taken = self
            .free
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
        if taken.is_err() {
            self.reserved.fetch_sub(cost, Ordering::AcqRel);
            return None;
        }
        Some(QuotaHold {
            credit: Arc::clone(self),
            cost,
            epoch,
            used_at: AtomicU64::new(0),
            refunded: AtomicBool::new(false),
        })
    }

    /// Whether credit of `epoch` can be used at `now`.
    fn is_valid(&self, epoch: u64, now: Duration) -> bool {
        self.epoch.load(Ordering::Acquire) == epoch
            && micros(now) < self.valid_until.load(Ordering::Acquire)
    }
}

impl QuotaHold {
    /// Cost of the request.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Uses the credit, as the request is sent at `now`; `false` if it has expired.
    ///
    /// A request that was sent before uses its credit only once.
    pub fn spend(&self, now: Duration) -> bool {
        if self.is_used() {
            return true;
        }
        if !self.credit.is_valid(self.epoch, now) {
            return false;
        }
        self.credit.used.fetch_add(self.cost, Ordering::AcqRel);
        self.credit.reserved.fetch_sub(self.cost, Ordering::AcqRel);
        self.used_at.store(micros(now).max(1), Ordering::Release);
        true
    }

    /// Returns the time since the credit was used; `None` if it was not.
    pub fn since_used(&self, now: Duration) -> Option<Duration> {
        let used_at = self.used_at.load(Ordering::Acquire);
        (used_at > 0).then(|| now.saturating_sub(Duration::from_micros(used_at)))
    }

    /// Gives back used credit, as the request did not run.
    ///
    /// It goes to the accountant, which may have filled its place already, and not to other requests here.
    pub fn refund(&self) {
        if self.is_used() && !self.refunded.swap(true, Ordering::AcqRel) {
            self.credit.refunded.fetch_add(self.cost, Ordering::AcqRel);
        }
    }

    fn is_used(&self) -> bool {
        self.used_at.load(Ordering::Acquire) > 0
    }
}

impl Drop for QuotaHold {
    fn drop(&mut self) {
        if self.is_used() {
            return;
        }
        if self.credit.epoch.load(Ordering::Acquire) == self.epoch {
            self.credit.free.fetch_add(self.cost, Ordering::SeqCst);
        }
        self.credit.reserved.fetch_sub(self.cost, Ordering::SeqCst);
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
