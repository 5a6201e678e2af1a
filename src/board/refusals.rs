use {
    super::Tick,
    crate::key::CauseKey,
    std::{collections::HashMap, time::Duration},
};

/// Causes of crashes that this daemon decided to refuse or to accept again, by the name of the pool.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    /// Number of decisions so far.
    pub version: u64,
    /// State of each pool for which there was a decision.
    pub pools: HashMap<String, PoolRefusals>,
}

/// Causes that are refused for the requests of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolRefusals {
    /// Causes that are refused, each with its end.
    pub refused: Vec<(CauseKey, Tick)>,
    /// Causes that were refused and no longer are, the last one last.
    pub cleared: Vec<CauseKey>,
}

impl Refusals {
    /// Returns the longest time for which one of `causes` is still refused for requests of `pool`; `None`
    /// if none is.
    pub fn remaining(&self, pool: &str, causes: &[CauseKey], now: Tick) -> Option<Duration> {
        let refused = &self.pools.get(pool)?.refused;
        let ends = refused
            .iter()
            .filter(|(cause, until)| *until > now && causes.contains(cause));
        ends.map(|(_, until)| *until - now).max()
    }
}
