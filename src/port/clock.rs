use {crate::board::Tick, std::time::Duration};

/// Source of time; decisions get ticks as arguments and never read a clock.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time since the process started.
    fn now(&self) -> Tick;

    /// Returns the time since the host booted; it includes time in which the host was suspended.
    fn since_boot(&self) -> Duration;

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;

    /// Sleeps for `duration`.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send;
}
