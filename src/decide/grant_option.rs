use {crate::key::EndpointKey, std::time::Duration};

/// An endpoint that may be granted to a request, with its predicted times.
#[derive(Clone, Copy, Debug)]
pub struct GrantOption {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Pieces or slots that are not granted.
    pub free: u32,
    /// Attempts that hold a grant.
    pub running: u32,
    /// Predicted time until the endpoint starts on new work.
    pub backlog: Duration,
    /// Tokens of the prompt that are believed to be in the prefix cache.
    pub cached: u32,
    /// Predicted time of one unit of work: a prompt token at a prefill endpoint, an output token at a
    /// decode endpoint whose batch includes the request, a call at a service.
    pub unit_time: Duration,
    /// Whether the endpoint is ejected and due for a probe.
    pub probe: bool,
}

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct GrantNeed {
    /// Pieces or slots that it occupies.
    pub pieces: u32,
    /// Prompt length in tokens.
    pub prompt: u32,
    /// Target of the time between tokens; none if no endpoint can meet it.
    pub per_token: Option<Duration>,
}

/// Chooses the prefill endpoint with the earliest predicted end; ejected endpoints that are due for
/// a probe come first.
///
/// Returns `None` if no endpoint has enough pieces free.
pub fn choose_prefill(options: &[GrantOption], need: &GrantNeed) -> Option<GrantOption> {
    let fitting = options.iter().filter(|option| option.free >= need.pieces);
    fitting
        .min_by_key(|option| (!option.probe, prefill_end(option, need), option.endpoint))
        .copied()
}

/// Returns the predicted time until the prompt has been computed at `option`.
pub fn prefill_end(option: &GrantOption, need: &GrantNeed) -> Duration {
    let uncached = need.prompt.saturating_sub(option.cached);
    option.backlog + option.unit_time * uncached
}

/// Chooses the decode endpoint with the fastest batch that meets the target; ejected endpoints that
/// are due for a probe come first.
///
/// Returns `None` if no endpoint that meets the target has enough pieces free.
pub fn choose_decode(options: &[GrantOption], need: &GrantNeed) -> Option<GrantOption> {
    let meets_target = |option: &&GrantOption| {
        need.per_token
            .is_none_or(|target| option.unit_time <= target)
    };
    let fitting = options.iter().filter(|option| option.free >= need.pieces);
    fitting
        .filter(meets_target)
        .min_by_key(|option| {
            (
                !option.probe,
                option.unit_time,
                u32::MAX - option.free,
                option.endpoint,
            )
        })
        .copied()
}

/// Chooses the service with the lowest product of its time per call and its number of calls with
/// this one; ejected services that are due for a probe come first.
///
/// Returns `None` if no service has a slot free.
pub fn choose_service(options: &[GrantOption], need: &GrantNeed) -> Option<GrantOption> {
    let fitting = options.iter().filter(|option| option.free >= need.pieces);
    fitting
        .min_by_key(|option| {
            (
                !option.probe,
                option.unit_time * (option.running + 1),
                option.endpoint,
            )
        })
        .copied()
}
