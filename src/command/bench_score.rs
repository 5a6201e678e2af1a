use {
    super::{
        bench_job::{Job, Stage},
        bench_profile::{FIRST_TOKEN_TARGET, PER_TOKEN_TARGET},
        bench_world::World,
    },
    crate::board::Tick,
    hdrhistogram::Histogram,
    serde::Serialize,
};

/// Greatest latency that a histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Results of a policy in a scenario, over all seeds; written as JSON.
#[derive(Clone, Debug, Serialize)]
pub(super) struct BenchScore {
    /// Name of the profile.
    pub(super) profile: &'static str,
    /// Name of the scenario.
    pub(super) scenario: &'static str,
    /// Name of the policy.
    pub(super) policy: &'static str,
    /// Offered load as a ratio to the capacity.
    pub(super) load: f64,
    /// Offered requests per second.
    pub(super) offered: f64,
    /// Requests per second that were answered completely and within both targets.
    pub(super) goodput: f64,
    /// Percentage of the requests that were answered completely and within both targets.
    pub(super) met: f64,
    /// Percentage of the requests that were answered completely.
    pub(super) answered: f64,
    /// Percentage of the computed prompt tokens that no decode engine used.
    pub(super) wasted: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub(super) first_ms: f64,
    /// 95th percentile of the mean time between tokens, in milliseconds.
    pub(super) token_ms: f64,
}

/// Totals over the runs of several seeds.
#[derive(Debug)]
pub(super) struct Tally {
    /// Time in which arrivals were counted, in seconds.
    seconds: f64,
    /// Requests that arrived.
    arrived: u64,
    /// Requests that were answered completely.
    answered: u64,
    /// Requests that were answered completely and within both targets.
    good: u64,
    /// Prompt tokens computed.
    computed: u64,
    /// Prompt tokens computed that no decode engine used.
    wasted: u64,
    /// Times to the first token, in microseconds.
    first: Histogram<u64>,
    /// Mean times between tokens, in microseconds.
    token: Histogram<u64>,
}

impl Tally {
    /// Creates a tally without runs.
    pub(super) fn new() -> Self {
        let latencies = || Histogram::new_with_max(MAX_LATENCY_US, 3).expect("valid bounds");
        Self {
            seconds: 0.0,
            arrived: 0,
            answered: 0,
            good: 0,
            computed: 0,
            wasted: 0,
            first: latencies(),
            token: latencies(),
        }
    }

    /// Adds a run and counts its requests that arrived from `from` to `until`.
    pub(super) fn add(&mut self, world: &World, from: Tick, until: Tick) {
        self.seconds += until.since(from).as_secs_f64();
        self.computed += world.computed;
        self.wasted += world.wasted;
        for job in world.jobs.values() {
            if job.arrived >= from && job.arrived < until {
                self.count(job);
            }
        }
    }

    fn count(&mut self, job: &Job) {
        self.arrived += 1;
        let Some(first) = job.first.filter(|_| job.stage == Stage::Done) else {
            return;
        };
        self.answered += 1;
        let wait = first.since(job.arrived);
        let gap = job.last.since(first) / job.output.saturating_sub(1).max(1);
        self.first.saturating_record(wait.as_micros() as u64);
        self.token.saturating_record(gap.as_micros() as u64);
        if wait <= FIRST_TOKEN_TARGET && gap <= PER_TOKEN_TARGET {
            self.good += 1;
        }
    }

    /// Returns the results under the given names.
    pub(super) fn score(
        &self,
        profile: &'static str,
        scenario: &'static str,
        policy: &'static str,
        load: f64,
    ) -> BenchScore {
        let percent = |part: u64, total: u64| 100.0 * part as f64 / total.max(1) as f64;
        let p95_ms = |latencies: &Histogram<u64>| latencies.value_at_quantile(0.95) as f64 / 1e3;
        BenchScore {
            profile,
            scenario,
            policy,
            load,
            offered: self.arrived as f64 / self.seconds,
            goodput: self.good as f64 / self.seconds,
            met: percent(self.good, self.arrived),
            answered: percent(self.answered, self.arrived),
            wasted: percent(self.wasted, self.computed),
            first_ms: p95_ms(&self.first),
            token_ms: p95_ms(&self.token),
        }
    }
}
