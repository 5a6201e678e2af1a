use {super::Waiting, crate::board::Tick, std::time::Duration};

/// Waiting time that raises a request by one priority.
pub const AGING_STEP: Duration = Duration::from_secs(4);

/// One grant in this many is reserved for late requests, see `late_rank`.
pub const LATE_GRANT_INTERVAL: u64 = 16;

/// Multiple of the mean use over branches above which a branch ranks behind the others.
const MAX_FAIR_RATIO: f64 = 2.0;

/// Position in a queue; the smallest is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    late: bool,
    level: u8,
    excess: u8,
    due: Tick,
    arrived: Tick,
}

/// Ranks a waiting request.
///
/// Requests that can still meet their target go before those that cannot. Among equals the order is
/// by priority, raised with the waiting time, then by the excess use of the branch, then by the
/// earliest due time. Late requests are never dropped: `LATE_GRANT_INTERVAL` reserves grants for them.
pub fn rank(waiting: &Waiting, now: Tick) -> Rank {
    let aged = now.since(waiting.arrived).as_micros() / AGING_STEP.as_micros();
    let raise = u8::try_from(aged).unwrap_or(u8::MAX);
    Rank {
        late: waiting.is_late(now),
        level: waiting.priority.saturating_sub(raise),
        excess: excess(waiting.share),
        due: waiting.due,
        arrived: waiting.arrived,
    }
}

/// Ranks a waiting request for a grant that is reserved for late requests: late ones first, by the
/// earliest due time.
pub fn late_rank(waiting: &Waiting, now: Tick) -> Rank {
    let usual = rank(waiting, now);
    Rank {
        late: !usual.late,
        level: 0,
        excess: 0,
        ..usual
    }
}

/// Returns the binary logarithm, rounded down, of `share` (use of a branch as a multiple of the
/// mean), or 0 up to `MAX_FAIR_RATIO`.
fn excess(share: f64) -> u8 {
    if share <= MAX_FAIR_RATIO {
        return 0;
    }
    share.log2().floor() as u8
}
