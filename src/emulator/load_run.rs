use {
    super::{Caller, Ending, LoadItem, Observation, Profile, Site, Verdict, Workload},
    crate::{board::Rule, fake::EngineObserved},
    hdrhistogram::Histogram,
    reqwest::Client,
    serde::Serialize,
    std::{
        fmt::{self, Display, Formatter},
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep_until},
};

/// Time limit for all engine memory to become free after the last request.
const MEMORY_FREE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a caller records a request that has not ended as lost.
const CALLER_TIMEOUT: Duration = Duration::from_mins(1);

/// Result of sending a load to a site.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Counts of request results and of broken invariants.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Complete responses per second that met both latency targets.
    pub goodput: f64,
    /// Share of the complete responses that met both latency targets, from 0 to 1.
    pub in_target: f64,
    /// Share of the computed prompt tokens that no decode used, from 0 to 1.
    pub wasted_prefill: f64,
    /// Time to the first token of completions, in milliseconds.
    pub first_token_ms: Quantiles,
    /// Mean time between the tokens of a completion, in milliseconds.
    pub per_token_ms: Quantiles,
    /// Time from the end of the last request until all engine memory was free, in milliseconds;
    /// none if some was still held at the time limit.
    pub memory_free_ms: Option<u64>,
    /// Time from the first request until every request has ended, in seconds.
    pub seconds: f64,
}

/// Quantiles of a distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Quantiles {
    /// Computes the quantiles of `values`; all are 0 if there are none.
    pub fn of<I>(values: I) -> Self
    where
        I: IntoIterator<Item = Duration>,
    {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return Self::default();
        };
        for value in values {
            histogram += value.as_micros() as u64;
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

impl LoadReport {
    /// Formats the report as a table, one value per line.
    pub fn table(&self) -> String {
        let verdict = &self.verdict;
        let refused: u32 = verdict.refused.values().sum();
        let mut rows = vec![
            ("requests", verdict.requests.to_string()),
            ("answered", verdict.answered.to_string()),
            ("refused", refused.to_string()),
        ];
        for (reason, count) in &verdict.refused {
            rows.push((reason, count.to_string()));
        }
        rows.extend([
            ("broken off", verdict.broken.to_string()),
            ("left by caller", verdict.left.to_string()),
            ("lost", verdict.lost.to_string()),
            ("wrong answer", verdict.wrong.to_string()),
            ("answered twice", verdict.answered_twice.to_string()),
            ("ran twice", verdict.ran_twice.to_string()),
            ("ran, told not run", verdict.ran_unsaid.to_string()),
            ("memory held after", verdict.memory_held_after.to_string()),
            (
                "goodput",
                format!(
                    "{:.2}/s, {:.1}% in target",
                    self.goodput,
                    self.in_target * 100.0
                ),
            ),
            (
                "wasted prefill",
                format!("{:.2}%", self.wasted_prefill * 100.0),
            ),
            ("first token ms", self.first_token_ms.to_string()),
            ("per token ms", self.per_token_ms.to_string()),
            ("seconds", format!("{:.1}", self.seconds)),
        ]);
        let rows: Vec<_> = rows
            .iter()
            .map(|(name, value)| format!("{name:<20} {value}"))
            .collect();
        rows.join("\n")
    }
}

impl Display for Quantiles {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "p50 {:.1}, p95 {:.1}, p99 {:.1}",
            self.p50, self.p95, self.p99
        )
    }
}

/// Sends `load` to the daemons of `site` in turn and checks the invariants; `done` counts the
/// requests that have ended.
pub async fn run_load(site: &Site, load: Workload, done: Arc<AtomicU32>) -> LoadReport {
    let start = Instant::now();
    let observations = send_all(site, load, done).await;
    let elapsed = start.elapsed();
    let memory_free = site.wait_memory_free(MEMORY_FREE_TIMEOUT).await;
    let engines = site.observe_engines();
    let verdict = Verdict::judge(
        load.requests,
        &observations,
        &engines,
        &site.observe_services(),
    );
    report(
        load.profile,
        verdict,
        &observations,
        &engines,
        elapsed,
        memory_free,
    )
}

/// Sends every request at its time and waits until all have ended.
async fn send_all(site: &Site, load: Workload, done: Arc<AtomicU32>) -> Vec<Observation> {
    let caller = Caller::new(Client::new(), CALLER_TIMEOUT);
    let addresses = site.addresses();
    let (model, _, _) = load.profile.model();
    let start = tokio::time::Instant::now();
    let mut running = JoinSet::new();
    for (item, number) in load.items().into_iter().zip(0..) {
        let address: String = addresses[number % addresses.len()].to_string();
        let caller = caller.clone();
        let done = Arc::clone(&done);
        running.spawn(async move {
            sleep_until(start + item.at).await;
            let observation = send(&caller, &address, model, &item).await;
            done.fetch_add(1, Ordering::Relaxed);
            observation
        });
    }
    running.join_all().await
}

async fn send(caller: &Caller, address: &str, model: &str, item: &LoadItem) -> Observation {
    caller
        .send(address, &Site::branch_key(&item.branch), model, item)
        .await
}

fn report(
    profile: Profile,
    verdict: Verdict,
    observations: &[Observation],
    engines: &[EngineObserved],
    elapsed: Duration,
    memory_free: Option<Duration>,
) -> LoadReport {
    let rules = profile.rules().unwrap_or_default();
    let met = observations
        .iter()
        .filter(|observation| meets_target(&rules, observation))
        .count();
    let computed: u64 = engines.iter().map(|engine| engine.totals.computed).sum();
    let wasted: u64 = engines.iter().map(|engine| engine.totals.wasted).sum();
    let completions = || {
        observations
            .iter()
            .filter(|observation| observation.per_token.is_some())
    };
    LoadReport {
        goodput: met as f64 / elapsed.as_secs_f64(),
        in_target: met as f64 / f64::from(verdict.answered.max(1)),
        wasted_prefill: wasted as f64 / computed.max(1) as f64,
        first_token_ms: Quantiles::of(
            completions().filter_map(|observation| observation.first_token),
        ),
        per_token_ms: Quantiles::of(completions().filter_map(|observation| observation.per_token)),
        memory_free_ms: memory_free.map(|time| time.as_millis() as u64),
        seconds: elapsed.as_secs_f64(),
        verdict,
    }
}

/// Whether a response is complete and met both latency targets of its request kind.
fn meets_target(rules: &[Rule], observation: &Observation) -> bool {
    if observation.end != Ending::Answered {
        return false;
    }
    let Some(rule) = rules.iter().find(|rule| rule.kind == observation.kind) else {
        return false;
    };
    let within = |time: Option<Duration>, target| time.is_none_or(|time| time <= target);
    within(observation.first_token, rule.target.first_token)
        && within(observation.per_token, rule.target.per_token)
}
