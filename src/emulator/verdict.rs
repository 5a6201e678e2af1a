use {
    super::{Ending, Observation},
    crate::fake::{EngineObserved, ServiceObserved},
    serde::Serialize,
    std::collections::{BTreeMap, BTreeSet},
};

/// Counts of request results and of broken invariants, from the records of the fakes and the
/// observations of the callers.
///
/// The daemons' own counters are not used.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Requests sent by callers.
    pub requests: u32,
    /// Requests with a complete and correct response.
    pub answered: u32,
    /// Requests refused, by reason code.
    pub refused: BTreeMap<String, u32>,
    /// Requests that failed or broke off in a way that the caller could tell.
    pub broken: u32,
    /// Requests whose caller disconnected early, as the load specifies.
    pub left: u32,
    /// Requests that got neither a complete response nor a refusal nor a visible end. Must be 0.
    pub lost: u32,
    /// Requests whose response has wrong content or is marked as complete without being so. Must be
    /// 0.
    pub wrong: u32,
    /// Idempotency keys with more than one response that is not a recorded one. Must be 0.
    pub answered_twice: u32,
    /// Idempotency keys that ran more than once. Must be 0.
    pub ran_twice: u32,
    /// Idempotency keys that ran although every response to them stated that they did not. Must be
    /// 0.
    pub ran_unsaid: u32,
    /// Pieces of engine memory still held after all requests have ended. Must be 0.
    pub memory_held_after: u32,
}

impl Verdict {
    /// Evaluates a finished load of `requests` requests; a request without an observation counts as
    /// lost.
    pub fn judge(
        requests: u32,
        observations: &[Observation],
        engines: &[EngineObserved],
        services: &[ServiceObserved],
    ) -> Self {
        let runs = runs(services);
        let mut verdict = Self {
            requests,
            lost: requests.saturating_sub(observations.len() as u32),
            ran_twice: runs.values().filter(|count| **count > 1).count() as u32,
            ran_unsaid: ran_unsaid(observations, &runs),
            answered_twice: answered_twice(observations),
            memory_held_after: engines.iter().map(|engine| engine.used).sum(),
            ..Self::default()
        };
        for observation in observations {
            verdict.count(&observation.end);
        }
        verdict
    }

    /// Whether any invariant was broken.
    pub fn is_broken(&self) -> bool {
        let counts = [
            self.lost,
            self.wrong,
            self.answered_twice,
            self.ran_twice,
            self.ran_unsaid,
            self.memory_held_after,
        ];
        counts.iter().any(|count| *count > 0)
    }

    fn count(&mut self, end: &Ending) {
        match end {
            Ending::Answered => self.answered += 1,
            Ending::Wrong(_) => self.wrong += 1,
            Ending::Broken(_) => self.broken += 1,
            Ending::Left => self.left += 1,
            Ending::Lost => self.lost += 1,
            Ending::Refused(seen) => *self.refused.entry(seen.reason.clone()).or_default() += 1,
        }
    }
}

/// Number of runs of each idempotency key over all services.
fn runs(services: &[ServiceObserved]) -> BTreeMap<&str, usize> {
    let mut runs = BTreeMap::new();
    for (key, calls) in services.iter().flat_map(|service| &service.runs) {
        *runs.entry(key.as_str()).or_default() += calls.len();
    }
    runs
}

/// Counts the keys with more than one complete response that is not a recorded one.
fn answered_twice(observations: &[Observation]) -> u32 {
    let mut responses = BTreeMap::<&str, u32>::new();
    let not_replayed =
        |observation: &&Observation| observation.end == Ending::Answered && !observation.replayed;
    for key in observations
        .iter()
        .filter(not_replayed)
        .filter_map(|observation| observation.key.as_deref())
    {
        *responses.entry(key).or_default() += 1;
    }
    responses.values().filter(|count| **count > 1).count() as u32
}

/// Counts the keys that ran although every request with them was refused as not run.
fn ran_unsaid(observations: &[Observation], runs: &BTreeMap<&str, usize>) -> u32 {
    let reported_not_run =
        |one: &&Observation| matches!(&one.end, Ending::Refused(seen) if seen.ran == "no");
    let not_run: BTreeSet<_> = observations
        .iter()
        .filter(reported_not_run)
        .filter_map(|observation| observation.key.as_deref())
        .collect();
    let others = observations
        .iter()
        .filter(|observation| !reported_not_run(observation))
        .filter_map(|observation| observation.key.as_deref());
    let unknown: BTreeSet<_> = others.collect();
    not_run
        .difference(&unknown)
        .filter(|key| runs.contains_key(**key))
        .count() as u32
}
