use {
    super::{EndpointLimit, ServiceLoad, Tick},
    std::{
        sync::atomic::{AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// The value 1.0 in fixed-point notation, which keeps the failure ratio in an atomic integer.
const FIXED_POINT_ONE: u32 = 1 << 16;

/// Weight of the newest sample in a moving average: 1 / 2^`SAMPLE_SHIFT`.
const SAMPLE_SHIFT: u32 = 3;

/// Forwarded requests of this process at one endpoint, and statistics of their responses.
#[derive(Debug, Default)]
pub struct EndpointTraffic {
    /// Number of requests in progress.
    running: AtomicU32,
    /// Engine memory that the requests in progress are expected to need, in tokens.
    tokens: AtomicU64,
    /// Requests of other processes at the endpoint, by the last load that it reported.
    other_requests: AtomicU32,
    /// Tick of that report in microseconds, 0 if there was none.
    reported_at: AtomicU64,
    /// Moving average of the share of failed attempts; `FIXED_POINT_ONE` means all of them.
    failure_ratio: AtomicU32,
    /// Moving average of the response time in microseconds, 0 if there was no response.
    response_us: AtomicU32,
    /// Tick in microseconds until which the endpoint is avoided.
    avoided_until: AtomicU64,
    /// Consecutive attempts without a response, which lengthen the time for which the endpoint is
    /// avoided.
    unanswered: AtomicU32,
    /// Consecutive refusals, with no accepted request in between.
    refusals: AtomicU32,
    /// Tick in microseconds until which the endpoint is expected to refuse every request.
    refusing_until: AtomicU64,
    /// Tick in microseconds until which the endpoint wants no further requests.
    paused_until: AtomicU64,
    /// Start time of the endpoint by the list, in milliseconds since the Unix epoch.
    incarnation: AtomicU64,
    /// One more than the start time of the process at the endpoint whose response last said that it
    /// leaves; 0 if none did.
    leaving: AtomicU64,
    /// Limit on the rate of requests that the endpoint stated.
    pub limit: EndpointLimit,
    /// Reports of a plain service that states how long work takes there.
    pub service: ServiceLoad,
}

/// Load that an endpoint reported with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Number of requests that run at the endpoint.
    pub running: u32,
    /// Number of requests that wait inside the endpoint.
    pub waiting: u32,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// How long work takes at the endpoint at this moment, in hundredths of the usual time; at least 1.
    pub speed: Option<u32>,
}

impl ReportedLoad {
    /// Returns the number of requests at the endpoint, running and waiting.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Returns whether every slot is in use.
    pub fn is_full(&self) -> bool {
        self.requests() >= self.slots
    }
}

impl EndpointTraffic {
    /// Records the start of a request that is expected to need `tokens` of engine memory.
    pub fn start_request(&self, tokens: u64) {
        self.running.fetch_add(1, Ordering::AcqRel);
        self.tokens.fetch_add(tokens, Ordering::AcqRel);
    }

    /// Records the end of a request that `start_request` recorded with the same `tokens`.
    pub fn end_request(&self, tokens: u64) {
        self.running.fetch_sub(1, Ordering::AcqRel);
        self.tokens.fetch_sub(tokens, Ordering::AcqRel);
    }

    /// Returns the number of requests of this process in progress.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Returns the engine memory that the requests in progress are expected to need, in tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Acquire)
    }

    /// Records the load that a response reported.
    pub fn record_load(&self, load: ReportedLoad, now: Tick) {
        let others = load.requests().saturating_sub(self.running());
        self.other_requests.store(others, Ordering::Release);
        self.reported_at.store(now.0.max(1), Ordering::Release);
    }

    /// Returns the number of requests of other processes by the last load report, and the age of
    /// that report; `None` if there was no report.
    pub fn other_requests(&self, now: Tick) -> Option<(u32, Duration)> {
        let reported_at = self.reported_at.load(Ordering::Acquire);
        (reported_at > 0).then(|| {
            (
                self.other_requests.load(Ordering::Acquire),
                now - Tick(reported_at),
            )
        })
    }

    /// Records how an attempt ended; a success ends the time for which the endpoint is avoided.
    pub fn record_attempt(&self, failed: bool) {
        let sample = if failed { FIXED_POINT_ONE } else { 0 };
        let average = |old: u32| Some(old - (old >> SAMPLE_SHIFT) + (sample >> SAMPLE_SHIFT));
        // The closure always returns a value, so the update cannot fail.
        let _ = self
            .failure_ratio
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, average);
        if !failed {
            self.unanswered.store(0, Ordering::Release);
            self.avoided_until.store(0, Ordering::Release);
        }
    }

    /// Returns the moving average of the share of failed attempts, 0 to 1.
    pub fn failure_ratio(&self) -> f64 {
        f64::from(self.failure_ratio.load(Ordering::Acquire)) / f64::from(FIXED_POINT_ONE)
    }

    /// Records the time from a request to its response.
    pub fn record_response_time(&self, took: Duration) {
        let sample = u32::try_from(took.as_micros()).unwrap_or(u32::MAX);
        let average = |old: u32| {
            Some(if old == 0 {
                sample
            } else {
                old - (old >> SAMPLE_SHIFT) + (sample >> SAMPLE_SHIFT)
            })
        };
        // The closure always returns a value, so the update cannot fail.
        let _ = self
            .response_us
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, average);
    }

    /// Returns the moving average of the response time, or `None` if there was no response.
    pub fn response_time(&self) -> Option<Duration> {
        let micros = self.response_us.load(Ordering::Acquire);
        (micros > 0).then(|| Duration::from_micros(u64::from(micros)))
    }

    /// Avoids the endpoint until `until`, or longer if a later end is already set.
    pub fn avoid(&self, until: Tick) {
        self.avoided_until.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Counts an attempt without a response and returns how many there were in a row.
    pub fn record_unanswered(&self) -> u32 {
        self.unanswered.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Counts a refusal and returns how many there were in a row.
    pub fn record_refusal(&self) -> u32 {
        self.refusals.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Avoids the endpoint until `until`, or longer if a later end is already set, because it is
    /// expected to refuse every request.
    pub fn expect_refusals(&self, until: Tick) {
        self.refusing_until.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Records that the endpoint has accepted a request, or is expected to accept the next one.
    pub fn clear_refusals(&self) {
        self.refusals.store(0, Ordering::Release);
        self.refusing_until.store(0, Ordering::Release);
    }

    /// Records that a response of the process that started at `incarnation` said that it leaves;
    /// returns whether that is new.
    pub fn set_leaving(&self, incarnation: u64) -> bool {
        let leaving = incarnation.saturating_add(1);
        self.leaving.swap(leaving, Ordering::AcqRel) != leaving
    }

    /// Takes over what the process with the start time `incarnation` said of itself from the figures
    /// of an earlier entry of the endpoint.
    pub fn inherit(&self, earlier: &Self, incarnation: u64) {
        let copy = |from: &AtomicU64, to: &AtomicU64| {
            to.store(from.load(Ordering::Acquire), Ordering::Release);
        };
        copy(&earlier.leaving, &self.leaving);
        if earlier.incarnation() == incarnation {
            copy(&earlier.paused_until, &self.paused_until);
            self.limit.inherit(&earlier.limit);
        }
        self.incarnation.store(incarnation, Ordering::Release);
    }

    /// Returns whether the endpoint has said that it leaves since its last start.
    pub fn is_leaving(&self) -> bool {
        let leaving = self.leaving.load(Ordering::Acquire);
        leaving == self.incarnation().saturating_add(1)
    }

    /// Records that the endpoint wants no further requests until `until`, or longer if a later end is
    /// already set.
    pub fn pause(&self, until: Tick) {
        self.paused_until.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Returns the time from `now` on for which the endpoint wants no requests; zero if it does.
    pub fn pause_left(&self, now: Tick) -> Duration {
        Tick(self.paused_until.load(Ordering::Acquire)) - now
    }

    /// Records the start time that the list states, in milliseconds since the Unix epoch; a process
    /// that has started since wants requests.
    pub fn set_incarnation(&self, incarnation: u64) {
        if self.incarnation.swap(incarnation, Ordering::AcqRel) != incarnation {
            self.paused_until.store(0, Ordering::Release);
            self.limit.clear();
            self.service.clear();
        }
    }

    /// Returns the start time of the endpoint by the list, in milliseconds since the Unix epoch.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Returns whether the endpoint is avoided at `now`, for either reason.
    pub fn is_avoided(&self, now: Tick) -> bool {
        let until = |tick: &AtomicU64| tick.load(Ordering::Acquire);
        until(&self.avoided_until).max(until(&self.refusing_until)) > now.0
    }
}
