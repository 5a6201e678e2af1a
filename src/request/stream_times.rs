use {crate::board::Tick, std::time::Duration};

/// Where the time of a stream went, for the log line of its end.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTimes {
    /// Time for which the stream waited for placements.
    pub placement: Duration,
    /// Time of its remote prefills.
    pub prefill: Duration,
    /// Number of remote prefills that were computed.
    pub prefills: u32,
    /// Time from its arrival to the first event that went to the caller; `None` before that.
    pub first_event: Option<Duration>,
    /// Longest pause between two events that went to the caller.
    pub longest_pause: Duration,
    last_event: Option<Tick>,
}

impl StreamTimes {
    /// Records an event that goes to the caller of a stream that arrived at `arrived`.
    pub fn record_event(&mut self, arrived: Tick, now: Tick) {
        self.first_event.get_or_insert(now - arrived);
        if let Some(last) = self.last_event.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
    }
}
