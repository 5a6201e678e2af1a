use {
    super::{CRASH_LIMIT, RecentAnswers, RefusedCauses},
    crate::{board::Tick, key::CauseKey},
    std::{collections::HashMap, time::Duration},
};

/// Crashes under a cause, with no answer in between, from which on requests with it are refused.
/// One more than `CRASH_LIMIT`, as requests that ran beside the cause are cut off with it.
const REFUSE_LIMIT: usize = 3;

/// The same for a cause under which requests were answered lately.
const ANSWERED_REFUSE_LIMIT: usize = 5;

/// Crashes of a cause within this time count as one: engines or connections that fail together are
/// not brought down by a prompt. A complete request whose next attempt began after the last crash is
/// another matter, however soon that one crashes its engine.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a further crash of the same engine counts, as it has started again meanwhile.
const RESTART_TIME: Duration = Duration::from_secs(5);

/// Time for which a cause is refused at last, with no further probes.
const FINAL_REFUSE_TIME: Duration = Duration::from_hours(24);

/// Times for which a part of a prompt is refused before each probe, one request that is let through.
const REFUSE_TIMES: [Duration; 3] = [
    Duration::from_secs(20),
    Duration::from_mins(1),
    FINAL_REFUSE_TIME,
];

/// The same for a part under which requests were answered lately.
const ANSWERED_REFUSE_TIMES: [Duration; 4] = [
    Duration::from_secs(2),
    Duration::from_secs(6),
    Duration::from_secs(18),
    FINAL_REFUSE_TIME,
];

/// The same for a complete request, which has no probe: an identical one would crash the next endpoint.
const REQUEST_REFUSE_TIMES: [Duration; 1] = [FINAL_REFUSE_TIME];

/// Time after the last crash of a cause at which its crashes are forgotten.
const RETENTION: Duration = Duration::from_mins(2);

/// The same for a complete request; a caller may send it again after minutes.
const REQUEST_RETENTION: Duration = Duration::from_mins(30);

/// The same for a cause that was refused; longer than it is refused.
const REFUSED_RETENTION: Duration = Duration::from_hours(25);

/// Most causes that are remembered.
const MAX_CAUSES: usize = 10_000;

/// Counts crashes of engines by what may have caused them: the request, or a part of its prompt.
///
/// A part that crashes engines is in every request that does, and in none that is answered. The
/// other parts of such requests are shared with sound ones, whose answers clear them.
#[derive(Clone, Debug, Default)]
pub struct CrashRecord {
    causes: HashMap<CauseKey, Crashes>,
    answers: RecentAnswers,
    refused: RefusedCauses,
}

/// Crash of an engine that ran a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Name of the engine.
    pub engine: String,
    /// When the attempt was sent to it.
    pub started: Tick,
    /// When the response broke off.
    pub ended: Tick,
}

/// Crashes under one cause since a request with it was last answered.
#[derive(Clone, Debug)]
struct Crashes {
    /// Crashes that count, in order of time.
    counted: Vec<Crash>,
    /// When the last crash was counted.
    last: Tick,
    /// Time for which requests with the cause were last refused; `None` if they were not.
    refuse_time: Option<Duration>,
    /// Time after which the probe that is running was let through; `None` if none is.
    probed_after: Option<Duration>,
    /// Whether requests with the cause were answered lately when it was refused.
    answered: bool,
}

impl Crashes {
    fn new(now: Tick) -> Self {
        Self {
            counted: Vec::new(),
            last: now,
            refuse_time: None,
            probed_after: None,
            answered: false,
        }
    }

    /// Returns the times for which `cause` is refused, the first one first.
    fn refuse_times(&self, cause: CauseKey) -> &'static [Duration] {
        if cause.is_request() {
            &REQUEST_REFUSE_TIMES
        } else if self.answered {
            &ANSWERED_REFUSE_TIMES
        } else {
            &REFUSE_TIMES
        }
    }

    /// Returns the shortest time for which `cause` is refused that satisfies `condition`.
    fn refuse_time<F>(&self, cause: CauseKey, condition: F) -> Duration
    where
        F: Fn(Duration) -> bool,
    {
        let mut times = self.refuse_times(cause).iter().copied();
        times
            .find(|time| condition(*time))
            .unwrap_or(FINAL_REFUSE_TIME)
    }

    /// Counts `crash` under `cause`, unless it belongs to one that counts already. Crashes may be reported
    /// in any order.
    fn count(&mut self, cause: CauseKey, crash: &Crash) {
        let mut all = std::mem::take(&mut self.counted);
        all.push(crash.clone());
        all.sort_by_key(|crash| crash.ended);
        for crash in all {
            if self.is_further(cause, &crash) && self.counted.len() < ANSWERED_REFUSE_LIMIT {
                self.last = self.last.max(crash.ended);
                self.counted.push(crash);
            }
        }
    }

    /// Whether `crash` is no consequence of what caused the last one.
    fn is_further(&self, cause: CauseKey, crash: &Crash) -> bool {
        let Some(last) = self.counted.last() else {
            return true;
        };
        let since = crash.ended - last.ended;
        let mut counted = self.counted.iter();
        if counted.any(|counted| counted.engine == crash.engine) {
            return since >= RESTART_TIME;
        }
        let began_after = cause.is_request() && crash.started >= last.ended;
        began_after || since >= MIN_CRASH_INTERVAL
    }
}

impl CrashRecord {
    /// Records a crash of an engine that ran a request with `causes`.
    ///
    /// Returns the causes that are refused from now on and were not before.
    pub fn record_crash(&mut self, causes: &[CauseKey], crash: &Crash, now: Tick) -> Vec<CauseKey> {
        self.forget(now);
        for cause in causes {
            let answered = self.answers.last(*cause);
            let is_cleared = answered.is_some_and(|answered| answered > crash.ended);
            if is_cleared || now - crash.ended >= retention(*cause) {
                continue;
            }
            if self.causes.contains_key(cause) || self.causes.len() < MAX_CAUSES {
                let crashes = self.causes.entry(*cause);
                let crashes = crashes.or_insert_with(|| Crashes::new(crash.ended));
                crashes.probed_after = None;
                crashes.count(*cause, crash);
            }
        }
        let crashed = causes.iter().copied();
        let crashed: Vec<_> = crashed
            .filter(|cause| self.reaches(*cause, REFUSE_LIMIT))
            .collect();
        // Of several causes, the one with fewer answers is in fewer sound requests.
        let blamed = self.answers.least_answered(&crashed);
        let mut refused = Vec::new();
        for cause in crashed.iter().filter(|cause| blamed.contains(cause)) {
            let answered = self.answers.last(*cause).is_some();
            if let Some(crashes) = self.causes.get_mut(cause)
                && crashes.refuse_time.is_none()
            {
                crashes.answered = answered;
                let time = crashes.refuse_time(*cause, |_| true);
                crashes.refuse_time = Some(time);
                self.refused.refuse(*cause, time, now);
                refused.push(*cause);
            }
        }
        refused
    }

    /// Records that a request with `causes` was answered, so that none of them crashes engines.
    ///
    /// Returns the causes that were refused until now.
    pub fn record_answer(&mut self, causes: &[CauseKey], now: Tick) -> Vec<CauseKey> {
        self.answers.record(causes, now);
        let is_refused = |cause: &CauseKey| self.refused.remaining(&[*cause], now).is_some();
        let cleared = causes.iter().copied().filter(is_refused).collect();
        self.clear(causes);
        cleared
    }

    /// Forgets the crashes under `causes`, and refuses them no longer.
    pub fn clear(&mut self, causes: &[CauseKey]) {
        for cause in causes {
            self.causes.remove(cause);
            self.refused.clear(*cause);
        }
    }

    /// Records that a request with `causes`, which are no longer refused, goes to an engine. Causes
    /// that were refused are refused again, for longer, until the outcome is known.
    pub fn record_placement(&mut self, causes: &[CauseKey], now: Tick) {
        for cause in causes {
            if let Some(crashes) = self.causes.get_mut(cause)
                && let Some(time) = crashes.refuse_time
            {
                crashes.probed_after = Some(time);
                let time = crashes.refuse_time(*cause, |next| next > time);
                crashes.refuse_time = Some(time);
                self.refused.refuse(*cause, time, now);
            }
        }
    }

    /// Records that the outcome of a request with `causes` is not known: if it was a probe, the next one
    /// follows after the same time, and the one after it is not put off further.
    pub fn record_unknown(&mut self, causes: &[CauseKey], now: Tick) {
        for cause in causes {
            if let Some(crashes) = self.causes.get_mut(cause)
                && let Some(time) = crashes.probed_after.take()
            {
                crashes.refuse_time = Some(time);
                self.refused.clear(*cause);
                self.refused.refuse(*cause, time, now);
            }
        }
    }

    /// Whether engines crashed under one of `causes` so often that the request is not retried.
    pub fn is_suspect(&self, causes: &[CauseKey]) -> bool {
        let mut causes = causes.iter();
        causes.any(|cause| self.reaches(*cause, CRASH_LIMIT))
    }

    /// Returns the causes that are refused.
    pub fn refused(&self) -> &RefusedCauses {
        &self.refused
    }

    /// Takes over causes that another daemon refuses, each with the time left.
    pub fn merge(&mut self, refused: &[(CauseKey, Duration)], now: Tick) {
        self.forget(now);
        for (cause, left) in refused {
            let crashes = self.causes.entry(*cause);
            let crashes = crashes.or_insert_with(|| Crashes::new(now));
            let time = crashes.refuse_time(*cause, |time| time >= *left);
            crashes.refuse_time.get_or_insert(time);
        }
        self.refused.merge(refused, now);
    }

    /// Returns whether `cause` has `limit` crashes, or `ANSWERED_REFUSE_LIMIT` if it was answered
    /// lately.
    fn reaches(&self, cause: CauseKey, limit: usize) -> bool {
        let limit = match self.answers.last(cause) {
            Some(_) => ANSWERED_REFUSE_LIMIT,
            None => limit,
        };
        self.count(cause) >= limit
    }

    /// Returns the number of crashes under `cause` that count since its last answer.
    pub fn count(&self, cause: CauseKey) -> usize {
        let crashes = self.causes.get(&cause);
        crashes.map_or(0, |crashes| crashes.counted.len())
    }

    fn forget(&mut self, now: Tick) {
        self.causes.retain(|cause, crashes| {
            let time = match crashes.refuse_time {
                Some(_) => REFUSED_RETENTION,
                None => retention(*cause),
            };
            now - crashes.last < time
        });
    }
}

/// Returns the time for which crashes under `cause` count.
fn retention(cause: CauseKey) -> Duration {
    if cause.is_request() {
        REQUEST_RETENTION
    } else {
        RETENTION
    }
}
