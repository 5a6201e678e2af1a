//! The guarantees that a soak checks, and the violations that its history shows.

use {
    super::{
        recorder::{CallerRequest, Disturbance, History, RouteKind},
        worker_stand_in::DRAIN_TIME,
    },
    std::{
        collections::{HashMap, HashSet},
        fmt::{Display, Formatter, Result},
        time::Duration,
    },
};

/// Time after a disturbance for which time bounds still do not apply to a daemon.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time by which a response may exceed the time-out of its route, and a run may outlast its caller.
const LATE_SLACK: Duration = Duration::from_millis(500);

/// Minimum time between role orders of two holders: the term of the order lease.
const ORDER_LEASE: Duration = Duration::from_secs(3);

/// Window over which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Retries that the budget allows per request.
const RETRY_RATIO: f64 = 0.2;

/// Minimum share of requests that must be served once all disturbances have ended.
const MIN_SERVED_RATIO: f64 = 0.25;

/// Minimum number of runs with a disconnected caller before their share is judged.
const MIN_JUDGED_RUNS: usize = 8;

/// Time that a request may take from a daemon to a drained worker.
const TRANSIT_TIME: Duration = Duration::from_millis(200);

/// A violation of a guarantee.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Guarantee that was violated.
    pub guarantee: Guarantee,
    /// What the history shows: the request, daemon or worker, and the times or counts.
    pub detail: String,
}

/// What the daemons guarantee to callers and workers. Findings print the variant names.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Guarantee {
    /// A request to an unsafe route runs once at most.
    Twice,
    /// A request to an unsafe route that is refused as not run never runs.
    Refused,
    /// A response holds what a worker sent for its request and nothing else; a truncated body is
    /// accepted.
    Mixed,
    /// A response ends within the time-out of its route.
    Late,
    /// A request that ran at a worker gets a response, and around a planned stop a whole one.
    Lost,
    /// Retries stay within the retry budget.
    Budget,
    /// A run ends when its caller disconnects.
    Gone,
    /// A drained worker gets no further requests, also from a daemon that only its responses told.
    Drain,
    /// A worker that asked for no further requests for a while gets none from that daemon.
    Pause,
    /// Role orders of two holders are at least one lease term apart.
    Order,
    /// A change of the routes takes effect in time.
    Config,
    /// Requests are served again once all disturbances have ended.
    Recover,
    /// A daemon process exits only when a fault stops or kills it.
    Ended,
    /// A daemon process exits within its grace time after a stop signal.
    Slow,
}

impl Guarantee {
    /// Whether it bounds a time, which a machine that is busy with other work can exceed.
    pub fn is_timed(self) -> bool {
        matches!(
            self,
            Self::Late | Self::Gone | Self::Drain | Self::Pause | Self::Config | Self::Slow
        )
    }
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{:?}: {}", self.guarantee, self.detail)
    }
}

impl Finding {
    /// Creates a finding about `guarantee`.
    pub fn new(guarantee: Guarantee, detail: String) -> Self {
        Self { guarantee, detail }
    }

    /// Runs all checks on `history`; requests sent from `settled` on must be served, and all daemons
    /// together may make `retry_slack` retries beyond the retry ratio.
    pub fn all(history: &History, settled: Duration, retry_slack: u64) -> Vec<Self> {
        let mut found = history.check_responses();
        found.extend(history.check_repeats());
        found.extend(history.check_budget(retry_slack));
        found.extend(history.check_streams());
        found.extend(history.check_orphans());
        found.extend(history.check_drains());
        found.extend(history.check_notices());
        found.extend(history.check_pauses());
        found.extend(history.check_orders());
        found.extend(history.check_recovery(settled));
        found
    }
}

impl History {
    /// Whether `daemon` had no disturbance from 3 s (`SETTLE_TIME`) before `from` until `until`.
    pub fn is_undisturbed(&self, daemon: &str, from: Duration, until: Duration) -> bool {
        self.is_free_of(daemon, from, until, |_| true)
    }

    /// As `is_undisturbed`, but ignores planned disturbances.
    pub fn is_free_of_unplanned(&self, daemon: &str, from: Duration, until: Duration) -> bool {
        self.is_free_of(daemon, from, until, |disturbance| !disturbance.planned)
    }

    pub(super) fn is_free_of<C>(
        &self,
        daemon: &str,
        from: Duration,
        until: Duration,
        counts: C,
    ) -> bool
    where
        C: Fn(&Disturbance) -> bool,
    {
        let from = from.saturating_sub(SETTLE_TIME);
        !self.disturbances.iter().any(|disturbance| {
            disturbance
                .daemon
                .as_deref()
                .is_none_or(|name| name == daemon)
                && disturbance.from <= until
                && disturbance.until >= from
                && counts(disturbance)
        })
    }

    pub(super) fn count_runs(&self) -> HashMap<&str, usize> {
        let mut counts = HashMap::new();
        for run in &self.runs {
            *counts.entry(run.request.as_str()).or_default() += 1;
        }
        counts
    }

    fn check_responses(&self) -> Vec<Finding> {
        let runs = self.count_runs();
        let mut found = Vec::new();
        let mut add = |guarantee, id: &str, request: &CallerRequest, detail: String| {
            let sent = request.sent.as_secs_f64();
            let detail = format!("{id} sent to {} at {sent:.3}: {detail}", request.daemon);
            found.push(Finding::new(guarantee, detail));
        };
        for (id, request) in &self.requests {
            let limit = request.kind.timeout() + LATE_SLACK;
            let deadline = request.sent + limit;
            let Some(response) = &request.response else {
                if request.disconnected.is_none()
                    && self.is_undisturbed(&request.daemon, request.sent, deadline)
                {
                    add(Guarantee::Late, id, request, "no answer at all".to_owned());
                }
                continue;
            };
            let elapsed = response.at.saturating_sub(request.sent);
            if elapsed > limit && self.is_undisturbed(&request.daemon, request.sent, deadline) {
                add(
                    Guarantee::Late,
                    id,
                    request,
                    format!("answered after {elapsed:?}"),
                );
            }
            if let Some(mismatch) = &response.mismatch {
                add(Guarantee::Mixed, id, request, mismatch.clone());
            }
            let ran = runs.contains_key(id.as_str());
            let refused =
                matches!(response.status, Some(408 | 421 | 429 | 503)) && !response.stamped;
            if refused && ran && request.kind == RouteKind::Unsafe {
                add(
                    Guarantee::Refused,
                    id,
                    request,
                    format!("{:?}, but it ran", response.status),
                );
            }
            let unanswered = response.status.is_none() && ran;
            if unanswered && self.is_free_of_unplanned(&request.daemon, request.sent, response.at) {
                add(
                    Guarantee::Lost,
                    id,
                    request,
                    "closed without an answer".to_owned(),
                );
            }
        }
        found
    }

    fn check_repeats(&self) -> Vec<Finding> {
        let counts = self.count_runs().into_iter();
        let repeated = counts.filter(|(id, count)| {
            let request = self.requests.get(*id);
            *count > 1 && request.is_some_and(|request| request.kind == RouteKind::Unsafe)
        });
        repeated
            .map(|(id, count)| Finding::new(Guarantee::Twice, format!("{id} ran {count} times")))
            .collect()
    }

    /// Counts every attempt after a request's first as a retry, per service and window of 10 s
    /// (`RETRY_WINDOW`); reports the first window of each service that exceeds the budget.
    fn check_budget(&self, slack: u64) -> Vec<Finding> {
        let mut found = Vec::new();
        for service in ["ledger", "models"] {
            let arrivals: Vec<_> = self
                .arrivals
                .iter()
                .filter(|arrival| arrival.service == service)
                .collect();
            let mut known_ids = HashSet::new();
            let retry_times: Vec<_> = arrivals
                .iter()
                .filter(|arrival| !known_ids.insert(arrival.request.as_str()))
                .map(|arrival| arrival.at)
                .collect();
            for start in &retry_times {
                let in_window = |at: &Duration| *at >= *start && *at < *start + RETRY_WINDOW;
                let retries = retry_times.iter().filter(|at| in_window(at)).count();
                let sent = self.requests.values();
                let sent =
                    sent.filter(|request| request.service == service && in_window(&request.sent));
                let limit = sent.count() as f64 * RETRY_RATIO + slack as f64;
                if retries as f64 > limit {
                    let detail = format!("{retries} of {limit:.0} from {start:?} for {service}");
                    found.push(Finding::new(Guarantee::Budget, detail));
                    break;
                }
            }
        }
        found
    }

    /// Reports when more than a quarter of the runs whose callers disconnected went on for more than
    /// 500 ms (`LATE_SLACK`) after that.
    fn check_orphans(&self) -> Vec<Finding> {
        let judged = self.runs.iter().filter_map(|run| {
            let request = self.requests.get(&run.request)?;
            let disconnected = request.disconnected?;
            let is_judged =
                self.is_undisturbed(&request.daemon, disconnected, disconnected + LATE_SLACK);
            is_judged.then_some(
                run.ended
                    .is_none_or(|ended| ended > disconnected + LATE_SLACK),
            )
        });
        let judged: Vec<_> = judged.collect();
        let orphaned = judged.iter().filter(|orphaned| **orphaned).count();
        if judged.len() >= MIN_JUDGED_RUNS && orphaned * 4 > judged.len() {
            let detail = format!(
                "{orphaned} of {} runs went on without a caller",
                judged.len()
            );
            return vec![Finding::new(Guarantee::Gone, detail)];
        }
        Vec::new()
    }

    fn check_drains(&self) -> Vec<Finding> {
        let too_late = self.runs.iter().filter(|run| {
            let drained = self.drains.get(&run.worker);
            let request = self.requests.get(&run.request);
            drained.is_some_and(|at| run.began > *at + DRAIN_TIME + TRANSIT_TIME)
                && request.is_some_and(|request| {
                    self.is_undisturbed(&request.daemon, request.sent, run.began)
                })
        });
        too_late
            .map(|run| {
                let detail = format!("{} at {} {:?}", run.request, run.worker, run.began);
                Finding::new(Guarantee::Drain, detail)
            })
            .collect()
    }

    fn check_orders(&self) -> Vec<Finding> {
        let pairs = self.orders.windows(2);
        let too_close = pairs.filter(|pair| {
            pair[0].holder != pair[1].holder && pair[1].at.saturating_sub(pair[0].at) < ORDER_LEASE
        });
        too_close
            .map(|pair| {
                let detail = format!(
                    "{} to {} at {:?}, {} to {} at {:?}",
                    pair[0].holder,
                    pair[0].worker,
                    pair[0].at,
                    pair[1].holder,
                    pair[1].worker,
                    pair[1].at
                );
                Finding::new(Guarantee::Order, detail)
            })
            .collect()
    }

    fn check_recovery(&self, settled: Duration) -> Vec<Finding> {
        let sent = self
            .requests
            .values()
            .filter(|request| request.sent >= settled && request.disconnected.is_none());
        let served: Vec<_> = sent
            .map(|request| {
                let response = request.response.as_ref();
                response.is_some_and(|response| response.status == Some(200) && response.complete)
            })
            .collect();
        let served_count = served.iter().filter(|served| **served).count();
        if (served_count as f64) < served.len() as f64 * MIN_SERVED_RATIO || served.is_empty() {
            let detail = format!(
                "{served_count} of {} served after all trouble",
                served.len()
            );
            return vec![Finding::new(Guarantee::Recover, detail)];
        }
        Vec::new()
    }
}
