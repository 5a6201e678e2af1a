use {super::Tick, std::time::Duration};

/// Longest time for which a slot stays open. Slots that are not used are lost, so that senders that
/// were idle do not all send at once.
const OPEN_TIME: Duration = Duration::from_secs(1);

/// Times at which one sender may send a request each, by its share of a limited rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSlots {
    /// Beginning of the next slot.
    pub next: Tick,
    /// Time from one slot to the next.
    pub interval: Duration,
}

impl RequestSlots {
    /// Returns the beginning of the slot that is open at `now`; `None` if none is.
    pub fn open(self, now: Tick) -> Option<Tick> {
        let begin = now.before(self.since_begin(now)?);
        (now - begin < OPEN_TIME).then_some(begin)
    }

    /// Returns the time from `now` until a slot is open; zero if one is.
    pub fn wait(self, now: Tick) -> Duration {
        match self.since_begin(now) {
            None => self.next - now,
            Some(_) if self.open(now).is_some() => Duration::ZERO,
            Some(since) => self.interval.saturating_sub(since),
        }
    }

    /// Returns the time since the last slot began; `None` before the first one.
    fn since_begin(self, now: Tick) -> Option<Duration> {
        let late = now.0.checked_sub(self.next.0)?;
        let interval = (self.interval.as_micros() as u64).max(1);
        Some(Duration::from_micros(late % interval))
    }
}
