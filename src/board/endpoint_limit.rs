use {
    super::{RequestRate, RequestSlots, Tick},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Limit on the rate of the requests of all daemons together, as an endpoint last stated it, and the
/// share of this daemon: every daemon sends at an equal part of the rate, at times of its own.
///
/// So no daemon has to hear of another one's requests, and one that is cut off keeps to its part.
#[derive(Debug, Default)]
pub struct EndpointLimit {
    /// One more than the rate in thousandths of a request a second; 0 if there is no limit.
    rate: AtomicU64,
    /// Tick in microseconds of the last response that stated a limit, or ended one; 0 if none did.
    stated_at: AtomicU64,
    /// Tick in microseconds at which this daemon's next slot begins.
    next_slot: AtomicU64,
}

impl EndpointLimit {
    /// Records the limit that the response to a request sent at `sent` stated, `None` for none;
    /// returns whether the limit has changed.
    ///
    /// A response without a limit ends one only if its request was sent after that was stated. With a
    /// first limit, the slots of this daemon begin within the time `first_slot`.
    pub fn record(
        &self,
        rate: Option<RequestRate>,
        sent: Tick,
        now: Tick,
        first_slot: Duration,
    ) -> bool {
        let before = self.rate();
        let stated_at = Tick(self.stated_at.load(Ordering::Acquire));
        if rate.is_none() && (before.is_none() || sent < stated_at) {
            return false;
        }
        if before.is_none() {
            let next = now + first_slot;
            self.next_slot.store(next.0, Ordering::Release);
        }
        let stored = rate.map_or(0, |rate| rate.milli().saturating_add(1));
        self.rate.store(stored, Ordering::Release);
        self.stated_at.store(now.0.max(1), Ordering::Release);
        before != rate
    }

    /// Returns the limit; `None` if there is none.
    pub fn rate(&self) -> Option<RequestRate> {
        let stored = self.rate.load(Ordering::Acquire);
        stored.checked_sub(1).map(RequestRate::from_milli)
    }

    /// Returns the time from `now` until this one of `daemons` may send a request; zero if it may.
    pub fn wait(&self, now: Tick, daemons: usize) -> Duration {
        let slots = self.slots(Tick(self.next_slot.load(Ordering::Acquire)), daemons);
        slots.map_or(Duration::ZERO, |slots| slots.wait(now))
    }

    /// Takes the slot that is open at `now` for this one of `daemons`; returns whether a request may
    /// be sent.
    pub fn try_take(&self, now: Tick, daemons: usize) -> bool {
        if self.rate().is_none() {
            return true;
        }
        let take = |next: u64| {
            let slots = self.slots(Tick(next), daemons)?;
            Some((slots.open(now)? + slots.interval).0)
        };
        self.next_slot
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take)
            .is_ok()
    }

    /// Gives up one further slot of this one of `daemons`, for a request beside the one that took it.
    pub fn charge(&self, daemons: usize) {
        let skip = |next: u64| Some((Tick(next) + self.slots(Tick(next), daemons)?.interval).0);
        // Without a limit there is no slot to give up.
        let _ = self
            .next_slot
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, skip);
    }

    /// Returns the slots of one of `daemons`, of which the next begins at `next`; `None` without a
    /// limit.
    fn slots(&self, next: Tick, daemons: usize) -> Option<RequestSlots> {
        let interval = self.rate()?.interval(daemons);
        Some(RequestSlots { next, interval })
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
        copy(&earlier.next_slot, &self.next_slot);
    }

    /// Forgets what an earlier process at the endpoint stated.
    pub fn clear(&self) {
        self.rate.store(0, Ordering::Release);
        self.stated_at.store(0, Ordering::Release);
    }
}
