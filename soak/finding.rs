//! Promises to callers and workers, and where they were broken.

use {
    super::{
        caller::ROUTE_TIME,
        daemon_process::RETRY_SLACK,
        witness::{Ask, Kind, Seen, Trouble},
        worker_stand_in::DRAIN_TIME,
    },
    std::{
        collections::{HashMap, HashSet},
        fmt::{Display, Formatter, Result},
        time::Duration,
    },
};

/// Time after trouble for which a daemon is not held to bounds of time.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time by which an answer may follow the time-out of its route, and a run its caller's leaving.
const LATE_TIME: Duration = Duration::from_millis(500);

/// Time between orders of two holders.
const LEASE_TIME: Duration = Duration::from_secs(3);

/// Window in which retries are counted.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Retries for each request.
const RETRY_RATIO: f64 = 0.2;

/// Least share of requests that is served once all trouble has ended.
const SERVED_SHARE: f64 = 0.25;

/// Runs that must have been left before their share is judged.
const LEFT_LEAST: usize = 8;

/// Time that a request needs on its way to a drained worker.
const WAY_TIME: Duration = Duration::from_millis(200);

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Which promise.
    pub rule: Rule,
    /// What was seen.
    pub detail: String,
}

/// Promises to callers and workers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Rule {
    /// What may not be repeated runs once at most.
    Twice,
    /// What is refused as not run never runs.
    Refused,
    /// An answer is the worker's, whole, and the request's own.
    Mixed,
    /// An answer comes by the time-out of its route.
    Late,
    /// What was passed on is answered.
    Lost,
    /// Retries stay within their share.
    Budget,
    /// A run ends when its caller leaves.
    Gone,
    /// A worker that leaves gets nothing more.
    Drain,
    /// Orders of two holders stay apart.
    Order,
    /// A change of the routes is in force in time.
    Config,
    /// Requests are served again after trouble.
    Recover,
    /// A process ends only when it is told to.
    Ended,
    /// A process that is told to stop is gone in time.
    Slow,
}

impl Rule {
    /// Whether it bounds a time, which a machine that is busy with other work stretches.
    pub fn is_timed(self) -> bool {
        matches!(
            self,
            Self::Late | Self::Gone | Self::Drain | Self::Config | Self::Slow
        )
    }
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{:?}: {}", self.rule, self.detail)
    }
}

impl Finding {
    /// A finding about `rule`.
    pub fn new(rule: Rule, detail: String) -> Self {
        Self { rule, detail }
    }

    /// What the record shows; requests sent after `calm` must be served.
    pub fn all(seen: &Seen, calm: Duration) -> Vec<Self> {
        let mut found = seen.answers();
        found.extend(seen.runs_once());
        found.extend(seen.budget());
        found.extend(seen.gone());
        found.extend(seen.drained());
        found.extend(seen.ordered());
        found.extend(seen.recovered(calm));
        found
    }
}

impl Seen {
    /// Whether `daemon` is free of trouble from the stable time before `from` until `until`.
    pub fn in_touch(&self, daemon: &str, from: Duration, until: Duration) -> bool {
        self.is_free(daemon, from, until, |_| true)
    }

    /// The same, but for planned work.
    pub fn undisturbed(&self, daemon: &str, from: Duration, until: Duration) -> bool {
        self.is_free(daemon, from, until, |trouble| !trouble.planned)
    }

    fn is_free<C>(&self, daemon: &str, from: Duration, until: Duration, counts: C) -> bool
    where
        C: Fn(&Trouble) -> bool,
    {
        let from = from.saturating_sub(STABLE_TIME);
        !self.troubles.iter().any(|trouble| {
            trouble.daemon.as_deref().is_none_or(|name| name == daemon)
                && trouble.from <= until
                && trouble.until >= from
                && counts(trouble)
        })
    }

    fn count_runs(&self) -> HashMap<&str, usize> {
        let mut counts = HashMap::new();
        for run in &self.runs {
            *counts.entry(run.request.as_str()).or_default() += 1;
        }
        counts
    }

    fn answers(&self) -> Vec<Finding> {
        let runs = self.count_runs();
        let mut found = Vec::new();
        let mut note = |rule, id: &str, ask: &Ask, what: String| {
            let sent = ask.sent.as_secs_f64();
            let detail = format!("{id} sent to {} at {sent:.3}: {what}", ask.daemon);
            found.push(Finding::new(rule, detail));
        };
        for (id, ask) in &self.asks {
            let last = ask.sent + ROUTE_TIME + LATE_TIME;
            let Some(answer) = &ask.answer else {
                if ask.left.is_none() && self.in_touch(&ask.daemon, ask.sent, last) {
                    note(Rule::Late, id, ask, "no answer at all".to_owned());
                }
                continue;
            };
            let took = answer.at.saturating_sub(ask.sent);
            if took > ROUTE_TIME + LATE_TIME && self.in_touch(&ask.daemon, ask.sent, last) {
                note(Rule::Late, id, ask, format!("answered after {took:?}"));
            }
            if let Some(wrong) = &answer.wrong {
                note(Rule::Mixed, id, ask, wrong.clone());
            }
            let ran = runs.contains_key(id.as_str());
            let promised = matches!(answer.status, Some(408 | 421 | 429 | 503)) && !answer.signed;
            if promised && ran && ask.kind == Kind::Unsafe {
                note(
                    Rule::Refused,
                    id,
                    ask,
                    format!("{:?}, but it ran", answer.status),
                );
            }
            let cut = answer.status.is_none() && ran;
            if cut && self.undisturbed(&ask.daemon, ask.sent, answer.at) {
                note(Rule::Lost, id, ask, "closed without an answer".to_owned());
            }
        }
        found
    }

    fn runs_once(&self) -> Vec<Finding> {
        let counts = self.count_runs().into_iter();
        let twice = counts.filter(|(id, count)| {
            let ask = self.asks.get(*id);
            *count > 1 && ask.is_some_and(|ask| ask.kind == Kind::Unsafe)
        });
        twice
            .map(|(id, count)| Finding::new(Rule::Twice, format!("{id} ran {count} times")))
            .collect()
    }

    fn budget(&self) -> Vec<Finding> {
        let mut found = Vec::new();
        for service in ["ledger", "models"] {
            let arrivals: Vec<_> = self
                .arrivals
                .iter()
                .filter(|arrival| arrival.service == service)
                .collect();
            let mut known = HashSet::new();
            let extra: Vec<_> = arrivals
                .iter()
                .filter(|arrival| !known.insert(arrival.request.as_str()))
                .map(|arrival| arrival.at)
                .collect();
            for start in &extra {
                let within = |at: &Duration| *at >= *start && *at < *start + BUDGET_WINDOW;
                let retries = extra.iter().filter(|at| within(at)).count();
                let asks = self.asks.values();
                let asked = asks.filter(|ask| ask.service == service && within(&ask.sent));
                let most = asked.count() as f64 * RETRY_RATIO + RETRY_SLACK as f64;
                if retries as f64 > most {
                    let detail = format!("{retries} of {most:.0} from {start:?} for {service}");
                    found.push(Finding::new(Rule::Budget, detail));
                    break;
                }
            }
        }
        found
    }

    fn gone(&self) -> Vec<Finding> {
        let left = self.runs.iter().filter_map(|run| {
            let ask = self.asks.get(&run.request)?;
            let left = ask.left?;
            let touched = self.in_touch(&ask.daemon, left, left + LATE_TIME);
            touched.then_some(run.ended.is_none_or(|ended| ended > left + LATE_TIME))
        });
        let left: Vec<_> = left.collect();
        let working = left.iter().filter(|working| **working).count();
        if left.len() >= LEFT_LEAST && working * 4 > left.len() {
            let detail = format!("{working} of {} runs went on without a caller", left.len());
            return vec![Finding::new(Rule::Gone, detail)];
        }
        Vec::new()
    }

    fn drained(&self) -> Vec<Finding> {
        let late = self.runs.iter().filter(|run| {
            let leaving = self.leaving.get(&run.worker);
            let ask = self.asks.get(&run.request);
            leaving.is_some_and(|at| run.began > *at + DRAIN_TIME + WAY_TIME)
                && ask.is_some_and(|ask| self.in_touch(&ask.daemon, ask.sent, run.began))
        });
        late.map(|run| {
            let detail = format!("{} at {} {:?}", run.request, run.worker, run.began);
            Finding::new(Rule::Drain, detail)
        })
        .collect()
    }

    fn ordered(&self) -> Vec<Finding> {
        let pairs = self.orders.windows(2);
        let close = pairs.filter(|pair| {
            pair[0].holder != pair[1].holder && pair[1].at.saturating_sub(pair[0].at) < LEASE_TIME
        });
        close
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
                Finding::new(Rule::Order, detail)
            })
            .collect()
    }

    fn recovered(&self, calm: Duration) -> Vec<Finding> {
        let sent = self
            .asks
            .values()
            .filter(|ask| ask.sent >= calm && ask.left.is_none());
        let served: Vec<_> = sent
            .map(|ask| {
                let answer = ask.answer.as_ref();
                answer.is_some_and(|answer| answer.status == Some(200) && answer.whole)
            })
            .collect();
        let good = served.iter().filter(|served| **served).count();
        if (good as f64) < served.len() as f64 * SERVED_SHARE || served.is_empty() {
            let detail = format!("{good} of {} served after all trouble", served.len());
            return vec![Finding::new(Rule::Recover, detail)];
        }
        Vec::new()
    }
}
