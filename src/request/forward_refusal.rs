//! Refusals of forwarded requests: what the caller learns, and whether the request may have run.

use {
    super::{
        EndpointHold, ForwardCall, ForwardParts, ForwardShared, Ran, Refused, deadline_passed,
    },
    crate::{
        board::{Refusal, Role},
        decide::Verdict,
        port::UpstreamError,
    },
    std::time::Duration,
};

/// Refuses a request whose pool has no endpoint with `role` that may get requests.
pub fn no_endpoint<P>(shared: &ForwardShared<P>, call: &ForwardCall, role: Role) -> Refused
where
    P: ForwardParts,
{
    if let Some(wait) = EndpointHold::pool_wait(shared, &call.pool, role) {
        return paused(call, wait);
    }
    refused(
        shared,
        call,
        Refusal::NoEndpoint,
        "the pool has no endpoint",
    )
}

/// Refuses a request whose pool takes no requests from this daemon for the time `pause`.
pub fn paused(call: &ForwardCall, pause: Duration) -> Refused {
    let detail =
        "every endpoint of the pool said to come back later, or is at the limit that it stated";
    refused_for(call, Refusal::EndpointRefused, detail, pause)
}

/// Refuses a request that every endpoint of the pool refused.
pub fn all_refused<P>(shared: &ForwardShared<P>, call: &ForwardCall) -> Refused
where
    P: ForwardParts,
{
    let detail = "every endpoint of the pool refused the request";
    refused(shared, call, Refusal::EndpointRefused, detail)
}

/// Refuses a request that crashes endpoints, or a part of whose prompt does, for as long as that is assumed.
pub fn crash_suspect(call: &ForwardCall, left: Duration) -> Refused {
    let detail = "requests like this one crash endpoints; change the request";
    refused_for(call, Refusal::CrashSuspect, detail, left)
}

/// Refuses a stream that found every endpoint of the pool full.
pub fn full<P>(shared: &ForwardShared<P>, call: &ForwardCall) -> Refused
where
    P: ForwardParts,
{
    let detail = "every endpoint of the pool is full; send the request again later";
    refused_for(
        call,
        Refusal::QueueFull,
        detail,
        shared.options().full_after,
    )
}

/// Refuses a call whose pool of plain services is expected to have no room in time.
pub fn no_room(call: &ForwardCall, wait: Duration) -> Refused {
    let detail =
        "every endpoint of the pool is full by its recent reports; send the request again later";
    refused_for(call, Refusal::QueueFull, detail, wait)
}

/// Refuses a request whose remote prefill failed, as the retry budget is spent.
pub fn budget_spent<P>(shared: &ForwardShared<P>, call: &ForwardCall) -> Refused
where
    P: ForwardParts,
{
    let detail = "prefill failed, and the retry budget is spent; send the request again later";
    refused(shared, call, Refusal::RetryBudget, detail)
}

/// Refuses a request as `verdict` demands after the attempt that `error` ended.
pub fn from_verdict<P>(
    shared: &ForwardShared<P>,
    verdict: Verdict,
    error: &UpstreamError,
) -> Refused
where
    P: ForwardParts,
{
    let detail = error.to_string();
    match verdict {
        Verdict::Retry => Refused::not_run(Refusal::EndpointRefused, &detail),
        Verdict::NotRun(reason) => {
            Refused::not_run(reason, &detail).after(shared.options().retry_after)
        }
        Verdict::Unknown(reason) => Refused::unknown(reason, &detail),
    }
}

/// Refuses a request whose deadline passed.
pub fn past_deadline(call: &ForwardCall) -> Refused {
    deadline_passed(ran(call))
}

fn refused<P>(
    shared: &ForwardShared<P>,
    call: &ForwardCall,
    reason: Refusal,
    detail: &str,
) -> Refused
where
    P: ForwardParts,
{
    refused_for(call, reason, detail, shared.options().retry_after)
}

/// Refuses a request, which may come back after `wait` if it has not run.
fn refused_for(call: &ForwardCall, reason: Refusal, detail: &str, wait: Duration) -> Refused {
    match ran(call) {
        Ran::No => Refused::not_run(reason, detail).after(wait),
        Ran::Unknown => Refused::unknown(reason, detail),
    }
}

fn ran(call: &ForwardCall) -> Ran {
    if call.ran == 0 { Ran::No } else { Ran::Unknown }
}
