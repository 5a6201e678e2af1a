use std::{collections::VecDeque, time::Duration};

/// Time for which a daemon that has left the list still counts, as it may still use its share.
const LEFT_TIME: Duration = Duration::from_secs(30);

/// Time without growth of the list after which a daemon uses its share: the others have seen this
/// daemon in the list by then, which they read within 4 s.
const JOIN_TIME: Duration = Duration::from_secs(6);

/// The same where nearly all daemons started with this one, as all read the list every 0.3 s then.
const START_TIME: Duration = Duration::from_secs(1);

/// Time before its own start within which another daemon counts as started with this one, in milliseconds.
const TOGETHER_MS: u64 = 4_000;

/// One in so many daemons may be older where all are taken to start together; they may be dead.
const OLD_PART: usize = 10;

/// How many daemons share the quotas, and whether this one may use its share yet.
///
/// Times are since the boot of the host.
#[derive(Clone, Debug, Default)]
pub struct QuotaFleet {
    /// Lengths of the list with the time until which each counts, in decreasing length.
    lengths: VecDeque<(u32, Duration)>,
    grown_at: Duration,
    longest: u32,
    together: bool,
    settled: bool,
}

impl QuotaFleet {
    /// Records the list of daemons as read at `now`: its length, and the start times of all daemons in
    /// milliseconds since the Unix epoch beside that of this one.
    pub fn observe<I>(&mut self, now: Duration, own_start: u64, starts: I)
    where
        I: IntoIterator<Item = u64>,
    {
        let (mut length, mut older) = (0, 0);
        for start in starts {
            length += 1;
            older += usize::from(start + TOGETHER_MS < own_start);
        }
        self.together = older * OLD_PART <= length;
        let length = u32::try_from(length).unwrap_or(u32::MAX);
        if let Some((_, until)) = self.lengths.back_mut() {
            *until = now + LEFT_TIME;
        }
        self.lengths
            .retain(|(known, until)| *known > length && *until > now);
        self.lengths.push_back((length, now + LEFT_TIME));
        if length > self.longest {
            self.longest = length;
            self.grown_at = now;
        }
    }

    /// Returns the number of daemons that share the quotas at `now`, or `None` while this one owns no share.
    pub fn daemons(&mut self, now: Duration) -> Option<u32> {
        // The last length is the current one and stays.
        while self.lengths.len() > 1 && self.lengths.front().is_some_and(|(_, until)| *until <= now)
        {
            self.lengths.pop_front();
        }
        let (daemons, _) = self.lengths.front()?;
        let daemons = *daemons;
        let wait = if self.together { START_TIME } else { JOIN_TIME };
        self.settled |= daemons > 0 && now >= self.grown_at + wait;
        self.settled.then_some(daemons)
    }

    /// Returns when this daemon will own a share, as far as that is known; `None` if it does, or if the
    /// list was not read yet.
    pub fn settles_at(&self) -> Option<Duration> {
        let wait = if self.together { START_TIME } else { JOIN_TIME };
        (!self.settled && self.longest > 0).then(|| self.grown_at + wait)
    }
}
