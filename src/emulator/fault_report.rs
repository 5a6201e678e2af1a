use {
    super::{Ending, FaultSchedule, Observation, Verdict},
    serde::Serialize,
    std::time::Duration,
};

/// Result of a fault schedule.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    /// Whose load.
    pub profile: &'static str,
    /// Seed of the schedule.
    pub seed: u64,
    /// Faults of the schedule, crashes and starts of daemons included.
    pub faults: usize,
    /// What must always hold.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Time from the end of the last fault until all engine memory was free, in milliseconds;
    /// none if it was not within the bound.
    pub memory_free_ms: Option<u64>,
    /// Wrong answers, as their callers saw them.
    pub wrong_answers: Vec<String>,
}

impl FaultReport {
    /// Describes the result of `schedule`.
    pub fn new(
        schedule: &FaultSchedule,
        verdict: Verdict,
        seen: &[Observation],
        free: Option<Duration>,
    ) -> Self {
        let wrong = |one: &Observation| match &one.end {
            Ending::Wrong(text) => Some(format!("{}: {text}", one.kind)),
            _ => None,
        };
        Self {
            profile: schedule.profile.name(),
            seed: schedule.seed,
            faults: schedule.events.len(),
            verdict,
            memory_free_ms: free.map(|free| free.as_millis() as u64),
            wrong_answers: seen.iter().filter_map(wrong).collect(),
        }
    }
}
