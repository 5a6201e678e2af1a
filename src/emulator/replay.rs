use {
    super::{
        BaselinePolicy, BaselineRouter, DaemonRouter, Ending, Missed, Observation, Quantiles,
        Router, Site, SiteError, SiteOptions, Trace, TraceLine, Verdict,
    },
    crate::board::Rule,
    serde::Serialize,
    std::{str::FromStr, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// Time limit for all engine memory to become free after the last request.
const MEMORY_FREE_TIMEOUT: Duration = Duration::from_secs(10);

/// Replays traces against one router, the daemons or a baseline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Replayer {
    /// The daemons of this project.
    Ours,
    /// The baseline router, which chooses endpoints by this policy.
    Baseline(BaselinePolicy),
}

/// Result of one replay.
#[derive(Clone, Debug, Serialize)]
pub struct ReplayReport {
    /// Name of the trace, from its header.
    pub trace: String,
    /// Name of the router.
    pub router: &'static str,
    /// Counts of request results and of broken invariants.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Number of model requests.
    pub models: u32,
    /// Model requests with a complete response inside both latency targets, per second from the
    /// start of the trace to its last arrival.
    pub goodput: f64,
    /// Share of the model requests with a complete response inside both latency targets, from 0 to
    /// 1; callers that disconnect early do not count.
    pub met: f64,
    /// Share of all requests with a complete response, from 0 to 1; callers that disconnect early
    /// do not count.
    pub answered: f64,
    /// Share of the computed prompt tokens that no decode used, from 0 to 1.
    pub wasted: f64,
    /// Time to the first token of complete model responses, in milliseconds.
    pub first_token_ms: Quantiles,
    /// Mean time between the tokens of a complete model response, in milliseconds.
    pub per_token_ms: Quantiles,
    /// Expected outcomes of the trace that were missed.
    pub missed: Vec<Missed>,
}

impl Replayer {
    /// Name of the router on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Baseline(BaselinePolicy::Random) => "random",
            Self::Baseline(BaselinePolicy::LeastLoaded) => "least-loaded",
        }
    }

    /// Replays `trace` against a new site with fake endpoints and checks the result.
    ///
    /// Fails if the site or the baseline router cannot be started.
    pub async fn play(self, trace: &Trace) -> Result<ReplayReport, SiteError> {
        let daemons = match self {
            Self::Ours => trace.header.daemons,
            Self::Baseline(_) => 0,
        };
        let site = Site::start(SiteOptions {
            daemons,
            scale: trace.header.scale,
            seed: trace.header.seed,
            ..SiteOptions::new(trace.header.profile)
        })
        .await?;
        let numbered = match self {
            Self::Ours => run_trace(&site, trace, DaemonRouter::new(&site, trace)).await,
            Self::Baseline(policy) => {
                let mut pollers = JoinSet::new();
                let router = BaselineRouter::new(&site, trace, policy, &mut pollers);
                let router = router.map_err(SiteError::Sheet)?;
                run_trace(&site, trace, router).await
            }
        };
        site.wait_memory_free(MEMORY_FREE_TIMEOUT).await;
        let rules = trace.header.profile.rules().map_err(SiteError::Sheet)?;
        Ok(self.report(&site, trace, &rules, &numbered))
    }

    /// Computes the report; each observation comes with the index of its request.
    fn report(
        self,
        site: &Site,
        trace: &Trace,
        rules: &[Rule],
        numbered: &[(usize, Observation)],
    ) -> ReplayReport {
        let requests: Vec<_> = trace.requests().map(|(_, request)| request).collect();
        let model = |observation: &&(usize, Observation)| requests[observation.0].is_model();
        let stayed = |observation: &&(usize, Observation)| observation.1.end != Ending::Left;
        let complete = |observation: &&(usize, Observation)| observation.1.end == Ending::Answered;
        let met_targets = |observation: &&(usize, Observation)| {
            let branch = &requests[observation.0].branch;
            meets_target(rules, branch, &observation.1, trace.header.scale)
        };
        let ratio = |count: usize, total: usize| count as f64 / total.max(1) as f64;
        let met = numbered.iter().filter(model).filter(met_targets).count();
        let models = numbered.iter().filter(model).filter(stayed).count();
        let answered = numbered.iter().filter(complete).count();
        let stayed = numbered.iter().filter(stayed).count();
        let complete_models = || numbered.iter().filter(model).filter(complete);
        let engines = site.observe_engines();
        let totals = || engines.iter().map(|engine| engine.totals);
        let computed: u64 = totals().map(|totals| totals.computed).sum();
        let wasted: u64 = totals().map(|totals| totals.wasted).sum();
        let seconds = trace.length_ms() as f64 * trace.header.scale / 1_000.0;
        let observations: Vec<_> = numbered
            .iter()
            .map(|(_, observation)| observation.clone())
            .collect();
        let services = site.observe_services();
        let sent = requests.len() as u32;
        let mut report = ReplayReport {
            trace: trace.header.name.clone(),
            router: self.name(),
            verdict: Verdict::judge(sent, &observations, &engines, &services),
            models: numbered.iter().filter(model).count() as u32,
            goodput: met as f64 / seconds.max(0.001),
            met: ratio(met, models),
            answered: ratio(answered, stayed),
            wasted: wasted as f64 / computed.max(1) as f64,
            first_token_ms: Quantiles::of(
                complete_models().filter_map(|observation| observation.1.first_token),
            ),
            per_token_ms: Quantiles::of(
                complete_models().filter_map(|observation| observation.1.per_token),
            ),
            missed: Vec::new(),
        };
        report.missed = trace.header.outcomes.missed(&report);
        report
    }
}

impl FromStr for Replayer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let routers = [
            Self::Ours,
            Self::Baseline(BaselinePolicy::Random),
            Self::Baseline(BaselinePolicy::LeastLoaded),
        ];
        let found = routers.into_iter().find(|router| router.name() == text);
        found.ok_or_else(|| format!("unknown router `{text}`; use ours, random or least-loaded"))
    }
}

/// Sends the requests and injects the faults at their times; each observation comes with the index
/// of its request.
async fn run_trace<R>(site: &Site, trace: &Trace, router: R) -> Vec<(usize, Observation)>
where
    R: Router,
{
    let start = Instant::now();
    let scale = trace.header.scale;
    let mut running = JoinSet::new();
    for (number, (line, request)) in trace.requests().enumerate() {
        let item = request.item(line, scale);
        let router = router.clone();
        running.spawn(async move {
            sleep_until(start + item.at).await;
            (number, router.send(number, &item).await)
        });
    }
    let faults = inject_faults(site, trace, start);
    let ((), numbered) = tokio::join!(faults, running.join_all());
    numbered
}

/// Injects the faults of `trace` at their times after `start`.
async fn inject_faults(site: &Site, trace: &Trace, start: Instant) {
    let mut faults: Vec<_> = trace
        .lines
        .iter()
        .filter_map(|line| Some((fault_ms(line)?, line)))
        .collect();
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    for (at_ms, line) in faults {
        sleep_until(start + Duration::from_millis(at_ms).mul_f64(trace.header.scale)).await;
        inject_fault(site, line);
    }
}

/// Time of a fault in milliseconds since the start of the trace, not scaled; none for other lines.
fn fault_ms(line: &TraceLine) -> Option<u64> {
    match line {
        TraceLine::Header(_) | TraceLine::Request(_) => None,
        TraceLine::Engine(fault) => Some(fault.at_ms),
        TraceLine::Service(fault) => Some(fault.at_ms),
        TraceLine::Platform(fault) => Some(fault.at_ms),
    }
}

/// Injects the fault of a line; other lines have no effect.
fn inject_fault(site: &Site, line: &TraceLine) {
    match line {
        TraceLine::Header(_) | TraceLine::Request(_) => {}
        TraceLine::Engine(fault) => site.engines[fault.number - 1].control(&fault.control),
        TraceLine::Service(fault) => site.services[fault.number - 1].control(&fault.control),
        TraceLine::Platform(fault) => site.platform.control(fault.control.clone()),
    }
}

/// Whether a response is complete and met both latency targets of its branch and request kind,
/// which are multiplied by `scale`, the time scale of the trace.
fn meets_target(rules: &[Rule], branch: &str, observation: &Observation, scale: f64) -> bool {
    let matching = |rule: &&Rule| rule.branch == branch && rule.kind == observation.kind;
    let Some(rule) = rules.iter().find(matching) else {
        return false;
    };
    let within = |time: Option<Duration>, target: Duration| {
        time.is_none_or(|time| time <= target.mul_f64(scale))
    };
    observation.end == Ending::Answered
        && within(observation.first_token, rule.target.first_token)
        && within(observation.per_token, rule.target.per_token)
}
