use std::time::Duration;

/// How claims are kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Objects over which claims are spread; the same on every daemon.
    pub partitions: u32,
    /// Time for which asks are gathered into one write.
    pub window: Duration,
    /// Time for which a record counts.
    pub retention: Duration,
}
