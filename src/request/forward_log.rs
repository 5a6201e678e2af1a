use {
    super::{EndpointHold, ForwardCall, ForwardParts, ForwardShared, Refused},
    crate::{
        board::{Refusal, RetryReason, Role},
        decide::Verdict,
        port::UpstreamError,
    },
};

/// Log lines and counters about the decisions on one forwarded request.
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
    /// Lines about `call`.
    pub fn new(shared: &'a ForwardShared<P>, call: &'a ForwardCall) -> Self {
        Self { shared, call }
    }

    /// The daemon that places streams chose `decode`, and `prefill` to read the prompt before.
    /// Its own line with the same `place` has the figures that decided.
    pub fn placed(&self, place: u64, decode: &str, prefill: Option<&str>) {
        let size = self.call.request.size.unwrap_or_default();
        log::info!(
            request = self.call.request.id.as_str(),
            route = self.call.route.name.as_str(),
            version = self.call.version,
            attempt = self.call.tried.len(),
            place,
            decode,
            prefill = prefill.unwrap_or("in place"),
            prompt = size.prompt,
            output = size.output;
            "places given"
        );
    }

    /// The engine `name` is not known here with `role`, so that another one is asked for.
    pub fn unknown(&self, name: &str, role: Role) {
        log::warn!(
            request = self.call.request.id.as_str(),
            endpoint = name,
            role:? = role;
            "place not known here"
        );
    }

    /// An endpoint was chosen for `purpose`.
    pub fn chosen(&self, hold: &EndpointHold, purpose: &str) {
        let option = &hold.option;
        let (others, age) = option.others.unwrap_or_default();
        let size = self.call.request.size.unwrap_or_default();
        log::info!(
            request = self.call.request.id.as_str(),
            route = self.call.route.name.as_str(),
            version = self.call.version,
            attempt = self.call.tried.len(),
            endpoint = hold.name.as_str(),
            among = hold.among,
            prompt = size.prompt,
            output = size.output,
            own = option.own,
            others,
            age_ms = age.as_millis() as u64,
            failing = option.failing,
            avoided = option.avoided;
            "chosen for {purpose}"
        );
    }

    /// An attempt failed, and `next` follows.
    pub fn failed(&self, hold: &EndpointHold, error: &UpstreamError, next: Next) {
        if let Next::Retry(reason) = next {
            self.shared.counters().retry(reason);
        }
        log::warn!(
            request = self.call.request.id.as_str(),
            endpoint = hold.name.as_str(),
            not_run = error.is_not_run(),
            ran = self.call.ran,
            attempts = self.call.route.attempts,
            next = next.word(),
            reason = next.reason(),
            budget = self.shared.budget(&self.call.pool).left(),
            ms = hold.age(self.shared).as_millis() as u64;
            "attempt failed: {error}"
        );
    }

    /// The endpoint answered a failure, after which another one is asked.
    pub fn failure(&self, hold: &EndpointHold, status: u16) {
        let reason = RetryReason::AnsweredFailure;
        self.shared.counters().retry(reason);
        log::warn!(
            request = self.call.request.id.as_str(),
            endpoint = hold.name.as_str(),
            status,
            ran = self.call.ran,
            next = "retry",
            reason = reason.word(),
            budget = self.shared.budget(&self.call.pool).left();
            "attempt answered with a failure"
        );
    }

    /// The last ask for a place was answered with none.
    pub fn no_place(&self, place: u64, asks: u32) {
        log::info!(
            request = self.call.request.id.as_str(),
            place,
            asks;
            "no place in time"
        );
    }

    /// The request was answered with `status`, or its stream came to its end.
    pub fn answered(&self, endpoint: &str, status: u16, events: u64) {
        self.shared.counters().answered.inc();
        log::info!(
            request = self.call.request.id.as_str(),
            endpoint,
            status,
            events,
            ran = self.call.ran,
            ms = self.ms();
            "answered"
        );
    }

    /// The request was refused.
    pub fn refused(&self, reason: Refusal, events: u64, detail: &str) {
        self.shared.counters().refuse(reason);
        log::warn!(
            request = self.call.request.id.as_str(),
            route = self.call.route.name.as_str(),
            version = self.call.version,
            reason = reason.word(),
            ran = self.call.ran,
            tried = self.call.tried.len(),
            events,
            ms = self.ms();
            "refused: {detail}"
        );
    }

    /// The caller went away.
    pub fn abandoned(&self, events: u64) {
        self.shared.counters().abandoned.inc();
        log::info!(
            request = self.call.request.id.as_str(),
            events,
            ms = self.ms();
            "caller gone"
        );
    }

    /// Time since the request arrived, in milliseconds.
    fn ms(&self) -> u64 {
        (self.shared.now() - self.call.arrived).as_millis() as u64
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Another attempt.
    Retry(RetryReason),
    /// The request is refused.
    Refuse(Refusal),
    /// Another endpoint is asked for a place; nothing was sent.
    AskAnother,
}

impl Next {
    /// What is done.
    fn word(self) -> &'static str {
        match self {
            Self::Retry(_) => "retry",
            Self::Refuse(_) => "refuse",
            Self::AskAnother => "ask another",
        }
    }

    /// Why.
    fn reason(self) -> &'static str {
        match self {
            Self::Retry(reason) => reason.word(),
            Self::Refuse(reason) => reason.word(),
            Self::AskAnother => "no-place",
        }
    }

    /// What `verdict` says after `error`.
    pub fn after(verdict: Verdict, error: &UpstreamError) -> Self {
        match verdict {
            Verdict::Retry => Self::Retry(retry_reason(error)),
            Verdict::NotRun(reason) | Verdict::Unknown(reason) => Self::Refuse(reason),
        }
    }
}

/// A request was refused before it had a route, or by its form.
pub fn not_admitted<P>(shared: &ForwardShared<P>, request: &str, refused: &Refused)
where
    P: ForwardParts,
{
    shared.counters().refuse(refused.reason);
    let version = shared.board().routing.load().version;
    let reason = refused.reason.word();
    log::warn!(request, version, reason; "refused: {}", refused.detail);
}

/// Why the attempt that `error` ended is followed by another.
fn retry_reason(error: &UpstreamError) -> RetryReason {
    match error {
        UpstreamError::Unsent(_) => RetryReason::Unsent,
        UpstreamError::Refused { .. } | UpstreamError::Misdirected => RetryReason::Refused,
        UpstreamError::Broken(_) | UpstreamError::Silent => RetryReason::CallBroken,
    }
}
