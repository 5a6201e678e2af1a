use {
    super::{Refusal, RetryReason},
    prometheus_client::{
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::array::from_fn,
};

/// Label of a counter that is kept for each reason.
type Reason = [(&'static str, &'static str); 1];

/// Upper bound of the first bucket of times, in seconds.
const TIME_LEAST: f64 = 0.01;

/// Ratio of the bounds of neighbouring buckets.
const TIME_RATIO: f64 = 2.0;

/// Buckets of times; the last one ends at 10 s.
const TIME_BUCKETS: u16 = 11;

/// Counters of the path of a request, resolved once so that counting is one atomic addition.
#[derive(Clone, Debug)]
pub struct Counters {
    /// Requests accepted from callers.
    pub requests: Counter,
    /// Requests answered whole.
    pub answered: Counter,
    /// Requests whose caller went away before the end.
    pub abandoned: Counter,
    /// Requests in progress.
    pub running: Gauge,
    /// Tokens relayed to callers.
    pub tokens: Counter,
    /// Chunks dropped because their attempt or index did not match.
    pub stray: Counter,
    /// Handovers avoided because the endpoint that decodes also prefilled.
    pub local: Counter,
    /// Cancels sent to endpoints.
    pub cancels: Counter,
    /// Time from the arrival of a forwarded call to its whole answer, in seconds.
    pub answer_time: Histogram,
    /// Time from the arrival of a forwarded stream to its first event, in seconds.
    pub first_time: Histogram,
    /// Time that a forwarded stream waited for its places, in seconds.
    pub place_time: Histogram,
    refusals: [Counter; Refusal::ALL.len()],
    retries: [Counter; RetryReason::ALL.len()],
}

impl Counters {
    /// Creates the counters and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        let refusals = Family::<Reason, Counter>::default();
        let retries = Family::<Reason, Counter>::default();
        let counters = Self {
            requests: Counter::default(),
            answered: Counter::default(),
            abandoned: Counter::default(),
            running: Gauge::default(),
            tokens: Counter::default(),
            stray: Counter::default(),
            local: Counter::default(),
            cancels: Counter::default(),
            answer_time: times(),
            first_time: times(),
            place_time: times(),
            refusals: from_fn(|i| refusals.get_or_create_owned(&reason(Refusal::ALL[i].word()))),
            retries: from_fn(|i| retries.get_or_create_owned(&reason(RetryReason::ALL[i].word()))),
        };
        registry.register("refusals", "Requests refused, by reason", refusals);
        registry.register("retries", "Further attempts, by reason", retries);
        counters.register(registry);
        counters
    }

    /// Counts a refusal.
    pub fn refuse(&self, reason: Refusal) {
        if let Some(i) = Refusal::ALL.iter().position(|r| *r == reason) {
            self.refusals[i].inc();
        }
    }

    /// Counts a further attempt.
    pub fn retry(&self, reason: RetryReason) {
        if let Some(i) = RetryReason::ALL.iter().position(|r| *r == reason) {
            self.retries[i].inc();
        }
    }

    fn register(&self, registry: &mut Registry) {
        let counters = [
            ("requests", "Requests accepted from callers", &self.requests),
            ("answered", "Requests answered whole", &self.answered),
            (
                "abandoned",
                "Requests whose caller went away",
                &self.abandoned,
            ),
            ("tokens", "Tokens relayed to callers", &self.tokens),
            (
                "stray_chunks",
                "Chunks dropped as late, crossed or repeated",
                &self.stray,
            ),
            (
                "local_prefills",
                "Requests prefilled where they were decoded",
                &self.local,
            ),
            ("cancels", "Cancels sent to endpoints", &self.cancels),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register("running", "Requests in progress", self.running.clone());
        let times = [
            ("answer_seconds", "Time to whole answers", &self.answer_time),
            (
                "first_event_seconds",
                "Time to first events",
                &self.first_time,
            ),
            (
                "place_seconds",
                "Time until places were found",
                &self.place_time,
            ),
        ];
        for (name, help, histogram) in times {
            registry.register(name, help, histogram.clone());
        }
    }
}

fn times() -> Histogram {
    Histogram::new(exponential_buckets(TIME_LEAST, TIME_RATIO, TIME_BUCKETS))
}

fn reason(word: &'static str) -> Reason {
    [("reason", word)]
}
