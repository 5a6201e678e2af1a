use {
    super::{Ending, Observation},
    crate::fake::{EngineObserved, ServiceObserved},
    serde::Serialize,
    std::collections::{BTreeMap, BTreeSet},
};

/// What must always hold, judged by what stand-ins saw and callers got.
///
/// The daemons' own counters play no part.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Requests sent by callers.
    pub requests: u32,
    /// Requests answered whole.
    pub answered: u32,
    /// Requests refused, by reason.
    pub refused: BTreeMap<String, u32>,
    /// Requests that broke off in a way that the caller could see.
    pub broken: u32,
    /// Callers that went away on purpose.
    pub left: u32,
    /// Requests that got neither the whole answer nor a refusal nor a visible end.
    pub lost: u32,
    /// Requests that got an answer that is not the whole answer to them.
    pub wrong: u32,
    /// Idempotency keys with two answers from different runs.
    pub answered_twice: u32,
    /// Idempotency keys that ran more than once.
    pub ran_twice: u32,
    /// Idempotency keys that ran although a caller was told that they did not.
    pub ran_unsaid: u32,
    /// Pieces of engine memory held after all requests have ended.
    pub memory_held_after: u32,
}

impl Verdict {
    /// Judges a finished load of `requests` requests.
    pub fn judge(
        requests: u32,
        seen: &[Observation],
        engines: &[EngineObserved],
        services: &[ServiceObserved],
    ) -> Self {
        let runs = runs(services);
        let mut verdict = Self {
            requests,
            lost: requests.saturating_sub(seen.len() as u32),
            ran_twice: runs.values().filter(|count| **count > 1).count() as u32,
            ran_unsaid: unsaid(seen, &runs),
            answered_twice: answered_twice(seen),
            memory_held_after: engines.iter().map(|engine| engine.used).sum(),
            ..Self::default()
        };
        for one in seen {
            verdict.count(&one.end);
        }
        verdict
    }

    /// Whether an invariant was broken.
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

/// Runs of each idempotency key over all services.
fn runs(services: &[ServiceObserved]) -> BTreeMap<&str, usize> {
    let mut runs = BTreeMap::new();
    for (key, calls) in services.iter().flat_map(|service| &service.runs) {
        *runs.entry(key.as_str()).or_default() += calls.len();
    }
    runs
}

/// Keys with more than one answer that was not a recorded one.
fn answered_twice(seen: &[Observation]) -> u32 {
    let mut answers = BTreeMap::<&str, u32>::new();
    let fresh = |one: &&Observation| one.end == Ending::Answered && !one.replayed;
    for key in seen
        .iter()
        .filter(fresh)
        .filter_map(|one| one.key.as_deref())
    {
        *answers.entry(key).or_default() += 1;
    }
    answers.values().filter(|count| **count > 1).count() as u32
}

/// Keys that ran although every caller of them was told "not run".
fn unsaid(seen: &[Observation], runs: &BTreeMap<&str, usize>) -> u32 {
    let told = |one: &&Observation| matches!(&one.end, Ending::Refused(seen) if seen.ran == "no");
    let not_run: BTreeSet<_> = seen
        .iter()
        .filter(told)
        .filter_map(|o| o.key.as_deref())
        .collect();
    let others = seen
        .iter()
        .filter(|one| !told(one))
        .filter_map(|one| one.key.as_deref());
    let maybe: BTreeSet<_> = others.collect();
    not_run
        .difference(&maybe)
        .filter(|key| runs.contains_key(**key))
        .count() as u32
}
