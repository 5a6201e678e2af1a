use std::time::Duration;

/// Limits for forwarded requests.
#[derive(Clone, Debug)]
pub struct ForwardOptions {
    /// Name of this host's availability zone.
    pub zone: String,
    /// Share of a retry that each request earns, in percent.
    pub retry_percent: u64,
    /// Maximum retries that all daemons together may save up for a pool.
    pub retry_slack: u64,
    /// Multiple of an endpoint's usual response time after which its response is overdue.
    pub overdue_factor: u32,
    /// Limit for connecting to an endpoint.
    pub connect_timeout: Duration,
    /// Limit for an endpoint to respond to a reservation.
    pub reserve_timeout: Duration,
    /// Time for which an endpoint keeps a reservation for its request.
    pub reservation_time: Duration,
    /// Wait before full decode endpoints are asked for a reservation again.
    pub reserve_wait: Duration,
    /// Time to wait for a free prefill endpoint before the decode endpoint prefills locally, while
    /// no daemon places requests.
    pub remote_wait: Duration,
    /// Wait before the prefill endpoints are checked again.
    pub prefill_wait: Duration,
    /// Limit for a remote prefill.
    pub prefill_timeout: Duration,
    /// Largest body of a response that is kept until it is complete, in bytes.
    pub max_body: usize,
    /// The same for a response that reports a failure.
    pub max_failure: usize,
    /// Limit for the body of a response that reports a failure.
    pub failure_timeout: Duration,
    /// Age up to which a computed prompt may be sent to another decode endpoint.
    pub cache_time: Duration,
    /// Time between two events after which a stream counts as broken.
    pub stall_timeout: Duration,
    /// Limit for the first event of a stream that can be resumed at another endpoint.
    pub first_event: Duration,
    /// Time for which an endpoint that did not respond is avoided; it doubles with each repetition.
    pub avoid_time: Duration,
    /// Wait suggested to callers before they send a refused request again.
    pub retry_after: Duration,
    /// Wait suggested to callers whose stream found every endpoint full.
    pub full_after: Duration,
    /// Longest idle time of a kept connection that an at-most-once request may use.
    pub max_idle: Duration,
}

impl Default for ForwardOptions {
    fn default() -> Self {
        Self {
            zone: String::new(),
            retry_percent: 18,
            retry_slack: 40,
            overdue_factor: 4,
            connect_timeout: Duration::from_millis(250),
            reserve_timeout: Duration::from_millis(150),
            reservation_time: Duration::from_millis(700),
            reserve_wait: Duration::from_millis(60),
            remote_wait: Duration::from_millis(200),
            prefill_wait: Duration::from_millis(20),
            prefill_timeout: Duration::from_millis(800),
            max_body: 16 << 20,
            max_failure: 256 << 10,
            failure_timeout: Duration::from_secs(1),
            cache_time: Duration::from_millis(350),
            stall_timeout: Duration::from_millis(1_300),
            first_event: Duration::from_millis(1_800),
            avoid_time: Duration::from_millis(500),
            retry_after: Duration::from_millis(200),
            full_after: Duration::from_secs(3),
            max_idle: Duration::from_secs(2),
        }
    }
}
