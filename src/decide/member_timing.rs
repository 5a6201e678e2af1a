use std::time::Duration;

/// Intervals and bounds of the membership protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberTiming {
    /// Time between two rounds of heartbeats.
    pub interval: Duration,
    /// Time-out of the reply to a heartbeat, and of the indirect probes after a missing reply.
    pub reply_timeout: Duration,
    /// Time from the suspicion of a host until it is declared dead.
    pub suspicion: Duration,
    /// Time for which a dead host is remembered, so that delayed updates cannot revive it.
    pub retention: Duration,
    /// Number of hosts of the own zone, those that follow the own host in hash order, that get a
    /// heartbeat in every interval.
    pub aperture: usize,
}

impl Default for MemberTiming {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            reply_timeout: Duration::from_secs(1),
            suspicion: Duration::from_secs(3),
            retention: Duration::from_mins(10),
            aperture: 3,
        }
    }
}
