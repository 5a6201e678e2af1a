/// What this daemon knows of its own state and of the platform's store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    /// Whether the last platform call succeeded.
    pub store: bool,
    /// Whether the daemon takes new requests.
    pub ready: bool,
    /// How far a planned stop is.
    pub stop: StopPhase,
}

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// No stop was announced.
    #[default]
    Running,
    /// A stop was announced; requests are still taken.
    Stopping,
    /// Long requests would be cut.
    Closing,
}

impl Health {
    /// Whether a planned stop has begun.
    pub fn stopping(&self) -> bool {
        self.stop > StopPhase::Running
    }
}
