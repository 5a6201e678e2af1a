use std::time::Duration;

/// Intervals and bounds of the membership protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberTiming {
    /// Interval of heartbeats.
    pub interval: Duration,
    /// Time limit of a heartbeat, and again of the indirect probes that follow a missed one.
    pub answer: Duration,
    /// Time from suspicion to removal.
    pub suspicion: Duration,
    /// Time for which a removed host is remembered, so that late news cannot revive it.
    pub retention: Duration,
    /// Hosts of the own zone that get a heartbeat at each interval.
    pub aperture: usize,
}

impl Default for MemberTiming {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            answer: Duration::from_secs(1),
            suspicion: Duration::from_secs(3),
            retention: Duration::from_mins(10),
            aperture: 3,
        }
    }
}
