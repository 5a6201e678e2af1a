use {
    crate::{board::Tick, key::CauseKey},
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// Time for which an answer is remembered at least, if there is room.
const RETENTION: Duration = Duration::from_mins(1);

/// Most causes of each generation.
const MAX_CAUSES: usize = 4_096;

/// Times of the last answers to requests, by what of them might crash engines.
///
/// Entries are kept in two generations, so that old ones are dropped without a search for them.
#[derive(Clone, Debug, Default)]
pub struct RecentAnswers {
    current: HashMap<CauseKey, Tick>,
    previous: HashMap<CauseKey, Tick>,
    since: Tick,
}

impl RecentAnswers {
    /// Records an answer to a request with `causes`.
    pub fn record(&mut self, causes: &[CauseKey], now: Tick) {
        if now - self.since >= RETENTION || self.current.len() + causes.len() > MAX_CAUSES {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current
            .extend(causes.iter().map(|cause| (*cause, now)));
    }

    /// Returns when a request with `cause` was last answered; `None` if that is not known.
    pub fn last(&self, cause: CauseKey) -> Option<Tick> {
        let current = self.current.get(&cause);
        current.or_else(|| self.previous.get(&cause)).copied()
    }

    /// Returns those of `causes` whose last answer is the longest ago, or is not known.
    pub fn least_answered(&self, causes: &[CauseKey]) -> HashSet<CauseKey> {
        let oldest = causes.iter().map(|cause| self.last(*cause)).min();
        let causes = causes.iter().copied();
        causes
            .filter(|cause| Some(self.last(*cause)) == oldest)
            .collect()
    }
}
