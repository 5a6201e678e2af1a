use std::time::Duration;

/// Settings of the claims (idempotency records).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Number of partitions over which claims are spread; must be the same on every daemon.
    pub partitions: u32,
    /// Time for which requests are gathered into one write; zero writes at once.
    pub window: Duration,
    /// Time for which a record is kept and decides about repeated requests.
    pub retention: Duration,
}
