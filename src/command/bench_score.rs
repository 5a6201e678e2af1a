use {
    super::{
        bench_job::{Job, Stage},
        bench_profile::{FIRST_TOKEN, PER_TOKEN},
        bench_world::World,
    },
    crate::board::Tick,
    hdrhistogram::Histogram,
    serde::Serialize,
};

/// Greatest latency that a histogram tells apart, in microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;

/// Measures of one run.
#[derive(Clone, Debug, Serialize)]
pub(super) struct BenchScore {
    /// Profile.
    pub(super) profile: &'static str,
    /// Scenario.
    pub(super) scenario: &'static str,
    /// Policy.
    pub(super) policy: &'static str,
    /// Offered load as a share of the capacity.
    pub(super) load: f64,
    /// Offered requests a second.
    pub(super) offered: f64,
    /// Requests a second answered whole and inside both targets.
    pub(super) goodput: f64,
    /// Share of the requests answered whole and inside both targets, in percent.
    pub(super) met: f64,
    /// Share of the requests answered whole, in percent.
    pub(super) answered: f64,
    /// Share of the computed prompt tokens that were never decoded from, in percent.
    pub(super) wasted: f64,
    /// 95th percentile of the time to the first token in milliseconds.
    pub(super) first_ms: f64,
    /// 95th percentile of the mean time between tokens in milliseconds.
    pub(super) token_ms: f64,
}

/// Sums over the runs of several seeds.
#[derive(Debug)]
pub(super) struct Tally {
    seconds: f64,
    arrived: u64,
    answered: u64,
    good: u64,
    computed: u64,
    wasted: u64,
    first: Histogram<u64>,
    token: Histogram<u64>,
}

impl Tally {
    /// Starts with nothing.
    pub(super) fn new() -> Self {
        let latencies = || Histogram::new_with_max(LATENCY_MAX_US, 3).expect("valid bounds");
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

    /// Adds a run, counting the requests that arrived from `from` to `until`.
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
        if wait <= FIRST_TOKEN && gap <= PER_TOKEN {
            self.good += 1;
        }
    }

    /// Returns the measures.
    pub(super) fn score(
        &self,
        profile: &'static str,
        scenario: &'static str,
        policy: &'static str,
        load: f64,
    ) -> BenchScore {
        let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
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
