use {
    super::{
        EndpointHold, EndpointNeed, ForwardCall, ForwardLog, ForwardParts, ForwardShared, Refused,
        forward_answer::ForwardAnswer, forward_log::Next, forward_refusal,
    },
    crate::{
        board::Role,
        decide::Verdict,
        port::{AnswerBody, Clock, Upstream, UpstreamError},
    },
    std::{pin::pin, time::Duration},
    tokio::time::timeout,
};

/// First status code that says that the endpoint failed.
const FAILED_STATUS: u16 = 500;

/// Usual time of an answer of an endpoint that has not answered yet.
const NEW_TIME: Duration = Duration::from_millis(100);

/// Shortest time without an answer after which an endpoint is suspected.
const LEAST_PATIENCE: Duration = Duration::from_millis(150);

/// Runs a request whose answer comes in one piece.
pub async fn forward_whole<P>(
    shared: &ForwardShared<P>,
    call: &mut ForwardCall,
) -> Result<ForwardAnswer, Refused>
where
    P: ForwardParts,
{
    let mut failure = None;
    loop {
        let need = EndpointNeed {
            pool: &call.pool,
            role: Role::Service,
            tokens: 0,
            tried: &call.tried,
        };
        let Some(hold) = EndpointHold::choose(shared, &need) else {
            return failure.ok_or_else(|| forward_refusal::no_endpoint(shared, call));
        };
        if hold.option.tried {
            return failure.ok_or_else(|| forward_refusal::all_refused(shared, call));
        }
        ForwardLog::new(shared, call).chosen(&hold, "run");
        call.tried.push(hold.key);
        match run(shared, call, &hold).await {
            Ok(reply) if reply.status < FAILED_STATUS => {
                hold.ended(false);
                return Ok(reply);
            }
            Ok(reply) => {
                call.ran += 1;
                hold.ended(!call.is_once());
                let again = call.may_repeat() && !shared.left(call.deadline).is_zero();
                if !again || !shared.budget(&call.pool).spend() {
                    return Ok(reply);
                }
                ForwardLog::new(shared, call).failure(&hold, reply.status);
                failure = Some(reply);
            }
            Err(error) => {
                hold.failed(shared, &error);
                let late = shared.left(call.deadline).is_zero();
                let verdict = call.after(&error, late, &shared.budget(&call.pool));
                let next = Next::after(verdict, &error);
                ForwardLog::new(shared, call).failed(&hold, &error, next);
                if verdict != Verdict::Retry {
                    return failure.ok_or_else(|| forward_refusal::after(shared, verdict, &error));
                }
            }
        }
    }
}

async fn run<P>(
    shared: &ForwardShared<P>,
    call: &ForwardCall,
    hold: &EndpointHold,
) -> Result<ForwardAnswer, UpstreamError>
where
    P: ForwardParts,
{
    let start = shared.parts().clock().now();
    let left = shared.left(call.deadline);
    // What may be repeated leaves time for another endpoint.
    let limit = if !call.is_once() && call.ran + 1 < call.route.attempts {
        left.min(call.route.target.max(left / 2))
    } else {
        left
    };
    let ask = call.ask(shared, hold);
    let answering = async {
        let answer = shared.parts().upstream().send(ask).await?;
        hold.hear(answer.load, shared.now());
        let body = answer.body.whole().await?;
        Ok(ForwardAnswer {
            status: answer.status,
            headers: answer.headers,
            body,
        })
    };
    let reply = timeout(limit, suspecting(shared, hold, answering)).await;
    let reply = reply.unwrap_or(Err(UpstreamError::Silent))?;
    hold.answered(shared.now() - start);
    Ok(reply)
}

/// Waits for `answering`; an endpoint that takes far longer than usual is avoided meanwhile.
async fn suspecting<P, F>(
    shared: &ForwardShared<P>,
    hold: &EndpointHold,
    answering: F,
) -> Result<ForwardAnswer, UpstreamError>
where
    P: ForwardParts,
    F: Future<Output = Result<ForwardAnswer, UpstreamError>>,
{
    let mut answering = pin!(answering);
    let patience = hold.option.usual.unwrap_or(NEW_TIME) * shared.options().suspect;
    if let Ok(answer) = timeout(patience.max(LEAST_PATIENCE), &mut answering).await {
        return answer;
    }
    hold.suspect(shared);
    answering.await
}
