use {
    super::{ReportedLoad, Tick},
    std::{
        sync::atomic::{AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// Age at which reports of an endpoint no longer count.
pub const MAX_NEWS_AGE: Duration = Duration::from_secs(2);

/// Time over which reports are averaged.
const MEAN_TIME: Duration = Duration::from_millis(500);

/// Weight of the newest response time in its average: 1 / 2^`SAMPLE_SHIFT`.
const SAMPLE_SHIFT: u32 = 3;

/// The value 1.0 in fixed-point notation.
const FIXED_POINT_ONE: f64 = 256.0;

/// Speed that endpoints state when work takes as long as usual.
const USUAL_SPEED: f64 = 100.0;

/// Time between two log lines about invalid reports of one endpoint.
const INVALID_LOG_INTERVAL: Duration = Duration::from_mins(1);

/// Reports of a plain service that states how long work takes there, with averages.
///
/// Concurrent reports may mix their figures; each figure stays within its range.
#[derive(Debug, Default)]
pub struct ServiceLoad {
    /// Requests at the endpoint (32 bits), slots and speed (16 bits each) of the last report; 0 if it did
    /// not state a speed.
    figures: AtomicU64,
    /// Tick of the last report in microseconds.
    reported_at: AtomicU64,
    /// Requests of other processes by the last report, in fixed point.
    others: AtomicU32,
    /// Moving average of the same.
    mean_others: AtomicU32,
    /// Moving average of the stated speed, in fixed point.
    speed: AtomicU32,
    /// Moving average of the time that a request takes at the usual speed without waiting, in
    /// microseconds; 0 if none has ended.
    work_us: AtomicU32,
    /// Requests at the endpoint when it last turned one away as full; 0 if it has not yet.
    limit: AtomicU32,
    /// Tick in microseconds from which on an invalid report is logged again.
    quiet_until: AtomicU64,
}

/// What is known of a plain service from recent reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceNews {
    /// Age of the last report.
    pub age: Duration,
    /// Requests that run at once.
    pub slots: f64,
    /// Requests of other processes by the last report.
    pub others: f64,
    /// Average of the same over the last reports.
    pub mean_others: f64,
    /// Time that work takes there as a multiple of the usual time, as an average over the last reports.
    pub speed: f64,
    /// Time that a request takes at the usual speed without waiting; none before the first response.
    pub work: Option<Duration>,
    /// Requests at the endpoint, running and waiting, from which on it turns others away; none while
    /// it has not done so.
    pub limit: Option<u32>,
}

impl ServiceLoad {
    /// Records a report that arrived at `now`, while `own` requests of this process were at the endpoint;
    /// `refused` if the endpoint turned a request away with it.
    ///
    /// A report without a speed ends the use of earlier ones.
    pub fn record(&self, load: ReportedLoad, own: u32, refused: bool, now: Tick) {
        let Some(speed) = load.speed else {
            self.figures.store(0, Ordering::Release);
            return;
        };
        let requests = load.requests();
        let others = f64::from(requests.saturating_sub(own));
        let weight = self.weight(now);
        self.others.store(to_fixed(others), Ordering::Release);
        blend(&self.mean_others, others, weight);
        blend(&self.speed, f64::from(speed) / USUAL_SPEED, weight);
        if refused && load.is_full() {
            self.limit.store(requests, Ordering::Release);
        } else if self.limit.load(Ordering::Acquire) > 0 {
            self.limit.fetch_max(requests, Ordering::AcqRel);
        }
        let figures = pack(requests, load.slots, speed);
        self.reported_at.store(now.0, Ordering::Release);
        self.figures.store(figures, Ordering::Release);
    }

    /// Returns the weight of a report at `now` in the averages; 1 if earlier ones no longer count.
    fn weight(&self, now: Tick) -> f64 {
        let gap = now - Tick(self.reported_at.load(Ordering::Acquire));
        if self.figures.load(Ordering::Acquire) == 0 || gap >= MAX_NEWS_AGE {
            return 1.0;
        }
        -(-gap.as_secs_f64() / MEAN_TIME.as_secs_f64()).exp_m1()
    }

    /// Records the time from a request to its response, after the report that came with the response.
    pub fn record_response_time(&self, took: Duration) {
        let figures = self.figures.load(Ordering::Acquire);
        if figures == 0 {
            return;
        }
        let (requests, slots, speed) = unpack(figures);
        let excess = (requests / slots).max(1.0);
        let sample = took.as_micros() as f64 * USUAL_SPEED / (speed * excess);
        let sample = (sample as u32).max(1);
        let average = |old: u32| {
            Some(if old == 0 {
                sample
            } else {
                old - (old >> SAMPLE_SHIFT) + (sample >> SAMPLE_SHIFT)
            })
        };
        // The closure always returns a value, so the update cannot fail.
        let _ = self
            .work_us
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, average);
    }

    /// Returns what is known at `now`; `None` without a recent report that states a speed.
    pub fn news(&self, now: Tick) -> Option<ServiceNews> {
        let figures = self.figures.load(Ordering::Acquire);
        let age = now - Tick(self.reported_at.load(Ordering::Acquire));
        if figures == 0 || age >= MAX_NEWS_AGE {
            return None;
        }
        let fixed = |value: &AtomicU32| from_fixed(value.load(Ordering::Acquire));
        let work_us = self.work_us.load(Ordering::Acquire);
        Some(ServiceNews {
            age,
            slots: unpack(figures).1,
            others: fixed(&self.others),
            mean_others: fixed(&self.mean_others),
            speed: fixed(&self.speed),
            work: (work_us > 0).then(|| Duration::from_micros(u64::from(work_us))),
            limit: self.limit(),
        })
    }

    /// Returns the number of requests from which on the endpoint turns others away; `None` while it has not
    /// done so.
    pub fn limit(&self) -> Option<u32> {
        Some(self.limit.load(Ordering::Acquire)).filter(|limit| *limit > 0)
    }

    /// Returns whether an invalid report at `now` is to be logged: one a minute is.
    pub fn logs_invalid(&self, now: Tick) -> bool {
        let until = (now + INVALID_LOG_INTERVAL).0;
        let next = |quiet: u64| (quiet <= now.0).then_some(until);
        self.quiet_until
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, next)
            .is_ok()
    }

    /// Forgets what an earlier process at the endpoint reported.
    pub fn clear(&self) {
        self.figures.store(0, Ordering::Release);
        self.work_us.store(0, Ordering::Release);
        self.limit.store(0, Ordering::Release);
    }
}

/// Packs the figures of a report; never 0.
fn pack(requests: u32, slots: u32, speed: u32) -> u64 {
    let half = |figure: u32| u64::from(figure.clamp(1, u32::from(u16::MAX)));
    u64::from(requests) << 32 | half(slots) << 16 | half(speed)
}

/// Returns the requests, the slots and the speed of packed figures.
fn unpack(figures: u64) -> (f64, f64, f64) {
    let half = |figures: u64| f64::from(figures as u16);
    let requests = f64::from((figures >> 32) as u32);
    (requests, half(figures >> 16), half(figures))
}

fn to_fixed(value: f64) -> u32 {
    (value * FIXED_POINT_ONE) as u32
}

fn from_fixed(value: u32) -> f64 {
    f64::from(value) / FIXED_POINT_ONE
}

/// Moves the average in `mean` towards `sample` by `weight`.
fn blend(mean: &AtomicU32, sample: f64, weight: f64) {
    let next = |old: u32| {
        let old = from_fixed(old);
        Some(to_fixed(old + (sample - old) * weight))
    };
    // The closure always returns a value, so the update cannot fail.
    let _ = mean.fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
}
