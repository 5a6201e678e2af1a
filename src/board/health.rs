/// Readiness of this daemon and reachability of the platform's store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    /// Whether the platform's store has responded recently.
    pub store_reachable: bool,
    /// Whether the daemon accepts new requests.
    pub ready: bool,
    /// Progress of a planned stop.
    pub stop_phase: StopPhase,
}

/// Progress of a planned stop, in order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// No stop has been announced.
    #[default]
    Running,
    /// A stop has been announced; requests are still accepted.
    Stopping,
    /// The time of notice has passed: new streams are refused, since they could be cut off.
    Closing,
}

impl Health {
    /// Returns whether a planned stop has begun.
    pub fn stopping(&self) -> bool {
        self.stop_phase > StopPhase::Running
    }
}
