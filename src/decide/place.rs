use {crate::key::EndpointKey, std::time::Duration};

/// An endpoint that may be granted.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Endpoint.
    pub endpoint: EndpointKey,
    /// Pieces or slots not granted.
    pub free: u32,
    /// Attempts running under a grant.
    pub running: u32,
    /// Predicted time until the endpoint starts on new work.
    pub backlog: Duration,
    /// Tokens of the prompt believed to be in the prefix cache.
    pub cached: u32,
    /// Learned time of one unit of work: a prompt token, an output token of the batch with the
    /// request in it, or a call.
    pub unit: Duration,
    /// Whether the endpoint is ejected and due for a probe.
    pub probe: bool,
}

/// What a request needs of a place.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Pieces or slots.
    pub pieces: u32,
    /// Prompt tokens.
    pub prompt: u32,
    /// Greatest time between tokens, none when it can be met nowhere.
    pub per_token: Option<Duration>,
}

/// Chooses where a prompt is computed: the earliest predicted end.
pub fn choose_prefill(places: &[Place], need: &Need) -> Option<Place> {
    let fitting = places.iter().filter(|place| place.free >= need.pieces);
    fitting
        .min_by_key(|place| (!place.probe, prefill_end(place, need), place.endpoint))
        .copied()
}

/// Predicted time until the prompt has been computed at `place`.
pub fn prefill_end(place: &Place, need: &Need) -> Duration {
    let uncached = need.prompt.saturating_sub(place.cached);
    place.backlog + place.unit * uncached
}

/// Chooses where tokens are generated: the fastest batch that stays inside the target.
pub fn choose_decode(places: &[Place], need: &Need) -> Option<Place> {
    let inside = |place: &&Place| need.per_token.is_none_or(|target| place.unit <= target);
    let fitting = places.iter().filter(|place| place.free >= need.pieces);
    fitting
        .filter(inside)
        .min_by_key(|place| {
            (
                !place.probe,
                place.unit,
                u32::MAX - place.free,
                place.endpoint,
            )
        })
        .copied()
}

/// Chooses the service with the fewest calls running, the fastest first among equals.
pub fn choose_service(places: &[Place], need: &Need) -> Option<Place> {
    let fitting = places.iter().filter(|place| place.free >= need.pieces);
    fitting
        .min_by_key(|place| {
            (
                !place.probe,
                place.unit * (place.running + 1),
                place.endpoint,
            )
        })
        .copied()
}
