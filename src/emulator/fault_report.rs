use {
    super::{Ending, FaultSchedule, Observation, Verdict},
    serde::Serialize,
    std::time::Duration,
};

/// Result of running a fault schedule.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    /// Name of the profile whose load was sent.
    pub profile: &'static str,
    /// Seed of the schedule.
    pub seed: u64,
    /// Number of faults in the schedule, including crashes and starts of daemons.
    pub faults: usize,
    /// Counts of request results and of broken invariants.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Time from the end of the last fault until all engine memory was free, in milliseconds; none
    /// if some was still held at the time limit.
    pub memory_free_ms: Option<u64>,
    /// Request kind and difference of each wrong response, as observed by the caller.
    pub wrong_answers: Vec<String>,
}

impl FaultReport {
    /// Creates the report on `schedule` from what the callers observed; `free` is the time until
    /// all engine memory was free.
    pub fn new(
        schedule: &FaultSchedule,
        verdict: Verdict,
        observations: &[Observation],
        free: Option<Duration>,
    ) -> Self {
        let wrong = |observation: &Observation| match &observation.end {
            Ending::Wrong(text) => Some(format!("{}: {text}", observation.kind)),
            _ => None,
        };
        Self {
            profile: schedule.profile.name(),
            seed: schedule.seed,
            faults: schedule.events.len(),
            verdict,
            memory_free_ms: free.map(|free| free.as_millis() as u64),
            wrong_answers: observations.iter().filter_map(wrong).collect(),
        }
    }
}
