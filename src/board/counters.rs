use {
    super::{OrganisationFault, Refusal, RetryReason},
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

/// Label set of a counter that is kept per reason.
type ReasonLabel = [(&'static str, &'static str); 1];

/// Upper bound of the first bucket of the latency histograms.
const FIRST_BUCKET_S: f64 = 0.01;

/// Ratio of the upper bounds of neighbouring buckets.
const BUCKET_RATIO: f64 = 2.0;

/// Number of buckets; the last one ends at about 10 s.
const BUCKET_COUNT: u16 = 11;

/// Metrics of the request path.
///
/// Every label set is resolved at start, so that counting is one atomic addition.
#[derive(Clone, Debug)]
pub struct Counters {
    /// Requests accepted from callers.
    pub requests: Counter,
    /// Requests whose complete response was sent.
    pub answered: Counter,
    /// Requests whose caller disconnected before the end.
    pub abandoned: Counter,
    /// Requests in progress.
    pub running: Gauge,
    /// Tokens relayed to callers; an event of a forwarded stream counts as one.
    pub tokens: Counter,
    /// Chunks dropped because their attempt or token index did not match the expected one.
    pub stray_chunks: Counter,
    /// Requests prefilled on the decode engine, which needs no handover of the KV cache.
    pub local_prefills: Counter,
    /// Cancel messages sent to endpoints.
    pub cancels: Counter,
    /// Load reports of endpoints that were ignored as invalid.
    pub ignored_reports: Counter,
    /// Forwarded calls that waited because their pool was full.
    pub deferred_calls: Counter,
    /// Time from the arrival of a forwarded call to its complete response, in seconds.
    pub response_time: Histogram,
    /// Time from the arrival of a forwarded stream to its first event, in seconds.
    pub first_event_time: Histogram,
    /// Time that a forwarded stream waited for its placement, in seconds.
    pub placement_time: Histogram,
    refusals: [Counter; Refusal::ALL.len()],
    retries: [Counter; RetryReason::ALL.len()],
    organisation_faults: [Counter; OrganisationFault::KINDS.len()],
}

impl Counters {
    /// Creates the metrics and registers them in `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let refusals = Family::<ReasonLabel, Counter>::default();
        let retries = Family::<ReasonLabel, Counter>::default();
        let faults = Family::<ReasonLabel, Counter>::default();
        let counters = Self {
            requests: Counter::default(),
            answered: Counter::default(),
            abandoned: Counter::default(),
            running: Gauge::default(),
            tokens: Counter::default(),
            stray_chunks: Counter::default(),
            local_prefills: Counter::default(),
            cancels: Counter::default(),
            ignored_reports: Counter::default(),
            deferred_calls: Counter::default(),
            response_time: latency_histogram(),
            first_event_time: latency_histogram(),
            placement_time: latency_histogram(),
            refusals: from_fn(|i| {
                refusals.get_or_create_owned(&reason_label(Refusal::ALL[i].as_str()))
            }),
            retries: from_fn(|i| {
                retries.get_or_create_owned(&reason_label(RetryReason::ALL[i].as_str()))
            }),
            organisation_faults: from_fn(|i| {
                faults.get_or_create_owned(&reason_label(OrganisationFault::KINDS[i]))
            }),
        };
        registry.register("refusals", "Requests refused, by reason", refusals);
        registry.register("retries", "Further attempts, by reason", retries);
        registry.register(
            "organisation_faults",
            "Faults in the organisations of configurations that came into force, by reason",
            faults,
        );
        counters.register(registry);
        counters
    }

    /// Counts a request refused for `reason`.
    pub fn count_refusal(&self, reason: Refusal) {
        if let Some(i) = Refusal::ALL.iter().position(|r| *r == reason) {
            self.refusals[i].inc();
        }
    }

    /// Counts a further attempt made for `reason`.
    pub fn count_retry(&self, reason: RetryReason) {
        if let Some(i) = RetryReason::ALL.iter().position(|r| *r == reason) {
            self.retries[i].inc();
        }
    }

    /// Counts a fault in the organisations of a configuration.
    pub fn count_organisation_fault(&self, fault: &OrganisationFault) {
        let kind = fault.kind();
        if let Some(i) = OrganisationFault::KINDS.iter().position(|k| *k == kind) {
            self.organisation_faults[i].inc();
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
                &self.stray_chunks,
            ),
            (
                "local_prefills",
                "Requests prefilled where they were decoded",
                &self.local_prefills,
            ),
            ("cancels", "Cancels sent to endpoints", &self.cancels),
            (
                "load_reports_ignored",
                "Load reports of endpoints ignored as invalid",
                &self.ignored_reports,
            ),
            (
                "calls_deferred",
                "Forwarded calls that waited because their pool was full",
                &self.deferred_calls,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register("running", "Requests in progress", self.running.clone());
        let histograms = [
            (
                "answer_seconds",
                "Time to whole answers",
                &self.response_time,
            ),
            (
                "first_event_seconds",
                "Time to first events",
                &self.first_event_time,
            ),
            (
                "place_seconds",
                "Time until places were found",
                &self.placement_time,
            ),
        ];
        for (name, help, histogram) in histograms {
            registry.register(name, help, histogram.clone());
        }
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_S,
        BUCKET_RATIO,
        BUCKET_COUNT,
    ))
}

fn reason_label(reason: &'static str) -> ReasonLabel {
    [("reason", reason)]
}
