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

/// Time within which memory must be free after the last request.
const FREE_TIME: Duration = Duration::from_secs(10);

/// Time that a caller waits for its answer.
const PATIENCE: Duration = Duration::from_mins(1);

/// Result of a load.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// What must always hold.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Answers that met both latency targets, a second.
    pub goodput: f64,
    /// Share of the answers that met both latency targets.
    pub in_target: f64,
    /// Share of the computed prompt tokens that were never decoded from.
    pub wasted_prefill: f64,
    /// Time to the first token of model answers in milliseconds.
    pub first_token_ms: Quantiles,
    /// Mean time between tokens of model answers in milliseconds.
    pub per_token_ms: Quantiles,
    /// Time until all engine memory was free in milliseconds; none if it was not in time.
    pub memory_free_ms: Option<u64>,
    /// Duration of the load in seconds.
    pub seconds: f64,
}

/// Quantiles of a distribution.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Half of the values are below.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
}

impl Quantiles {
    /// Quantiles of `values`, in milliseconds.
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
    /// A table for people.
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

/// Sends `load` to the daemons of `site` and judges the result; `done` counts ended requests.
pub async fn run_load(site: &Site, load: Workload, done: Arc<AtomicU32>) -> LoadReport {
    let start = Instant::now();
    let seen = send_all(site, load, done).await;
    let took = start.elapsed();
    let free = site.memory_free(FREE_TIME).await;
    let engines = site.engines_seen();
    let verdict = Verdict::judge(load.requests, &seen, &engines, &site.services_seen());
    report(load.profile, verdict, &seen, &engines, took, free)
}

async fn send_all(site: &Site, load: Workload, done: Arc<AtomicU32>) -> Vec<Observation> {
    let caller = Caller::new(Client::new(), PATIENCE);
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
            let seen = send(&caller, &address, model, &item).await;
            done.fetch_add(1, Ordering::Relaxed);
            seen
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
    seen: &[Observation],
    engines: &[EngineObserved],
    took: Duration,
    free: Option<Duration>,
) -> LoadReport {
    let rules = profile.rules().unwrap_or_default();
    let met = seen.iter().filter(|one| in_target(&rules, one)).count();
    let computed: u64 = engines.iter().map(|engine| engine.totals.computed).sum();
    let wasted: u64 = engines.iter().map(|engine| engine.totals.wasted).sum();
    let model = || seen.iter().filter(|one| one.per_token.is_some());
    LoadReport {
        goodput: met as f64 / took.as_secs_f64(),
        in_target: met as f64 / f64::from(verdict.answered.max(1)),
        wasted_prefill: wasted as f64 / computed.max(1) as f64,
        first_token_ms: Quantiles::of(model().filter_map(|one| one.first_token)),
        per_token_ms: Quantiles::of(model().filter_map(|one| one.per_token)),
        memory_free_ms: free.map(|free| free.as_millis() as u64),
        seconds: took.as_secs_f64(),
        verdict,
    }
}

/// Whether an answer met both targets of its kind.
fn in_target(rules: &[Rule], one: &Observation) -> bool {
    if one.end != Ending::Answered {
        return false;
    }
    let Some(rule) = rules.iter().find(|rule| rule.kind == one.kind) else {
        return false;
    };
    let within = |seen: Option<Duration>, target| seen.is_none_or(|seen| seen <= target);
    within(one.first_token, rule.target.first_token) && within(one.per_token, rule.target.per_token)
}
