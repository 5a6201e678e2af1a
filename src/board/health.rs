use super::Tick;

/// Readiness of this daemon and reachability of the platform's store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    /// Whether the platform's store has responded recently.
    pub store_reachable: bool,
    /// Whether the daemon reports that it is ready for new requests.
    pub ready: bool,
    /// Progress of a planned stop.
    pub stop_phase: StopPhase,
    /// Time by which a planned stop has to have answered forwarded requests; `None` without one.
    pub stop_end: Option<Tick>,
}

/// Progress of a planned stop, in order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// No stop has been announced.
    #[default]
    Running,
    /// A stop has been announced: forwarded requests are still accepted, requests of branches are
    /// refused.
    Stopping,
    /// The notice period has passed: new forwarded streams are refused, since they could be cut
    /// off.
    Closing,
}

impl Health {
    /// Returns whether a planned stop has begun.
    pub fn stopping(&self) -> bool {
        self.stop_phase > StopPhase::Running
    }
}
