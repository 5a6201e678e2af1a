//! Refusals of forwarded requests: what the caller learns, and whether the request may have run.

use {
    super::{ForwardCall, ForwardParts, ForwardShared, Ran, Refused, deadline_passed},
    crate::{board::Refusal, decide::Verdict, port::UpstreamError},
    std::time::Duration,
};

/// Refuses a request whose pool has no known endpoint.
pub fn no_endpoint<P>(shared: &ForwardShared<P>, call: &ForwardCall) -> Refused
where
    P: ForwardParts,
{
    refused(
        shared,
        call,
        Refusal::NoEndpoint,
        "the pool has no endpoint",
    )
}

/// Refuses a request that every endpoint of the pool refused.
pub fn all_refused<P>(shared: &ForwardShared<P>, call: &ForwardCall) -> Refused
where
    P: ForwardParts,
{
    let detail = "every endpoint of the pool refused the request";
    refused(shared, call, Refusal::EndpointRefused, detail)
}

/// Refuses a stream whose prompt, or a part of it, crashes engines, for as long as that is assumed.
pub fn crash_suspect(call: &ForwardCall, left: Duration) -> Refused {
    let detail = "requests like this one crash endpoints; change the prompt";
    match ran(call) {
        Ran::No => Refused::not_run(Refusal::CrashSuspect, detail).after(left),
        Ran::Unknown => Refused::unknown(Refusal::CrashSuspect, detail),
    }
}

/// Refuses a stream that found every endpoint of the pool full.
pub fn full<P>(shared: &ForwardShared<P>, call: &ForwardCall) -> Refused
where
    P: ForwardParts,
{
    let detail = "every endpoint of the pool is full; send the request again later";
    let refused = refused(shared, call, Refusal::QueueFull, detail);
    match refused.ran {
        Ran::No => refused.after(shared.options().full_after),
        Ran::Unknown => refused,
    }
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
    match ran(call) {
        Ran::No => Refused::not_run(reason, detail).after(shared.options().retry_after),
        Ran::Unknown => Refused::unknown(reason, detail),
    }
}

fn ran(call: &ForwardCall) -> Ran {
    if call.ran == 0 { Ran::No } else { Ran::Unknown }
}
