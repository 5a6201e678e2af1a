use {
    super::EndpointTraffic,
    std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

/// Counters of one endpoint, shared by all fleet snapshots that list it.
#[derive(Debug, Default)]
pub struct EndpointCounters {
    /// Pieces of engine memory granted by this process as the owner.
    granted: AtomicU32,
    /// Attempts that hold a grant of this process.
    running: AtomicU32,
    /// Pieces in use, by the last load report.
    used_pieces: AtomicU32,
    /// Tick of the last load report in microseconds, 0 if there was none.
    reported_at: AtomicU64,
    /// Number of requests that wait for the endpoint in this process.
    waiting: AtomicU32,
    /// Start time of the endpoint by the last load report, in milliseconds since the Unix epoch;
    /// 0 if there was none.
    incarnation: AtomicU64,
    /// Whether the endpoint gets no work because of repeated failures.
    ejected: AtomicBool,
    /// Whether the endpoint's own load report says that it is draining.
    draining: AtomicBool,
    /// Forwarded requests of this process at the endpoint, and its recent failures.
    pub traffic: EndpointTraffic,
}

impl EndpointCounters {
    /// Grants `pieces` to one attempt unless more than `limit` would be granted in total.
    ///
    /// Returns whether they were granted.
    pub fn try_acquire(&self, pieces: u32, limit: u32) -> bool {
        let within_limit = |granted: u32| granted.checked_add(pieces).filter(|sum| *sum <= limit);
        let success = self
            .granted
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, within_limit)
            .is_ok();
        if success {
            self.running.fetch_add(1, Ordering::AcqRel);
        }
        success
    }

    /// Releases a grant of `pieces` made by `try_acquire`.
    pub fn release(&self, pieces: u32) {
        let remaining = |granted: u32| Some(granted.saturating_sub(pieces));
        let _ = self
            .granted
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, remaining);
        let decrement = |count: u32| Some(count.saturating_sub(1));
        let _ = self
            .running
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, decrement);
    }

    /// Returns the pieces granted by this process.
    pub fn granted(&self) -> u32 {
        self.granted.load(Ordering::Acquire)
    }

    /// Returns the number of attempts that hold a grant of this process.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Records a load report of `pieces` in use that arrived at `tick`, in microseconds.
    pub fn record_load(&self, pieces: u32, tick: u64) {
        self.used_pieces.store(pieces, Ordering::Release);
        self.reported_at.store(tick, Ordering::Release);
    }

    /// Returns the pieces in use by the last load report, 0 if there was none.
    pub fn used_pieces(&self) -> u32 {
        self.used_pieces.load(Ordering::Acquire)
    }

    /// Returns the tick of the last load report in microseconds, 0 if there was none.
    pub fn reported_at(&self) -> u64 {
        self.reported_at.load(Ordering::Acquire)
    }

    /// Records how many requests wait for the endpoint in this process.
    pub fn set_waiting(&self, waiting: u32) {
        self.waiting.store(waiting, Ordering::Release);
    }

    /// Returns how many requests wait for the endpoint in this process.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }

    /// Records the start time that a load report states, in milliseconds since the Unix epoch.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.incarnation.store(incarnation, Ordering::Release);
    }

    /// Returns the start time by the last load report, in milliseconds since the Unix epoch; 0 if
    /// there was none.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Records whether the endpoint is ejected: it gets no work because of repeated failures.
    pub fn set_ejected(&self, ejected: bool) {
        self.ejected.store(ejected, Ordering::Release);
    }

    /// Returns whether the endpoint gets no work because of repeated failures.
    pub fn ejected(&self) -> bool {
        self.ejected.load(Ordering::Acquire)
    }

    /// Records whether the endpoint's own load report says that it is draining.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Release);
    }

    /// Returns whether the endpoint's own load report says that it is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}
