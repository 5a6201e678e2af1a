use {super::Tick, std::collections::HashMap};

/// Requests suspected of crashing the endpoints that run them.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// Suspected request by fingerprint, a hash of branch, kind and body.
    pub by_fingerprint: HashMap<u64, Suspect>,
}

/// One suspected request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// Names of the endpoints that crashed while running it.
    pub endpoints: Vec<String>,
    /// Whether the request is refused everywhere.
    pub refused: bool,
    /// When the suspicion expires.
    pub expires: Tick,
}
