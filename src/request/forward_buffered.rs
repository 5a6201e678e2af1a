use {
    super::{
        CallAdmission, CrashWatch, EndpointHold, EndpointNeed, ForwardCall, ForwardLog,
        ForwardParts, ForwardShared, Refused, RetryPermit, caller_check, forward_log::NextStep,
        forward_refusal, forward_response::ForwardResponse, quota_charge,
    },
    crate::{
        board::{RetryReason, Role},
        decide::Verdict,
        port::{Clock, ResponseBody, Upstream, UpstreamError},
    },
    bytes::Bytes,
    std::{future::pending, pin::pin, time::Duration},
    tokio::{select, time::timeout},
};

/// First status code that reports a failure of the endpoint.
pub const FIRST_SERVER_ERROR: u16 = 500;

/// Response time assumed for an endpoint that has not responded yet.
const DEFAULT_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Shortest time after which a response counts as overdue.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(150);

/// Wait before endpoints are looked at again while none can take the place of a late one.
const SEARCH_PAUSE: Duration = Duration::from_millis(100);

/// Runs a request whose response is read completely before it goes to the caller.
///
/// # Errors
///
/// Refuses the request if no endpoint responded; an error status of an endpoint is a response.
pub async fn forward_buffered<P>(
    shared: &ForwardShared<P>,
    call: &mut ForwardCall,
) -> Result<ForwardResponse, Refused>
where
    P: ForwardParts,
{
    if let Some(left) = CrashWatch::new(shared, call).refused() {
        return Err(forward_refusal::crash_suspect(call, left));
    }
    let mut failure = None;
    let mut replacement: Option<EndpointHold> = None;
    loop {
        let hold = if let Some(hold) = replacement.take() {
            hold
        } else {
            let admission = CallAdmission::new(shared, call);
            if let Err(refused) = admission.admit(&need_of(call)).await {
                return failure.ok_or(refused);
            }
            let Some(hold) = EndpointHold::choose(shared, &need_of(call)) else {
                return failure
                    .ok_or_else(|| forward_refusal::no_endpoint(shared, call, Role::Service));
            };
            if hold.option.tried {
                return failure.ok_or_else(|| forward_refusal::all_refused(shared, call));
            }
            hold
        };
        caller_check::admit_again(shared, call)?;
        quota_charge::spend(shared, call).await?;
        ForwardLog::new(shared, call).chosen(&hold, "run");
        call.tried.push(hold.key);
        let sent = shared.now();
        match run_attempt(shared, call, &hold).await {
            Attempted::Ended(Ok(response)) if response.status < FIRST_SERVER_ERROR => {
                hold.record_end(false);
                CrashWatch::new(shared, call).answered(&hold);
                return Ok(response);
            }
            Attempted::Ended(Ok(response)) => {
                call.ran += 1;
                hold.record_end(!call.is_at_most_once());
                CrashWatch::new(shared, call).answered(&hold);
                let again = call.may_repeat() && !shared.left(call.deadline).is_zero();
                if !again || !shared.budget(&call.pool).spend() {
                    return Ok(response);
                }
                ForwardLog::new(shared, call).error_status(&hold, response.status);
                failure = Some(response);
            }
            Attempted::Ended(Err(error)) => {
                hold.record_failure(shared, &error);
                let watch = CrashWatch::new(shared, call);
                watch.attempt_failed(&hold, &error, sent).await;
                let past_deadline = shared.left(call.deadline).is_zero();
                let verdict = call.after_failure(&error, past_deadline, &shared.budget(&call.pool));
                let next = NextStep::from_verdict(verdict, &error);
                ForwardLog::new(shared, call).attempt_failed(&hold, &error, next);
                if verdict != Verdict::Retry {
                    let admission = CallAdmission::new(shared, call);
                    return failure.ok_or_else(|| {
                        let refused = forward_refusal::from_verdict(shared, verdict, &error);
                        admission.spread_return(&need_of(call), refused)
                    });
                }
                if error.is_full_service() {
                    call.tried.pop();
                    call.turned_away += 1;
                }
            }
            Attempted::Replaced(permit, other) => {
                let error = UpstreamError::TimedOut;
                hold.record_failure(shared, &error);
                call.ran += 1;
                permit.spend();
                let next = NextStep::Retry(RetryReason::CallBroken);
                ForwardLog::new(shared, call).attempt_failed(&hold, &error, next);
                replacement = Some(other);
            }
        }
    }
}

/// How an attempt of a request ended.
enum Attempted {
    /// With a complete response or an error; `TimedOut` at the deadline of the request.
    Ended(Result<ForwardResponse, UpstreamError>),
    /// For a retry at another endpoint, as the response is overdue.
    Replaced(RetryPermit, EndpointHold),
}

/// Returns what an attempt of `call` needs of its endpoint.
fn need_of(call: &ForwardCall) -> EndpointNeed<'_> {
    EndpointNeed {
        pool: &call.pool,
        role: Role::Service,
        tokens: 0,
        tried: &call.tried,
    }
}

/// Sends the request to `hold` and reads the complete response, unless another endpoint is to answer.
async fn run_attempt<P>(
    shared: &ForwardShared<P>,
    call: &ForwardCall,
    hold: &EndpointHold,
) -> Attempted
where
    P: ForwardParts,
{
    let start = shared.now();
    let request = call.upstream_request(shared, hold);
    let response = async {
        let response = shared.parts().upstream().send(request).await?;
        hold.record_notice(shared, response.notice);
        let body = if response.status < FIRST_SERVER_ERROR {
            response.body.collect(shared.options().max_body).await?
        } else {
            collect_failure(shared, response.body).await?
        };
        Ok(ForwardResponse {
            status: response.status,
            headers: response.headers,
            body,
        })
    };
    let attempt = async {
        select! {
            biased;
            response = avoid_overdue(shared, hold, response) => {
                if response.is_ok() {
                    hold.record_response_time(shared.now() - start);
                }
                Attempted::Ended(response)
            }
            (permit, other) = find_replacement(shared, call) => Attempted::Replaced(permit, other),
        }
    };
    let ended = timeout(shared.left(call.deadline), attempt).await;
    ended.unwrap_or(Attempted::Ended(Err(UpstreamError::TimedOut)))
}

/// Waits until the response to an attempt of `call` is so late that another endpoint is to be tried, and
/// until there is a retry and an endpoint for that. Never returns if the request may not be repeated.
async fn find_replacement<P>(
    shared: &ForwardShared<P>,
    call: &ForwardCall,
) -> (RetryPermit, EndpointHold)
where
    P: ForwardParts,
{
    if !call.may_be_replaced() {
        return pending().await;
    }
    let left = shared.left(call.deadline);
    let clock = shared.parts().clock();
    // Leaves time for the attempt at the other endpoint.
    clock.sleep(call.route.target.max(left / 2)).await;
    loop {
        let permit = RetryPermit::wait(shared.budget(&call.pool), clock).await;
        if let Some(other) = EndpointHold::choose_untried(shared, &need_of(call)) {
            return (permit, other);
        }
        drop(permit);
        clock.sleep(SEARCH_PAUSE).await;
    }
}

/// Reads the body of a response that reports a failure. A longer one, or one that takes longer, is no more
/// use to the caller than a failure of our own.
///
/// # Errors
///
/// Fails as `Oversized` if the body is longer or takes longer than failures usually do.
pub async fn collect_failure<P, B>(
    shared: &ForwardShared<P>,
    body: B,
) -> Result<Bytes, UpstreamError>
where
    P: ForwardParts,
    B: ResponseBody,
{
    let options = shared.options();
    let body = timeout(options.failure_timeout, body.collect(options.max_failure)).await;
    body.unwrap_or_else(|_| {
        let limit = options.failure_timeout.as_millis();
        let detail = format!("the body of a failure has no end within {limit} ms");
        Err(UpstreamError::Oversized(detail))
    })
}

/// Waits for `response`; once it is overdue, new requests avoid the endpoint.
async fn avoid_overdue<P, F>(
    shared: &ForwardShared<P>,
    hold: &EndpointHold,
    response: F,
) -> Result<ForwardResponse, UpstreamError>
where
    P: ForwardParts,
    F: Future<Output = Result<ForwardResponse, UpstreamError>>,
{
    let mut response = pin!(response);
    let overdue = hold.option.response_time.unwrap_or(DEFAULT_RESPONSE_TIME)
        * shared.options().overdue_factor;
    if let Ok(response) = timeout(overdue.max(MIN_OVERDUE_TIME), &mut response).await {
        return response;
    }
    hold.avoid_overdue(shared);
    response.await
}
