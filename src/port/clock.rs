use {crate::board::Tick, std::time::Duration};

/// Source of time; decisions take ticks as arguments and never ask for them.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Monotonic time.
    fn now(&self) -> Tick;

    /// Time since the machine started, which goes on while the machine is suspended.
    fn since_boot(&self) -> Duration;

    /// Wall-clock time in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;

    /// Sleeps for `duration`.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send;
}
