use {super::Waiting, crate::board::Tick, std::time::Duration};

/// Time of waiting that raises a request by one priority.
pub const AGE_STEP: Duration = Duration::from_secs(4);

/// One grant in this many goes to the request that has been late for longest.
pub const LATE_TURN: u64 = 16;

/// Multiple of the mean use above which a branch yields to the others.
const FAIR_MULTIPLE: f64 = 2.0;

/// Position in a line; the smallest is served first.
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
/// Work that can still meet its target goes before work that cannot; then come the priority,
/// raised with the time of waiting, the use by the branch, and the earliest due time. Late work is
/// never dropped: `LATE_TURN` reserves grants for it.
pub fn rank(waiting: &Waiting, now: Tick) -> Rank {
    let aged = now.since(waiting.arrived).as_micros() / AGE_STEP.as_micros();
    let raise = u8::try_from(aged).unwrap_or(u8::MAX);
    Rank {
        late: waiting.is_late(now),
        level: waiting.priority.saturating_sub(raise),
        excess: excess(waiting.share),
        due: waiting.due,
        arrived: waiting.arrived,
    }
}

/// Ranks a waiting request on a turn that is reserved for late work.
pub fn late_rank(waiting: &Waiting, now: Tick) -> Rank {
    let usual = rank(waiting, now);
    Rank {
        late: !usual.late,
        level: 0,
        excess: 0,
        ..usual
    }
}

/// Returns how far the use of a branch exceeds its fair share, in powers of two.
fn excess(share: f64) -> u8 {
    if share <= FAIR_MULTIPLE {
        return 0;
    }
    share.log2().floor() as u8
}
