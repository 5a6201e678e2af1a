use {
    super::Clock,
    crate::board::Tick,
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    tokio::time::{Instant, sleep},
};

/// Clock of the process; it follows tokio's clock, which tests can pause.
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    start: Instant,
}

impl MonoClock {
    /// Creates a clock whose tick 0 is now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for MonoClock {
    fn now(&self) -> Tick {
        Tick::default() + self.start.elapsed()
    }

    fn since_boot(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::try_from(time).unwrap_or_default()
    }

    fn unix_ms(&self) -> u64 {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send {
        sleep(duration)
    }
}
