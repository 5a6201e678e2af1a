use {
    super::CRASH_LIMIT,
    crate::board::Tick,
    std::{collections::HashMap, time::Duration},
};

/// Time for which an engine that broke off is remembered.
const MEMORY_TIME: Duration = Duration::from_mins(2);

/// Engines that broke off, by the fingerprint of the request that they began to run.
#[derive(Clone, Debug, Default)]
pub struct CrashRecord {
    crashes: HashMap<u64, (usize, Tick)>,
}

impl CrashRecord {
    /// Records that an engine broke off under the request.
    pub fn strike(&mut self, print: u64, now: Tick) {
        self.crashes
            .retain(|_, (_, last)| now - *last < MEMORY_TIME);
        let crash = self.crashes.entry(print).or_insert((0, now));
        *crash = (crash.0 + 1, now);
    }

    /// Whether the request is taken for the cause and not retried.
    pub fn is_suspect(&self, print: u64) -> bool {
        let crash = self.crashes.get(&print);
        crash.is_some_and(|(count, _)| *count >= CRASH_LIMIT)
    }
}
