use std::time::Duration;

/// Limits of the path of a forwarded request.
#[derive(Clone, Debug)]
pub struct ForwardOptions {
    /// Availability zone of this host.
    pub zone: String,
    /// Hundredths of a retry that a request earns.
    pub retry_percent: u64,
    /// Retries that all daemons together may save up for a pool.
    pub retry_slack: u64,
    /// Usual times of an answer after which an endpoint that has not answered is avoided.
    pub suspect: u32,
    /// Time to connect to an endpoint.
    pub connect: Duration,
    /// Time for an endpoint to reserve a place.
    pub reserve: Duration,
    /// Time for which a reserved place is kept for its request.
    pub place_time: Duration,
    /// Wait before full endpoints are asked again.
    pub place_wait: Duration,
    /// Time after which a prompt is read where it decodes, if no endpoint reads it apart.
    pub alone_wait: Duration,
    /// Wait before endpoints that compute prompts are looked at again.
    pub line_wait: Duration,
    /// Time for a prompt to be computed apart.
    pub prefill: Duration,
    /// Time for which a computed prompt may be offered to another endpoint.
    pub cache_time: Duration,
    /// Time without a next event after which a stream counts as broken.
    pub stall: Duration,
    /// Time for the first event of a stream that can move to another endpoint.
    pub first_event: Duration,
    /// Time for which a silent endpoint is avoided first; it doubles with each further silence.
    pub avoid: Duration,
    /// Time suggested to callers before they send a refused request again.
    pub retry_after: Duration,
    /// The same for streams that found every endpoint full.
    pub full_after: Duration,
    /// Longest idle time of a kept connection for requests that may run only once.
    pub fresh: Duration,
}

impl Default for ForwardOptions {
    fn default() -> Self {
        Self {
            zone: String::new(),
            retry_percent: 18,
            retry_slack: 40,
            suspect: 4,
            connect: Duration::from_millis(250),
            reserve: Duration::from_millis(150),
            place_time: Duration::from_millis(700),
            place_wait: Duration::from_millis(60),
            alone_wait: Duration::from_millis(200),
            line_wait: Duration::from_millis(20),
            prefill: Duration::from_millis(800),
            cache_time: Duration::from_millis(350),
            stall: Duration::from_millis(1_300),
            first_event: Duration::from_millis(1_800),
            avoid: Duration::from_millis(500),
            retry_after: Duration::from_millis(200),
            full_after: Duration::from_secs(3),
            fresh: Duration::from_secs(2),
        }
    }
}
