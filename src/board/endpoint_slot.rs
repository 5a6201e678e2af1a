use {
    super::EndpointTraffic,
    std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

/// Counters of one endpoint, shared by all snapshots that list it.
#[derive(Debug, Default)]
pub struct EndpointSlot {
    /// Pieces granted by this process as the owner.
    granted: AtomicU32,
    /// Attempts that run under a grant of this process.
    running: AtomicU32,
    /// Pieces in use by the last load report.
    reported: AtomicU32,
    /// Tick of the last load report in microseconds.
    heard: AtomicU64,
    /// Requests waiting for the endpoint in this process.
    waiting: AtomicU32,
    /// Start time of the endpoint by the last load report, in milliseconds since the Unix epoch.
    incarnation: AtomicU64,
    /// Whether the endpoint is taken out after repeated failures.
    ejected: AtomicBool,
    /// Whether the endpoint's own load report says that it leaves.
    leaving: AtomicBool,
    /// Forwarded requests of this process at the endpoint.
    pub traffic: EndpointTraffic,
}

impl EndpointSlot {
    /// Takes `pieces` if no more than `limit` are granted afterwards.
    pub fn try_take(&self, pieces: u32, limit: u32) -> bool {
        let fits = |held: u32| held.checked_add(pieces).filter(|sum| *sum <= limit);
        let taken = self
            .granted
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, fits)
            .is_ok();
        if taken {
            self.running.fetch_add(1, Ordering::AcqRel);
        }
        taken
    }

    /// Gives back what `try_take` took.
    pub fn give_back(&self, pieces: u32) {
        let less = |held: u32| Some(held.saturating_sub(pieces));
        let _ = self
            .granted
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, less);
        let fewer = |count: u32| Some(count.saturating_sub(1));
        let _ = self
            .running
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, fewer);
    }

    /// Pieces granted by this process.
    pub fn granted(&self) -> u32 {
        self.granted.load(Ordering::Acquire)
    }

    /// Attempts running under a grant of this process.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Records a load report of `pieces` in use, heard at `tick` microseconds.
    pub fn report(&self, pieces: u32, tick: u64) {
        self.reported.store(pieces, Ordering::Release);
        self.heard.store(tick, Ordering::Release);
    }

    /// Pieces in use by the last load report.
    pub fn reported(&self) -> u32 {
        self.reported.load(Ordering::Acquire)
    }

    /// Tick of the last load report in microseconds, 0 if there was none.
    pub fn heard(&self) -> u64 {
        self.heard.load(Ordering::Acquire)
    }

    /// Records how many requests wait for the endpoint in this process.
    pub fn set_waiting(&self, waiting: u32) {
        self.waiting.store(waiting, Ordering::Release);
    }

    /// Requests waiting for the endpoint in this process.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }

    /// Records the start time that a load report told.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.incarnation.store(incarnation, Ordering::Release);
    }

    /// Start time by the last load report, in milliseconds since the Unix epoch; 0 if there was
    /// none.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Takes the endpoint out of, or back into, the choice.
    pub fn set_ejected(&self, ejected: bool) {
        self.ejected.store(ejected, Ordering::Release);
    }

    /// Whether the endpoint is taken out of the choice.
    pub fn ejected(&self) -> bool {
        self.ejected.load(Ordering::Acquire)
    }

    /// Records whether the endpoint's own load report says that it leaves.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Whether the endpoint's own load report says that it leaves.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}
