use {
    super::{
        DaemonRouter, Ending, Missed, Observation, PlainChoice, PlainRouter, Quantiles, Router,
        Site, SiteError, SiteOptions, Trace, TraceLine, Verdict,
    },
    crate::board::Rule,
    serde::Serialize,
    std::{str::FromStr, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// Time within which memory must be free after the last request.
const FREE_TIME: Duration = Duration::from_secs(10);

/// Which router a trace is played through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Replayer {
    /// Daemons of this project.
    Ours,
    /// The baseline with the given choice.
    Plain(PlainChoice),
}

/// Result of one replay.
#[derive(Clone, Debug, Serialize)]
pub struct ReplayReport {
    /// Name of the trace.
    pub trace: String,
    /// Router.
    pub router: &'static str,
    /// What must always hold.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Model requests.
    pub models: u32,
    /// Model requests answered whole and inside both targets, for each second of arrivals.
    pub goodput: f64,
    /// Share of the model requests answered whole and inside both targets; leavers do not count.
    pub met: f64,
    /// Share of all requests answered whole; leavers do not count.
    pub answered: f64,
    /// Share of the computed prompt tokens that were never decoded from.
    pub wasted: f64,
    /// Time to the first token of model answers in milliseconds.
    pub first_token_ms: Quantiles,
    /// Mean time between tokens of model answers in milliseconds.
    pub per_token_ms: Quantiles,
    /// Stated outcomes that were missed.
    pub missed: Vec<Missed>,
}

impl Replayer {
    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Plain(PlainChoice::Random) => "random",
            Self::Plain(PlainChoice::LeastLoaded) => "least-loaded",
        }
    }

    /// Plays `trace` against stand-ins started for it and judges the result.
    pub async fn play(self, trace: &Trace) -> Result<ReplayReport, SiteError> {
        let daemons = match self {
            Self::Ours => trace.header.daemons,
            Self::Plain(_) => 0,
        };
        let site = Site::start(SiteOptions {
            daemons,
            scale: trace.header.scale,
            seed: trace.header.seed,
            ..SiteOptions::new(trace.header.profile)
        })
        .await?;
        let seen = match self {
            Self::Ours => drive(&site, trace, DaemonRouter::new(&site, trace)).await,
            Self::Plain(choice) => {
                let mut reports = JoinSet::new();
                let router = PlainRouter::new(&site, trace, choice, &mut reports);
                let router = router.map_err(SiteError::Sheet)?;
                drive(&site, trace, router).await
            }
        };
        site.memory_free(FREE_TIME).await;
        let rules = trace.header.profile.rules().map_err(SiteError::Sheet)?;
        Ok(self.report(&site, trace, &rules, &seen))
    }

    fn report(
        self,
        site: &Site,
        trace: &Trace,
        rules: &[Rule],
        seen: &[(usize, Observation)],
    ) -> ReplayReport {
        let requests: Vec<_> = trace.requests().map(|(_, request)| request).collect();
        let model = |one: &&(usize, Observation)| requests[one.0].is_model();
        let stayed = |one: &&(usize, Observation)| one.1.end != Ending::Left;
        let whole = |one: &&(usize, Observation)| one.1.end == Ending::Answered;
        let good = |one: &&(usize, Observation)| {
            let branch = &requests[one.0].branch;
            is_met(rules, branch, &one.1, trace.header.scale)
        };
        let count = |seen: usize, of: usize| seen as f64 / of.max(1) as f64;
        let met = seen.iter().filter(model).filter(good).count();
        let models = seen.iter().filter(model).filter(stayed).count();
        let answered = seen.iter().filter(whole).count();
        let stayed = seen.iter().filter(stayed).count();
        let answers = || seen.iter().filter(model).filter(whole);
        let engines = site.engines_seen();
        let totals = || engines.iter().map(|engine| engine.totals);
        let computed: u64 = totals().map(|totals| totals.computed).sum();
        let wasted: u64 = totals().map(|totals| totals.wasted).sum();
        let seconds = trace.length_ms() as f64 * trace.header.scale / 1_000.0;
        let observations: Vec<_> = seen.iter().map(|(_, one)| one.clone()).collect();
        let services = site.services_seen();
        let sent = requests.len() as u32;
        let mut report = ReplayReport {
            trace: trace.header.name.clone(),
            router: self.name(),
            verdict: Verdict::judge(sent, &observations, &engines, &services),
            models: seen.iter().filter(model).count() as u32,
            goodput: met as f64 / seconds.max(0.001),
            met: count(met, models),
            answered: count(answered, stayed),
            wasted: wasted as f64 / computed.max(1) as f64,
            first_token_ms: Quantiles::of(answers().filter_map(|one| one.1.first_token)),
            per_token_ms: Quantiles::of(answers().filter_map(|one| one.1.per_token)),
            missed: Vec::new(),
        };
        report.missed = trace.header.outcomes.missed(&report);
        report
    }
}

impl FromStr for Replayer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let all = [
            Self::Ours,
            Self::Plain(PlainChoice::Random),
            Self::Plain(PlainChoice::LeastLoaded),
        ];
        let found = all.into_iter().find(|one| one.name() == text);
        found.ok_or_else(|| format!("`{text}` is no router; use ours, random or least-loaded"))
    }
}

/// Plays requests and faults; each observation comes with the number of its request.
async fn drive<R>(site: &Site, trace: &Trace, router: R) -> Vec<(usize, Observation)>
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
    let faults = play_faults(site, trace, start);
    let ((), seen) = tokio::join!(faults, running.join_all());
    seen
}

async fn play_faults(site: &Site, trace: &Trace, start: Instant) {
    let mut faults: Vec<_> = trace
        .lines
        .iter()
        .filter_map(|line| Some((fault_ms(line)?, line)))
        .collect();
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    for (at_ms, line) in faults {
        sleep_until(start + Duration::from_millis(at_ms).mul_f64(trace.header.scale)).await;
        apply(site, line);
    }
}

/// Time of a fault; none for another line.
fn fault_ms(line: &TraceLine) -> Option<u64> {
    match line {
        TraceLine::Header(_) | TraceLine::Request(_) => None,
        TraceLine::Engine(fault) => Some(fault.at_ms),
        TraceLine::Service(fault) => Some(fault.at_ms),
        TraceLine::Platform(fault) => Some(fault.at_ms),
    }
}

fn apply(site: &Site, line: &TraceLine) {
    match line {
        TraceLine::Header(_) | TraceLine::Request(_) => {}
        TraceLine::Engine(fault) => site.engines[fault.number - 1].control(&fault.control),
        TraceLine::Service(fault) => site.services[fault.number - 1].control(&fault.control),
        TraceLine::Platform(fault) => site.platform.control(fault.control.clone()),
    }
}

/// Whether an answer met both targets of its branch and kind, scaled like everything else.
fn is_met(rules: &[Rule], branch: &str, one: &Observation, scale: f64) -> bool {
    let mine = |rule: &&Rule| rule.branch == branch && rule.kind == one.kind;
    let Some(rule) = rules.iter().find(mine) else {
        return false;
    };
    let within = |seen: Option<Duration>, target: Duration| {
        seen.is_none_or(|seen| seen <= target.mul_f64(scale))
    };
    one.end == Ending::Answered
        && within(one.first_token, rule.target.first_token)
        && within(one.per_token, rule.target.per_token)
}
