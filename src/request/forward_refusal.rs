//! Refusals of forwarded requests.

use {
    super::{ForwardCall, ForwardParts, ForwardShared, Ran, Refused, deadline_passed},
    crate::{board::Refusal, decide::Verdict, port::UpstreamError},
};

/// No endpoint of the pool is known.
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

/// Every endpoint of the pool refused.
pub fn all_refused<P>(shared: &ForwardShared<P>, call: &ForwardCall) -> Refused
where
    P: ForwardParts,
{
    let detail = "every endpoint of the pool refused";
    refused(shared, call, Refusal::EndpointRefused, detail)
}

/// No endpoint has room.
pub fn full<P>(shared: &ForwardShared<P>, call: &ForwardCall) -> Refused
where
    P: ForwardParts,
{
    let detail = "no endpoint of the pool has room";
    let refused = refused(shared, call, Refusal::QueueFull, detail);
    match refused.ran {
        Ran::No => refused.after(shared.options().full_after),
        Ran::Unknown => refused,
    }
}

/// The prompt was not read, and the retry budget is spent.
pub fn spent<P>(shared: &ForwardShared<P>, call: &ForwardCall) -> Refused
where
    P: ForwardParts,
{
    let detail = "the prompt was not read, and the retry budget is spent";
    refused(shared, call, Refusal::RetryBudget, detail)
}

/// What `verdict` says after the attempt that `error` ended.
pub fn after<P>(shared: &ForwardShared<P>, verdict: Verdict, error: &UpstreamError) -> Refused
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

/// The deadline passed.
pub fn too_late(call: &ForwardCall) -> Refused {
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
