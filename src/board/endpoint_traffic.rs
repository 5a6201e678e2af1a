use {
    super::Tick,
    std::{
        sync::atomic::{AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// One in fixed-point shares: failures and times are kept as integers in atomics.
const ONE: u32 = 1 << 16;

/// Share of the newest sample in a moving average, as a power of two.
const SAMPLE_SHIFT: u32 = 3;

/// Forwarded requests of this process at one endpoint, and what their answers told.
#[derive(Debug, Default)]
pub struct EndpointTraffic {
    /// Requests in progress.
    running: AtomicU32,
    /// Tokens of memory that the requests in progress will need.
    tokens: AtomicU64,
    /// Requests of others at the endpoint, by its last answer.
    others: AtomicU32,
    /// Tick of that answer in microseconds, 0 if there was none.
    heard: AtomicU64,
    /// Moving average of failures as a share of `ONE`.
    failing: AtomicU32,
    /// Moving average of the time to an answer in microseconds, 0 if there was none.
    answer_us: AtomicU32,
    /// Tick in microseconds until which the endpoint is avoided.
    avoided: AtomicU64,
    /// Consecutive silences, which lengthen the time for which the endpoint is avoided.
    silences: AtomicU32,
    /// Refusals in a row, with nothing accepted between.
    refusals: AtomicU32,
    /// Tick in microseconds until which the endpoint is taken to refuse everything.
    refusing: AtomicU64,
}

/// Load that an endpoint told with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeenLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

impl EndpointTraffic {
    /// Notes a request that will need `tokens` of memory.
    pub fn enter(&self, tokens: u64) {
        self.running.fetch_add(1, Ordering::AcqRel);
        self.tokens.fetch_add(tokens, Ordering::AcqRel);
    }

    /// Notes the end of a request that `enter` noted.
    pub fn leave(&self, tokens: u64) {
        self.running.fetch_sub(1, Ordering::AcqRel);
        self.tokens.fetch_sub(tokens, Ordering::AcqRel);
    }

    /// Requests of this process in progress.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Tokens of memory that the requests of this process need.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Acquire)
    }

    /// Records the load that an answer told.
    pub fn hear(&self, load: SeenLoad, now: Tick) {
        let all = load.running + load.waiting;
        let others = all.saturating_sub(self.running());
        self.others.store(others, Ordering::Release);
        self.heard.store(now.0.max(1), Ordering::Release);
    }

    /// Requests of others by the last answer, and the age of that answer.
    pub fn others(&self, now: Tick) -> Option<(u32, Duration)> {
        let heard = self.heard.load(Ordering::Acquire);
        (heard > 0).then(|| (self.others.load(Ordering::Acquire), now - Tick(heard)))
    }

    /// Records how an attempt ended.
    pub fn ended(&self, failed: bool) {
        let sample = if failed { ONE } else { 0 };
        let mix = |old: u32| Some(old - (old >> SAMPLE_SHIFT) + (sample >> SAMPLE_SHIFT));
        // The closure always returns a value, so the update cannot fail.
        let _ = self
            .failing
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, mix);
        if !failed {
            self.silences.store(0, Ordering::Release);
            self.avoided.store(0, Ordering::Release);
        }
    }

    /// Share of attempts that failed lately, 0 to 1.
    pub fn failing(&self) -> f64 {
        f64::from(self.failing.load(Ordering::Acquire)) / f64::from(ONE)
    }

    /// Records the time to an answer.
    pub fn answered(&self, took: Duration) {
        let sample = u32::try_from(took.as_micros()).unwrap_or(u32::MAX);
        let mix = |old: u32| {
            Some(if old == 0 {
                sample
            } else {
                old - (old >> SAMPLE_SHIFT) + (sample >> SAMPLE_SHIFT)
            })
        };
        // The closure always returns a value, so the update cannot fail.
        let _ = self
            .answer_us
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, mix);
    }

    /// Usual time to an answer, if there was one.
    pub fn usual(&self) -> Option<Duration> {
        let usual = self.answer_us.load(Ordering::Acquire);
        (usual > 0).then(|| Duration::from_micros(u64::from(usual)))
    }

    /// Avoids the endpoint until `until`; a later end stays.
    pub fn avoid(&self, until: Tick) {
        self.avoided.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Counts a silence and returns how many there were in a row.
    pub fn silent(&self) -> u32 {
        self.silences.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Counts a refusal and returns how many there were in a row.
    pub fn refused(&self) -> u32 {
        self.refusals.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Takes the endpoint to refuse everything until `until`; a later end stays.
    pub fn turn_away(&self, until: Tick) {
        self.refusing.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Notes that the endpoint has accepted something, or may be expected to.
    pub fn accepts(&self) {
        self.refusals.store(0, Ordering::Release);
        self.refusing.store(0, Ordering::Release);
    }

    /// Whether the endpoint is avoided at `now`.
    pub fn is_avoided(&self, now: Tick) -> bool {
        let until = |tick: &AtomicU64| tick.load(Ordering::Acquire);
        until(&self.avoided).max(until(&self.refusing)) > now.0
    }
}
