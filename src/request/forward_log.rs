use {
    super::{EndpointHold, ForwardCall, ForwardParts, ForwardShared},
    crate::{
        board::{Refusal, RetryReason, Role},
        port::UpstreamError,
    },
};

/// Log lines about the decisions on one forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardLog<'a> {
    call: &'a ForwardCall,
}

impl<'a> ForwardLog<'a> {
    /// Lines about `call`.
    pub fn new(call: &'a ForwardCall) -> Self {
        Self { call }
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

    /// An attempt failed.
    pub fn failed(&self, hold: &EndpointHold, error: &UpstreamError, next: &str, ms: u64) {
        log::warn!(
            request = self.call.request.id.as_str(),
            endpoint = hold.name.as_str(),
            not_run = error.is_not_run(),
            ran = self.call.ran,
            next,
            ms;
            "attempt failed: {error}"
        );
    }

    /// The request was answered with `status`, or its stream came to its end.
    pub fn answered<P>(&self, shared: &ForwardShared<P>, endpoint: &str, status: u16, events: u64)
    where
        P: ForwardParts,
    {
        let took = shared.now() - self.call.arrived;
        log::info!(
            request = self.call.request.id.as_str(),
            endpoint,
            status,
            events,
            ran = self.call.ran,
            ms = took.as_millis() as u64;
            "answered"
        );
    }

    /// The request was refused.
    pub fn refused<P>(&self, shared: &ForwardShared<P>, reason: Refusal, events: u64, detail: &str)
    where
        P: ForwardParts,
    {
        let took = shared.now() - self.call.arrived;
        log::warn!(
            request = self.call.request.id.as_str(),
            route = self.call.route.name.as_str(),
            version = self.call.version,
            reason = reason.word(),
            ran = self.call.ran,
            tried = self.call.tried.len(),
            events,
            ms = took.as_millis() as u64;
            "refused: {detail}"
        );
    }

    /// The caller went away.
    pub fn abandoned<P>(&self, shared: &ForwardShared<P>, events: u64)
    where
        P: ForwardParts,
    {
        let took = shared.now() - self.call.arrived;
        log::info!(
            request = self.call.request.id.as_str(),
            events,
            ms = took.as_millis() as u64;
            "caller gone"
        );
    }
}

/// Why the attempt that `error` ended is followed by another.
pub fn retry_reason(error: &UpstreamError) -> RetryReason {
    match error {
        UpstreamError::Unsent(_) => RetryReason::Unsent,
        UpstreamError::Refused { .. } | UpstreamError::Misdirected => RetryReason::Refused,
        UpstreamError::Broken(_) | UpstreamError::Silent => RetryReason::CallBroken,
    }
}
