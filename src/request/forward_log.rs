use {
    super::{EndpointHold, ForwardCall, ForwardParts, ForwardShared, Refused},
    crate::{
        board::{Refusal, RetryReason, Role},
        decide::{AdmissionNeed, ServiceOption, Verdict},
        port::UpstreamError,
    },
    log::Level,
    std::time::Duration,
};

/// Writes the log lines and counters about the decisions on one forwarded request.
#[derive(Debug)]
pub struct ForwardLog<'a, P>
where
    P: ForwardParts,
{
    shared: &'a ForwardShared<P>,
    call: &'a ForwardCall,
}

impl<'a, P> ForwardLog<'a, P>
where
    P: ForwardParts,
{
    /// Prepares log lines about `call`.
    pub fn new(shared: &'a ForwardShared<P>, call: &'a ForwardCall) -> Self {
        Self { shared, call }
    }

    /// Logs that the placing daemon chose `decode`, and `prefill` for a remote prefill.
    ///
    /// That daemon's own log line with the same key `place` has the figures behind the choice.
    pub fn placed(&self, id: u64, decode: &str, prefill: Option<&str>) {
        let size = self.call.request.token_counts.unwrap_or_default();
        log::info!(
            request = self.call.request.id.as_str(),
            route = self.call.route.name.as_str(),
            version = self.call.version,
            attempt = self.call.attempts(),
            place = id,
            decode,
            prefill = prefill.unwrap_or("in place"),
            prompt = size.prompt,
            output = size.max_output;
            "placement granted"
        );
    }

    /// Logs that this daemon knows no engine `name` with `role` and requests another placement.
    pub fn unknown_endpoint(&self, name: &str, role: Role) {
        log::warn!(
            request = self.call.request.id.as_str(),
            endpoint = name,
            role:? = role;
            "placement names an unknown endpoint; requesting another one"
        );
    }

    /// Logs that the endpoint began to leave before the request was sent to it.
    pub fn left_before_sent(&self, hold: &EndpointHold) {
        log::info!(
            request = self.call.request.id.as_str(),
            endpoint = hold.name.as_str(),
            ms = hold.age(self.shared).as_millis() as u64;
            "endpoint leaves since it was chosen; requesting another placement"
        );
    }

    /// Logs the endpoint chosen for `purpose`, with the figures behind the choice.
    pub fn chosen(&self, hold: &EndpointHold, purpose: &str) {
        let option = &hold.option;
        let (others, age) = option.other_work.unwrap_or_default();
        let size = self.call.request.token_counts.unwrap_or_default();
        log::info!(
            request = self.call.request.id.as_str(),
            route = self.call.route.name.as_str(),
            version = self.call.version,
            attempt = self.call.attempts(),
            endpoint = hold.name.as_str(),
            among = hold.candidates,
            prompt = size.prompt,
            output = size.max_output,
            own = option.own_work,
            others,
            age_ms = age.as_millis() as u64,
            failing = option.failure_ratio,
            avoided = option.avoided;
            "endpoint chosen for {purpose}"
        );
    }

    /// Logs and counts that the call waits: the endpoints `options` are expected to be full for `wait`.
    pub fn deferred(&self, options: &[ServiceOption], need: &AdmissionNeed, wait: Duration) {
        self.shared.counters().deferred_calls.inc();
        let pool = PoolFigures::of(options);
        log::info!(
            request = self.call.request.id.as_str(),
            route = self.call.route.name.as_str(),
            pool = self.call.pool.as_str(),
            requests = pool.requests,
            limit = pool.limit,
            age_ms = pool.age_ms,
            ahead = need.ahead,
            target_left_ms = need.to_target.as_millis() as u64,
            left_ms = need.to_deadline.as_millis() as u64,
            wait_ms = wait.as_millis() as u64;
            "call waits: the pool is full by its reports"
        );
    }

    /// Logs that the call is refused: the endpoints `options` are expected to be full for too long. It may
    /// return after `wait`.
    pub fn no_room(&self, options: &[ServiceOption], wait: Duration) {
        let pool = PoolFigures::of(options);
        log::info!(
            request = self.call.request.id.as_str(),
            pool = self.call.pool.as_str(),
            requests = pool.requests,
            limit = pool.limit,
            age_ms = pool.age_ms,
            wait_ms = wait.as_millis() as u64;
            "no room expected in time by the reports of the pool"
        );
    }

    /// Logs and counts a failed attempt, which `next` follows.
    pub fn attempt_failed(&self, hold: &EndpointHold, error: &UpstreamError, next: NextStep) {
        if let NextStep::Retry(reason) = next {
            self.shared.counters().count_retry(reason);
        }
        log::warn!(
            request = self.call.request.id.as_str(),
            endpoint = hold.name.as_str(),
            not_run = error.is_not_run(),
            ran = self.call.ran,
            attempts = self.call.route.attempts,
            next = next.as_str(),
            reason = next.reason(),
            budget = self.shared.budget(&self.call.pool).left(),
            left_ms = self.left_ms(),
            stopping = self.is_stopping(),
            ms = hold.age(self.shared).as_millis() as u64;
            "attempt failed: {error}"
        );
    }

    /// Logs and counts an error status of an endpoint, after which another one is tried.
    pub fn error_status(&self, hold: &EndpointHold, status: u16) {
        let reason = RetryReason::ErrorStatus;
        self.shared.counters().count_retry(reason);
        log::warn!(
            request = self.call.request.id.as_str(),
            endpoint = hold.name.as_str(),
            status,
            ran = self.call.ran,
            next = "retry",
            reason = reason.as_str(),
            budget = self.shared.budget(&self.call.pool).left();
            "endpoint responded with an error; trying another one"
        );
    }

    /// Logs that none of `requests` placement requests, the last with `id`, was granted.
    pub fn no_placement(&self, id: u64, requests: u32) {
        log::info!(
            request = self.call.request.id.as_str(),
            place = id,
            asks = requests;
            "no placement granted in time"
        );
    }

    /// Logs and counts a complete response with `status`.
    pub fn answered(&self, status: u16) {
        self.shared.counters().answered.inc();
        log::info!(
            request = self.call.request.id.as_str(),
            route = self.call.route.name.as_str(),
            organisation = self.organisation(),
            status,
            ran = self.call.ran,
            came_late = self.call.late,
            target_ms = self.target_ms(),
            ms = self.elapsed_ms();
            "answered"
        );
    }

    /// Logs and counts the regular end of a stream after `events`, or an error with `status`.
    pub fn stream_answered(&self, endpoint: &str, status: u16, events: u64) {
        self.shared.counters().answered.inc();
        let times = &self.call.times;
        log::info!(
            request = self.call.request.id.as_str(),
            route = self.call.route.name.as_str(),
            organisation = self.organisation(),
            endpoint,
            status,
            events,
            ran = self.call.ran,
            came_late = self.call.late,
            prefills = times.prefills,
            place_ms = times.placement.as_millis() as u64,
            prefill_ms = times.prefill.as_millis() as u64,
            first_ms = times.first_event.map(|first| first.as_millis() as u64),
            pause_ms = times.longest_pause.as_millis() as u64,
            target_ms = self.target_ms(),
            ms = self.elapsed_ms();
            "answered"
        );
    }

    /// Logs and counts a refusal; `events` were sent to the caller before it.
    pub fn refused(&self, reason: Refusal, events: u64, detail: &str) {
        self.shared.counters().count_refusal(reason);
        log::warn!(
            request = self.call.request.id.as_str(),
            route = self.call.route.name.as_str(),
            organisation = self.organisation(),
            priority = self.call.priority,
            version = self.call.version,
            reason = reason.as_str(),
            ran = self.call.ran,
            tried = self.call.attempts(),
            events,
            prefills = self.call.times.prefills,
            left_ms = self.left_ms(),
            stopping = self.is_stopping(),
            ms = self.elapsed_ms();
            "refused: {detail}"
        );
    }

    /// Logs and counts that the caller disconnected after `events`.
    pub fn abandoned(&self, events: u64) {
        self.shared.counters().abandoned.inc();
        log::info!(
            request = self.call.request.id.as_str(),
            route = self.call.route.name.as_str(),
            events,
            prefills = self.call.times.prefills,
            ms = self.elapsed_ms();
            "caller disconnected before the response was complete"
        );
    }

    /// Name of the organisation that the request belongs to, if one is known.
    fn organisation(&self) -> Option<&str> {
        let organisation = self.call.organisation.as_ref();
        organisation.map(|organisation| organisation.name.as_str())
    }

    /// Milliseconds from its arrival within which the request should be answered.
    fn target_ms(&self) -> u64 {
        self.call.route.target.as_millis() as u64
    }

    /// Milliseconds left until the deadline, which a planned stop may have brought forward.
    fn left_ms(&self) -> u64 {
        self.shared.left(self.call.deadline).as_millis() as u64
    }

    /// Whether a planned stop of this daemon has begun.
    fn is_stopping(&self) -> bool {
        self.shared.board().health.load().stopping()
    }

    /// Milliseconds since the request arrived.
    fn elapsed_ms(&self) -> u64 {
        (self.shared.now() - self.call.arrived).as_millis() as u64
    }
}

/// Figures of a pool of plain services, by the recent reports of its endpoints.
struct PoolFigures {
    /// Requests expected at the endpoints now.
    requests: f64,
    /// Sum of the limits that were learnt.
    limit: u32,
    /// Age of the oldest report that counts.
    age_ms: u64,
}

impl PoolFigures {
    fn of(options: &[ServiceOption]) -> Self {
        let estimates = options.iter().filter_map(ServiceOption::estimate);
        let news = || options.iter().filter_map(|option| option.news);
        let oldest = news().map(|news| news.age).max().unwrap_or_default();
        Self {
            requests: estimates.map(|estimate| estimate.requests(0.0)).sum(),
            limit: news().filter_map(|news| news.limit).sum(),
            age_ms: oldest.as_millis() as u64,
        }
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Another attempt, for this reason.
    Retry(RetryReason),
    /// The request is refused, for this reason.
    Refuse(Refusal),
    /// Another endpoint is asked for a reservation; the request itself was not sent.
    TryAnother,
}

impl NextStep {
    /// Value of the log key `next`.
    fn as_str(self) -> &'static str {
        match self {
            Self::Retry(_) => "retry",
            Self::Refuse(_) => "refuse",
            Self::TryAnother => "try another",
        }
    }

    /// Value of the log key `reason`.
    fn reason(self) -> &'static str {
        match self {
            Self::Retry(reason) => reason.as_str(),
            Self::Refuse(reason) => reason.as_str(),
            Self::TryAnother => "no-place",
        }
    }

    /// Returns what `verdict` demands after `error`.
    pub fn from_verdict(verdict: Verdict, error: &UpstreamError) -> Self {
        match verdict {
            Verdict::Retry => Self::Retry(retry_reason(error)),
            Verdict::NotRun(reason) | Verdict::Unknown(reason) => Self::Refuse(reason),
        }
    }
}

/// Logs and counts a request that was refused before it had a route, or as malformed.
pub fn log_refused<P>(shared: &ForwardShared<P>, request: &str, refused: &Refused)
where
    P: ForwardParts,
{
    shared.counters().count_refusal(refused.reason);
    let version = shared.board().routing.load().version;
    let reason = refused.reason.as_str();
    // Lines below a warning are limited per second; callers without a valid key must not fill the log.
    let level = match refused.reason {
        Refusal::AccessKeyMissing | Refusal::AccessKeyMalformed | Refusal::AccessKeyUnknown => {
            Level::Info
        }
        _ => Level::Warn,
    };
    log::log!(level, request, version, reason; "refused: {}", refused.detail);
}

/// Reason to count for a retry after `error`.
fn retry_reason(error: &UpstreamError) -> RetryReason {
    match error {
        UpstreamError::Unsent(_) => RetryReason::Unsent,
        UpstreamError::Refused { .. } | UpstreamError::Misdirected => RetryReason::Refused,
        UpstreamError::Broken(_) | UpstreamError::Oversized(_) | UpstreamError::TimedOut => {
            RetryReason::CallBroken
        }
    }
}
