use {
    super::CRASH_LIMIT,
    crate::board::Tick,
    std::{collections::HashMap, time::Duration},
};

/// Time after the last crash of a request at which its crashes are forgotten.
const RETENTION: Duration = Duration::from_mins(2);

/// Counts engine crashes by the fingerprint of the request that the engine had begun to run.
#[derive(Clone, Debug, Default)]
pub struct CrashRecord {
    /// Number of crashes and the time of the last one, by fingerprint.
    crashes: HashMap<u64, (usize, Tick)>,
}

impl CrashRecord {
    /// Records that an engine crashed while it ran the request.
    pub fn record(&mut self, fingerprint: u64, now: Tick) {
        self.crashes.retain(|_, (_, last)| now - *last < RETENTION);
        let crash = self.crashes.entry(fingerprint).or_insert((0, now));
        *crash = (crash.0 + 1, now);
    }

    /// Whether the request has crashed so many engines that it counts as the cause and is not retried.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        let crash = self.crashes.get(&fingerprint);
        crash.is_some_and(|(count, _)| *count >= CRASH_LIMIT)
    }
}
